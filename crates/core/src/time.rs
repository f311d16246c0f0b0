//! Conversions between the standard types for time and milliseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts a duration to whole milliseconds, at most `u64::MAX`.
pub fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a time of day to milliseconds since the Unix epoch; 0 before it.
pub fn wall_time_ms(time: SystemTime) -> u64 {
    duration_ms(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Time since the process's start, which decisions count in.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins to count.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time that has passed.
    pub fn now(self) -> Duration {
        self.0.elapsed()
    }
}
