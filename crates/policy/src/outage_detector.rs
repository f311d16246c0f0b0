//! A group that runs nothing for a while, and when callers may come back.
//!
//! The ranks of a group refuse work together until the group has formed anew. A
//! request that has met an outage is late in any case, so that coming back soon
//! gains nothing, and coming back too soon spends the caller's last try.

use std::time::Duration;

/// How long after a call that was sent in an outage the next one may be: short
/// enough to lose little once the group runs, long enough that an entry spends six
/// of its repeats on an outage of 1.5 s, of about 27 in ten seconds.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Endpoints that must have refused in a row. One alone may be full.
const REFUSALS_IN_A_ROW: u32 = 2;

/// The part of a caller's time after which it may come back: groups of the
/// reference deployments are down for 2 to 5 s, and callers with 8 s wait for a
/// third of what they have left at most.
const RETURN_PART: f64 = 0.24;

/// The further part over which returns are spread.
const SPREAD_PART: f64 = 0.08;

/// Whether a group runs anything, by what its endpoints answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageDetector {
    refusals: u32,
    since: Option<Duration>,
    probe_at: Duration,
}

impl OutageDetector {
    /// Notes that an endpoint has refused because it runs nothing. Returns
    /// whether an outage begins with it.
    pub fn on_refusal(&mut self, now: Duration) -> bool {
        self.refusals += 1;
        let begins = self.refusals >= REFUSALS_IN_A_ROW && self.since.is_none();
        if begins {
            self.begin(now);
        }
        begins
    }

    /// Begins an outage that is seen in another way than by refusals.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.since = Some(now);
        self.probe_at = now + PROBE_PERIOD;
    }

    /// Notes that an endpoint has answered.
    pub fn on_response(&mut self) {
        *self = OutageDetector::default();
    }

    /// Says whether a call may be sent: in an outage one at a time, to see
    /// whether it is over.
    pub fn may_send(&self, now: Duration) -> bool {
        self.since.is_none() || now >= self.probe_at
    }

    /// Notes that a call is sent. Returns when the next one may be, in an outage.
    pub fn on_sent(&mut self, now: Duration) -> Option<Duration> {
        self.since?;
        self.probe_at = now + PROBE_PERIOD;
        Some(self.probe_at)
    }

    /// Since when there is an outage.
    pub fn since(&self) -> Option<Duration> {
        self.since
    }

    /// When the next call may be sent in an outage.
    pub fn probe_at(&self) -> Duration {
        self.probe_at
    }
}

/// When a caller may come back that has met an outage, with a number from 0 to 1
/// that spreads returns.
pub fn outage_retry_after(time_left: Duration, spread: f64) -> Duration {
    time_left.mul_f64(RETURN_PART + SPREAD_PART * spread.clamp(0.0, 1.0))
}
