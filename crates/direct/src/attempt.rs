//! Sends a single attempt of a call to an endpoint and reads its response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use lynxmount_core::{
    CallIdentity, CallPhase,
    adapter::{AttemptContext, Dialect, ResponseKind, ResponseMetadata},
};
use lynxmount_link::{Connection, ResponseBody};
use lynxmount_policy::CallOutcome;
use lynxmount_resources::{BufferedBody, ReadError, TrackedConnection, read_body};

use crate::{
    endpoint::{Permit, Silence},
    reply::ReplyBody,
    response_head::{HeadError, wait_for_head},
};

/// Minimum time for an attempt; no engine reads a prompt in less.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(100);

/// Largest response body. An endpoint in trouble may send bytes without end.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Opens a replacement for a running attempt, outside of a group.
pub(crate) type OpenReplacement<'a> =
    dyn Fn(Option<Arc<str>>) -> BoxFuture<'a, Option<OpenAttempt>> + Send + Sync + 'a;

/// The part of an attempt that does not depend on its endpoint.
pub(crate) struct AttemptRequest<'a> {
    pub(crate) method: &'a Method,
    pub(crate) uri: &'a Uri,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: &'a BufferedBody,
    /// The caller's request id.
    pub(crate) id: Option<&'a str>,
    pub(crate) call: &'a CallIdentity,
    /// Whether the call may run more than once.
    pub(crate) is_retryable: bool,
    pub(crate) is_stream: bool,
    /// When a call that is not a stream may be replaced, so that there is time for the retry.
    pub(crate) replaceable_at: Option<Instant>,
    /// Opens the attempt that replaces this one, outside of a group that has stalled.
    pub(crate) open_replacement: &'a OpenReplacement<'a>,
    /// When the caller must get a response if the endpoint is silent until then.
    pub(crate) overdue_at: Option<Instant>,
    /// When the caller must get a response even if the endpoint responds to other calls.
    pub(crate) final_response_at: Option<Instant>,
}

/// The head of a response, and the connection on which its body arrives.
pub(crate) struct ResponseHead {
    pub(crate) permit: Permit,
    pub(crate) connection: Connection,
    pub(crate) call: CallIdentity,
    /// When the attempt was sent.
    pub(crate) sent_at: Instant,
    /// When the head arrived.
    pub(crate) last_received_at: Instant,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

/// A response whose body has been read completely.
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: BufferedBody,
}

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The response for the caller.
    Responded(Response<ReplyBody>),
    /// No usable response.
    Error(AttemptError),
    /// It was given up for another one, which may be sent at once.
    Replaced(AttemptError, OpenAttempt),
    /// A failure response of the endpoint; the call may be retried elsewhere.
    Failed(CompleteResponse),
}

/// Why an attempt ends without a response head.
pub(crate) enum AttemptFailure {
    /// There is no usable response.
    Error(AttemptError),
    /// It was given up for another one, which may be sent at once.
    Replaced(AttemptError, OpenAttempt),
}

impl From<AttemptFailure> for AttemptResult {
    fn from(failure: AttemptFailure) -> AttemptResult {
        match failure {
            AttemptFailure::Error(error) => AttemptResult::Error(error),
            AttemptFailure::Replaced(error, next) => AttemptResult::Replaced(error, next),
        }
    }
}

impl From<AttemptError> for AttemptFailure {
    fn from(error: AttemptError) -> AttemptFailure {
        AttemptFailure::Error(error)
    }
}

/// An attempt that may be sent at once.
pub(crate) struct OpenAttempt {
    pub(crate) permit: Permit,
    connection: Connection,
}

/// Why an attempt has no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// It was sent, and its response was lost or truncated.
    Lost,
    /// Nothing was sent, as there is no permit or no retry.
    NoPermit,
    /// The endpoint responded that it did not run it.
    NotRun,
    /// The call was quarantined after it was sent.
    Quarantined,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// It was sent, and its endpoint was silent until the caller's idle timeout was due.
    Overdue,
    /// Nothing was sent, as the endpoint requested a pause after it had been selected.
    Paused,
    /// It was sent, and its endpoint or group stalled.
    Stalled,
    /// It was sent, and there was no response before its deadline.
    TimedOut,
    /// Nothing was sent, as the caller's idle timeout is due.
    TooLate,
    /// Nothing was sent, as no connection could be opened.
    Unreachable,
}

/// Opens the connection for an attempt, and uses the token of the endpoint's backpressure.
///
/// Fails if nothing can be sent.
pub(crate) async fn open(
    mut permit: Permit,
    id: Option<&str>,
    may_reuse: bool,
    overdue_at: Option<Instant>,
) -> Result<OpenAttempt, AttemptError> {
    let connection = permit.endpoint.pool.connect(permit.endpoint.record.address, may_reuse).await;
    let connection = connection.map_err(|error| {
        log::info!(request = id, error:% = error; "attempt not sent");
        permit.record_outcome(CallOutcome::Unreachable);
        AttemptError::Unreachable
    })?;
    if overdue_at.is_some_and(|at| time_until(at) < MIN_ATTEMPT_TIME) {
        permit.endpoint.pool.release(connection, None);
        return Err(AttemptError::TooLate);
    }
    if !permit.use_token() {
        permit.endpoint.pool.release(connection, None);
        return Err(AttemptError::Paused);
    }
    Ok(OpenAttempt { permit, connection })
}

/// Sends an attempt and waits for the response head.
pub(crate) async fn send(
    dialect: &impl Dialect,
    opened: OpenAttempt,
    outgoing: &AttemptRequest<'_>,
    context: AttemptContext<'_>,
    deadline: Instant,
) -> Result<ResponseHead, AttemptFailure> {
    let OpenAttempt { permit, mut connection } = opened;
    let request = request(dialect, outgoing, &context).map_err(|error| {
        log::error!(request = outgoing.id, error:% = error; "attempt not sent");
        AttemptError::Unreachable
    })?;
    let sent_at = Instant::now();
    let mut pending = PendingHead { permit: &permit, outgoing, sent_at, is_done: false };
    let result = wait_for_head(&permit, &mut connection, request, outgoing, deadline).await;
    pending.is_done = true;
    drop(pending);
    let response = match result {
        Ok(response) => response,
        Err(HeadError::Disconnected(error)) => {
            let endpoint = &*permit.endpoint.record.id;
            log::info!(request = outgoing.id, endpoint, error:% = error; "attempt lost");
            permit.record_outcome(CallOutcome::Unreachable);
            permit.on_disconnect(outgoing.call, outgoing.pending_phase(), sent_at);
            return Err(AttemptError::Lost.into());
        }
        Err(HeadError::Replaced(why, replacement)) => {
            log::info!(request = outgoing.id, endpoint = &*permit.endpoint.record.id,
                why:? = why, waited_ms = sent_at.elapsed().as_millis() as u64;
                "attempt rerouted");
            permit.on_canceled(outgoing.call, outgoing.pending_phase());
            permit.record_outcome(CallOutcome::Unreachable);
            return Err(AttemptFailure::Replaced(why.into(), replacement));
        }
        Err(HeadError::Overdue) => {
            log::info!(request = outgoing.id, endpoint = &*permit.endpoint.record.id,
                waited_ms = sent_at.elapsed().as_millis() as u64; "attempt overdue");
            permit.on_canceled(outgoing.call, outgoing.pending_phase());
            permit.on_overdue();
            return Err(AttemptError::Overdue.into());
        }
        Err(HeadError::TimedOut) => {
            permit.on_canceled(outgoing.call, outgoing.pending_phase());
            permit.record_outcome(CallOutcome::Unreachable);
            return Err(AttemptError::TimedOut.into());
        }
    };
    Ok(classify(dialect, permit, connection, outgoing, response, sent_at)?)
}

impl AttemptRequest<'_> {
    /// The phase of an attempt whose response head has not arrived.
    fn pending_phase(&self) -> CallPhase {
        match self.is_stream {
            true => CallPhase::Waiting,
            false => CallPhase::Beginning,
        }
    }
}

/// An attempt whose response head has not arrived; records its cancellation.
struct PendingHead<'a, 'o> {
    permit: &'a Permit,
    outgoing: &'a AttemptRequest<'o>,
    sent_at: Instant,
    is_done: bool,
}

impl Drop for PendingHead<'_, '_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        self.permit.on_canceled(self.outgoing.call, self.outgoing.pending_phase());
        let Silence { endpoint_ms, group_ms, mean_gap_ms } = self.permit.silence();
        log::info!(request = self.outgoing.id, endpoint = &*self.permit.endpoint.record.id,
            waited_ms = self.sent_at.elapsed().as_millis() as u64, endpoint_silent_ms = endpoint_ms,
            group_silent_ms = group_ms, group_pause_ms = mean_gap_ms; "attempt canceled");
    }
}

fn request(
    dialect: &impl Dialect,
    outgoing: &AttemptRequest<'_>,
    context: &AttemptContext<'_>,
) -> lynxmount_core::Result<Request<BufferedBody>> {
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = dialect.attempt_headers(outgoing.headers, context)?;
    Ok(request)
}

/// Classifies a response and records what its head says about the endpoint.
///
/// Fails unless the endpoint has run the call.
fn classify(
    dialect: &impl Dialect,
    permit: Permit,
    connection: Connection,
    outgoing: &AttemptRequest<'_>,
    response: Response<ResponseBody>,
    sent_at: Instant,
) -> Result<ResponseHead, AttemptError> {
    let (parts, body) = response.into_parts();
    let head = Response::from_parts(parts, ());
    let metadata = dialect.read_response(outgoing.id, &head);
    if metadata.kind != ResponseKind::OtherEndpoint {
        permit.on_received();
    }
    if matches!(metadata.kind, ResponseKind::Ran | ResponseKind::NotRun) {
        permit.on_response(&metadata, head.status(), sent_at);
    }
    let endpoint = &*permit.endpoint.record.id;
    match metadata.kind {
        ResponseKind::Foreign => {
            log::warn!(request = outgoing.id, endpoint; "foreign response discarded");
            permit.record_outcome(CallOutcome::Failed);
            Err(AttemptError::Lost)
        }
        ResponseKind::NotRun => {
            permit.on_refusal();
            Err(AttemptError::NotRun)
        }
        ResponseKind::OtherEndpoint => {
            permit.on_replaced();
            permit.record_outcome(CallOutcome::Unreachable);
            Err(AttemptError::OtherEndpoint)
        }
        ResponseKind::Ran => {
            let (parts, ()) = head.into_parts();
            Ok(ResponseHead {
                permit,
                connection,
                call: outgoing.call.clone(),
                sent_at,
                last_received_at: Instant::now(),
                metadata,
                status: parts.status,
                headers: parts.headers,
                body,
            })
        }
    }
}

impl ResponseHead {
    /// Reads the complete body, which is held for the caller's connection.
    ///
    /// Fails if the body is truncated or too large, does not arrive before the deadline, or if there
    /// is no memory for it.
    pub(crate) async fn collect(
        self,
        deadline: Instant,
        caller: &Arc<TrackedConnection>,
    ) -> Result<CompleteResponse, AttemptError> {
        let ResponseHead {
            permit,
            connection,
            call,
            last_received_at,
            metadata,
            status,
            sent_at: _,
            headers,
            body,
        } = self;
        let reading = read_body(body, caller, MAX_BODY_BYTES);
        match tokio::time::timeout(time_until(deadline), reading).await {
            Ok(Ok(body)) => {
                let is_failure = status.is_server_error();
                permit.record_outcome(if is_failure {
                    CallOutcome::Failed
                } else {
                    CallOutcome::Answered
                });
                permit.endpoint.pool.release(connection, metadata.keep_alive);
                Ok(CompleteResponse { status, headers, body })
            }
            // The connection closes with the attempt, as the rest of the body may be endless.
            Ok(Err(ReadError::TooLarge)) => {
                permit.record_outcome(CallOutcome::Failed);
                permit.on_oversized_response();
                Err(AttemptError::Lost)
            }
            // The endpoint has answered; this process can't hold what it sends.
            Ok(Err(ReadError::Exhausted)) => {
                permit.record_outcome(CallOutcome::Answered);
                Err(AttemptError::Lost)
            }
            Ok(Err(ReadError::Broken)) => {
                permit.record_outcome(CallOutcome::Failed);
                permit.on_disconnect(&call, CallPhase::Beginning, last_received_at);
                Err(AttemptError::Lost)
            }
            Err(_) => {
                permit.record_outcome(CallOutcome::Unreachable);
                Err(AttemptError::TimedOut)
            }
        }
    }
}

/// Time until a moment; zero if it has passed.
pub(crate) fn time_until(moment: Instant) -> Duration {
    moment.saturating_duration_since(Instant::now())
}
