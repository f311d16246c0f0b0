//! When refused callers return: one after the other, at the pace at which calls are admitted.

use std::time::Duration;

/// How far ahead turns are assigned. Callers that leave for good would move them ever further.
const MAX_AHEAD: Duration = Duration::from_secs(30);

/// The turns that refused callers were told.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    next_at: Duration,
}

impl RetrySchedule {
    /// Assigns a caller the next turn from a time on, and says how long it is until then.
    pub fn assign(&mut self, from: Duration, interval: Duration, now: Duration) -> Duration {
        let at = self.next_at.clamp(from, from + MAX_AHEAD);
        self.next_at = at + interval;
        at.saturating_sub(now)
    }
}
