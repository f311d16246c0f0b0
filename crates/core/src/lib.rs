//! Types, errors and ids that every lynxmount crate shares.
//!
//! This crate depends on no sibling and does no input or output.

#![forbid(unsafe_code)]

mod error;
mod ids;
mod outcome;
mod problem;
mod time;

pub use error::{Cause, Error, Result, Step, invalid, not_known, refused, timed_out, unreachable};
pub use ids::{
    AttemptNumber, ChangeId, EndpointId, FailureDomainId, Incarnation, Offset, ProcessId, RegionId,
    RequestId, ServiceId, TeamId, new_incarnation, new_request_id,
};
pub use outcome::Outcome;
pub use problem::{Problem, Reason};
pub use time::{duration_ms, wall_time_ms};
