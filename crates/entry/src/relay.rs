//! Relays answers to callers, either buffered until they are complete or as a stream.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use lynxmount_core::{Error, Reason, RequestId, Step, TeamId, indeterminate};
use lynxmount_node::{Counter, InFlightGuard, NodeHandle};
use lynxmount_policy::{AttemptFailure, TeamLimits};
use lynxmount_wire::{Header, RefusalReason, is_event_stream, is_relayed};
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::{Attempt, AttemptEvent},
    deadline::Deadline,
    reply::{Refusal, ReplyBody},
};

/// The result of an attempt, before the caller gets its first byte.
pub(crate) enum CollectedAnswer {
    /// The attempt ended without a complete answer.
    Failed(AttemptFailure),
    /// The endpoint will never run the attempt.
    Refused(RefusalReason),
    /// An answer that is relayed before it is complete.
    Streaming(Box<StreamingAnswer>),
    /// The complete answer.
    Complete { status: u16, headers: Vec<Header>, body: Bytes },
}

/// An answer that is relayed while it arrives.
pub(crate) struct StreamingAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    buffered: Bytes,
    attempt: Attempt,
}

/// Buffers the answer until it is complete, or until it is relayed because it is too large or an
/// event stream.
pub(crate) async fn collect_answer(mut attempt: Attempt, deadline: Deadline) -> CollectedAnswer {
    let (status, headers) = match attempt.next(deadline).await {
        AttemptEvent::Head { status, headers } => (status, headers),
        AttemptEvent::Failed(failure) => return CollectedAnswer::Failed(failure),
        AttemptEvent::Refused(reason) => return CollectedAnswer::Refused(reason),
        // An answer must begin with its head.
        AttemptEvent::Data(_) | AttemptEvent::Complete => {
            return CollectedAnswer::Failed(AttemptFailure::Failed);
        }
    };
    let mut buffered = BytesMut::new();
    loop {
        match attempt.next(deadline).await {
            AttemptEvent::Data(chunks) => {
                chunks.iter().for_each(|chunk| buffered.extend_from_slice(chunk))
            }
            AttemptEvent::Complete => {
                return CollectedAnswer::Complete { status, headers, body: buffered.freeze() };
            }
            AttemptEvent::Failed(failure) => return CollectedAnswer::Failed(failure),
            AttemptEvent::Head { .. } | AttemptEvent::Refused(_) => {
                return CollectedAnswer::Failed(AttemptFailure::Failed);
            }
        }
        if is_relayed(&headers, buffered.len()) {
            let buffered = buffered.freeze();
            let answer = StreamingAnswer { status, headers, buffered, attempt };
            return CollectedAnswer::Streaming(Box::new(answer));
        }
    }
}

/// Counters of requests in progress, decremented when the request ends.
pub(crate) struct RequestGuards {
    pub(crate) _running: InFlightGuard,
    pub(crate) _team: TeamGuard,
}

/// Counts a request against its team's concurrency limit until it is dropped.
pub(crate) struct TeamGuard {
    pub(crate) team_limits: Arc<Mutex<TeamLimits>>,
    pub(crate) team: TeamId,
}

impl Drop for TeamGuard {
    fn drop(&mut self) {
        self.team_limits.lock().release(&self.team);
    }
}

/// The request's data that a stream needs.
pub(crate) struct StreamContext {
    pub(crate) request: RequestId,
    pub(crate) deadline: Deadline,
    pub(crate) node: NodeHandle,
    pub(crate) cut_off: CancellationToken,
    /// Released when the stream ends.
    pub(crate) _guards: RequestGuards,
}

enum StreamPhase {
    /// The error event was sent; the connection is closed next.
    Aborting,
    /// These bytes were buffered and are sent first.
    Buffered(Bytes),
    /// The stream has ended.
    Ended,
    /// The rest is relayed as it arrives.
    Relaying,
}

struct StreamState {
    phase: StreamPhase,
    attempt: Attempt,
    is_event_stream: bool,
    context: StreamContext,
}

/// Counts the request as abandoned if the caller disconnects before the end.
impl Drop for StreamState {
    fn drop(&mut self) {
        if !matches!(self.phase, StreamPhase::Ended) {
            self.context.node.counters().count(Counter::RequestsAbandoned);
        }
    }
}

impl StreamingAnswer {
    /// Converts the answer into the body of the response.
    ///
    /// If the answer is truncated, the body ends with an error, which closes the connection, so
    /// that the caller does not take the answer for complete. An event stream gets an error event
    /// before that.
    pub(crate) fn into_body(self, context: StreamContext) -> ReplyBody {
        let state = StreamState {
            phase: StreamPhase::Buffered(self.buffered),
            is_event_stream: is_event_stream(&self.headers),
            attempt: self.attempt,
            context,
        };
        StreamBody::new(stream::unfold(state, next_frame)).boxed_unsync()
    }
}

/// The next frame of the body and the state after it; `None` at the end.
type NextFrame = Option<(Result<Frame<Bytes>, Error>, StreamState)>;

async fn next_frame(mut state: StreamState) -> NextFrame {
    match std::mem::replace(&mut state.phase, StreamPhase::Relaying) {
        StreamPhase::Buffered(bytes) => Some((Ok(Frame::data(bytes)), state)),
        StreamPhase::Ended => {
            state.phase = StreamPhase::Ended;
            None
        }
        StreamPhase::Aborting => {
            // Yields so that the connection writes the error event before it is closed.
            tokio::task::yield_now().await;
            state.phase = StreamPhase::Ended;
            Some((Err(truncation_error(&state)), state))
        }
        StreamPhase::Relaying => match next_event(&mut state).await {
            AttemptEvent::Data(chunks) => Some((Ok(Frame::data(concat(chunks))), state)),
            AttemptEvent::Complete => {
                state.phase = StreamPhase::Ended;
                state.context.node.counters().count(Counter::RequestsComplete);
                None
            }
            AttemptEvent::Failed(_) | AttemptEvent::Head { .. } | AttemptEvent::Refused(_) => {
                Some(abort_stream(state))
            }
        },
    }
}

/// The next event of the attempt; a failure if the call is cut off.
async fn next_event(state: &mut StreamState) -> AttemptEvent {
    tokio::select! {
        biased;
        event = state.attempt.next(state.context.deadline) => event,
        () = state.context.cut_off.cancelled() => AttemptEvent::Failed(AttemptFailure::TimedOut),
    }
}

fn abort_stream(mut state: StreamState) -> (Result<Frame<Bytes>, Error>, StreamState) {
    state.context.node.counters().count(Counter::RequestsUnknown);
    if !state.is_event_stream {
        state.phase = StreamPhase::Ended;
        return (Err(truncation_error(&state)), state);
    }
    let refusal = Refusal::unknown(Reason::LostAttempt, "the answer was cut off");
    let problem =
        serde_json::to_string(&refusal.problem(state.context.request)).unwrap_or_default();
    let event = format!("event: error\ndata: {problem}\n\n");
    state.phase = StreamPhase::Aborting;
    (Ok(Frame::data(event.into())), state)
}

fn truncation_error(state: &StreamState) -> Error {
    indeterminate(Step::ReadResponse, state.attempt.endpoint(), "the answer was cut off")
}

fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    }
}
