//! Sending an answer to an entry, no faster than it is passed on.

use std::sync::Arc;

use bytes::Bytes;
use lynxmount_wire::{AttemptId, Failure, Header, RefusalReason, ResponseAssembler, ToEntry};
use tokio::sync::{Semaphore, mpsc};

/// How many bytes may be under way before the entry gives credit.
const WINDOW_BYTES: u32 = 512 * 1024;

/// How many more bytes may be sent.
#[derive(Clone, Debug)]
pub(crate) struct Credit(Arc<Semaphore>);

impl Default for Credit {
    /// Starts with a whole window.
    fn default() -> Credit {
        Credit(Arc::new(Semaphore::new(WINDOW_BYTES as usize)))
    }
}

impl Credit {
    /// Allows that many more bytes.
    pub(crate) fn add(&self, bytes: u32) {
        self.0.add_permits(bytes as usize);
    }

    async fn take(&self, bytes: usize) {
        // A piece larger than the window takes the whole window.
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(WINDOW_BYTES);
        if let Ok(permit) = self.0.acquire_many(bytes).await {
            permit.forget();
        }
    }
}

/// The entry has gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryGone;

/// The sending end of one attempt's answer.
pub(crate) struct Output {
    id: AttemptId,
    outbound: mpsc::Sender<ToEntry>,
    credit: Credit,
    answer: ResponseAssembler,
}

impl Output {
    pub(crate) fn new(id: AttemptId, outbound: mpsc::Sender<ToEntry>, credit: Credit) -> Output {
        Output { id, outbound, credit, answer: ResponseAssembler::default() }
    }

    /// Sends status and headers.
    ///
    /// Fails if the entry has gone, as all that follow do.
    pub(crate) async fn head(
        &mut self,
        status: u16,
        headers: Vec<Header>,
    ) -> Result<(), EntryGone> {
        self.send(ToEntry::Head { id: self.id, status, headers }).await
    }

    /// Sends a piece of the body once the entry has room for it.
    pub(crate) async fn piece(&mut self, bytes: Bytes) -> Result<(), EntryGone> {
        self.credit.take(bytes.len()).await;
        let sequence = self.answer.chunk_count();
        self.answer.push(sequence, bytes.clone());
        self.send(ToEntry::Data { id: self.id, sequence, bytes }).await
    }

    /// Says that the answer is whole.
    pub(crate) async fn end(&mut self) -> Result<(), EntryGone> {
        let (chunks, digest) = (self.answer.chunk_count(), self.answer.digest());
        self.send(ToEntry::End { id: self.id, chunks, digest }).await
    }

    /// Says that the answer will not become whole.
    pub(crate) async fn failed(&mut self, failure: Failure) -> Result<(), EntryGone> {
        self.send(ToEntry::Failed { id: self.id, failure }).await
    }

    /// Says that the attempt will never be run.
    pub(crate) async fn refused(&mut self, reason: RefusalReason) -> Result<(), EntryGone> {
        self.send(ToEntry::Refused { id: self.id, reason }).await
    }

    async fn send(&self, frame: ToEntry) -> Result<(), EntryGone> {
        self.outbound.send(frame).await.map_err(|_| EntryGone)
    }
}
