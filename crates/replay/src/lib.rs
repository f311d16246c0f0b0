//! Deterministic replay of recorded events, with comparison of the results.
//!
//! A trace consists of JSON lines, each an event with its expected result. The state machines read
//! no clocks and use no randomness, so a trace has the same results on every machine. The format
//! is described in `docs/TRACES.md`.

#![forbid(unsafe_code)]

mod commit_events;
mod config_events;
mod event;
mod key_events;
mod replayer;
mod request_events;

pub use event::{Event, Line};
pub use replayer::{LineError, Mismatch, Replayer, replay_trace};
