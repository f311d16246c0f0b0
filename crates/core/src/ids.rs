//! Identifier types.

use std::sync::Arc;

use uuid::Uuid;

/// A team of callers, as named in the fleet file.
pub type TeamId = Arc<str>;
/// A model service or a plain HTTP service.
pub type ServiceId = Arc<str>;
/// One back end of a service, with the endpoint process (sidecar) beside it.
pub type EndpointId = Arc<str>;
/// A part of a region whose machines may fail together.
pub type FailureDomainId = Arc<str>;
/// A set of failure domains; regions may be partitioned from each other.
pub type RegionId = Arc<str>;
/// An entry or endpoint process, as its settings name it.
pub type ProcessId = Arc<str>;
/// One application of a fleet file; idempotent, as repeated ids are one change.
pub type ChangeId = Uuid;
/// One request of a caller.
pub type RequestId = Uuid;
/// One run of a process: a restarted process has a new incarnation.
pub type Incarnation = Uuid;
/// Number of an attempt at a request, starting with 1.
pub type AttemptNumber = u32;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;

/// Generates a random id for a new request.
pub fn new_request_id() -> RequestId {
    Uuid::new_v4()
}

/// Generates a random incarnation for a newly started process.
pub fn new_incarnation() -> Incarnation {
    Uuid::new_v4()
}
