//! Request deadlines.

use std::time::{Duration, SystemTime};

use lynxmount_core::{duration_ms, wall_time_ms};
use tokio::time::Instant;

/// A deadline, on each clock that needs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    /// On the runtime's clock, for timers.
    pub(crate) at: Instant,
    /// Time since the start of the process, for policies.
    pub(crate) since_start: Duration,
    /// Milliseconds since the Unix epoch, for other processes.
    pub(crate) wall_ms: u64,
}

impl Deadline {
    /// The deadline `timeout` from now; `now` is the time since the start of the process.
    pub(crate) fn after(timeout: Duration, now: Duration) -> Deadline {
        Deadline {
            at: Instant::now() + timeout,
            since_start: now + timeout,
            wall_ms: wall_time_ms(SystemTime::now()) + duration_ms(timeout),
        }
    }
}
