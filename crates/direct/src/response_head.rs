//! Waits for the head of an attempt's response, and decides when the attempt is replaced.

use std::time::{Duration, Instant};

use futures::{
    FutureExt,
    future::{BoxFuture, Fuse, FusedFuture},
};
use http::{Request, Response};
use lynxmount_link::{Connection, ResponseBody};
use lynxmount_policy::Stall;
use lynxmount_resources::BufferedBody;

use crate::{
    attempt::{AttemptError, AttemptRequest, OpenAttempt, time_until},
    endpoint::Permit,
    stream_read::STALL_CHECK_PERIOD,
};

/// Why there is no response head.
pub(crate) enum HeadError {
    Disconnected(hyper::Error),
    Overdue,
    Replaced(ReplaceCause, OpenAttempt),
    TimedOut,
}

/// Why an attempt that may still succeed is replaced if another one is granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplaceCause {
    /// The call would leave no time for a retry.
    Slow,
    Stalled(Stall),
}

impl From<ReplaceCause> for AttemptError {
    fn from(cause: ReplaceCause) -> AttemptError {
        match cause {
            ReplaceCause::Slow => AttemptError::TimedOut,
            ReplaceCause::Stalled(_) => AttemptError::Stalled,
        }
    }
}

/// Waits for the response head. A stream's head arrives with its first event.
///
/// Fails if the connection breaks, the deadline or the caller's idle timeout is due, another attempt
/// replaces this one, or none does and a slow call's endpoint is unresponsive.
pub(crate) async fn wait_for_head(
    permit: &Permit,
    connection: &mut Connection,
    request: Request<BufferedBody>,
    outgoing: &AttemptRequest<'_>,
    deadline: Instant,
) -> Result<Response<ResponseBody>, HeadError> {
    let overdue_at = outgoing.overdue_at.unwrap_or(deadline);
    let final_response_at = outgoing.final_response_at.unwrap_or(deadline);
    let until_overdue =
        || permit.until_overdue(time_until(overdue_at)).min(time_until(final_response_at));
    let sent_at = Instant::now();
    let mut sending = std::pin::pin!(connection.send(request));
    let replacement = Fuse::terminated();
    tokio::pin!(replacement);
    let mut cause = ReplaceCause::Slow;
    loop {
        let limit = time_until(deadline).min(until_overdue()).min(outgoing.next_check());
        let response = tokio::select! {
            biased;
            response = tokio::time::timeout(limit, &mut sending) => response,
            next = &mut replacement => match next {
                Some(next) => return Err(HeadError::Replaced(cause, next)),
                None if cause == ReplaceCause::Slow && permit.is_unresponsive(sent_at) => {
                    return Err(HeadError::TimedOut);
                }
                None => continue,
            },
        };
        if let Ok(result) = response {
            return result.map_err(HeadError::Disconnected);
        }
        if time_until(deadline).is_zero() {
            return Err(HeadError::TimedOut);
        }
        if until_overdue().is_zero() {
            return Err(HeadError::Overdue);
        }
        let detected = outgoing.replace_cause(permit, sent_at);
        if let Some(detected) = detected.filter(|_| replacement.is_terminated()) {
            cause = detected;
            replacement.set(outgoing.replacement(detected, permit).fuse());
        }
    }
}

impl AttemptRequest<'_> {
    /// Time until the next check whether the attempt should be replaced.
    fn next_check(&self) -> Duration {
        let until_replaceable = self.replaceable_at.map(time_until).unwrap_or_default();
        match until_replaceable.is_zero() {
            true => STALL_CHECK_PERIOD,
            false => STALL_CHECK_PERIOD.min(until_replaceable),
        }
    }

    /// Why an attempt without a response head should be replaced, if it should.
    fn replace_cause(&self, permit: &Permit, sent_at: Instant) -> Option<ReplaceCause> {
        // A call that is queued at a live endpoint gets no data either, so the endpoint's silence
        // towards all calls counts.
        let silence = sent_at.elapsed().min(permit.silent_for());
        match self.replaceable_at {
            _ if self.is_stream && self.is_retryable => {
                permit.stall(silence).map(ReplaceCause::Stalled)
            }
            Some(at) if time_until(at).is_zero() => Some(ReplaceCause::Slow),
            _ => None,
        }
    }

    fn replacement(
        &self,
        cause: ReplaceCause,
        permit: &Permit,
    ) -> BoxFuture<'_, Option<OpenAttempt>> {
        let is_group_stalled = cause == ReplaceCause::Stalled(Stall::Group);
        (self.open_replacement)(is_group_stalled.then(|| permit.shared_group()))
    }
}
