//! Bounds how long a call waits at a silent endpoint, so that its caller gets a response before the
//! caller's idle timeout ends the stream. A stream that has begun is not bounded: ending it tells
//! its caller nothing, and its endpoint may go on.
//!
//! A caller that has left gets no response, and a frozen endpoint starts the requests that it has
//! read before it sees their cancellation.

use std::time::Duration;

/// Fraction of the idle timeout that is reserved for the response to reach the caller.
const RESPONSE_TIME_FRACTION: f64 = 0.1;

/// Upper bound of that reserve.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(400);

/// Silence after which an endpoint is not expected to finish a call before its deadline.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(250);

/// Time reserved for the final response to a call, right before its caller leaves.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(50);

/// How long a stream's caller waits for its next event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerIdleTimeout {
    timeout: Duration,
}

impl CallerIdleTimeout {
    /// For callers that leave after a gap of this length, also before the first event.
    pub fn new(timeout: Duration) -> CallerIdleTimeout {
        CallerIdleTimeout { timeout }
    }

    /// How much longer a call at a live endpoint may wait after a silence: until its caller is
    /// about to leave.
    pub fn until_final_response(self, silence: Duration, time_left: Duration) -> Duration {
        let leaves_in = self.timeout.saturating_sub(silence).min(time_left);
        leaves_in.saturating_sub(FINAL_RESPONSE_TIME)
    }

    /// How much longer a call may wait after a silence before its caller must get a response.
    pub fn remaining(self, silence: Duration, time_left: Duration) -> Duration {
        let response_time = self.timeout.mul_f64(RESPONSE_TIME_FRACTION).min(MAX_RESPONSE_TIME);
        let leaves_in = self.timeout.saturating_sub(silence).min(time_left);
        let until_unresponsive = UNRESPONSIVE_AFTER.saturating_sub(silence);
        leaves_in.saturating_sub(response_time).max(until_unresponsive)
    }
}
