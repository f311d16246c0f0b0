//! How long a call waits, and when its caller comes back.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use lynxmount_core::{CallKind, Mechanism, Mechanisms, edge::Dialect};
use lynxmount_policy::outage_retry_after;
use rand::Rng;

use crate::{attempt::left, call::Call};

/// The part of the latency objective that a call may wait for a permit.
pub(crate) const WAIT_PART: f64 = 0.5;

/// The part of the time that is left for which a call may wait until a group opens:
/// streams of the reference deployments take a third of their callers' time at most,
/// and longer while a group's first map is in use.
const HOLD_PART: f64 = 0.5;

/// The part of the latency objective that is kept for the first event of a call that waits for a
/// group to open.
const FIRST_EVENT_PART: f64 = 0.5;

/// The part of the time that is left which one of several attempts may take,
/// so that there is time for another.
const ATTEMPT_PART: f64 = 0.45;

/// When callers come back if return times are switched off.
const SOON_RETURN: Duration = Duration::from_millis(300);

impl<D: Dialect> Call<D> {
    /// How long the call may wait for a permit: what is left of its part of the
    /// objective.
    pub(crate) fn wait_time(&self) -> Duration {
        self.goal.mul_f64(WAIT_PART).saturating_sub(self.arrived.elapsed())
    }

    /// How long the call may wait for a group to open, so that its first event comes while its
    /// caller waits.
    pub(crate) fn hold_time(&self, left: Duration, waiting_since: Instant) -> Duration {
        let by_deadline = left.mul_f64(HOLD_PART);
        let patience = self.remaining_patience(waiting_since);
        let first_event = self.goal.mul_f64(FIRST_EVENT_PART);
        patience.map_or(by_deadline, |left| by_deadline.min(left.saturating_sub(first_event)))
    }

    /// How much longer the caller waits that was last sent something at a moment, less what its
    /// answer takes; `None` if it waits until its deadline.
    pub(crate) fn remaining_patience(&self, sent_at: Instant) -> Option<Duration> {
        Some(self.patience?.remaining(sent_at.elapsed(), left(self.deadline)))
    }

    /// When the caller is answered at the latest that was last sent something at a moment; `None` if
    /// it waits until its deadline.
    pub(crate) fn last_answer_at(&self, sent_at: Instant) -> Option<Instant> {
        let patience = self.patience?;
        let left = patience.until_final_response(sent_at.elapsed(), left(self.deadline));
        Some(Instant::now() + left)
    }

    /// When the caller may come back that has met an outage.
    pub(crate) fn return_after(&self) -> Duration {
        return_after(&self.service.mechanisms, left(self.deadline))
    }

    /// Says whether another attempt may follow the next one.
    pub(crate) fn may_follow(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) + 1 < self.max_attempts
    }

    /// Until when the next attempt may take: not all of the time that is left if
    /// another may follow it.
    pub(crate) fn attempt_end(&self) -> Instant {
        match self.kind {
            CallKind::Idempotent if self.may_follow() => {
                Instant::now() + left(self.deadline).mul_f64(ATTEMPT_PART)
            }
            _ => self.deadline,
        }
    }
}

/// When a caller may come back that has met an outage.
pub(crate) fn return_after(mechanisms: &Mechanisms, time_left: Duration) -> Duration {
    match mechanisms.has(Mechanism::ReturnTimes) {
        true => outage_retry_after(time_left, rand::rng().random()),
        false => SOON_RETURN,
    }
}
