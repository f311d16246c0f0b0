//! Sends an answer to an entry with credit-based flow control: no faster than the caller reads it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::Bytes;
use lynxmount_wire::{
    AttemptId, ExecutionFailure, Header, RefusalReason, ResponseAssembler, ToEntry, is_relayed,
};
use tokio::sync::{Semaphore, mpsc};

/// Bytes that may be in flight without further credit from the entry.
const WINDOW_BYTES: u32 = 512 * 1024;

/// The number of bytes that may still be sent.
#[derive(Clone, Debug)]
pub(crate) struct Credit(Arc<Semaphore>);

impl Default for Credit {
    /// Starts with a full window.
    fn default() -> Credit {
        Credit(Arc::new(Semaphore::new(WINDOW_BYTES as usize)))
    }
}

impl Credit {
    /// Adds credit granted by the entry.
    pub(crate) fn add(&self, bytes: u32) {
        self.0.add_permits(bytes as usize);
    }

    async fn acquire(&self, bytes: usize) {
        // A chunk larger than the window acquires the full window.
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(WINDOW_BYTES);
        if let Ok(permit) = self.0.acquire_many(bytes).await {
            permit.forget();
        }
    }
}

/// Whether the entry relays the answer to its caller already.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayStatus(Arc<AtomicBool>);

impl RelayStatus {
    /// Whether the request can no longer be retried elsewhere.
    pub(crate) fn has_started(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set_started(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The entry has disconnected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryDisconnected;

/// Sends the answer of one attempt.
pub(crate) struct AnswerSender {
    id: AttemptId,
    outbound: mpsc::Sender<ToEntry>,
    credit: Credit,
    answer: ResponseAssembler,
    headers: Vec<Header>,
    sent_bytes: usize,
    relay_status: RelayStatus,
}

impl AnswerSender {
    pub(crate) fn new(
        id: AttemptId,
        outbound: mpsc::Sender<ToEntry>,
        credit: Credit,
    ) -> AnswerSender {
        AnswerSender {
            id,
            outbound,
            credit,
            answer: ResponseAssembler::default(),
            headers: Vec::new(),
            sent_bytes: 0,
            relay_status: RelayStatus::default(),
        }
    }

    /// Whether the entry relays the answer, updated as the answer is sent.
    pub(crate) fn relay_status(&self) -> RelayStatus {
        self.relay_status.clone()
    }

    /// Sends status and headers.
    ///
    /// Fails if the entry has disconnected; the methods below do, too.
    pub(crate) async fn send_head(
        &mut self,
        status: u16,
        headers: Vec<Header>,
    ) -> Result<(), EntryDisconnected> {
        self.headers.clone_from(&headers);
        self.send(ToEntry::Head { id: self.id, status, headers }).await
    }

    /// Sends a chunk of the body once there is enough credit.
    pub(crate) async fn send_chunk(&mut self, bytes: Bytes) -> Result<(), EntryDisconnected> {
        self.credit.acquire(bytes.len()).await;
        let sequence = self.answer.chunk_count();
        self.answer.push(sequence, bytes.clone());
        self.sent_bytes += bytes.len();
        if is_relayed(&self.headers, self.sent_bytes) {
            self.relay_status.set_started();
        }
        self.send(ToEntry::Data { id: self.id, sequence, bytes }).await
    }

    /// Sends the end of a complete answer.
    pub(crate) async fn send_end(&mut self) -> Result<(), EntryDisconnected> {
        let (chunks, digest) = (self.answer.chunk_count(), self.answer.digest());
        self.send(ToEntry::End { id: self.id, chunks, digest }).await
    }

    /// Reports that the answer will not be completed.
    pub(crate) async fn send_failure(
        &mut self,
        failure: ExecutionFailure,
    ) -> Result<(), EntryDisconnected> {
        self.send(ToEntry::Failed { id: self.id, failure }).await
    }

    /// Reports that the attempt will never be run.
    pub(crate) async fn send_refusal(
        &mut self,
        reason: RefusalReason,
    ) -> Result<(), EntryDisconnected> {
        self.send(ToEntry::Refused { id: self.id, reason }).await
    }

    async fn send(&self, frame: ToEntry) -> Result<(), EntryDisconnected> {
        self.outbound.send(frame).await.map_err(|_| EntryDisconnected)
    }
}
