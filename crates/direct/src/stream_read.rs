//! Reads a stream's events, and detects that its endpoint is silent, stalled or gone.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use lynxmount_core::adapter::Dialect;
use lynxmount_resources::{Exhausted, Reservation};
use lynxmount_wire::SequenceCheck;

use crate::{
    attempt::time_until,
    stream::StreamRelay,
    stream_replacement::{MoveCause, StartedReplacement, next_started},
};

/// How often a silent call is checked for a stall.
pub(crate) const STALL_CHECK_PERIOD: Duration = Duration::from_millis(300);

/// Events up to this size are part of the stream's own memory.
const SMALL_EVENT_BYTES: usize = 8 * 1024;

/// Result of reading from a stream.
pub(crate) enum Read<D: Dialect> {
    Broken(StreamError),
    End,
    Events(Bytes),
    Overdue,
    /// Another endpoint has gone on with the stream.
    Replaced(MoveCause, Box<StartedReplacement<D>>),
    TimedOut,
}

/// Why a stream broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamError {
    Disconnected,
    Truncated,
    OutOfMemory,
    OutOfOrder,
}

impl StreamError {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            StreamError::Disconnected => "connection broken",
            StreamError::Truncated => "event truncated",
            StreamError::OutOfMemory => "no memory for an event",
            StreamError::OutOfOrder => "events out of order",
        }
    }
}

impl<D: Dialect> StreamRelay<D> {
    /// Reads the next events. While the endpoint is silent, a replacement is started, and the endpoint
    /// may go on before that one does.
    pub(crate) async fn read(&mut self) -> Read<D> {
        if let Some(events) = self.pending_events.take() {
            self.on_events();
            return Read::Events(events);
        }
        if self.events.is_broken() {
            return Read::Broken(StreamError::OutOfOrder);
        }
        loop {
            let limit = time_until(self.call.deadline).min(STALL_CHECK_PERIOD);
            let limit = self.until_overdue().map_or(limit, |time| match time.is_zero() {
                // A stream that has begun is never overdue.
                true if self.has_begun => limit,
                _ => limit.min(time),
            });
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(limit, self.body.frame()) => frame,
                started = next_started(&mut self.replacement) => match started {
                    Some((cause, next)) => return Read::Replaced(cause, next),
                    None => continue,
                },
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    match self.events.push(&data) {
                        SequenceCheck::Events(events) => {
                            self.on_events();
                            return Read::Events(events);
                        }
                        SequenceCheck::Incomplete => {
                            if self.reserve_event().await.is_err() {
                                return Read::Broken(StreamError::OutOfMemory);
                            }
                        }
                        SequenceCheck::OutOfSequence => {
                            return Read::Broken(StreamError::OutOfOrder);
                        }
                    }
                }
                Ok(Some(Err(_))) => return Read::Broken(StreamError::Disconnected),
                Ok(None) if self.events.ends_mid_event() => {
                    return Read::Broken(StreamError::Truncated);
                }
                Ok(None) => return Read::End,
                Err(_) if time_until(self.call.deadline).is_zero() => return Read::TimedOut,
                Err(_) if self.is_due() => return Read::Overdue,
                Err(_) => {
                    let Some(detected) = self.stall() else { continue };
                    self.on_stalled(detected);
                    self.start_replacement(MoveCause::Stalled(detected));
                }
            }
        }
    }

    /// Reserves memory for a large event that is not complete yet, and for its buffer's growth.
    async fn reserve_event(&mut self) -> Result<(), Exhausted> {
        let partial_bytes = self.events.partial_bytes();
        let reserved_bytes =
            self.event_memory.as_ref().map_or(SMALL_EVENT_BYTES, Reservation::bytes);
        if partial_bytes > reserved_bytes {
            let needed_bytes = 2 * partial_bytes;
            let memory = self.call.connection.reserve(needed_bytes, needed_bytes).await?;
            self.event_memory = Some(memory);
        }
        Ok(())
    }

    /// Whether the caller must get a response now, as it is about to leave. A caller that was sent
    /// events leaves by itself, and its endpoint is only recorded as overdue.
    fn is_due(&mut self) -> bool {
        if self.until_overdue() != Some(Duration::ZERO) {
            return false;
        }
        if self.has_begun && !self.is_overdue {
            self.is_overdue = true;
            if let Some(permit) = &self.permit {
                permit.on_overdue();
            }
        }
        !self.has_begun
    }

    /// Records that the current endpoint has sent events. One that goes on is not replaced as stalled.
    pub(crate) fn on_events(&mut self) {
        self.event_memory = None;
        self.replacement.take_if(|pending| pending.cause != MoveCause::Slow);
        let gap = self.has_events.then(|| self.last_event_at.elapsed());
        if let Some(permit) = &self.permit {
            permit.on_event(gap, self.call.gap_goal);
        }
        self.last_event_at = Instant::now();
        self.sent_at = self.last_event_at;
        self.has_begun = true;
        self.has_events = true;
        self.is_stalled = false;
        self.is_overdue = false;
    }

    /// How much longer the endpoint may stay silent before the caller's idle timeout is due. Before the
    /// first event, it may not for longer even if it sends events of other streams.
    fn until_overdue(&self) -> Option<Duration> {
        let idle_time = self.call.remaining_idle_time(self.sent_at)?;
        let overdue_in =
            self.permit.as_ref().map_or(idle_time, |permit| permit.until_overdue(idle_time));
        match self.has_begun {
            true => Some(overdue_in),
            false => Some(overdue_in.min(time_until(self.call.final_response_at(self.sent_at)?))),
        }
    }
}
