//! Stand-ins for the platform, model engines and plain services, for tests and trials.
//!
//! They implement the published interfaces and record what they receive, so that tests assert on
//! what happened and not on what lynxmount reports. Nothing here is part of the shipped binary.

#![forbid(unsafe_code)]

mod batch;
mod caller;
mod crash;
mod cutting_proxy;
mod engine;
mod http_server;
mod plain;
mod platform;
mod platform_log;

pub use batch::BatchOptions;
pub use caller::{Caller, ReceivedResponse};
pub use crash::{CrashKind, Lifecycle};
pub use cutting_proxy::{Cut, CutKind, CuttingProxy, Framing};
pub use engine::{Engine, RecordedRun, token_text};
pub use plain::{PlainService, PlainServiceOptions, RecordedCall};
pub use platform::PlatformServer;
pub use platform_log::{Faults, PlatformLog};
