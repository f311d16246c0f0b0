//! Quarantine of poison requests at one entry, shared by its requests and by the tasks that
//! replicate the evidence to other entries.

#![forbid(unsafe_code)]

mod crash_attribution;
mod segment_evidence;
mod shared_quarantine;

pub use segment_evidence::CallInFlight;
pub use shared_quarantine::{SharedQuarantine, split};
