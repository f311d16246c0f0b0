//! The destination of a run's answer: an entry or a recording.

use std::sync::Arc;

use bytes::Bytes;
use lynxmount_wire::Header;

use crate::{
    answer_sender::AnswerSender,
    recording::{Recording, RunEnd},
};

/// An answer's status and headers.
pub(crate) type AnswerHead = (u16, Vec<Header>);

/// The destination of a run's answer.
pub(crate) enum AnswerSink {
    /// The entry that sent the attempt.
    Direct(AnswerSender),
    /// A recording, from which the answer is replayed.
    Recorded(Arc<Recording>),
}

impl AnswerSink {
    /// Writes the head; `None` if it was written before.
    pub(crate) async fn write_head(&mut self, head: Option<AnswerHead>) {
        let Some((status, headers)) = head else { return };
        match self {
            // A disconnected entry cancels the run, as its connection is closed.
            AnswerSink::Direct(sender) => {
                let _ = sender.send_head(status, headers).await;
            }
            AnswerSink::Recorded(recording) => recording.set_head(status, headers),
        }
    }

    /// Writes a chunk of the body.
    pub(crate) async fn write_chunk(&mut self, bytes: Bytes) {
        match self {
            AnswerSink::Direct(sender) => {
                let _ = sender.send_chunk(bytes).await;
            }
            AnswerSink::Recorded(recording) => recording.add_chunk(bytes),
        }
    }

    /// Writes the end.
    pub(crate) async fn write_end(&mut self, end: RunEnd) {
        match (self, end) {
            (AnswerSink::Recorded(recording), end) => recording.set_end(end),
            (AnswerSink::Direct(sender), end) => send_end(sender, end).await,
        }
    }
}

async fn send_end(sender: &mut AnswerSender, end: RunEnd) {
    // A disconnected entry needs no end.
    let _ = match end {
        RunEnd::Failed(failure) => sender.send_failure(failure).await,
        RunEnd::Refused(reason) => sender.send_refusal(reason).await,
        RunEnd::Complete => sender.send_end().await,
    };
}
