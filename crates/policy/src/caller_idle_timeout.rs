//! Bounds how long a call waits at a silent endpoint: its caller is answered before it leaves.
//!
//! A caller that has left can't be answered, and a frozen endpoint begins what it has read before
//! it sees the cancellation.

use std::time::Duration;

/// Fraction of a caller's patience that is kept for the answer to reach it.
const ANSWER_FRACTION: f64 = 0.1;

/// The longest time that is kept for that.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(400);

/// Silence after which an endpoint is not expected to finish a call before its deadline.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(250);

/// How long the answer takes that a call gets last, before its caller leaves.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(50);

/// How long callers of a stream wait for its next event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerIdleTimeout {
    pause: Duration,
}

impl CallerIdleTimeout {
    /// The patience of callers that leave after a pause of this length, also before the first
    /// event.
    pub fn new(pause: Duration) -> CallerIdleTimeout {
        CallerIdleTimeout { pause }
    }

    /// How much longer a call may wait whose endpoint lives, after silence for a time: until its
    /// caller is about to leave.
    pub fn until_final_response(self, silence: Duration, time_left: Duration) -> Duration {
        let leaves_in = self.pause.saturating_sub(silence).min(time_left);
        leaves_in.saturating_sub(LAST_ANSWER_TIME)
    }

    /// How much longer a call may wait that has met silence for a time, before it is answered.
    pub fn remaining(self, silence: Duration, time_left: Duration) -> Duration {
        let margin = self.pause.mul_f64(ANSWER_FRACTION).min(MAX_ANSWER_TIME);
        let leaves_in = self.pause.saturating_sub(silence).min(time_left);
        let until_silent = UNRESPONSIVE_AFTER.saturating_sub(silence);
        leaves_in.saturating_sub(margin).max(until_silent)
    }
}
