//! Whether a process that has just started takes requests.

use std::time::Duration;

use crate::MembershipEvidence;

/// Time after its start until which a process waits for a list of members that names it. Without
/// one it has no retry for its callers, but the registry may be out for long.
pub const MAX_READINESS_WAIT: Duration = Duration::from_secs(1);

/// Whether a process is ready that has a configuration and an endpoint list. `age` is the time since
/// its start.
pub fn is_entry_ready(evidence: MembershipEvidence, age: Duration) -> bool {
    evidence != MembershipEvidence::None || age >= MAX_READINESS_WAIT
}
