//! Spreads the retries of refused callers evenly, at the rate at which calls are admitted.

use std::time::Duration;

/// How far ahead retries are scheduled. Callers that never retry would move the others ever
/// further.
const MAX_AHEAD: Duration = Duration::from_secs(30);

/// The retry times that refused callers were assigned.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    next_at: Duration,
}

impl RetrySchedule {
    /// Assigns a caller the next free time from `from` on. Returns how long it is until then.
    pub fn assign(&mut self, from: Duration, interval: Duration, now: Duration) -> Duration {
        let at = self.next_at.clamp(from, from + MAX_AHEAD);
        self.next_at = at + interval;
        at.saturating_sub(now)
    }
}
