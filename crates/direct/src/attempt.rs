//! One attempt at one endpoint.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lynxmount_core::{
    CallFingerprint, CallPhase,
    edge::{AnswerHead, AnswerKind, Dialect, Forward},
};
use lynxmount_link::Connection;
use lynxmount_policy::{CallOutcome, Stall};

use crate::{
    endpoint::{Permit, Silence},
    reply::ReplyBody,
    stream::SILENCE_CHECK,
};

/// The least time that an attempt is given; an engine reads no prompt in less.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(100);

/// What is sent to an endpoint, whatever endpoint it is.
pub(crate) struct Outgoing<'a> {
    pub(crate) method: &'a Method,
    pub(crate) uri: &'a Uri,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: &'a Bytes,
    /// The caller's id of the request.
    pub(crate) id: Option<&'a str>,
    pub(crate) call: CallFingerprint,
    pub(crate) may_repeat: bool,
    pub(crate) is_stream: bool,
    /// Whether another attempt may follow this one. Silence is no reason to end one
    /// that none may follow.
    pub(crate) may_follow: bool,
    /// When the caller is answered if its endpoint is silent until then.
    pub(crate) overdue_at: Option<Instant>,
    /// When the caller is answered although its endpoint lives.
    pub(crate) last_answer_at: Option<Instant>,
}

/// The head of an answer, with the connection that the body comes on.
pub(crate) struct ResponseHead {
    pub(crate) permit: Permit,
    pub(crate) connection: Connection,
    pub(crate) call: CallFingerprint,
    /// When the head came.
    pub(crate) heard_at: Instant,
    pub(crate) told: AnswerHead,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
}

/// An answer that is there as a whole.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What an attempt has come to.
pub(crate) enum AttemptResult {
    /// The caller's answer.
    Answered(Response<ReplyBody>),
    /// No answer.
    Error(AttemptError),
    /// The endpoint's own failure of a call that may be tried elsewhere.
    Failed(WholeAnswer),
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// It was sent, and its answer is lost or not whole.
    Lost,
    /// The endpoint said that it did not run it.
    NotRun,
    /// The call is held back since it was sent.
    HeldBack,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// It was sent, and its endpoint was silent until the caller had to be answered.
    Overdue,
    /// Nothing was sent, as its endpoint has asked for a pause since it was chosen.
    Paused,
    /// It was sent, and its endpoint or group stalled.
    Stalled,
    /// It was sent, and there was no answer in time.
    TimedOut,
    /// Nothing was sent, as its caller has to be answered.
    TooLate,
    /// Nothing was sent.
    Unreachable,
}

/// Sends an attempt and waits for the head of its answer.
pub(crate) async fn open(
    dialect: &impl Dialect,
    mut permit: Permit,
    outgoing: &Outgoing<'_>,
    forward: Forward<'_>,
    until: Instant,
) -> Result<ResponseHead, AttemptError> {
    let address = permit.endpoint.record.address;
    let may_reuse = outgoing.may_repeat && (!outgoing.is_stream || permit.endpoint.is_heard());
    let connected = permit.endpoint.pool.connect(address, may_reuse).await;
    let mut connection = connected.map_err(|error| {
        log::info!(request = outgoing.id, error:% = error; "attempt not sent");
        permit.note_end(CallOutcome::Unreachable);
        AttemptError::Unreachable
    })?;
    if outgoing.overdue_at.is_some_and(|at| left(at) < MIN_ATTEMPT_TIME) {
        permit.endpoint.pool.release(connection, None);
        return Err(AttemptError::TooLate);
    }
    if !permit.use_turn() {
        permit.endpoint.pool.release(connection, None);
        return Err(AttemptError::Paused);
    }
    let request = request(dialect, outgoing, &forward);
    let sent_at = Instant::now();
    let mut pending = PendingHead { permit: &permit, outgoing, sent_at, is_over: false };
    let answered = response_head(&permit, &mut connection, request, outgoing, until).await;
    pending.is_over = true;
    drop(pending);
    let response = match answered {
        Ok(response) => response,
        Err(NoHead::Broken(error)) => {
            let endpoint = &*permit.endpoint.record.id;
            log::info!(request = outgoing.id, endpoint, error:% = error; "attempt lost");
            permit.note_end(CallOutcome::Unreachable);
            permit.on_broken(outgoing.call, outgoing.pending_phase(), sent_at);
            return Err(AttemptError::Lost);
        }
        Err(NoHead::Stalled(stall)) => {
            log::info!(request = outgoing.id, endpoint = &*permit.endpoint.record.id, stall:? = stall,
                waited_ms = sent_at.elapsed().as_millis() as u64; "attempt rerouted");
            permit.on_canceled(outgoing.call, outgoing.pending_phase());
            permit.note_end(CallOutcome::Unreachable);
            return Err(AttemptError::Stalled);
        }
        Err(NoHead::Overdue) => {
            log::info!(request = outgoing.id, endpoint = &*permit.endpoint.record.id,
                waited_ms = sent_at.elapsed().as_millis() as u64; "attempt overdue");
            permit.on_canceled(outgoing.call, outgoing.pending_phase());
            permit.on_overdue();
            return Err(AttemptError::Overdue);
        }
        Err(NoHead::TimedOut) => {
            permit.on_canceled(outgoing.call, outgoing.pending_phase());
            permit.note_end(CallOutcome::Unreachable);
            return Err(AttemptError::TimedOut);
        }
    };
    judge(dialect, permit, connection, outgoing, response, sent_at)
}

impl Outgoing<'_> {
    /// The phase of an attempt whose response head has not arrived.
    fn pending_phase(&self) -> CallPhase {
        match self.is_stream {
            true => CallPhase::Waiting,
            false => CallPhase::Beginning,
        }
    }
}

/// An attempt whose response head has not arrived; records its cancellation.
struct PendingHead<'a> {
    permit: &'a Permit,
    outgoing: &'a Outgoing<'a>,
    sent_at: Instant,
    is_over: bool,
}

impl Drop for PendingHead<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.permit.on_canceled(self.outgoing.call, self.outgoing.pending_phase());
        let Silence { endpoint_ms, group_ms, pause_ms } = self.permit.silence();
        log::info!(request = self.outgoing.id, endpoint = &*self.permit.endpoint.record.id,
            waited_ms = self.sent_at.elapsed().as_millis() as u64, endpoint_silent_ms = endpoint_ms,
            group_silent_ms = group_ms, group_pause_ms = pause_ms; "attempt canceled");
    }
}

/// Why there is no response head.
enum NoHead {
    Broken(hyper::Error),
    Overdue,
    Stalled(Stall),
    TimedOut,
}

/// Waits for the response head. A stream's comes with its first event.
///
/// Fails if the connection breaks, the time is up, the caller has to be answered, or a call that may
/// be rerouted meets a stall.
async fn response_head(
    permit: &Permit,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    outgoing: &Outgoing<'_>,
    until: Instant,
) -> Result<Response<Incoming>, NoHead> {
    let may_reroute = outgoing.is_stream && outgoing.may_repeat && outgoing.may_follow;
    let overdue_at = outgoing.overdue_at.unwrap_or(until);
    let last_answer_at = outgoing.last_answer_at.unwrap_or(until);
    let until_overdue = || permit.until_overdue(left(overdue_at)).min(left(last_answer_at));
    let sent_at = Instant::now();
    let mut sending = std::pin::pin!(connection.send(request));
    loop {
        let limit = left(until).min(until_overdue()).min(SILENCE_CHECK);
        if let Ok(answered) = tokio::time::timeout(limit, &mut sending).await {
            return answered.map_err(NoHead::Broken);
        }
        if left(until).is_zero() {
            return Err(NoHead::TimedOut);
        }
        if until_overdue().is_zero() {
            return Err(NoHead::Overdue);
        }
        // A queued call of a live endpoint waits in silence, too.
        let silence = sent_at.elapsed().min(permit.silent_for());
        if may_reroute && let Some(stall) = permit.stall(silence) {
            return Err(NoHead::Stalled(stall));
        }
    }
}

fn request(
    dialect: &impl Dialect,
    outgoing: &Outgoing<'_>,
    forward: &Forward<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = dialect.write_attempt(outgoing.headers, forward);
    request
}

fn judge(
    dialect: &impl Dialect,
    permit: Permit,
    connection: Connection,
    outgoing: &Outgoing<'_>,
    response: Response<Incoming>,
    sent_at: Instant,
) -> Result<ResponseHead, AttemptError> {
    let (parts, body) = response.into_parts();
    let head = Response::from_parts(parts, ());
    let told = dialect.read_answer(outgoing.id, &head);
    if told.kind != AnswerKind::OtherEndpoint {
        permit.on_heard();
    }
    if matches!(told.kind, AnswerKind::Ran | AnswerKind::NotRun) {
        permit.on_answer(&told, head.status(), sent_at);
    }
    let endpoint = &*permit.endpoint.record.id;
    match told.kind {
        AnswerKind::Foreign => {
            log::warn!(request = outgoing.id, endpoint; "foreign answer discarded");
            permit.note_end(CallOutcome::Failed);
            Err(AttemptError::Lost)
        }
        AnswerKind::NotRun => {
            permit.note_refusal();
            Err(AttemptError::NotRun)
        }
        AnswerKind::OtherEndpoint => {
            permit.on_replaced();
            permit.note_end(CallOutcome::Unreachable);
            Err(AttemptError::OtherEndpoint)
        }
        AnswerKind::Ran => {
            let (parts, ()) = head.into_parts();
            Ok(ResponseHead {
                permit,
                connection,
                call: outgoing.call,
                heard_at: Instant::now(),
                told,
                status: parts.status,
                headers: parts.headers,
                body,
            })
        }
    }
}

impl ResponseHead {
    /// Reads the whole body.
    ///
    /// Fails if it ends early or does not come in time.
    pub(crate) async fn whole(self, until: Instant) -> Result<WholeAnswer, AttemptError> {
        let ResponseHead { permit, connection, call, heard_at, told, status, headers, body } = self;
        let limit = until.saturating_duration_since(Instant::now());
        match tokio::time::timeout(limit, body.collect()).await {
            Ok(Ok(collected)) => {
                let is_failure = status.is_server_error();
                permit.note_end(if is_failure {
                    CallOutcome::Failed
                } else {
                    CallOutcome::Answered
                });
                permit.endpoint.pool.release(connection, told.keep_alive);
                Ok(WholeAnswer { status, headers, body: collected.to_bytes() })
            }
            Ok(Err(_)) => {
                permit.note_end(CallOutcome::Failed);
                permit.on_broken(call, CallPhase::Beginning, heard_at);
                Err(AttemptError::Lost)
            }
            Err(_) => {
                permit.note_end(CallOutcome::Unreachable);
                Err(AttemptError::TimedOut)
            }
        }
    }
}

/// How long is left until a moment.
pub(crate) fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
