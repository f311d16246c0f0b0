//! Names of the things that lynxmount talks about.

use std::sync::Arc;

use uuid::Uuid;

/// A caller, in the words of the fleet file.
pub type TeamId = Arc<str>;
/// A model service or a plain service.
pub type ServiceId = Arc<str>;
/// One back end of a service together with the endpoint process beside it.
pub type EndpointId = Arc<str>;
/// A part of a region that fails as a whole.
pub type FailureDomainId = Arc<str>;
/// A group of failure domains that can lose sight of other regions.
pub type RegionId = Arc<str>;
/// An entry or endpoint process, as its settings name it.
pub type ProcessId = Arc<str>;
/// One application of a fleet file; the same id twice is one change.
pub type ChangeId = Uuid;
/// One request of a caller.
pub type RequestId = Uuid;
/// One life of a process: a restarted process has another incarnation.
pub type Incarnation = Uuid;
/// The number of one try at a request, starting with 1.
pub type AttemptNumber = u32;
/// The position of a record in a stream of the platform's log.
pub type Offset = u64;

/// Draws the id of a request that has just arrived.
pub fn new_request_id() -> RequestId {
    Uuid::new_v4()
}

/// Draws the incarnation of a process that has just started.
pub fn new_incarnation() -> Incarnation {
    Uuid::new_v4()
}
