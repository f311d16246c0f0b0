//! Waits for the head of an attempt's response, and decides when the attempt is replaced.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_link::Connection;
use lynxmount_policy::Stall;

use crate::{
    attempt::{AttemptError, AttemptRequest, time_until},
    endpoint::Permit,
    stream::STALL_CHECK_PERIOD,
};

/// Why there is no response head.
pub(crate) enum HeadError {
    Disconnected(hyper::Error),
    Overdue,
    Replaced(ReplaceCause, Permit),
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
/// Fails if the connection breaks, the deadline or the caller's idle timeout is due, a slow call's
/// endpoint is silent to all calls, or another attempt replaces this one.
pub(crate) async fn wait_for_head(
    permit: &Permit,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    outgoing: &AttemptRequest<'_>,
    deadline: Instant,
) -> Result<Response<Incoming>, HeadError> {
    let overdue_at = outgoing.overdue_at.unwrap_or(deadline);
    let final_response_at = outgoing.final_response_at.unwrap_or(deadline);
    let until_overdue =
        || permit.until_overdue(time_until(overdue_at)).min(time_until(final_response_at));
    let sent_at = Instant::now();
    let mut sending = std::pin::pin!(connection.send(request));
    loop {
        let limit = time_until(deadline).min(until_overdue()).min(outgoing.next_check());
        if let Ok(result) = tokio::time::timeout(limit, &mut sending).await {
            return result.map_err(HeadError::Disconnected);
        }
        if time_until(deadline).is_zero() {
            return Err(HeadError::TimedOut);
        }
        if until_overdue().is_zero() {
            return Err(HeadError::Overdue);
        }
        let Some(cause) = outgoing.replace_cause(permit, sent_at) else { continue };
        if let Some(replacement) = outgoing.try_replace(cause, permit) {
            return Err(HeadError::Replaced(cause, replacement));
        }
        if cause == ReplaceCause::Slow && permit.silent_for() >= sent_at.elapsed() {
            return Err(HeadError::TimedOut);
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

    fn try_replace(&self, cause: ReplaceCause, permit: &Permit) -> Option<Permit> {
        match cause {
            ReplaceCause::Stalled(Stall::Group) => (self.try_replace)(Some(permit.group())),
            ReplaceCause::Slow | ReplaceCause::Stalled(Stall::Endpoint) => (self.try_replace)(None),
        }
    }
}
