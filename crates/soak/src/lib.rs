//! A randomized fault-injection soak test of the real processes.
//!
//! It starts entries and endpoint processes against stand-ins of the platform, with a proxy on each
//! link, and injects overlapping series of faults from outside, all drawn from a seed. It checks
//! the history that callers and back ends recorded against the promises of docs/PROOFS.md.

#![forbid(unsafe_code)]

mod abandoned_calls;
mod backpressure;
mod callers;
mod config_lateness;
pub mod crowds;
mod drain_faults;
mod expiry;
mod faults;
mod fleet;
pub mod history;
mod independent_faults;
mod lost_calls;
mod pauses;
pub mod plan;
mod poison;
mod process;
pub mod promises;
pub mod proxy;
mod report;
mod restore;
mod retry_budget;
mod run;
mod share_faults;

pub use report::Report;
pub use run::{Options, run};
