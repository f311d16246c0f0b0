//! Types, errors and ids shared by all lynxmount crates.
//!
//! This crate depends on no other crate of the workspace and does no I/O.

#![forbid(unsafe_code)]

pub mod adapter;
mod crash_report;
mod error;
pub mod experts;
mod fingerprint;
mod fleet;
mod ids;
mod log_position;
mod mechanism;
mod outcome;
mod problem;
mod segment;
mod site;
mod time;

pub use crash_report::{
    CallPhase, CallTag, CrashReport, EndpointCrash, EndpointIncarnation, Evidence, EvidenceKey,
    EvidenceWeight, ReceivedEvidence, SegmentCrash, SegmentReport,
};
pub use error::{
    Cause, Error, Result, Step, indeterminate, invalid, refused, timed_out, unreachable,
};
pub use fingerprint::{CallContent, CallFingerprint};
pub use fleet::{
    ApiKey, CallKind, CallerLimits, ConfigVersion, EndpointList, EndpointRecord, EndpointState,
    EngineSpec, ExpertSpec, FleetConfig, PeerRegistration, Route, RouteId, RouteTarget,
    ServiceSpec, TeamSpec,
};
pub use ids::{
    AttemptNumber, ChangeId, EndpointId, FailureDomainId, Incarnation, Offset, ProcessId, RegionId,
    RequestId, ServiceId, TeamId, new_incarnation, new_request_id,
};
pub use log_position::{LogEra, LogPosition, LogRead};
pub use mechanism::{Mechanism, Mechanisms};
pub use outcome::Outcome;
pub use problem::{Problem, Reason};
pub use segment::{CallIdentity, MAX_SEGMENTS, SegmentId, SegmentNumber, segment_number};
pub use site::{SiteBounds, SiteSettings};
pub use time::{Clock, duration_ms, wall_time_ms};
