//! The endpoint process beside an engine: its counts, its orders, and balancing.
//!
//! Each process reads its own engine, tells a few others what it has read, and
//! passes orders on to its engine. The first live process of a group, by
//! address, balances it.

#![forbid(unsafe_code)]

mod beliefs;
mod coordinator;
mod demand;
mod duty;
mod engine_calls;
mod inbox;
mod mailbox;
mod members;
mod memory;
pub mod message;
mod notifier;
mod outbox;
mod process;
mod reporter;
mod roster;
mod spec;

pub use demand::GroupIncarnation;
pub use process::run;
