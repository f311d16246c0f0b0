//! What an entry knows of calls under which endpoints end, shared by its requests and by the
//! tasks that tell other entries.

#![forbid(unsafe_code)]

mod crash_attribution;
mod shared_quarantine;

pub use shared_quarantine::SharedQuarantine;
