//! The entry process for platforms where entries call back ends directly, instead of through
//! endpoint processes.
//!
//! Admits callers' requests, load-balances them over endpoints, relays the responses, and states
//! accurately whether a failed request may have run. The fleet's configuration and endpoints come
//! from the platform, or from peers while the platform is unreachable.

#![forbid(unsafe_code)]

mod admission;
mod attempt;
mod attempt_history;
mod call;
mod call_refusals;
mod call_times;
mod config_poll;
mod crash_detector;
mod crash_gossip;
mod drain;
mod endpoint;
mod endpoint_set;
mod execution_state;
mod fleet;
mod group_listener;
mod handler;
mod health_check;
mod limit_gossip;
mod listener;
mod misdirections;
mod peers;
mod pool;
mod process;
mod readiness;
mod replacement;
mod reply;
mod response_head;
mod retry;
mod service;
mod stream;
mod stream_move;
mod stream_read;
mod stream_replacement;
mod watch;

pub use config_poll::ConfigPoll;
pub use execution_state::{AttemptMark, ExecutionState};
pub use process::run;
