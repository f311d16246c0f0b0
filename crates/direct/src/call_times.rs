//! Time limits of a call: queueing, attempts, the caller's idle timeout and `Retry-After`.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use lynxmount_core::{CallKind, Mechanism, Mechanisms, adapter::Dialect};
use lynxmount_policy::outage_retry_after;
use rand::Rng;

use crate::{attempt::time_until, call::Call};

/// Fraction of the latency objective for which a call may wait for a permit.
pub(crate) const QUEUE_TIME_FRACTION: f64 = 0.5;

/// Fraction of the time left for which a call may wait for a group to open. Streams of the
/// reference deployments take at most a third of their callers' time, and longer while a group's
/// first map is in use.
const PARK_TIME_FRACTION: f64 = 0.5;

/// Fraction of the latency objective that is reserved for the first event of a call that waits for
/// a group to open.
const FIRST_EVENT_FRACTION: f64 = 0.5;

/// Fraction of the time left after which an attempt is replaced if a retry is granted, so that there
/// is time for the retry.
const ATTEMPT_TIME_FRACTION: f64 = 0.45;

/// `Retry-After` during an outage if return times are disabled.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

impl<D: Dialect> Call<D> {
    /// How much longer the call may wait for a permit.
    pub(crate) fn queue_time(&self) -> Duration {
        self.goal.mul_f64(QUEUE_TIME_FRACTION).saturating_sub(self.arrived_at.elapsed())
    }

    /// How long the call may wait for a group to open, so that its first event arrives before its
    /// caller's idle timeout.
    pub(crate) fn park_time(&self, time_left: Duration, waiting_since: Instant) -> Duration {
        let by_deadline = time_left.mul_f64(PARK_TIME_FRACTION);
        let idle_time = self.remaining_idle_time(waiting_since);
        let first_event = self.goal.mul_f64(FIRST_EVENT_FRACTION);
        idle_time.map_or(by_deadline, |time| by_deadline.min(time.saturating_sub(first_event)))
    }

    /// Time until the idle timeout of a caller that was last sent something at `sent_at`, less the
    /// time that a response takes; `None` if the caller waits until its deadline.
    pub(crate) fn remaining_idle_time(&self, sent_at: Instant) -> Option<Duration> {
        Some(self.idle_timeout?.remaining(sent_at.elapsed(), time_until(self.deadline)))
    }

    /// The latest time for a response to a caller that was last sent something at `sent_at`; `None`
    /// if the caller waits until its deadline.
    pub(crate) fn final_response_at(&self, sent_at: Instant) -> Option<Instant> {
        let idle_timeout = self.idle_timeout?;
        let left = idle_timeout.until_final_response(sent_at.elapsed(), time_until(self.deadline));
        Some(Instant::now() + left)
    }

    /// `Retry-After` for the caller during an outage.
    pub(crate) fn outage_retry_delay(&self) -> Duration {
        outage_retry_delay(&self.service.mechanisms, time_until(self.deadline))
    }

    /// Whether the call has attempts left after the next one.
    pub(crate) fn has_retry_left(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) + 1 < self.max_attempts
    }

    /// When the next attempt may be replaced, so that there is time for the retry; `None` if it
    /// may not be.
    pub(crate) fn replaceable_at(&self) -> Option<Instant> {
        let time = time_until(self.deadline).mul_f64(ATTEMPT_TIME_FRACTION);
        let is_replaceable = self.kind == CallKind::Idempotent && self.has_retry_left();
        is_replaceable.then(|| Instant::now() + time)
    }
}

/// `Retry-After` for a caller during an outage.
pub(crate) fn outage_retry_delay(mechanisms: &Mechanisms, time_left: Duration) -> Duration {
    match mechanisms.has(Mechanism::ReturnTimes) {
        true => outage_retry_after(time_left, rand::rng().random()),
        false => DEFAULT_RETRY_AFTER,
    }
}
