//! The time by which a request must be answered.

use std::time::{Duration, SystemTime};

use lynxmount_core::{duration_ms, wall_time_ms};
use tokio::time::Instant;

/// One request's deadline, on every clock that it is needed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    /// For timers.
    pub(crate) at: Instant,
    /// Since the process's start, for policies.
    pub(crate) since_start: Duration,
    /// Since the Unix epoch, for other processes.
    pub(crate) wall_ms: u64,
}

impl Deadline {
    /// Sets the deadline of a request that arrives now.
    pub(crate) fn after(timeout: Duration, now: Duration) -> Deadline {
        Deadline {
            at: Instant::now() + timeout,
            since_start: now + timeout,
            wall_ms: wall_time_ms(SystemTime::now()) + duration_ms(timeout),
        }
    }
}
