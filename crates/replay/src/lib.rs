//! Recorded events played against the decisions, with stated results.
//!
//! A trace is JSON lines, each an event with the result that is expected of it.
//! The decisions have no clocks and no randomness, so a trace gives the same
//! results at any time on any machine. `docs/TRACES.md` has the format.

#![forbid(unsafe_code)]

mod event;
mod fleet_events;
mod gate_events;
mod key_events;
mod request_events;
mod world;

pub use event::{Event, Line};
pub use world::{LineError, Mismatch, Replayer, replay_trace};
