//! The server side of a connection from an entry: reads frames, starts attempts and writes answers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lynxmount_core::{Error, Result, Step, invalid, timed_out};
use lynxmount_wire::{
    AttemptId, Dispatch, FrameReader, FrameWriter, PROTOCOL_VERSION, ToEndpoint, ToEntry,
};
use parking_lot::Mutex;
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
};
use tokio_util::sync::CancellationToken;

use crate::{
    answer_sender::{AnswerSender, Credit},
    attempt_runner::AttemptRunner,
    load_reporter::LoadReporter,
    pause_watch::PauseWatch,
};

/// How long an entry may take to send its hello frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of the queue of frames to write to one entry.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// The largest number of attempts that are read before the first of them is started.
const MAX_READ_AHEAD: usize = 1_024;

type Reader = FrameReader<OwnedReadHalf, ToEndpoint>;

/// A connection of one entry.
pub(crate) struct EntryConnection {
    pub(crate) runner: Arc<AttemptRunner>,
    pub(crate) reporter: Arc<LoadReporter>,
    pub(crate) pauses: Arc<PauseWatch>,
    pub(crate) peer: String,
}

/// The attempts of one connection that are in progress.
#[derive(Clone, Default)]
pub(crate) struct RunningAttempts(Arc<Mutex<HashMap<AttemptId, AttemptControl>>>);

/// Flow control and cancellation of an attempt in progress.
#[derive(Clone)]
struct AttemptControl {
    credit: Credit,
    cancel: CancellationToken,
}

impl RunningAttempts {
    /// Removes an attempt that has ended.
    pub(crate) fn remove(&self, id: AttemptId) {
        self.0.lock().remove(&id);
    }

    /// Adds an attempt; `None` if it was added before, as when a frame is duplicated.
    fn add(&self, id: AttemptId) -> Option<AttemptControl> {
        let control =
            AttemptControl { credit: Credit::default(), cancel: CancellationToken::new() };
        let mut attempts = self.0.lock();
        if attempts.contains_key(&id) {
            return None;
        }
        attempts.insert(id, control.clone());
        Some(control)
    }

    fn get(&self, id: AttemptId) -> Option<AttemptControl> {
        self.0.lock().get(&id).cloned()
    }

    fn cancel_all(&self) {
        self.0.lock().values().for_each(|control| control.cancel.cancel());
    }
}

impl EntryConnection {
    /// Serves the entry until it disconnects or `closing` is cancelled.
    pub(crate) async fn serve(self, stream: TcpStream, closing: CancellationToken) {
        let Ok((reader, writer)) = self.handshake(stream).await else { return };
        let (outbound, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let stop_writing = CancellationToken::new();
        let writer_task = tokio::spawn(write(writer, frames, stop_writing.clone()));
        let registration = self.reporter.register(outbound.clone());
        let attempts = RunningAttempts::default();
        tokio::select! {
            _ = self.read(reader, &outbound, &attempts) => {}
            () = closing.cancelled() => {}
        }
        // The attempts of a disconnected entry have no caller.
        attempts.cancel_all();
        drop(registration);
        drop(outbound);
        stop_writing.cancel();
        let _ = writer_task.await;
    }

    async fn handshake(
        &self,
        stream: TcpStream,
    ) -> Result<(Reader, FrameWriter<OwnedWriteHalf, ToEntry>)> {
        let peer = self.peer.as_str();
        stream.set_nodelay(true).map_err(|e| invalid(Step::Connect, peer, e))?;
        let (read, write) = stream.into_split();
        let mut reader = FrameReader::new(read, peer);
        let mut writer = FrameWriter::new(write, peer);
        let hello = tokio::time::timeout(HELLO_TIMEOUT, reader.next())
            .await
            .map_err(|_| timed_out(Step::Connect, peer, "hello frame not received in time"))??;
        match hello {
            Some(ToEndpoint::Hello { protocol_version: PROTOCOL_VERSION, .. }) => {}
            other => return Err(unexpected(peer, other)),
        }
        let incarnation = self.runner.node.incarnation();
        writer.send(&ToEntry::Welcome { incarnation }).await?;
        Ok((reader, writer))
    }

    async fn read(
        &self,
        mut reader: Reader,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &RunningAttempts,
    ) -> Result<()> {
        let mut read_ahead = Vec::new();
        while let Some(frame) =
            self.next_frame(&mut reader, &mut read_ahead, outbound, attempts).await?
        {
            match frame {
                ToEndpoint::Hello { .. } => return Err(unexpected(&self.peer, Some(frame))),
                ToEndpoint::Dispatch(dispatch) => {
                    let admitted = attempts.add(dispatch.id);
                    read_ahead.extend(admitted.map(|control| (*dispatch, control)));
                }
                ToEndpoint::Cancel(id) => {
                    if let Some(control) = attempts.get(id) {
                        control.cancel.cancel();
                    }
                }
                ToEndpoint::Credit { id, bytes } => {
                    if let Some(control) = attempts.get(id) {
                        control.credit.add(bytes);
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads the next frame. Attempts that were read are started once no further frame is ready,
    /// and after a pause of this process some time later: cancellations or the end of the
    /// connection follow them.
    async fn next_frame(
        &self,
        reader: &mut Reader,
        read_ahead: &mut Vec<(Dispatch, AttemptControl)>,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &RunningAttempts,
    ) -> Result<Option<ToEndpoint>> {
        if read_ahead.len() < MAX_READ_AHEAD && !read_ahead.is_empty() {
            tokio::select! {
                biased;
                frame = reader.next() => return frame,
                () = self.wait_after_pause() => {}
            }
        }
        for (dispatch, control) in read_ahead.drain(..) {
            self.start(dispatch, control, outbound, attempts);
        }
        reader.next().await
    }

    async fn wait_after_pause(&self) {
        let settle_time = self.pauses.settle_time();
        if !settle_time.is_zero() {
            tokio::time::sleep(settle_time).await;
        }
    }

    fn start(
        &self,
        dispatch: Dispatch,
        control: AttemptControl,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &RunningAttempts,
    ) {
        let id = dispatch.id;
        let sender = AnswerSender::new(id, outbound.clone(), control.credit);
        let runner = Arc::clone(&self.runner);
        let attempts = attempts.clone();
        tokio::spawn(async move {
            if !control.cancel.is_cancelled() {
                runner.run(dispatch, sender, control.cancel).await;
            }
            attempts.remove(id);
        });
    }
}

fn unexpected(peer: &str, frame: Option<ToEndpoint>) -> Error {
    invalid(Step::Connect, peer, format!("unexpected frame {frame:?}"))
}

/// Writes frames until the connection breaks, or until `stop` is cancelled and all queued frames
/// are written.
async fn write(
    mut writer: FrameWriter<OwnedWriteHalf, ToEntry>,
    mut frames: mpsc::Receiver<ToEntry>,
    stop: CancellationToken,
) {
    let is_broken = tokio::select! {
        result = writer.drain(&mut frames) => result.is_err(),
        () = stop.cancelled() => false,
    };
    if !is_broken {
        frames.close();
        let _ = writer.drain(&mut frames).await;
    }
}
