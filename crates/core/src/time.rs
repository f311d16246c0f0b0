//! Conversions of time to milliseconds, and the clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts a duration to whole milliseconds, at most `u64::MAX`.
pub fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a wall-clock time to milliseconds since the Unix epoch; 0 before it.
pub fn wall_time_ms(time: SystemTime) -> u64 {
    duration_ms(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time since the clock was started.
    pub fn now(self) -> Duration {
        self.0.elapsed()
    }
}
