//! One entry's connection.

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
    output::{Credit, Output},
    reports::Reports,
    runner::Runner,
};

/// How long an entry may take to greet.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// How many frames may wait to be written to one entry.
const MAX_FRAMES_WAITING: usize = 1_024;

/// How many attempts are read at most before the first of them starts.
const MAX_READ_AHEAD: usize = 1_024;

type Reader = FrameReader<OwnedReadHalf, ToEndpoint>;

/// What one connection needs.
pub(crate) struct Connection {
    pub(crate) runner: Arc<Runner>,
    pub(crate) reports: Arc<Reports>,
    pub(crate) peer: String,
}

/// The attempts of one connection that are in progress.
#[derive(Clone, Default)]
pub(crate) struct Attempts(Arc<Mutex<HashMap<AttemptId, Running>>>);

/// How an attempt in progress is steered.
#[derive(Clone)]
struct Running {
    credit: Credit,
    cancel: CancellationToken,
}

impl Attempts {
    /// Removes an attempt that has ended.
    pub(crate) fn remove(&self, id: AttemptId) {
        self.0.lock().remove(&id);
    }

    /// Adds an attempt; `None` if it is there already, as when a frame was
    /// doubled.
    fn add(&self, id: AttemptId) -> Option<Running> {
        let running = Running { credit: Credit::default(), cancel: CancellationToken::new() };
        let mut attempts = self.0.lock();
        if attempts.contains_key(&id) {
            return None;
        }
        attempts.insert(id, running.clone());
        Some(running)
    }

    fn get(&self, id: AttemptId) -> Option<Running> {
        self.0.lock().get(&id).cloned()
    }

    fn cancel_all(&self) {
        self.0.lock().values().for_each(|running| running.cancel.cancel());
    }
}

impl Connection {
    /// Serves the entry until it goes away, or until `closing`.
    pub(crate) async fn serve(self, stream: TcpStream, closing: CancellationToken) {
        let Ok((reader, writer)) = self.greet(stream).await else { return };
        let (outbound, frames) = mpsc::channel(MAX_FRAMES_WAITING);
        let stop_writing = CancellationToken::new();
        let writing = tokio::spawn(write(writer, frames, stop_writing.clone()));
        let registration = self.reports.register(outbound.clone());
        let attempts = Attempts::default();
        tokio::select! {
            _ = self.read(reader, &outbound, &attempts) => {}
            () = closing.cancelled() => {}
        }
        // Nobody waits any more for the attempts of an entry that has gone.
        attempts.cancel_all();
        drop(registration);
        drop(outbound);
        stop_writing.cancel();
        let _ = writing.await;
    }

    async fn greet(
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
            .map_err(|_| timed_out(Step::Connect, peer, "no hello in time"))??;
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
        attempts: &Attempts,
    ) -> Result<()> {
        let mut read_ahead = Vec::new();
        while let Some(frame) = self.next(&mut reader, &mut read_ahead, outbound, attempts).await? {
            match frame {
                ToEndpoint::Hello { .. } => return Err(unexpected(&self.peer, Some(frame))),
                ToEndpoint::Dispatch(dispatch) => {
                    let admitted = attempts.add(dispatch.id);
                    read_ahead.extend(admitted.map(|running| (*dispatch, running)));
                }
                ToEndpoint::Cancel(id) => {
                    if let Some(running) = attempts.get(id) {
                        running.cancel.cancel();
                    }
                }
                ToEndpoint::Credit { id, bytes } => {
                    if let Some(running) = attempts.get(id) {
                        running.credit.add(bytes);
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads the next frame; attempts that were read start once no frame follows. A process
    /// that was frozen finds cancellations, or the end of the connection, behind them.
    async fn next(
        &self,
        reader: &mut Reader,
        read_ahead: &mut Vec<(Dispatch, Running)>,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &Attempts,
    ) -> Result<Option<ToEndpoint>> {
        if read_ahead.len() < MAX_READ_AHEAD && !read_ahead.is_empty() {
            tokio::select! {
                biased;
                frame = reader.next() => return frame,
                () = std::future::ready(()) => {}
            }
        }
        for (dispatch, running) in read_ahead.drain(..) {
            self.start(dispatch, running, outbound, attempts);
        }
        reader.next().await
    }

    fn start(
        &self,
        dispatch: Dispatch,
        running: Running,
        outbound: &mpsc::Sender<ToEntry>,
        attempts: &Attempts,
    ) {
        let id = dispatch.id;
        let output = Output::new(id, outbound.clone(), running.credit);
        let runner = Arc::clone(&self.runner);
        let attempts = attempts.clone();
        tokio::spawn(async move {
            if !running.cancel.is_cancelled() {
                runner.run(dispatch, output, running.cancel).await;
            }
            attempts.remove(id);
        });
    }
}

fn unexpected(peer: &str, frame: Option<ToEndpoint>) -> Error {
    invalid(Step::Connect, peer, format!("unexpected frame {frame:?}"))
}

/// Writes frames until the connection breaks, or until it is told to stop and
/// has written what was waiting.
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
