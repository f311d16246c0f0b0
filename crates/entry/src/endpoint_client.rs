//! The client of one endpoint process: one connection, reopened whenever it breaks, over which
//! attempts are multiplexed.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use lynxmount_audit::AuditEvent;
use lynxmount_config::Endpoint;
use lynxmount_core::{
    EndpointIncarnation, Error, Incarnation, Result, Step, indeterminate, invalid, refused,
    timed_out, unreachable,
};
use lynxmount_node::{Counter, NodeHandle};
use lynxmount_policy::{CallOutcome, Candidate, ChoiceOptions, OutlierDetector};
use lynxmount_quarantine::SharedQuarantine;
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

use crate::service_pool::ServicePools;

/// How long opening a connection may take, and after it the wait for the welcome frame.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a lost connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// A connection without frames for this long is closed. Endpoints send load reports at least three
/// times as often.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to read frames that arrived while this process was paused.
const AFTER_PAUSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Capacity of the queue of frames to write to one endpoint.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// The receiver of the frames of one attempt.
pub(crate) type Mailbox = mpsc::UnboundedReceiver<ToEntry>;

type Reader = FrameReader<OwnedReadHalf, ToEntry>;
type Writer = FrameWriter<OwnedWriteHalf, ToEndpoint>;

/// The connection to an endpoint, its latest load report and this entry's attempts there.
pub(crate) struct EndpointClient {
    /// The endpoint, as configured in the fleet file when this client was created.
    pub(crate) endpoint: Endpoint,
    /// Whether the endpoint is in this entry's failure domain.
    is_local: AtomicBool,
    quarantine: Arc<SharedQuarantine>,
    own_running: AtomicU32,
    last_chosen: AtomicU64,
    state: Mutex<ClientState>,
    /// Kept across connections.
    outliers: Mutex<OutlierDetector>,
}

#[derive(Default)]
struct ClientState {
    connection: Option<Connection>,
    report: LoadReport,
    reported_at: Option<Instant>,
    /// Attempts of other entries, as of the last report.
    others_running: u32,
    /// Set when the endpoint refused an attempt because it was full; cleared by a report.
    is_full: bool,
}

struct Connection {
    incarnation: Incarnation,
    outbound: mpsc::Sender<ToEndpoint>,
    mailboxes: HashMap<AttemptId, mpsc::UnboundedSender<ToEntry>>,
    writer_task: AbortHandle,
}

/// Discards frames that are still queued: an endpoint that resumes after a pause must not receive
/// attempts that were already reported as lost.
impl Drop for Connection {
    fn drop(&mut self) {
        self.writer_task.abort();
    }
}

impl EndpointClient {
    pub(crate) fn new(
        endpoint: Endpoint,
        is_local: bool,
        quarantine: Arc<SharedQuarantine>,
    ) -> EndpointClient {
        EndpointClient {
            endpoint,
            is_local: AtomicBool::new(is_local),
            quarantine,
            own_running: AtomicU32::new(0),
            last_chosen: AtomicU64::new(0),
            state: Mutex::default(),
            outliers: Mutex::default(),
        }
    }

    /// Whether this client's connection serves an endpoint with another configuration. Only then can
    /// the connection be kept, so that calls need not wait for the next one.
    pub(crate) fn serves(&self, endpoint: &Endpoint) -> bool {
        let Endpoint { id, service, data_address, .. } = &self.endpoint;
        (id, service, data_address) == (&endpoint.id, &endpoint.service, &endpoint.data_address)
    }

    /// Sets whether the endpoint is in this entry's failure domain.
    pub(crate) fn set_local(&self, is_local: bool) {
        self.is_local.store(is_local, Ordering::Relaxed);
    }

    /// The incarnation of the endpoint process, if it is connected.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.state.lock().connection.as_ref().map(|connection| connection.incarnation)
    }

    /// The load of the endpoint for load balancing; `None` if it cannot take an attempt now.
    pub(crate) fn candidate(&self, max_running: u32) -> Option<Candidate> {
        let state = self.state.lock();
        let own = self.own_running.load(Ordering::Relaxed);
        let is_available = state.connection.is_some() && !state.report.draining && !state.is_full;
        let others = state.others_running + state.report.waiting;
        let candidate = Candidate {
            own_load: f64::from(own) / f64::from(max_running),
            others_load: f64::from(others) / f64::from(max_running),
            report_age: state.reported_at.map_or(Duration::ZERO, |at| at.elapsed()),
            last_chosen: self.last_chosen.load(Ordering::Relaxed),
            is_local: self.is_local.load(Ordering::Relaxed),
        };
        // Attempts of other entries in an old report may have ended. If they have not, the
        // endpoint refuses, and counts as full until its next report.
        let has_capacity = candidate.expected_load(ChoiceOptions::default()) < 1.0;
        (is_available && state.report.backend_up && has_capacity).then_some(candidate)
    }

    /// Whether the endpoint serves requests, even if it is full at the moment.
    pub(crate) fn is_serving(&self) -> bool {
        let state = self.state.lock();
        state.connection.is_some() && !state.report.draining && state.report.backend_up
    }

    /// Records how an attempt ended. Returns whether that ejects the endpoint.
    pub(crate) fn record_outcome(&self, outcome: CallOutcome, now: Duration) -> bool {
        let is_ejected = self.outliers.lock().record(outcome, now);
        if is_ejected {
            log::info!(endpoint = &*self.endpoint.id, outcome:? = outcome; "endpoint ejected");
        }
        is_ejected
    }

    /// Whether the endpoint is avoided, because its attempts fail: it is ejected, or its one trial
    /// after an ejection is running.
    pub(crate) fn is_avoided(&self, now: Duration) -> bool {
        let is_running = self.own_running.load(Ordering::Relaxed) > 0;
        let outliers = self.outliers.lock();
        outliers.is_ejected(now) || (outliers.is_on_trial() && is_running)
    }

    /// Records that the endpoint was chosen, as the pool's choice count.
    pub(crate) fn set_last_chosen(&self, choice_count: u64) {
        self.last_chosen.store(choice_count, Ordering::Relaxed);
    }

    /// Counts an attempt as running at the endpoint.
    pub(crate) fn reserve(&self) {
        self.own_running.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt as ended at the endpoint.
    pub(crate) fn release(&self) {
        self.own_running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the endpoint refused an attempt because it was full.
    pub(crate) fn set_full(&self) {
        self.state.lock().is_full = true;
    }

    /// Records that the endpoint refused an attempt because it is draining.
    pub(crate) fn set_draining(&self) {
        self.state.lock().report.draining = true;
    }

    /// Records that the endpoint could not reach its back end.
    pub(crate) fn set_backend_down(&self) {
        self.state.lock().report.backend_up = false;
    }

    /// Opens a mailbox for an attempt and queues the attempt's first frame.
    ///
    /// Fails if the frame was not queued and never will be.
    pub(crate) fn open_mailbox(&self, id: AttemptId, first: ToEndpoint) -> Result<Mailbox> {
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

    /// Queues a further frame of an attempt. The frame is lost if the connection breaks.
    pub(crate) fn send(&self, frame: ToEndpoint) {
        if let Some(connection) = &self.state.lock().connection {
            let _ = connection.outbound.try_send(frame);
        }
    }

    /// Closes the mailbox of an attempt.
    pub(crate) fn close_mailbox(&self, id: AttemptId) {
        if let Some(connection) = &mut self.state.lock().connection {
            connection.mailboxes.remove(&id);
        }
    }

    /// Connects, and reconnects whenever the connection breaks, until the task is aborted.
    pub(crate) async fn run(self: Arc<EndpointClient>, node: NodeHandle, pools: Arc<ServicePools>) {
        let mut is_first_failure = true;
        loop {
            let error = match self.connect(&node).await {
                Ok((reader, incarnation)) => {
                    is_first_failure = true;
                    let endpoint = self.endpoint.id.clone();
                    node.audit(AuditEvent::EndpointUp { endpoint, incarnation });
                    let error = self.read(reader, &node, &pools).await;
                    self.disconnect();
                    error
                }
                Err(error) => error,
            };
            // Audits the change of state only, not every failed attempt to reconnect.
            if std::mem::take(&mut is_first_failure) {
                let endpoint = self.endpoint.id.clone();
                node.audit(AuditEvent::EndpointDown { endpoint, why: error.to_string() });
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn connect(&self, node: &NodeHandle) -> Result<(Reader, Incarnation)> {
        let peer = &self.endpoint.id;
        let opening = self.open_connection(node);
        let (mut reader, writer) = tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| timed_out(Step::Connect, peer, "no greeting in time"))??;
        let welcome = tokio::time::timeout(CONNECT_TIMEOUT, reader.next())
            .await
            .map_err(|_| timed_out(Step::Connect, peer, "no welcome in time"))??;
        let Some(ToEntry::Welcome { incarnation }) = welcome else {
            return Err(invalid(Step::Connect, peer, "the first frame is no welcome"));
        };
        let (outbound, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let writer_task = tokio::spawn(write(writer, frames)).abort_handle();
        let mut state = self.state.lock();
        // The default report makes the endpoint unavailable until its first report.
        state.report = LoadReport::default();
        state.connection =
            Some(Connection { incarnation, outbound, mailboxes: HashMap::new(), writer_task });
        Ok((reader, incarnation))
    }

    async fn open_connection(&self, node: &NodeHandle) -> Result<(Reader, Writer)> {
        let peer = &self.endpoint.id;
        let stream = TcpStream::connect(self.endpoint.data_address)
            .await
            .map_err(|e| unreachable(Step::Connect, peer, e))?;
        // With zero linger, closing the connection discards what the kernel still has to send. An
        // endpoint that resumes would otherwise read it, and run calls that were reported as lost.
        stream
            .set_nodelay(true)
            .and_then(|()| stream.set_zero_linger())
            .map_err(|e| unreachable(Step::Connect, peer, e))?;
        let (read, write) = stream.into_split();
        let mut writer = FrameWriter::new(write, &**peer);
        let process = node.settings().process_id.clone();
        writer.send(&ToEndpoint::Hello { protocol_version: PROTOCOL_VERSION, process }).await?;
        Ok((FrameReader::new(read, &**peer), writer))
    }

    /// Reads frames until the connection breaks or times out.
    async fn read(&self, mut reader: Reader, node: &NodeHandle, pools: &ServicePools) -> Error {
        let peer = &self.endpoint.id;
        loop {
            match self.read_frame(&mut reader).await {
                Err(error) => return error,
                Ok(None) => return indeterminate(Step::ReadResponse, peer, "connection closed"),
                Ok(Some(ToEntry::Report(report))) => {
                    self.on_report(report, node, pools);
                    if self.has_drained(&report) {
                        return refused(Step::Connect, peer, "the endpoint has drained");
                    }
                }
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
        // If this process was paused, its timers fire before its sockets are polled; frames that
        // arrived during the pause can then be read at once.
        match tokio::time::timeout(AFTER_PAUSE_TIMEOUT, reader.next()).await {
            Ok(frame) => frame,
            Err(_) => Err(timed_out(Step::ReadResponse, &self.endpoint.id, "silent for too long")),
        }
    }

    fn on_backend_crashed(&self, incarnation: EndpointIncarnation) {
        let calls = self.quarantine.on_crashed(incarnation);
        log::warn!(endpoint = &*self.endpoint.id, calls = calls.len(); "endpoint crashed");
    }

    fn on_report(&self, report: LoadReport, node: &NodeHandle, pools: &ServicePools) {
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
        pools.grant_queued(&self.endpoint.service);
    }

    /// Whether the endpoint waits only for its entries to disconnect, and this one has no attempts
    /// there, including those that are about to be sent.
    fn has_drained(&self, report: &LoadReport) -> bool {
        report.draining && report.running == 0 && self.own_running.load(Ordering::Relaxed) == 0
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

    /// Drops the connection, which closes the mailboxes of its attempts.
    fn disconnect(&self) {
        let mut state = self.state.lock();
        state.connection = None;
        state.others_running = 0;
    }
}

async fn write(mut writer: Writer, mut frames: mpsc::Receiver<ToEndpoint>) {
    // The reader reports a broken connection.
    let _ = writer.drain(&mut frames).await;
}
