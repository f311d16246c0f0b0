//! Passing a stream's events on as they come, and resuming it where it broke.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use lynxmount_core::{CallPhase, Mechanism, edge::Dialect};
use lynxmount_link::Connection;
use lynxmount_policy::{CallOutcome, Stall};
use lynxmount_wire::{Numbered, NumberedEvents};

use crate::{
    attempt::{AttemptError, ResponseHead, left},
    call::Call,
    endpoint::{Permit, Silence},
    reply::ReplyBody,
};

/// How often a silent call is checked for a stall.
pub(crate) const SILENCE_CHECK: Duration = Duration::from_millis(300);

/// A stream on its way to the caller.
pub(crate) struct StreamRelay<D: Dialect> {
    call: Arc<Call<D>>,
    permit: Option<Permit>,
    /// Closes the connection with the relay, unless its stream has come to its end.
    connection: Option<Connection>,
    /// How long the endpoint keeps the connection idle, if it says so.
    keep_alive: Option<Duration>,
    body: Incoming,
    events: NumberedEvents,
    last_event_at: Instant,
    /// When the caller was last sent events, or its call arrived.
    sent_at: Instant,
    /// Whether this run has had events, so that the pause before the next counts.
    has_events: bool,
    is_over: bool,
}

/// What comes next of a stream.
enum Next {
    Broken(Broken),
    End,
    Events(Bytes),
    Overdue,
    TimedOut,
}

/// How a stream broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Broken {
    Connection,
    CutEvent,
    Order,
    Stall(Stall),
}

impl Broken {
    fn as_str(self) -> &'static str {
        match self {
            Broken::Connection => "the connection broke",
            Broken::CutEvent => "an event is cut",
            Broken::Order => "events do not follow each other",
            Broken::Stall(Stall::Endpoint) => "the endpoint stalled",
            Broken::Stall(Stall::Group) => "the group stalled",
        }
    }
}

impl<D: Dialect> StreamRelay<D> {
    pub(crate) fn new(call: Arc<Call<D>>, opened: ResponseHead) -> StreamRelay<D> {
        let events = NumberedEvents::after(call.head.last_event);
        let sent_at = call.arrived;
        StreamRelay {
            call,
            permit: Some(opened.permit),
            connection: Some(opened.connection),
            keep_alive: opened.told.keep_alive,
            body: opened.body,
            events,
            last_event_at: Instant::now(),
            sent_at,
            has_events: false,
            is_over: false,
        }
    }

    /// Waits for the first events; before they are there, another endpoint can
    /// still be asked.
    ///
    /// Fails if the stream breaks, or ends with no event.
    pub(crate) async fn first_events(&mut self) -> Result<Bytes, AttemptError> {
        let first = self.read().await;
        // A stream that has not begun has no end of its own to be noted.
        self.is_over = !matches!(first, Next::Events(_));
        match first {
            Next::Events(events) => {
                self.note_started();
                Ok(events)
            }
            Next::Overdue => {
                self.on_overdue();
                Err(AttemptError::Overdue)
            }
            Next::TimedOut => {
                self.note_end(CallOutcome::Unreachable);
                Err(AttemptError::TimedOut)
            }
            Next::Broken(why) => {
                self.on_broken(why);
                Err(AttemptError::Lost)
            }
            Next::End => {
                self.on_broken(Broken::Connection);
                Err(AttemptError::Lost)
            }
        }
    }

    /// The body of the caller's answer, beginning with the first events.
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
        if self.is_over {
            return None;
        }
        loop {
            match self.read().await {
                Next::Events(events) => return Some(Ok(events)),
                Next::End => {
                    self.finish("complete");
                    self.call.note_answered();
                    self.note_end(CallOutcome::Answered);
                    self.keep_connection();
                    return None;
                }
                Next::Overdue => {
                    self.on_overdue();
                    self.finish("overdue in mid-stream");
                    return Some(Err(broken("the endpoint is silent")));
                }
                Next::TimedOut => {
                    self.finish("timed out in mid-stream");
                    return Some(Err(broken("the time is up")));
                }
                Next::Broken(why) => {
                    self.on_broken(why);
                    if !self.resume(why.as_str()).await {
                        self.finish("cut in mid-stream");
                        return Some(Err(broken(why.as_str())));
                    }
                }
            }
        }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.is_over = true;
        self.call.finished(outcome, self.events.last());
    }

    /// Lets another call use the connection of a stream that has come to its end:
    /// without that each stream opened one, 3,900 in 44 s for 3,800 calls.
    fn keep_connection(&mut self) {
        if !self.call.service.mechanisms.has(Mechanism::ConnectionReuse) {
            return;
        }
        if let (Some(permit), Some(connection)) = (&self.permit, self.connection.take()) {
            permit.endpoint.pool.release(connection, self.keep_alive);
        }
    }

    /// The service runs something, if this is its first answer for a while.
    fn note_started(&self) {
        self.note_end(CallOutcome::Answered);
    }

    fn on_broken(&self, why: Broken) {
        self.note_end(match why {
            Broken::Stall(Stall::Endpoint) => CallOutcome::Unreachable,
            _ => CallOutcome::Failed,
        });
        let is_closed = matches!(why, Broken::Connection | Broken::CutEvent);
        if let Some(permit) = self.permit.as_ref().filter(|_| is_closed) {
            permit.on_broken(self.call.fingerprint, self.phase(), self.last_event_at);
        }
    }

    /// How much longer the stream waits until its caller has to be answered.
    fn until_overdue(&self) -> Option<Duration> {
        let patience = self.call.remaining_patience(self.sent_at)?;
        Some(self.permit.as_ref().map_or(patience, |permit| permit.until_overdue(patience)))
    }

    fn on_overdue(&self) {
        if let Some(permit) = &self.permit {
            permit.on_canceled(self.call.fingerprint, self.phase());
            permit.on_overdue();
        }
    }

    fn phase(&self) -> CallPhase {
        match self.has_events {
            true => CallPhase::Running,
            false => CallPhase::Beginning,
        }
    }

    fn note_end(&self, end: CallOutcome) {
        if let Some(permit) = &self.permit {
            permit.note_end(end);
        }
    }

    async fn read(&mut self) -> Next {
        loop {
            let patience = self.until_overdue();
            let limit = left(self.call.deadline).min(SILENCE_CHECK);
            let limit = patience.map_or(limit, |patience| limit.min(patience));
            match tokio::time::timeout(limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    match self.events.take(&data) {
                        Numbered::Whole(events) => {
                            self.note_events();
                            return Next::Events(events);
                        }
                        Numbered::Nothing => {}
                        Numbered::Broken => return Next::Broken(Broken::Order),
                    }
                }
                Ok(Some(Err(_))) => return Next::Broken(Broken::Connection),
                Ok(None) if self.events.ends_early() => return Next::Broken(Broken::CutEvent),
                Ok(None) => return Next::End,
                Err(_) if left(self.call.deadline).is_zero() => return Next::TimedOut,
                Err(_) if self.until_overdue() == Some(Duration::ZERO) => return Next::Overdue,
                Err(_) => {
                    if let Some(stall) = self.stall() {
                        return Next::Broken(Broken::Stall(stall));
                    }
                }
            }
        }
    }

    fn note_events(&mut self) {
        let pause = self.has_events.then(|| self.last_event_at.elapsed());
        if let Some(permit) = &self.permit {
            permit.note_event(pause, self.call.gap_goal);
        }
        self.last_event_at = Instant::now();
        self.sent_at = self.last_event_at;
        self.has_events = true;
    }

    /// Says what has stalled under the stream, if it may be resumed elsewhere.
    fn stall(&self) -> Option<Stall> {
        let permit = self.permit.as_ref().filter(|_| self.may_go_on_elsewhere())?;
        permit.stall(self.last_event_at.elapsed())
    }

    /// Says whether the stream may be resumed. Silence is no reason to cut one that
    /// may not.
    fn may_go_on_elsewhere(&self) -> bool {
        self.call.kind.may_repeat() && self.call.has_attempts_left()
    }

    /// Goes on at another endpoint after the last event. Returns whether it does.
    async fn resume(&mut self, why: &'static str) -> bool {
        if !self.may_go_on_elsewhere() {
            return false;
        }
        // The old connection is closed first, so that no two runs go on at once.
        self.connection = None;
        self.permit = None;
        self.events.restart();
        let resumed = self.call.resume(self.events.last(), self.sent_at, why).await;
        let Some(opened) = resumed else { return false };
        self.permit = Some(opened.permit);
        self.connection = Some(opened.connection);
        self.keep_alive = opened.told.keep_alive;
        self.body = opened.body;
        self.last_event_at = Instant::now();
        self.has_events = false;
        true
    }
}

impl<D: Dialect> Drop for StreamRelay<D> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        if let Some(permit) = &self.permit {
            permit.on_canceled(self.call.fingerprint, self.phase());
            let Silence { endpoint_ms, group_ms, pause_ms } = permit.silence();
            log::info!(request = self.call.head.id.as_deref(),
                endpoint = &*permit.endpoint.record.id,
                waited_ms = self.last_event_at.elapsed().as_millis() as u64,
                endpoint_silent_ms = endpoint_ms, group_silent_ms = group_ms,
                group_pause_ms = pause_ms; "stream canceled");
        }
        self.call.finished("caller went away", self.events.last());
    }
}

fn broken(why: &'static str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::ConnectionAborted, why)
}
