//! Starts another attempt of a stream while the running one goes on (make before break).
//!
//! A permit, a connection or a head do not show that another endpoint is sooner than the one that is
//! silent; its first event does. Whichever endpoint sends the next event keeps the stream.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use lynxmount_core::{CallPhase, adapter::Dialect};
use lynxmount_policy::{CallOutcome, Stall};
use lynxmount_wire::{SequenceCheck, SequencedEvents};

use crate::{
    attempt::{AttemptFailure, ResponseHead, time_until},
    attempt_history::attempt_counter,
    call::Call,
    replacement::{RunningAttempt, StreamPosition},
};

/// Why a stream is moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MoveCause {
    /// Its endpoint delays its group.
    Slow,
    Stalled(Stall),
}

impl MoveCause {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            MoveCause::Slow => "endpoint slow",
            MoveCause::Stalled(Stall::Endpoint) => "endpoint stalled",
            MoveCause::Stalled(Stall::Group) => "group stalled",
        }
    }
}

/// An attempt that is being started beside the running one. Dropping it cancels it.
pub(crate) struct PendingReplacement<D: Dialect> {
    pub(crate) cause: MoveCause,
    pub(crate) started: BoxFuture<'static, Option<Box<StartedReplacement<D>>>>,
}

/// An attempt that has sent its first events. Dropping it cancels it, unless its head was taken.
pub(crate) struct StartedReplacement<D: Dialect> {
    call: Arc<Call<D>>,
    head: Option<ResponseHead>,
    pub(crate) events: SequencedEvents,
    pub(crate) first: Bytes,
}

impl<D: Dialect> StartedReplacement<D> {
    /// Takes the response, with which the stream goes on.
    pub(crate) fn take_head(&mut self) -> Option<ResponseHead> {
        self.head.take()
    }

    /// Waits for the first events. Returns whether they have arrived.
    async fn read_first_events(&mut self) -> bool {
        let Some(head) = &mut self.head else { return false };
        let deadline = self.call.deadline;
        loop {
            let frame = tokio::time::timeout(time_until(deadline), head.body.frame()).await;
            let Ok(frame) = frame else { return false };
            let Some(Ok(frame)) = frame else { break };
            let Ok(data) = frame.into_data() else { continue };
            match self.events.push(&data) {
                SequenceCheck::Events(first) => {
                    self.first = first;
                    return true;
                }
                SequenceCheck::Incomplete => {}
                SequenceCheck::OutOfSequence => {
                    head.permit.record_outcome(CallOutcome::Failed);
                    return false;
                }
            }
        }
        head.permit.record_outcome(CallOutcome::Failed);
        head.permit.on_disconnect(&self.call.identity, CallPhase::Beginning, head.last_received_at);
        self.head = None;
        self.call.on_attempt_abandoned();
        false
    }
}

impl<D: Dialect> Drop for StartedReplacement<D> {
    fn drop(&mut self) {
        if let Some(head) = self.head.take() {
            head.permit.on_canceled(&self.call.identity, CallPhase::Beginning);
            self.call.on_attempt_abandoned();
        }
    }
}

impl<D: Dialect> Call<D> {
    /// Starts an attempt elsewhere from a position of the stream on; `None` if none is granted, or it
    /// fails before its first event.
    pub(crate) async fn start_replacement(
        self: Arc<Call<D>>,
        running: RunningAttempt,
        position: StreamPosition,
    ) -> Option<Box<StartedReplacement<D>>> {
        tokio::select! {
            biased;
            _ = self.quarantine.wait_until_quarantined(&self.identity) => None,
            started = self.try_start_replacement(running, position) => started,
        }
    }

    async fn try_start_replacement(
        self: &Arc<Call<D>>,
        running: RunningAttempt,
        position: StreamPosition,
    ) -> Option<Box<StartedReplacement<D>>> {
        let mut opened = self.open_replacement(running).await?;
        let head = loop {
            let (error, next) = match self.resume_at(opened, position).await {
                Ok(head) => break head,
                Err(AttemptFailure::Error(error)) => (error, None),
                Err(AttemptFailure::Replaced(error, next)) => (error, Some(next)),
            };
            self.metrics.count(attempt_counter(error));
            log::info!(request = self.head.id.as_deref(), error:? = error; "replacement failed");
            opened = next?;
        };
        let events = SequencedEvents::resume_after(position.last_event);
        let (call, head, first) = (Arc::clone(self), Some(head), Bytes::new());
        let mut started = Box::new(StartedReplacement { call, head, events, first });
        started.read_first_events().await.then_some(started)
    }
}

/// Waits until a pending replacement has sent its first events, and removes it; for ever if there is
/// none. Returns `None` if it has failed.
pub(crate) async fn next_started<D: Dialect>(
    pending: &mut Option<PendingReplacement<D>>,
) -> Option<(MoveCause, Box<StartedReplacement<D>>)> {
    let Some(replacement) = pending else { return std::future::pending().await };
    let (cause, started) = (replacement.cause, (&mut replacement.started).await);
    *pending = None;
    started.map(|started| (cause, started))
}
