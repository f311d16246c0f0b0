//! Where a run's answer goes.

use std::sync::Arc;

use bytes::Bytes;
use lynxmount_wire::Header;

use crate::{
    output::Output,
    recording::{Recording, RecordingEnd},
};

/// An answer's status and headers.
pub(crate) type AnswerHead = (u16, Vec<Header>);

/// Where a run's answer goes.
pub(crate) enum Sink {
    Direct(Output),
    Recorded(Arc<Recording>),
}

impl Sink {
    /// Passes the head on, unless it was passed on before.
    pub(crate) async fn head(&mut self, head: Option<AnswerHead>) {
        let Some((status, headers)) = head else { return };
        match self {
            // An entry that has gone cancels the run by closing its connection.
            Sink::Direct(output) => {
                let _ = output.head(status, headers).await;
            }
            Sink::Recorded(recording) => recording.set_head(status, headers),
        }
    }

    /// Passes a piece of the body on.
    pub(crate) async fn piece(&mut self, bytes: Bytes) {
        match self {
            Sink::Direct(output) => {
                let _ = output.piece(bytes).await;
            }
            Sink::Recorded(recording) => recording.add_piece(bytes),
        }
    }

    /// Passes the end on.
    pub(crate) async fn end(&mut self, end: RecordingEnd) {
        match (self, end) {
            (Sink::Recorded(recording), end) => recording.set_end(end),
            (Sink::Direct(output), end) => send_end(output, end).await,
        }
    }
}

async fn send_end(output: &mut Output, end: RecordingEnd) {
    // An entry that has gone needs no end.
    let _ = match end {
        RecordingEnd::Failed(failure) => output.failed(failure).await,
        RecordingEnd::Refused(reason) => output.refused(reason).await,
        RecordingEnd::Whole => output.end().await,
    };
}
