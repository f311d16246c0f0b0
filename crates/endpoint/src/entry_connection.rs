//! The server side of a connection from an entry: reads frames, starts attempts and writes answers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lynxmount_core::{Error, Result, Step, invalid, timed_out};
use lynxmount_node::Counter;
use lynxmount_resources::{Reservation, TrackedConnection};
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

/// Largest hello frame in bytes.
const MAX_HELLO_BYTES: usize = 4 * 1024;

/// Frames up to this size are part of the connection's own memory.
const MAX_UNRESERVED_FRAME_BYTES: usize = 8 * 1024;

/// How long a frame may take from its first byte on. A peer that stops midway holds its memory.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a frame for which there is no memory is tried again.
const MEMORY_RETRY_PERIOD: Duration = Duration::from_millis(20);

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
    /// The connection in the resource budget of the process.
    pub(crate) tracked: Arc<TrackedConnection>,
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

/// An attempt that was read and not started, and the memory for it if its frame was large.
struct ReadAttempt {
    dispatch: Dispatch,
    control: AttemptControl,
    memory: Option<Reservation>,
}

type ReadFrame = (ToEndpoint, Option<Reservation>);

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
        let greeted = tokio::select! {
            greeted = self.handshake(stream) => greeted,
            () = self.tracked.evicted() => return,
        };
        let Ok((reader, writer)) = greeted else { return };
        // Entries keep their connections; only strangers are unused.
        self.tracked.on_request_complete();
        let (outbound, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let stop_writing = CancellationToken::new();
        let writer_task = tokio::spawn(write(writer, frames, stop_writing.clone()));
        let registration = self.reporter.register(outbound.clone());
        let attempts = RunningAttempts::default();
        tokio::select! {
            _ = self.read(reader, &outbound, &attempts) => {}
            () = closing.cancelled() => {}
            () = self.tracked.evicted() => {}
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
        let hello = async {
            match reader.next_length().await? {
                Some(length) if length > MAX_HELLO_BYTES => {
                    let detail = format!("a first frame of {length} bytes");
                    Err(self.refuse_frame(invalid(Step::Connect, peer, detail)))
                }
                _ => reader.next().await,
            }
        };
        let hello = tokio::time::timeout(HELLO_TIMEOUT, hello)
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
        while let Some((frame, memory)) =
            self.next_frame(&mut reader, &mut read_ahead, outbound, attempts).await?
        {
            match frame {
                ToEndpoint::Hello { .. } => return Err(unexpected(&self.peer, Some(frame))),
                ToEndpoint::Dispatch(dispatch) => {
                    let admitted = attempts.add(dispatch.id);
                    let read = |control| ReadAttempt { dispatch: *dispatch, control, memory };
                    read_ahead.extend(admitted.map(read));
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
        read_ahead: &mut Vec<ReadAttempt>,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &RunningAttempts,
    ) -> Result<Option<ReadFrame>> {
        if read_ahead.len() < MAX_READ_AHEAD && !read_ahead.is_empty() {
            tokio::select! {
                biased;
                frame = self.read_frame(reader) => return frame,
                () = self.wait_after_pause() => {}
            }
        }
        for attempt in read_ahead.drain(..) {
            self.start(attempt, outbound, attempts);
        }
        self.read_frame(reader).await
    }

    /// Reads a frame once there is memory for it: until then the entry can't send more.
    async fn read_frame(&self, reader: &mut Reader) -> Result<Option<ReadFrame>> {
        let Some(length) = reader.next_length().await? else { return Ok(None) };
        if length <= MAX_UNRESERVED_FRAME_BYTES {
            return Ok(reader.next().await?.map(|frame| (frame, None)));
        }
        let max_bytes = self.tracked.max_body_bytes();
        if length > max_bytes {
            let detail = format!("a frame of {length} bytes is more than this process may hold");
            return Err(self.refuse_frame(invalid(Step::ReadResponse, self.peer.as_str(), detail)));
        }
        // The buffer of the frame, and the body that is copied from it.
        let mut memory = self.wait_for_memory((2 * length).min(max_bytes)).await;
        let frame = tokio::time::timeout(FRAME_TIMEOUT, reader.next()).await;
        let late = |_| {
            let detail = "frame not received in time";
            self.refuse_frame(timed_out(Step::ReadResponse, self.peer.as_str(), detail))
        };
        memory.shrink_to(length);
        Ok(frame.map_err(late)??.map(|frame| (frame, Some(memory))))
    }

    /// Counts and logs a frame that ends its connection.
    fn refuse_frame(&self, error: Error) -> Error {
        self.runner.node.counters().count(Counter::FramesRefused);
        log::warn!("frame refused: {error}");
        error
    }

    async fn wait_for_memory(&self, bytes: usize) -> Reservation {
        loop {
            match self.tracked.reserve(bytes, bytes).await {
                Ok(memory) => return memory,
                Err(_) => tokio::time::sleep(MEMORY_RETRY_PERIOD).await,
            }
        }
    }

    async fn wait_after_pause(&self) {
        let settle_time = self.pauses.settle_time();
        if !settle_time.is_zero() {
            tokio::time::sleep(settle_time).await;
        }
    }

    fn start(
        &self,
        attempt: ReadAttempt,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &RunningAttempts,
    ) {
        let ReadAttempt { dispatch, control, memory } = attempt;
        let id = dispatch.id;
        let sender = AnswerSender::new(id, outbound.clone(), control.credit);
        let runner = Arc::clone(&self.runner);
        let attempts = attempts.clone();
        tokio::spawn(async move {
            if !control.cancel.is_cancelled() {
                runner.run(dispatch, sender, control.cancel).await;
            }
            attempts.remove(id);
            drop(memory);
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
