//! The connection to one endpoint process.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use lynxmount_audit::AuditEvent;
use lynxmount_config::Endpoint;
use lynxmount_core::{
    EndpointIncarnation, Error, Incarnation, Result, Step, indeterminate, invalid, timed_out,
    unreachable,
};
use lynxmount_node::{Counter, NodeHandle};
use lynxmount_policy::{Candidate, ChoiceOptions};
use lynxmount_suspects::SharedQuarantine;
use lynxmount_wire::{
    AttemptId, FrameReader, FrameWriter, LoadReport, PROTOCOL_VERSION, ToEndpoint, ToEntry,
};
use parking_lot::Mutex;
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::AbortHandle,
};

use crate::gate::Gates;

/// How long a connection may take to open, the greeting included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause before a lost connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// How long an endpoint may be silent. It reports at least three times as often.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to look for frames that came while this process was paused.
const AFTER_PAUSE: Duration = Duration::from_millis(100);

/// How many frames may wait to be written to one endpoint.
const MAX_FRAMES_WAITING: usize = 4_096;

/// The receiving end of one attempt's frames.
pub(crate) type Mailbox = mpsc::UnboundedReceiver<ToEntry>;

type Reader = FrameReader<OwnedReadHalf, ToEntry>;
type Writer = FrameWriter<OwnedWriteHalf, ToEndpoint>;

/// What is known of an endpoint.
pub(crate) struct Link {
    /// The endpoint, as the fleet file has it.
    pub(crate) endpoint: Endpoint,
    /// Whether it stands in this entry's failure domain.
    is_local: bool,
    suspects: Arc<SharedQuarantine>,
    own_running: AtomicU32,
    last_chosen: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    connection: Option<Connection>,
    report: LoadReport,
    reported_at: Option<Instant>,
    /// Work of other entries, as of the last report.
    others_running: u32,
    /// Set when the endpoint refused for want of places; cleared by a report.
    is_full: bool,
}

struct Connection {
    incarnation: Incarnation,
    outbound: mpsc::Sender<ToEndpoint>,
    mailboxes: HashMap<AttemptId, mpsc::UnboundedSender<ToEntry>>,
    writing: AbortHandle,
}

/// Attempts whose frames still wait are lost with the connection; an endpoint that wakes
/// must not be given them.
impl Drop for Connection {
    fn drop(&mut self) {
        self.writing.abort();
    }
}

impl Link {
    pub(crate) fn new(endpoint: Endpoint, is_local: bool, suspects: Arc<SharedQuarantine>) -> Link {
        Link {
            endpoint,
            is_local,
            suspects,
            own_running: AtomicU32::new(0),
            last_chosen: AtomicU64::new(0),
            state: Mutex::default(),
        }
    }

    /// The life of the connected endpoint process, if it is connected.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.state.lock().connection.as_ref().map(|connection| connection.incarnation)
    }

    /// What is known of the endpoint's load; `None` if it can't take an attempt
    /// now.
    pub(crate) fn candidate(&self, max_running: u32) -> Option<Candidate> {
        let state = self.state.lock();
        let own = self.own_running.load(Ordering::Relaxed);
        let can_take = state.connection.is_some() && !state.report.draining && !state.is_full;
        let others = state.others_running + state.report.waiting;
        let candidate = Candidate {
            own_load: f64::from(own) / f64::from(max_running),
            others_load: f64::from(others) / f64::from(max_running),
            report_age: state.reported_at.map_or(Duration::ZERO, |at| at.elapsed()),
            last_chosen: self.last_chosen.load(Ordering::Relaxed),
            is_local: self.is_local,
        };
        // What others had there a while ago may have ended; if not, the endpoint
        // refuses, and counts as full until its next report.
        let has_place = candidate.expected_load(ChoiceOptions::default()) < 1.0;
        (can_take && state.report.backend_up && has_place).then_some(candidate)
    }

    /// Says whether the endpoint could take attempts if it had places.
    pub(crate) fn is_serving(&self) -> bool {
        let state = self.state.lock();
        state.connection.is_some() && !state.report.draining && state.report.backend_up
    }

    /// Notes that the endpoint was chosen, by a count of the gate's choices.
    pub(crate) fn note_chosen(&self, choices: u64) {
        self.last_chosen.store(choices, Ordering::Relaxed);
    }

    /// Counts an attempt as running there.
    pub(crate) fn reserve(&self) {
        self.own_running.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt as ended there.
    pub(crate) fn release(&self) {
        self.own_running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes that the endpoint refused for want of places.
    pub(crate) fn note_full(&self) {
        self.state.lock().is_full = true;
    }

    /// Notes that the endpoint refused because it is leaving.
    pub(crate) fn note_draining(&self) {
        self.state.lock().report.draining = true;
    }

    /// Notes that the endpoint could not reach its back end.
    pub(crate) fn note_backend_down(&self) {
        self.state.lock().report.backend_up = false;
    }

    /// Opens a mailbox for an attempt and queues its first frame.
    ///
    /// Fails if the frame was not queued and never will be sent.
    pub(crate) fn open(&self, id: AttemptId, first: ToEndpoint) -> Result<Mailbox> {
        let mut state = self.state.lock();
        let peer = &self.endpoint.id;
        let Some(connection) = state.connection.as_mut() else {
            return Err(unreachable(Step::Dispatch, peer, "not connected"));
        };
        connection.outbound.try_send(first).map_err(|e| unreachable(Step::Dispatch, peer, e))?;
        let (sender, mailbox) = mpsc::unbounded_channel();
        connection.mailboxes.insert(id, sender);
        Ok(mailbox)
    }

    /// Queues a further frame of an attempt; it is lost if the connection is.
    pub(crate) fn send(&self, frame: ToEndpoint) {
        if let Some(connection) = &self.state.lock().connection {
            let _ = connection.outbound.try_send(frame);
        }
    }

    /// Closes an attempt's mailbox.
    pub(crate) fn close(&self, id: AttemptId) {
        if let Some(connection) = &mut self.state.lock().connection {
            connection.mailboxes.remove(&id);
        }
    }

    /// Keeps a connection open for as long as the task runs.
    pub(crate) async fn run(self: Arc<Link>, node: NodeHandle, gates: Arc<Gates>) {
        let mut was_up = true;
        loop {
            let error = match self.connect(&node).await {
                Ok((reader, incarnation)) => {
                    was_up = true;
                    let endpoint = self.endpoint.id.clone();
                    node.audit(AuditEvent::EndpointUp { endpoint, incarnation });
                    let error = self.read(reader, &node, &gates).await;
                    self.disconnect();
                    error
                }
                Err(error) => error,
            };
            // Only the change of state is told, not each failed try.
            if std::mem::take(&mut was_up) {
                let endpoint = self.endpoint.id.clone();
                node.audit(AuditEvent::EndpointDown { endpoint, why: error.to_string() });
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn connect(&self, node: &NodeHandle) -> Result<(Reader, Incarnation)> {
        let peer = &self.endpoint.id;
        let greeting = self.greet(node);
        let (mut reader, writer) = tokio::time::timeout(CONNECT_TIMEOUT, greeting)
            .await
            .map_err(|_| timed_out(Step::Connect, peer, "no greeting in time"))??;
        let welcome = tokio::time::timeout(CONNECT_TIMEOUT, reader.next())
            .await
            .map_err(|_| timed_out(Step::Connect, peer, "no welcome in time"))??;
        let Some(ToEntry::Welcome { incarnation }) = welcome else {
            return Err(invalid(Step::Connect, peer, "the first frame is no welcome"));
        };
        let (outbound, frames) = mpsc::channel(MAX_FRAMES_WAITING);
        let writing = tokio::spawn(write(writer, frames)).abort_handle();
        let mut state = self.state.lock();
        // Until the first report nothing is known, so the endpoint gets nothing.
        state.report = LoadReport::default();
        state.connection =
            Some(Connection { incarnation, outbound, mailboxes: HashMap::new(), writing });
        Ok((reader, incarnation))
    }

    async fn greet(&self, node: &NodeHandle) -> Result<(Reader, Writer)> {
        let peer = &self.endpoint.id;
        let stream = TcpStream::connect(self.endpoint.data_address)
            .await
            .map_err(|e| unreachable(Step::Connect, peer, e))?;
        stream.set_nodelay(true).map_err(|e| unreachable(Step::Connect, peer, e))?;
        let (read, write) = stream.into_split();
        let mut writer = FrameWriter::new(write, &**peer);
        let process = node.settings().process_id.clone();
        writer.send(&ToEndpoint::Hello { protocol_version: PROTOCOL_VERSION, process }).await?;
        Ok((FrameReader::new(read, &**peer), writer))
    }

    /// Reads frames until the connection breaks or the endpoint is silent.
    async fn read(&self, mut reader: Reader, node: &NodeHandle, gates: &Gates) -> Error {
        let peer = &self.endpoint.id;
        loop {
            match self.read_frame(&mut reader).await {
                Err(error) => return error,
                Ok(None) => return indeterminate(Step::ReadAnswer, peer, "connection closed"),
                Ok(Some(ToEntry::Report(report))) => self.take_report(report, node, gates),
                Ok(Some(ToEntry::BackendCrashed { incarnation })) => {
                    self.on_backend_crashed(incarnation)
                }
                Ok(Some(frame)) => self.deliver(frame, node),
            }
        }
    }

    async fn read_frame(&self, reader: &mut Reader) -> Result<Option<ToEntry>> {
        if let Ok(frame) = tokio::time::timeout(SILENCE_TIMEOUT, reader.next()).await {
            return frame;
        }
        // If this process itself was paused, its timers fire before its sockets
        // are looked at; frames that came meanwhile are there at once.
        match tokio::time::timeout(AFTER_PAUSE, reader.next()).await {
            Ok(frame) => frame,
            Err(_) => Err(timed_out(Step::ReadAnswer, &self.endpoint.id, "silent for too long")),
        }
    }

    fn on_backend_crashed(&self, incarnation: EndpointIncarnation) {
        let calls = self.suspects.on_crashed(incarnation);
        log::warn!(endpoint = &*self.endpoint.id, calls = calls.len(); "endpoint crashed");
    }

    fn take_report(&self, report: LoadReport, node: &NodeHandle, gates: &Gates) {
        let own = self.own_running.load(Ordering::Relaxed);
        {
            let mut state = self.state.lock();
            state.report = report;
            state.reported_at = Some(Instant::now());
            state.others_running = report.running.saturating_sub(own);
            state.is_full = false;
        }
        if report.config_version > node.view().version() {
            node.on_newer_peer_config();
        }
        gates.wake(&self.endpoint.service);
    }

    fn deliver(&self, frame: ToEntry, node: &NodeHandle) {
        let Some(id) = frame.attempt() else { return };
        let state = self.state.lock();
        let mailbox =
            state.connection.as_ref().and_then(|connection| connection.mailboxes.get(&id));
        let is_delivered = mailbox.is_some_and(|mailbox| mailbox.send(frame).is_ok());
        if !is_delivered {
            node.counters().count(Counter::FramesDropped);
        }
    }

    /// Forgets the connection; attempts see their mailboxes close.
    fn disconnect(&self) {
        let mut state = self.state.lock();
        state.connection = None;
        state.others_running = 0;
    }
}

async fn write(mut writer: Writer, mut frames: mpsc::Receiver<ToEndpoint>) {
    // A broken connection shows at the reading side too, which reports it.
    let _ = writer.drain(&mut frames).await;
}
