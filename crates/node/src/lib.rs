//! What entry and endpoint processes share: blackboard, controllers and ports.
//!
//! One thread owns the [`ControlState`](control_state::ControlState); controllers
//! read and write it in a fixed order. Traffic threads read the [`ControlView`] that
//! the last controller publishes as a whole.

#![forbid(unsafe_code)]

mod control_port;
mod control_state;
mod control_thread;
mod controllers;
mod counters;
mod follower;
mod logging;
mod node;
mod operators_port;
mod signals;
mod view;

pub use control_port::{ControlApiClient, ControlClient, ProcessKind, ProcessStatus, Readiness};
pub use counters::{Counter, Counters};
pub use logging::init_logging;
pub use node::{InFlightGuard, Node, NodeHandle, traffic_runtime};
pub use signals::drain_on_signals;
pub use view::{ActiveConfig, ControlView, DrainState};
