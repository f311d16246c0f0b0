//! The answer of a keyed request, kept for callers who repeat the key.

use bytes::Bytes;
use lynxmount_wire::{Failure, Header, RefusalReason};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::output::{EntryGone, Output};

/// How a recorded run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordingEnd {
    /// It has no whole answer.
    Failed(Failure),
    /// It never reached the back end.
    Refused(RefusalReason),
    /// The answer is whole.
    Whole,
}

#[derive(Debug, Default)]
struct Recorded {
    head: Option<(u16, Vec<Header>)>,
    pieces: Vec<Bytes>,
    end: Option<RecordingEnd>,
}

/// An answer that grows while it is run; any number of readers follow it.
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

/// What a reader has not sent yet.
struct News {
    head: Option<(u16, Vec<Header>)>,
    pieces: Vec<Bytes>,
    end: Option<RecordingEnd>,
}

impl Recording {
    pub(crate) fn set_head(&self, status: u16, headers: Vec<Header>) {
        self.change(|recorded| recorded.head = Some((status, headers)));
    }

    pub(crate) fn add_piece(&self, bytes: Bytes) {
        self.change(|recorded| recorded.pieces.push(bytes));
    }

    pub(crate) fn set_end(&self, end: RecordingEnd) {
        self.change(|recorded| recorded.end = Some(end));
    }

    /// How many bytes the recording holds.
    pub(crate) fn len_bytes(&self) -> usize {
        self.recorded.lock().pieces.iter().map(Bytes::len).sum()
    }

    /// Sends the answer from its beginning to its end.
    ///
    /// Fails if the entry has gone.
    pub(crate) async fn play(&self, output: &mut Output) -> Result<(), EntryGone> {
        let mut changes = self.changed.subscribe();
        let (mut head_sent, mut pieces_sent) = (false, 0);
        loop {
            changes.mark_unchanged();
            let news = self.news(head_sent, pieces_sent);
            if let Some((status, headers)) = news.head {
                output.head(status, headers).await?;
                head_sent = true;
            }
            for piece in news.pieces {
                output.piece(piece).await?;
                pieces_sent += 1;
            }
            match news.end {
                Some(RecordingEnd::Whole) => return output.end().await,
                Some(RecordingEnd::Failed(failure)) => return output.failed(failure).await,
                Some(RecordingEnd::Refused(reason)) => return output.refused(reason).await,
                None => {}
            }
            if changes.changed().await.is_err() {
                return output.failed(Failure::Backend).await;
            }
        }
    }

    fn change(&self, change: impl FnOnce(&mut Recorded)) {
        change(&mut self.recorded.lock());
        self.changed.send_modify(|generation| *generation += 1);
    }

    fn news(&self, head_sent: bool, pieces_sent: usize) -> News {
        let recorded = self.recorded.lock();
        News {
            head: recorded.head.clone().filter(|_| !head_sent),
            pieces: recorded.pieces[pieces_sent..].to_vec(),
            end: recorded.end,
        }
    }
}
