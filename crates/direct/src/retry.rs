//! Decides whether a failed attempt of a call is retried.

use lynxmount_core::adapter::Dialect;

use crate::{
    attempt::{AttemptError, time_until},
    attempt_history::AttemptHistory,
    call::Call,
    service::ReservedRetry,
};

/// Maximum number of attempts that do not reach their endpoint because no connection can be opened
/// or another endpoint has the address. Such attempts have not run.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 3;

impl<D: Dialect> Call<D> {
    /// Whether a failed attempt may be retried. Reserves the retry in the service's retry budget; that
    /// of an attempt which was not sent is still reserved.
    pub(crate) fn try_retry(
        &self,
        history: &AttemptHistory,
        error: AttemptError,
        retry: &mut Option<ReservedRetry>,
    ) -> bool {
        let may_send = !history.may_have_run || self.kind.is_retryable();
        let is_allowed = match error {
            _ if time_until(self.deadline).is_zero() || !may_send => false,
            AttemptError::NoPermit
            | AttemptError::Overdue
            | AttemptError::Quarantined
            | AttemptError::TooLate => false,
            AttemptError::Paused | AttemptError::Unreachable => {
                return history.unreachable <= MAX_UNREACHABLE_ATTEMPTS;
            }
            AttemptError::OtherEndpoint => history.unreachable <= MAX_UNREACHABLE_ATTEMPTS,
            _ => self.has_attempts_left(),
        };
        *retry = is_allowed.then(|| self.service.reserve_retry()).flatten();
        retry.is_some()
    }
}
