//! Passing an answer on to the caller, whole or as a stream.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use lynxmount_core::{Error, Reason, RequestId, Step, TeamId, indeterminate};
use lynxmount_node::{Counter, InFlightGuard, NodeHandle};
use lynxmount_policy::{AttemptFailure, TeamLimits};
use lynxmount_wire::{Header, RefusalReason};
use parking_lot::Mutex;

use crate::{
    attempt::{Attempt, Next},
    deadline::Deadline,
    reply::{Refusal, ReplyBody},
};

/// The largest answer that is held back until it is whole. Until then the
/// request can still be tried elsewhere.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// The media type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What has come of an attempt before the caller gets its first byte.
pub(crate) enum Collected {
    /// No answer.
    Ended(AttemptFailure),
    /// The endpoint will never run it.
    Refused(RefusalReason),
    /// An answer whose end is not there yet.
    Streaming(Box<StreamingAnswer>),
    /// The whole answer.
    Whole { status: u16, headers: Vec<Header>, body: Bytes },
}

/// An answer that is passed on while it arrives.
pub(crate) struct StreamingAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    first: Bytes,
    attempt: Attempt,
}

/// Waits until the answer is whole, or too large or too lively to hold back.
pub(crate) async fn collect(mut attempt: Attempt, deadline: Deadline) -> Collected {
    let (status, headers) = match attempt.next(deadline).await {
        Next::Head { status, headers } => (status, headers),
        Next::Ended(end) => return Collected::Ended(end),
        Next::Refused(reason) => return Collected::Refused(reason),
        // An answer begins with its head.
        Next::Data(_) | Next::Whole => return Collected::Ended(AttemptFailure::Failed),
    };
    let max_held_bytes = if is_event_stream(&headers) { 0 } else { MAX_HELD_BYTES };
    let mut held = BytesMut::new();
    loop {
        match attempt.next(deadline).await {
            Next::Data(pieces) => pieces.iter().for_each(|piece| held.extend_from_slice(piece)),
            Next::Whole => return Collected::Whole { status, headers, body: held.freeze() },
            Next::Ended(end) => return Collected::Ended(end),
            Next::Head { .. } | Next::Refused(_) => {
                return Collected::Ended(AttemptFailure::Failed);
            }
        }
        if held.len() > max_held_bytes {
            let first = held.freeze();
            let answer = StreamingAnswer { status, headers, first, attempt };
            return Collected::Streaming(Box::new(answer));
        }
    }
}

/// Counts that last as long as the request.
pub(crate) struct Guards {
    pub(crate) _running: InFlightGuard,
    pub(crate) _team: TeamGuard,
}

/// Counts a request as its team's until it is dropped.
pub(crate) struct TeamGuard {
    pub(crate) limits: Arc<Mutex<TeamLimits>>,
    pub(crate) team: TeamId,
}

impl Drop for TeamGuard {
    fn drop(&mut self) {
        self.limits.lock().release(&self.team);
    }
}

/// What a stream needs besides the attempt.
pub(crate) struct StreamContext {
    pub(crate) request: RequestId,
    pub(crate) deadline: Deadline,
    pub(crate) node: NodeHandle,
    /// Dropped when the stream ends.
    pub(crate) _guards: Guards,
}

enum Phase {
    Cut,
    First(Bytes),
    Over,
    Rest,
}

struct StreamState {
    phase: Phase,
    attempt: Attempt,
    is_event_stream: bool,
    context: StreamContext,
}

/// Counts a stream whose caller goes away.
impl Drop for StreamState {
    fn drop(&mut self) {
        if !matches!(self.phase, Phase::Over) {
            self.context.node.counters().count(Counter::RequestsAbandoned);
        }
    }
}

impl StreamingAnswer {
    /// Makes the body by which the caller gets the answer.
    ///
    /// If the answer is cut off, the body ends with an error, so that the
    /// connection is closed and nobody takes the answer for whole; a stream
    /// of events tells the problem first.
    pub(crate) fn into_body(self, context: StreamContext) -> ReplyBody {
        let state = StreamState {
            phase: Phase::First(self.first),
            is_event_stream: is_event_stream(&self.headers),
            attempt: self.attempt,
            context,
        };
        StreamBody::new(stream::unfold(state, next_frame)).boxed_unsync()
    }
}

/// A piece of the body and the state after it; `None` at the end.
type NextFrame = Option<(Result<Frame<Bytes>, Error>, StreamState)>;

async fn next_frame(mut state: StreamState) -> NextFrame {
    match std::mem::replace(&mut state.phase, Phase::Rest) {
        Phase::First(bytes) => Some((Ok(Frame::data(bytes)), state)),
        Phase::Over => {
            state.phase = Phase::Over;
            None
        }
        Phase::Cut => {
            // Lets the connection write the event before it is closed.
            tokio::task::yield_now().await;
            state.phase = Phase::Over;
            Some((Err(cut_off(&state)), state))
        }
        Phase::Rest => match state.attempt.next(state.context.deadline).await {
            Next::Data(pieces) => Some((Ok(Frame::data(concat(pieces))), state)),
            Next::Whole => {
                state.phase = Phase::Over;
                state.context.node.counters().count(Counter::RequestsComplete);
                None
            }
            Next::Ended(_) | Next::Head { .. } | Next::Refused(_) => Some(end_early(state)),
        },
    }
}

fn end_early(mut state: StreamState) -> (Result<Frame<Bytes>, Error>, StreamState) {
    state.context.node.counters().count(Counter::RequestsUnknown);
    if !state.is_event_stream {
        state.phase = Phase::Over;
        return (Err(cut_off(&state)), state);
    }
    let refusal = Refusal::unknown(Reason::LostAttempt, "the answer was cut off");
    let problem =
        serde_json::to_string(&refusal.problem(state.context.request)).unwrap_or_default();
    let event = format!("event: error\ndata: {problem}\n\n");
    state.phase = Phase::Cut;
    (Ok(Frame::data(event.into())), state)
}

fn cut_off(state: &StreamState) -> Error {
    indeterminate(Step::ReadAnswer, state.attempt.endpoint(), "the answer was cut off")
}

fn concat(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        1 => pieces.remove(0),
        _ => pieces.concat().into(),
    }
}

fn is_event_stream(headers: &[Header]) -> bool {
    headers
        .iter()
        .filter(|header| header.name == CONTENT_TYPE.as_str())
        .any(|header| header.value.starts_with(EVENT_STREAM))
}
