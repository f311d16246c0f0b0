//! Detects outages of a group by consecutive refusals, and tells callers when to retry.
//!
//! The ranks of a group refuse work together until the group has formed again. A request that
//! meets an outage is late in any case, so that an early retry gains nothing, and one that comes
//! too early uses up the caller's last attempt.

use std::time::Duration;

/// Interval between probe calls in an outage: short enough to lose little time once the group
/// runs, long enough that an entry spends six retries on an outage of 1.5 s, of about 27 that it
/// has in ten seconds.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Consecutive refusals that make an outage. A single one may come from a full endpoint.
const MIN_CONSECUTIVE_REFUSALS: u32 = 2;

/// Fraction of a caller's remaining time after which it may retry: groups of the reference
/// deployments are down for 2 to 5 s, and callers with 8 s wait for at most a third of what
/// remains.
const RETRY_AFTER_FRACTION: f64 = 0.24;

/// Additional fraction over which retries are spread.
const JITTER_FRACTION: f64 = 0.08;

/// Detects whether a group is down, by the responses of its endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageDetector {
    consecutive_refusals: u32,
    since: Option<Duration>,
    probe_at: Duration,
}

impl OutageDetector {
    /// Records that an endpoint refused a call, which has not run. Returns whether an outage begins.
    pub fn on_refusal(&mut self, now: Duration) -> bool {
        self.consecutive_refusals += 1;
        let begins = self.consecutive_refusals >= MIN_CONSECUTIVE_REFUSALS && self.since.is_none();
        if begins {
            self.begin(now);
        }
        begins
    }

    /// Begins an outage that was detected in another way than by refusals.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.since = Some(now);
        self.probe_at = now + PROBE_PERIOD;
    }

    /// Records that an endpoint answered, which ends an outage.
    pub fn on_response(&mut self) {
        *self = OutageDetector::default();
    }

    /// Whether a call may be sent. In an outage only one probe at a time is.
    pub fn may_send(&self, now: Duration) -> bool {
        self.since.is_none() || now >= self.probe_at
    }

    /// Records that a call is sent. In an outage, returns when the next one may be.
    pub fn on_sent(&mut self, now: Duration) -> Option<Duration> {
        self.since?;
        self.probe_at = now + PROBE_PERIOD;
        Some(self.probe_at)
    }

    /// When the current outage began.
    pub fn since(&self) -> Option<Duration> {
        self.since
    }

    /// When the next call may be sent in an outage.
    pub fn probe_at(&self) -> Duration {
        self.probe_at
    }
}

/// How long a caller that has met an outage should wait before it retries. A jitter from 0 to 1
/// spreads the retries of several callers.
pub fn outage_retry_after(time_left: Duration, jitter: f64) -> Duration {
    time_left.mul_f64(RETRY_AFTER_FRACTION + JITTER_FRACTION * jitter.clamp(0.0, 1.0))
}
