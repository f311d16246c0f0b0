//! One attempt at one endpoint, as the entry sees it.

use std::sync::Arc;

use bytes::Bytes;
use lynxmount_core::CallFingerprint;
use lynxmount_node::{Counter, NodeHandle};
use lynxmount_policy::{AttemptFailure, LivenessEvidence};
use lynxmount_suspects::SharedQuarantine;
use lynxmount_wire::{
    AssemblyState, AttemptId, ChunkStatus, Dispatch, Failure, Header, RefusalReason,
    ResponseAssembler, ToEndpoint, ToEntry,
};

use crate::{deadline::Deadline, gate::Place, link::Mailbox};

/// How many bytes are passed on before the endpoint gets credit for them.
const CREDIT_BYTES: u32 = 64 * 1024;

/// What comes next of an attempt.
#[derive(Debug)]
pub(crate) enum Next {
    /// Further pieces of the body, in order.
    Data(Vec<Bytes>),
    /// The attempt has ended without a whole answer.
    Ended(AttemptFailure),
    /// Status and headers.
    Head {
        /// The HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<Header>,
    },
    /// The endpoint will never run the attempt.
    Refused(RefusalReason),
    /// The answer is whole.
    Whole,
}

/// An attempt that was sent. Dropping it before its end cancels it.
pub(crate) struct Attempt {
    id: AttemptId,
    place: Place,
    mailbox: Mailbox,
    answer: ResponseAssembler,
    node: NodeHandle,
    call: CallFingerprint,
    suspects: Arc<SharedQuarantine>,
    is_over: bool,
    uncredited_bytes: u32,
}

impl Attempt {
    /// Sends an attempt to the endpoint at which it has a place.
    ///
    /// Fails if it was not sent and never will be.
    pub(crate) fn send(
        place: Place,
        dispatch: Dispatch,
        node: &NodeHandle,
        call: CallFingerprint,
        suspects: &Arc<SharedQuarantine>,
    ) -> Result<Attempt, AttemptFailure> {
        let id = dispatch.id;
        let frame = ToEndpoint::Dispatch(Box::new(dispatch));
        let mailbox = place.link.open(id, frame).map_err(|_| AttemptFailure::Busy)?;
        node.counters().count(Counter::AttemptsSent);
        Ok(Attempt {
            id,
            place,
            mailbox,
            answer: ResponseAssembler::default(),
            node: node.clone(),
            call,
            suspects: Arc::clone(suspects),
            is_over: false,
            uncredited_bytes: 0,
        })
    }

    /// The endpoint's name.
    pub(crate) fn endpoint(&self) -> &lynxmount_core::EndpointId {
        &self.place.link.endpoint.id
    }

    /// Waits for what comes next.
    pub(crate) async fn next(&mut self, deadline: Deadline) -> Next {
        loop {
            let next = match self.receive(deadline).await {
                Ok(frame) => self.take(frame),
                Err(end) => Some(Next::Ended(end)),
            };
            if let Some(next) = next {
                return next;
            }
        }
    }

    async fn receive(&mut self, deadline: Deadline) -> Result<ToEntry, AttemptFailure> {
        // Frames mostly come several at a time; those need no timer.
        if let Ok(frame) = self.mailbox.try_recv() {
            return Ok(frame);
        }
        let received = tokio::time::timeout_at(deadline.at, self.mailbox.recv()).await;
        let frame = received.map_err(|_| AttemptFailure::TimedOut)?;
        frame.ok_or_else(|| {
            self.node.counters().count(Counter::AttemptsLost);
            self.is_over = true;
            AttemptFailure::Lost
        })
    }

    fn take(&mut self, frame: ToEntry) -> Option<Next> {
        match frame {
            ToEntry::Head { status, headers, .. } => Some(Next::Head { status, headers }),
            ToEntry::Data { sequence, bytes, .. } => self.take_piece(sequence, bytes),
            ToEntry::End { chunks, digest, .. } => {
                let end = self.answer.on_end(chunks, digest);
                self.take_end(end)
            }
            ToEntry::Failed { failure, .. } => {
                self.is_over = true;
                self.on_failure(failure);
                Some(Next::Ended(AttemptFailure::Failed))
            }
            ToEntry::Refused { reason, .. } => {
                self.is_over = true;
                self.note_refusal(reason);
                Some(Next::Refused(reason))
            }
            ToEntry::BackendCrashed { .. } | ToEntry::Welcome { .. } | ToEntry::Report(_) => None,
        }
    }

    fn take_piece(&mut self, sequence: u64, bytes: Bytes) -> Option<Next> {
        match self.answer.push(sequence, bytes) {
            ChunkStatus::Ready(pieces) => {
                self.give_credit(&pieces);
                Some(Next::Data(pieces))
            }
            ChunkStatus::Buffered => {
                self.node.counters().count(Counter::FramesDropped);
                None
            }
            ChunkStatus::Overflow => Some(self.broken()),
        }
    }

    fn take_end(&mut self, end: AssemblyState) -> Option<Next> {
        match end {
            AssemblyState::Complete => {
                self.is_over = true;
                self.suspects.record_survival(self.call);
                Some(Next::Whole)
            }
            AssemblyState::Incomplete => None,
            AssemblyState::Corrupt => Some(self.broken()),
        }
    }

    fn broken(&mut self) -> Next {
        self.node.counters().count(Counter::AnswersBroken);
        Next::Ended(AttemptFailure::Failed)
    }

    fn give_credit(&mut self, pieces: &[Bytes]) {
        let bytes: usize = pieces.iter().map(Bytes::len).sum();
        self.uncredited_bytes += bytes as u32;
        if self.uncredited_bytes >= CREDIT_BYTES {
            let bytes = std::mem::take(&mut self.uncredited_bytes);
            self.place.link.send(ToEndpoint::Credit { id: self.id, bytes });
        }
    }

    fn on_failure(&self, failure: Failure) {
        match failure {
            Failure::BackendDisconnected { incarnation, phase, is_alive } => {
                let sign =
                    if is_alive { LivenessEvidence::Answered } else { LivenessEvidence::Missing };
                self.suspects.on_disconnect(incarnation, self.call, phase, sign);
            }
            Failure::BackendCrashed { incarnation, phase } => {
                self.suspects.record_crash(incarnation, &[(self.call, phase)]);
            }
            Failure::AnswerGone | Failure::Backend | Failure::Cancelled | Failure::Expired => {}
        }
    }

    fn note_refusal(&self, reason: RefusalReason) {
        self.node.counters().count(Counter::AttemptsRefused);
        match reason {
            RefusalReason::BackendUnreachable => self.place.link.note_backend_down(),
            RefusalReason::Busy => self.place.link.note_full(),
            RefusalReason::ConfigOutdated => self.node.on_newer_peer_config(),
            RefusalReason::Draining => self.place.link.note_draining(),
            RefusalReason::Expired
            | RefusalReason::KeyReused
            | RefusalReason::LedgerFull
            | RefusalReason::NotBoundHere
            | RefusalReason::Revoked
            | RefusalReason::WrongService => {}
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.place.link.close(self.id);
        if !self.is_over {
            self.place.link.send(ToEndpoint::Cancel(self.id));
        }
    }
}
