//! One attempt of a request at one endpoint: sends the dispatch, reassembles the answer and
//! reports failures.

use std::sync::Arc;

use bytes::Bytes;
use lynxmount_core::CallFingerprint;
use lynxmount_node::{Counter, NodeHandle};
use lynxmount_policy::{AttemptFailure, CallOutcome, LivenessEvidence};
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_wire::{
    AssemblyState, AttemptId, ChunkStatus, Dispatch, ExecutionFailure, Header, RefusalReason,
    ResponseAssembler, ToEndpoint, ToEntry,
};

use crate::{deadline::Deadline, endpoint_client::Mailbox, service_pool::Reservation};

/// Bytes relayed to the caller before the endpoint is granted flow-control credit for them.
const CREDIT_GRANT_BYTES: u32 = 64 * 1024;

/// The lowest status of a failure of the back end.
const FIRST_SERVER_ERROR: u16 = 500;

/// The next event of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The next chunks of the body, in order.
    Data(Vec<Bytes>),
    /// The attempt ended without a complete answer.
    Failed(AttemptFailure),
    /// Status and headers.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers to forward to the caller.
        headers: Vec<Header>,
    },
    /// The endpoint will never run the attempt.
    Refused(RefusalReason),
    /// The answer is complete.
    Complete,
}

/// An attempt that was sent. Dropping it before it has ended cancels it.
pub(crate) struct Attempt {
    id: AttemptId,
    reservation: Reservation,
    mailbox: Mailbox,
    answer: ResponseAssembler,
    node: NodeHandle,
    call: CallFingerprint,
    quarantine: Arc<SharedQuarantine>,
    has_ended: bool,
    /// Whether the answer is a failure of the back end.
    is_server_error: bool,
    uncredited_bytes: u32,
}

impl Attempt {
    /// Sends an attempt to the reserved endpoint.
    ///
    /// Fails if the attempt was not sent and never will be.
    pub(crate) fn send(
        reservation: Reservation,
        dispatch: Dispatch,
        node: &NodeHandle,
        call: CallFingerprint,
        quarantine: &Arc<SharedQuarantine>,
    ) -> Result<Attempt, AttemptFailure> {
        let id = dispatch.id;
        let frame = ToEndpoint::Dispatch(Box::new(dispatch));
        let mailbox =
            reservation.client.open_mailbox(id, frame).map_err(|_| AttemptFailure::Busy)?;
        node.counters().count(Counter::AttemptsSent);
        Ok(Attempt {
            id,
            reservation,
            mailbox,
            answer: ResponseAssembler::default(),
            node: node.clone(),
            call,
            quarantine: Arc::clone(quarantine),
            has_ended: false,
            is_server_error: false,
            uncredited_bytes: 0,
        })
    }

    /// The id of the endpoint.
    pub(crate) fn endpoint(&self) -> &lynxmount_core::EndpointId {
        &self.reservation.client.endpoint.id
    }

    /// Waits for the next event.
    pub(crate) async fn next(&mut self, deadline: Deadline) -> AttemptEvent {
        loop {
            let event = match self.receive(deadline).await {
                Ok(frame) => self.on_frame(frame),
                Err(failure) => Some(AttemptEvent::Failed(failure)),
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    async fn receive(&mut self, deadline: Deadline) -> Result<ToEntry, AttemptFailure> {
        // Frames usually arrive in batches; those already queued need no timer.
        if let Ok(frame) = self.mailbox.try_recv() {
            return Ok(frame);
        }
        let received = tokio::time::timeout_at(deadline.at, self.mailbox.recv()).await;
        let frame = received.map_err(|_| AttemptFailure::TimedOut)?;
        frame.ok_or_else(|| {
            self.node.counters().count(Counter::AttemptsLost);
            self.has_ended = true;
            AttemptFailure::Lost
        })
    }

    fn on_frame(&mut self, frame: ToEntry) -> Option<AttemptEvent> {
        match frame {
            ToEntry::Head { status, headers, .. } => {
                self.is_server_error = status >= FIRST_SERVER_ERROR;
                Some(AttemptEvent::Head { status, headers })
            }
            ToEntry::Data { sequence, bytes, .. } => self.on_data(sequence, bytes),
            ToEntry::End { chunks, digest, .. } => {
                let end = self.answer.on_end(chunks, digest);
                self.on_end(end)
            }
            ToEntry::Failed { failure, .. } => {
                self.has_ended = true;
                self.on_failure(failure);
                Some(AttemptEvent::Failed(AttemptFailure::Failed))
            }
            ToEntry::Refused { reason, .. } => {
                self.has_ended = true;
                self.on_refusal(reason);
                Some(AttemptEvent::Refused(reason))
            }
            ToEntry::BackendCrashed { .. } | ToEntry::Welcome { .. } | ToEntry::Report(_) => None,
        }
    }

    fn on_data(&mut self, sequence: u64, bytes: Bytes) -> Option<AttemptEvent> {
        match self.answer.push(sequence, bytes) {
            ChunkStatus::Ready(chunks) => {
                self.grant_credit(&chunks);
                Some(AttemptEvent::Data(chunks))
            }
            ChunkStatus::Buffered => {
                self.node.counters().count(Counter::FramesDropped);
                None
            }
            ChunkStatus::Overflow => Some(self.on_corrupt_answer()),
        }
    }

    fn on_end(&mut self, end: AssemblyState) -> Option<AttemptEvent> {
        match end {
            AssemblyState::Complete => {
                self.has_ended = true;
                self.quarantine.record_survival(self.call);
                self.record_outcome(match self.is_server_error {
                    true => CallOutcome::Failed,
                    false => CallOutcome::Answered,
                });
                Some(AttemptEvent::Complete)
            }
            AssemblyState::Incomplete => None,
            AssemblyState::Corrupt => Some(self.on_corrupt_answer()),
        }
    }

    fn record_outcome(&self, outcome: CallOutcome) {
        if self.reservation.client.record_outcome(outcome, self.node.now()) {
            self.node.counters().count(Counter::EndpointsEjected);
        }
    }

    fn on_corrupt_answer(&mut self) -> AttemptEvent {
        self.node.counters().count(Counter::ResponsesCorrupt);
        self.record_outcome(CallOutcome::Failed);
        AttemptEvent::Failed(AttemptFailure::Failed)
    }

    fn grant_credit(&mut self, chunks: &[Bytes]) {
        let bytes: usize = chunks.iter().map(Bytes::len).sum();
        self.uncredited_bytes += bytes as u32;
        if self.uncredited_bytes >= CREDIT_GRANT_BYTES {
            let bytes = std::mem::take(&mut self.uncredited_bytes);
            self.reservation.client.send(ToEndpoint::Credit { id: self.id, bytes });
        }
    }

    fn on_failure(&self, failure: ExecutionFailure) {
        match failure {
            ExecutionFailure::Backend
            | ExecutionFailure::BackendCrashed { .. }
            | ExecutionFailure::BackendDisconnected { .. } => {
                self.record_outcome(CallOutcome::Failed);
            }
            ExecutionFailure::AnswerGone
            | ExecutionFailure::Cancelled
            | ExecutionFailure::Expired => {}
        }
        match failure {
            ExecutionFailure::BackendDisconnected { incarnation, phase, is_alive } => {
                let evidence =
                    if is_alive { LivenessEvidence::Answered } else { LivenessEvidence::Missing };
                self.quarantine.on_disconnect(incarnation, self.call, phase, evidence);
            }
            ExecutionFailure::BackendCrashed { incarnation, phase } => {
                self.quarantine.record_crash(incarnation, &[(self.call.into(), phase)]);
            }
            ExecutionFailure::AnswerGone
            | ExecutionFailure::Backend
            | ExecutionFailure::Cancelled
            | ExecutionFailure::Expired => {}
        }
    }

    fn on_refusal(&self, reason: RefusalReason) {
        self.node.counters().count(Counter::AttemptsRefused);
        match reason {
            RefusalReason::BackendUnreachable => {
                self.record_outcome(CallOutcome::Unreachable);
                self.reservation.client.set_backend_down();
            }
            RefusalReason::Busy => self.reservation.client.set_full(),
            RefusalReason::ConfigOutdated => self.node.on_newer_peer_config(),
            RefusalReason::Draining => self.reservation.client.set_draining(),
            RefusalReason::Expired
            | RefusalReason::KeyReused
            | RefusalReason::DedupTableFull
            | RefusalReason::NotBoundHere
            | RefusalReason::Revoked
            | RefusalReason::WrongService => {}
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.reservation.client.close_mailbox(self.id);
        if !self.has_ended {
            self.reservation.client.send(ToEndpoint::Cancel(self.id));
        }
    }
}
