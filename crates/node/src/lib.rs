//! The control plane shared by entry and endpoint processes: state, controllers and ports.
//!
//! One thread owns the [`ControlState`](control_state::ControlState), which controllers
//! read and write in a fixed order. After them it publishes a [`ControlView`], an immutable
//! snapshot that traffic threads read.

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
