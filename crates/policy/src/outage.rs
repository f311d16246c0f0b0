//! A service that runs nothing for a while, and when callers may come back.
//!
//! The ranks of a group refuse work together until the group has formed anew. A
//! request that has met an outage is late in any case, so that coming back soon
//! gains nothing, and coming back too soon spends the caller's last try.

use std::time::Duration;

/// How long nothing is sent after endpoints have refused: long enough to spare
/// most requests a refusal, short enough to lose little once the service runs.
const PAUSE: Duration = Duration::from_millis(250);

/// Endpoints that must have refused in a row. One alone may be full.
const REFUSALS_IN_A_ROW: u32 = 2;

/// The part of a caller's time after which it may come back: groups of the
/// reference deployments are down for 2 to 5 s, and callers with 8 s wait for a
/// third of what they have left at most.
const RETURN_PART: f64 = 0.24;

/// The further part over which returns are spread.
const SPREAD_PART: f64 = 0.08;

/// Whether a service runs anything.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageWatch {
    refusals: u32,
    paused_until: Duration,
}

impl OutageWatch {
    /// Notes that an endpoint has refused because it runs nothing. Returns
    /// whether a pause begins with it.
    pub fn note_refusal(&mut self, now: Duration) -> bool {
        self.refusals += 1;
        let begins = self.refusals >= REFUSALS_IN_A_ROW && now >= self.paused_until;
        if begins {
            self.paused_until = now + PAUSE;
        }
        begins
    }

    /// Notes that an endpoint has answered.
    pub fn note_answer(&mut self) {
        *self = OutageWatch::default();
    }

    /// Says whether nothing is sent now.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// When the pause ends.
    pub fn paused_until(&self) -> Duration {
        self.paused_until
    }
}

/// When a caller may come back that has met an outage, with a number from 0 to 1
/// that spreads returns.
pub fn return_time(time_left: Duration, spread: f64) -> Duration {
    time_left.mul_f64(RETURN_PART + SPREAD_PART * spread.clamp(0.0, 1.0))
}
