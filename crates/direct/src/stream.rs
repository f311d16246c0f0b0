//! Relays a stream's events to its caller, and resumes a broken stream at another endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::stream::unfold;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use lynxmount_core::{CallPhase, Mechanism, adapter::Dialect};
use lynxmount_link::{Connection, ResponseBody};
use lynxmount_policy::CallOutcome;
use lynxmount_resources::Reservation;
use lynxmount_wire::SequencedEvents;

use crate::{
    attempt::{AttemptError, ResponseHead, time_until},
    call::Call,
    endpoint::{Permit, Silence},
    reply::ReplyBody,
    stream_read::{Read, StreamError},
    stream_replacement::PendingReplacement,
};

/// Relays a stream from an endpoint to its caller.
pub(crate) struct StreamRelay<D: Dialect> {
    pub(crate) call: Arc<Call<D>>,
    pub(crate) permit: Option<Permit>,
    /// Dropped and thus closed with the relay, unless the stream has ended.
    pub(crate) connection: Option<Connection>,
    /// The endpoint's idle timeout of the connection, if it announces one.
    pub(crate) keep_alive: Option<Duration>,
    pub(crate) body: ResponseBody,
    /// Status and headers of the response that the caller gets.
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) events: SequencedEvents,
    /// Events that `events` has returned, and that are relayed next.
    pub(crate) pending_events: Option<Bytes>,
    /// Another attempt that is being started while the endpoint is silent or slow.
    pub(crate) replacement: Option<PendingReplacement<D>>,
    /// Memory of an event that is not complete yet.
    pub(crate) event_memory: Option<Reservation>,
    pub(crate) last_event_at: Instant,
    /// When the caller was last sent events, or its call arrived.
    pub(crate) sent_at: Instant,
    /// When the current attempt was sent.
    pub(crate) attempt_sent_at: Instant,
    /// Whether the caller was sent events. It has a response then, and leaves by itself.
    pub(crate) has_begun: bool,
    /// Whether the current endpoint has sent events, so that the gap before the next one counts.
    pub(crate) has_events: bool,
    /// Whether the current silence of the endpoint was recorded as a stall.
    pub(crate) is_stalled: bool,
    /// Whether the current silence of the endpoint has lasted for the caller's idle timeout.
    pub(crate) is_overdue: bool,
    pub(crate) is_done: bool,
}

impl<D: Dialect> StreamRelay<D> {
    pub(crate) fn new(call: Arc<Call<D>>, head: ResponseHead) -> StreamRelay<D> {
        let events = SequencedEvents::resume_after(call.head.last_event);
        let sent_at = call.arrived_at;
        StreamRelay {
            call,
            permit: Some(head.permit),
            connection: Some(head.connection),
            keep_alive: head.metadata.keep_alive,
            body: head.body,
            status: head.status,
            headers: head.headers,
            events,
            pending_events: None,
            replacement: None,
            event_memory: None,
            last_event_at: Instant::now(),
            sent_at,
            attempt_sent_at: head.sent_at,
            has_begun: false,
            has_events: false,
            is_stalled: false,
            is_overdue: false,
            is_done: false,
        }
    }

    /// Waits for the first events. Until they arrive, the call can still be retried from its start.
    ///
    /// Fails if the stream breaks, or ends without an event.
    pub(crate) async fn first_events(&mut self) -> Result<Bytes, AttemptError> {
        loop {
            match self.read().await {
                Read::Events(events) => {
                    self.on_started();
                    return Ok(events);
                }
                Read::Replaced(cause, next) => {
                    self.on_canceled();
                    self.move_to(cause, next);
                }
                Read::Broken(error) => {
                    self.on_broken(error);
                    if !self.move_to_replacement().await {
                        return Err(self.fail(AttemptError::Lost));
                    }
                }
                Read::End => {
                    self.on_broken(StreamError::Disconnected);
                    if !self.move_to_replacement().await {
                        return Err(self.fail(AttemptError::Lost));
                    }
                }
                Read::Overdue => {
                    self.on_overdue();
                    return Err(self.fail(AttemptError::Overdue));
                }
                Read::TimedOut => {
                    self.record_outcome(CallOutcome::Unreachable);
                    return Err(self.fail(AttemptError::TimedOut));
                }
            }
        }
    }

    /// Ends a stream before its first event. It is logged as a failed attempt, not as a finished call.
    fn fail(&mut self, error: AttemptError) -> AttemptError {
        self.is_done = true;
        error
    }

    /// The head of the caller's response.
    pub(crate) fn response_head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.call.dialect.response_headers(&self.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }

    /// The body of the caller's response, starting with the first events.
    pub(crate) fn into_body(self, first: Bytes) -> ReplyBody {
        let frames = unfold((self, Some(first)), |(mut relay, first)| async move {
            let next = match first {
                Some(first) => Some(Ok(first)),
                None => relay.next().await,
            };
            next.map(|result| (result.map(Frame::data), (relay, None)))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.is_done {
            return None;
        }
        loop {
            self.leave_slow_endpoint();
            match self.read().await {
                Read::Replaced(cause, next) => {
                    self.on_canceled();
                    self.move_to(cause, next);
                }
                Read::Events(events) => return Some(Ok(events)),
                Read::End => {
                    self.finish("complete");
                    self.call.record_survival(self.attempt_sent_at);
                    self.record_outcome(CallOutcome::Answered);
                    self.release_connection();
                    return None;
                }
                // A stream that has begun is never overdue.
                Read::Overdue | Read::TimedOut => {
                    self.finish("timed out mid-stream");
                    return Some(Err(aborted("deadline exceeded")));
                }
                Read::Broken(error) => {
                    self.on_broken(error);
                    if !self.resume(error.as_str()).await {
                        self.finish("truncated mid-stream");
                        return Some(Err(aborted(error.as_str())));
                    }
                }
            }
        }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.is_done = true;
        if outcome != "complete" {
            self.log_truncated(outcome);
        }
        self.call.log_finished(outcome, self.events.last_id());
    }

    /// Logs why a stream that has begun ends early, and how long its endpoint was silent.
    fn log_truncated(&self, why: &str) {
        self.call.metrics.count("streams.truncated");
        let silent_ms = self.last_event_at.elapsed().as_millis() as u64;
        let endpoint = self.permit.as_ref().map(|permit| &*permit.endpoint.record.id);
        log::info!(request = self.call.head.id.as_deref(), why, endpoint, silent_ms,
            left_ms = time_until(self.call.deadline).as_millis() as u64; "stream truncated");
    }

    /// Returns the connection of a completed stream to the pool. Without that, each stream opened a
    /// connection: 3,900 in 44 s for 3,800 calls.
    fn release_connection(&mut self) {
        if !self.call.service.mechanisms.has(Mechanism::ConnectionReuse) {
            return;
        }
        if let (Some(permit), Some(connection)) = (&self.permit, self.connection.take()) {
            permit.endpoint.pool.release(connection, self.keep_alive);
        }
    }

    /// Records a success at the first events already, so that a paused group resumes at once.
    fn on_started(&self) {
        self.record_outcome(CallOutcome::Answered);
    }

    fn on_broken(&self, error: StreamError) {
        self.record_outcome(CallOutcome::Failed);
        let is_closed = matches!(error, StreamError::Disconnected | StreamError::Truncated);
        if let Some(permit) = self.permit.as_ref().filter(|_| is_closed) {
            permit.on_disconnect(&self.call.identity, self.phase(), self.last_event_at);
        }
    }

    fn on_overdue(&self) {
        self.on_canceled();
        if let Some(permit) = &self.permit {
            permit.on_overdue();
        }
    }

    pub(crate) fn on_canceled(&self) {
        if let Some(permit) = &self.permit {
            permit.on_canceled(&self.call.identity, self.phase());
        }
    }

    pub(crate) fn phase(&self) -> CallPhase {
        match self.has_events {
            true => CallPhase::Running,
            false => CallPhase::Beginning,
        }
    }

    pub(crate) fn record_outcome(&self, outcome: CallOutcome) {
        if let Some(permit) = &self.permit {
            permit.record_outcome(outcome);
        }
    }
}

impl<D: Dialect> Drop for StreamRelay<D> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        if let Some(permit) = &self.permit {
            permit.on_canceled(&self.call.identity, self.phase());
            let Silence { endpoint_ms, group_ms, mean_gap_ms } = permit.silence();
            log::info!(request = self.call.head.id.as_deref(),
                endpoint = &*permit.endpoint.record.id,
                waited_ms = self.last_event_at.elapsed().as_millis() as u64,
                endpoint_silent_ms = endpoint_ms, group_silent_ms = group_ms,
                group_pause_ms = mean_gap_ms; "stream canceled");
        }
        self.call.log_finished("canceled by caller", self.events.last_id());
    }
}

fn aborted(why: &'static str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::ConnectionAborted, why)
}
