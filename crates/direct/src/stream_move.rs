//! Moves a stream to another endpoint: away from a silent or slow one, or after it broke.

use std::{sync::Arc, time::Instant};

use lynxmount_core::adapter::Dialect;
use lynxmount_policy::{CallOutcome, Stall};

use crate::{
    attempt::ResponseHead,
    endpoint::Permit,
    replacement::{RunningAttempt, StreamPosition},
    stream::StreamRelay,
    stream_replacement::{MoveCause, PendingReplacement, StartedReplacement},
};

impl<D: Dialect> StreamRelay<D> {
    /// Starts the attempt that continues the stream elsewhere, outside of a group that has stalled,
    /// unless one is being started. The endpoint's own attempt goes on.
    pub(crate) fn start_replacement(&mut self, cause: MoveCause) {
        if self.replacement.is_some() {
            return;
        }
        let group = self.permit.as_ref().map(Permit::shared_group);
        let stalled_group = group.filter(|_| cause == MoveCause::Stalled(Stall::Group));
        let (sent_at, has_begun) = (self.sent_at, self.has_begun);
        let running = RunningAttempt { stalled_group, sent_at, has_begun };
        let started = Arc::clone(&self.call).start_replacement(running, self.position());
        self.replacement = Some(PendingReplacement { cause, started: Box::pin(started) });
    }

    /// Records once for each silence that the endpoint has stalled. One that sends events of other
    /// streams is reachable, and may have preempted this one.
    pub(crate) fn on_stalled(&mut self, stall: Stall) {
        if self.is_stalled {
            return;
        }
        self.is_stalled = true;
        let is_silent =
            self.permit.as_ref().is_some_and(|permit| permit.is_unresponsive(self.last_event_at));
        if stall == Stall::Endpoint && is_silent {
            self.record_outcome(CallOutcome::Unreachable);
        }
        log::info!(request = self.call.head.id.as_deref(), why = MoveCause::Stalled(stall).as_str(),
            endpoint = self.permit.as_ref().map(|permit| &*permit.endpoint.record.id),
            silent_ms = self.last_event_at.elapsed().as_millis() as u64,
            is_endpoint_silent = is_silent,
            has_retry = self.call.service.has_retries(1); "stream stalled");
    }

    /// What has stalled under the stream, if the stream is resumable.
    pub(crate) fn stall(&self) -> Option<Stall> {
        let permit = self.permit.as_ref().filter(|_| self.is_resumable())?;
        permit.stall(self.last_event_at.elapsed())
    }

    /// Whether the stream may be resumed elsewhere. A stream that may not is not canceled on a
    /// stall.
    pub(crate) fn is_resumable(&self) -> bool {
        self.call.kind.is_retryable() && self.call.has_attempts_left()
    }

    /// Continues a stream that broke after its last event: with the replacement that is being
    /// started, or else with another attempt. Returns whether that succeeds.
    pub(crate) async fn resume(&mut self, why: &'static str) -> bool {
        if self.move_to_replacement().await {
            return true;
        }
        if !self.is_resumable() {
            return false;
        }
        self.detach();
        let head = self.call.resume(self.position(), why).await;
        head.is_some_and(|head| {
            self.attach(head);
            true
        })
    }

    /// Moves a stream that broke to the replacement that is being started. Returns whether there is
    /// one that continues it.
    pub(crate) async fn move_to_replacement(&mut self) -> bool {
        let Some(pending) = self.replacement.take() else { return false };
        let Some(started) = pending.started.await else { return false };
        self.move_to(pending.cause, started);
        true
    }

    /// Moves the stream to the replacement, whose first events come next.
    pub(crate) fn move_to(&mut self, cause: MoveCause, mut next: Box<StartedReplacement<D>>) {
        let Some(head) = next.take_head() else { return };
        log::info!(request = self.call.head.id.as_deref(), why = cause.as_str(),
            endpoint = self.permit.as_ref().map(|permit| &*permit.endpoint.record.id),
            last_event = self.events.last_id(),
            silent_ms = self.last_event_at.elapsed().as_millis() as u64; "stream moved");
        self.detach();
        self.attach(head);
        let delivered = self.events.last_id();
        self.events = std::mem::take(&mut next.events);
        let first = self.events.skip_to(delivered, std::mem::take(&mut next.first));
        self.pending_events = (!first.is_empty()).then_some(first);
    }

    fn position(&self) -> StreamPosition {
        StreamPosition { last_event: self.events.last_id(), sent_at: self.sent_at }
    }

    /// Starts to move the stream if its endpoint is slow. Each stream at a slow rank delays all
    /// streams of its group.
    pub(crate) fn leave_slow_endpoint(&mut self) {
        let is_slow = self.permit.as_ref().is_some_and(Permit::is_slow);
        if is_slow && self.is_resumable() {
            self.start_replacement(MoveCause::Slow);
        }
    }

    /// Closes the old connection, and discards what came behind the last event.
    fn detach(&mut self) {
        self.call.on_attempt_abandoned();
        self.connection = None;
        self.events.restart();
        self.permit = None;
    }

    /// Continues with the response of another endpoint.
    fn attach(&mut self, head: ResponseHead) {
        if !self.has_begun {
            (self.status, self.headers) = (head.status, head.headers);
        }
        self.permit = Some(head.permit);
        self.connection = Some(head.connection);
        self.keep_alive = head.metadata.keep_alive;
        self.body = head.body;
        self.attempt_sent_at = head.sent_at;
        self.last_event_at = Instant::now();
        self.has_events = false;
        self.is_stalled = false;
        self.is_overdue = false;
    }
}
