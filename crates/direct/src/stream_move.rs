//! Moves a stream to another endpoint: away from a silent or slow one, or after it broke.

use std::{sync::Arc, time::Instant};

use lynxmount_core::adapter::Dialect;
use lynxmount_policy::{CallOutcome, Stall};

use crate::{
    attempt::{OpenAttempt, ResponseHead},
    endpoint::Permit,
    replacement::{ResumeOptions, RunningAttempt, StreamPosition},
    stream::StreamRelay,
};

pub(crate) fn stall_name(stall: Stall) -> &'static str {
    match stall {
        Stall::Endpoint => "endpoint stalled",
        Stall::Group => "group stalled",
    }
}

impl<D: Dialect> StreamRelay<D> {
    /// Opens the attempt that continues the stream elsewhere, outside of a group that has stalled.
    pub(crate) fn open_replacement(
        &self,
        stall: Stall,
    ) -> impl Future<Output = Option<OpenAttempt>> + Send + use<D> {
        let group = self.permit.as_ref().map(Permit::shared_group);
        let running = self.running_attempt(group.filter(|_| stall == Stall::Group));
        let call = Arc::clone(&self.call);
        async move { call.open_replacement(running).await }
    }

    fn running_attempt(&self, stalled_group: Option<Arc<str>>) -> RunningAttempt {
        RunningAttempt { stalled_group, sent_at: self.sent_at, has_begun: self.has_begun }
    }

    /// Records once for each silence that the endpoint has stalled.
    pub(crate) fn on_stalled(&mut self, stall: Stall) {
        if self.is_stalled {
            return;
        }
        self.is_stalled = true;
        if stall == Stall::Endpoint {
            self.record_outcome(CallOutcome::Unreachable);
        }
        log::info!(request = self.call.head.id.as_deref(), why = stall_name(stall),
            endpoint = self.permit.as_ref().map(|permit| &*permit.endpoint.record.id),
            silent_ms = self.last_event_at.elapsed().as_millis() as u64,
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

    /// Resumes a broken stream at another endpoint after the last event. Returns whether that
    /// succeeds.
    pub(crate) async fn resume(&mut self, why: &'static str) -> bool {
        if !self.is_resumable() {
            return false;
        }
        self.detach();
        let head = self.call.resume(self.position(), why, ResumeOptions::default()).await;
        self.attach(head)
    }

    /// Moves the stream to another endpoint, which is ready to take it. Returns false if the stream
    /// is lost.
    pub(crate) async fn move_to(&mut self, mut next: OpenAttempt, why: &'static str) -> bool {
        log::info!(request = self.call.head.id.as_deref(), why,
            endpoint = self.permit.as_ref().map(|permit| &*permit.endpoint.record.id),
            last_event = self.events.last_id(),
            silent_ms = self.last_event_at.elapsed().as_millis() as u64; "stream moved");
        self.on_canceled();
        let return_retry = next.return_retry.take();
        let options = ResumeOptions { opened: Some(next), origin: self.detach(), return_retry };
        let head = self.call.resume(self.position(), why, options).await;
        self.attach(head)
    }

    fn position(&self) -> StreamPosition {
        StreamPosition { last_event: self.events.last_id(), sent_at: self.sent_at }
    }

    /// Moves the stream if its endpoint is slow and another one takes it now. Each stream at a slow
    /// rank delays all streams of its group. Returns false if the stream is lost.
    pub(crate) async fn leave_slow_endpoint(&mut self) -> bool {
        let is_slow = self.permit.as_ref().is_some_and(Permit::is_slow);
        if !is_slow || !self.is_resumable() {
            return true;
        }
        match self.call.open_replacement(self.running_attempt(None)).await {
            Some(next) => self.move_to(next, "endpoint slow").await,
            None => true,
        }
    }

    /// Closes the old connection before the stream is resumed, so that the call never runs twice
    /// at a time. Returns the permit there.
    fn detach(&mut self) -> Option<Permit> {
        self.call.on_attempt_abandoned();
        self.connection = None;
        self.events.restart();
        self.permit.take()
    }

    /// Continues with the response of another endpoint. Returns whether there is one.
    fn attach(&mut self, head: Option<ResponseHead>) -> bool {
        let Some(head) = head else { return false };
        self.permit = Some(head.permit);
        self.connection = Some(head.connection);
        self.keep_alive = head.metadata.keep_alive;
        self.body = head.body;
        self.attempt_sent_at = head.sent_at;
        self.last_event_at = Instant::now();
        self.has_events = false;
        self.is_stalled = false;
        self.is_overdue = false;
        true
    }
}
