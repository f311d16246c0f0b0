//! Records the answer of a request with an idempotency key and replays it to repeated requests.

use bytes::Bytes;
use lynxmount_wire::{ExecutionFailure, Header, RefusalReason};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::answer_sender::{AnswerSender, EntryDisconnected};

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    /// It has no complete answer.
    Failed(ExecutionFailure),
    /// It did not reach the back end.
    Refused(RefusalReason),
    /// The answer is complete.
    Complete,
}

#[derive(Debug, Default)]
struct Recorded {
    head: Option<(u16, Vec<Header>)>,
    chunks: Vec<Bytes>,
    end: Option<RunEnd>,
}

/// An answer that is recorded while the request runs; any number of readers can follow it.
#[derive(Debug)]
pub(crate) struct Recording {
    recorded: Mutex<Recorded>,
    changed: watch::Sender<u64>,
}

impl Default for Recording {
    /// Starts empty.
    fn default() -> Recording {
        Recording { recorded: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

/// The part of a recording that a reader has not sent yet.
struct UnsentParts {
    head: Option<(u16, Vec<Header>)>,
    chunks: Vec<Bytes>,
    end: Option<RunEnd>,
}

impl Recording {
    pub(crate) fn set_head(&self, status: u16, headers: Vec<Header>) {
        self.update(|recorded| recorded.head = Some((status, headers)));
    }

    pub(crate) fn add_chunk(&self, bytes: Bytes) {
        self.update(|recorded| recorded.chunks.push(bytes));
    }

    pub(crate) fn set_end(&self, end: RunEnd) {
        self.update(|recorded| recorded.end = Some(end));
    }

    /// The size of the recorded body.
    pub(crate) fn len_bytes(&self) -> usize {
        self.recorded.lock().chunks.iter().map(Bytes::len).sum()
    }

    /// Sends the answer from its start to its end, waiting for parts that are not recorded yet.
    ///
    /// Fails if the entry has disconnected.
    pub(crate) async fn replay(&self, sender: &mut AnswerSender) -> Result<(), EntryDisconnected> {
        let mut changes = self.changed.subscribe();
        let (mut is_head_sent, mut sent_chunks) = (false, 0);
        loop {
            changes.mark_unchanged();
            let unsent = self.unsent(is_head_sent, sent_chunks);
            if let Some((status, headers)) = unsent.head {
                sender.send_head(status, headers).await?;
                is_head_sent = true;
            }
            for chunk in unsent.chunks {
                sender.send_chunk(chunk).await?;
                sent_chunks += 1;
            }
            match unsent.end {
                Some(RunEnd::Complete) => return sender.send_end().await,
                Some(RunEnd::Failed(failure)) => return sender.send_failure(failure).await,
                Some(RunEnd::Refused(reason)) => return sender.send_refusal(reason).await,
                None => {}
            }
            if changes.changed().await.is_err() {
                return sender.send_failure(ExecutionFailure::Backend).await;
            }
        }
    }

    fn update(&self, update: impl FnOnce(&mut Recorded)) {
        update(&mut self.recorded.lock());
        self.changed.send_modify(|generation| *generation += 1);
    }

    fn unsent(&self, is_head_sent: bool, sent_chunks: usize) -> UnsentParts {
        let recorded = self.recorded.lock();
        UnsentParts {
            head: recorded.head.clone().filter(|_| !is_head_sent),
            chunks: recorded.chunks[sent_chunks..].to_vec(),
            end: recorded.end,
        }
    }
}
