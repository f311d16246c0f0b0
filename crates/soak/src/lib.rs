//! A randomized fault soak of the real processes.
//!
//! It starts entries and endpoint processes against stand-ins of the platform,
//! with a proxy on each link, and injects faults from outside of them: in series
//! that overlap, all from a seed. It judges what callers and back ends have seen
//! by the promises of docs/PROOFS.md.

#![forbid(unsafe_code)]

mod advice;
mod callers;
mod faults;
mod gone;
pub mod history;
pub mod plan;
mod poison;
mod process;
pub mod promises;
pub mod proxy;
mod report;
mod run;
mod world;

pub use report::Report;
pub use run::{Options, run};
