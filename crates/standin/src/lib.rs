//! Stand-ins for the platform, model engines and plain services, for tests and trials.
//!
//! They speak the published interfaces and remember what they saw, so that
//! tests can judge by what happened and not by what lynxmount says happened.
//! Nothing here is part of the shipped binary.

#![forbid(unsafe_code)]

mod batch;
mod caller;
mod crash;
mod engine;
mod http_server;
mod plain;
mod platform;
mod platform_log;

pub use batch::BatchOptions;
pub use caller::{Caller, ReceivedResponse};
pub use crash::{CrashKind, Lifecycle};
pub use engine::{Engine, RecordedRun, token_text};
pub use plain::{PlainService, PlainServiceOptions, RecordedCall};
pub use platform::PlatformServer;
pub use platform_log::{Faults, PlatformLog};
