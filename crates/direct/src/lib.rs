//! The entry process that calls back ends directly.
//!
//! It takes callers' requests, chooses an endpoint, relays the answer, and tells
//! truthfully what has become of a request. What it knows of the fleet comes
//! from the platform, or from peers while the platform can't be reached.

#![forbid(unsafe_code)]

mod admission;
mod attempt;
mod attempt_history;
mod call;
mod call_times;
mod callers_port;
mod crash_detector;
mod crash_gossip;
mod drain;
mod endpoint;
mod endpoint_set;
mod fleet;
mod groups;
mod handler;
mod health_check;
mod limit_gossip;
mod peers;
mod pool;
mod process;
mod readiness;
mod reply;
mod service;
mod stream;
mod watch;

pub use process::run;
