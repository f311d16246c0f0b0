//! The endpoint process, the sidecar of one engine.
//!
//! Each process polls its engine, reports the state to the leader candidates of its group and
//! passes orders on to its engine. Per group, the first live candidate by rank is the leader: it
//! rebalances the placement of experts on ranks.

#![forbid(unsafe_code)]

mod balance_spec;
mod coordinator;
mod demand;
mod discovery;
mod engine_calls;
mod leader_state;
mod leadership;
pub mod message;
mod notifier;
mod obstacle;
mod order_client;
mod order_handler;
mod process;
mod rank_states;
mod registry;
mod reporter;
mod transport;

pub use demand::GroupIncarnation;
pub use process::run;
