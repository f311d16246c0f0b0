//! Decides with which refusal a call ends: whether it may have run, and when its caller may return.

use lynxmount_core::adapter::Dialect;

use crate::{
    attempt::{AttemptError, time_until},
    attempt_history::AttemptHistory,
    call::Call,
    reply::Refusal,
    service::Unavailable,
};

impl<D: Dialect> Call<D> {
    /// The refusal of a call that got no permit.
    pub(crate) fn refusal_for(&self, unavailable: Unavailable, may_have_run: bool) -> Refusal {
        match unavailable {
            _ if may_have_run => Refusal::MayHaveRun,
            // A retry misses the latency objective in any case, so a time with free permits matters
            // more than an early one.
            Unavailable::Full { retry_after } => {
                let retry_after = retry_after.max(self.outage_retry_delay());
                Refusal::NotRun { retry_after }
            }
            // The actual end of the quarantine, so that a caller that is quarantined in error is
            // served then.
            Unavailable::Quarantined { retry_after } => Refusal::Quarantined { retry_after },
            Unavailable::Suspected { retry_after } | Unavailable::Paused { retry_after } => {
                Refusal::NotRun { retry_after }
            }
            Unavailable::NoEndpoint => Refusal::NotRun { retry_after: self.outage_retry_delay() },
        }
    }

    /// The refusal of a call whose last attempt failed.
    pub(crate) fn final_refusal(&self, history: &AttemptHistory, error: AttemptError) -> Refusal {
        let retry_after = self.outage_retry_delay();
        match error {
            AttemptError::Overdue => Refusal::Overdue { retry_after },
            _ if !history.may_have_run => Refusal::NotRun { retry_after },
            _ if time_until(self.deadline).is_zero() => Refusal::TimedOut,
            _ => Refusal::MayHaveRun,
        }
    }
}
