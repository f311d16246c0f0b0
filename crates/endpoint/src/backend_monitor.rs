//! Health checking of the back end: polls its load over a persistent connection and detects its
//! crashes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use lynxmount_core::{Cause, EndpointIncarnation};
use lynxmount_link::{Connection, ProbeResult};
use lynxmount_node::NodeHandle;
use lynxmount_policy::{IncarnationTracker, ProcessVerdict};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    answer_sender::RelayStatus,
    backend::{Backend, Load},
};

/// How often the back end's load is queried.
const LOAD_QUERY_PERIOD: Duration = Duration::from_millis(500);

/// Delay before reconnecting while a crash is suspected but not confirmed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Consecutive load queries without a response after which the back end counts as unresponsive.
/// One may be missed because this process was paused.
const MAX_MISSED_QUERIES: u32 = 2;

/// How long a failed call waits for the verdict on the back end.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(200);

/// The state of the back end after the connection of a call broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// It has responded since.
    Alive,
    /// It has crashed.
    Crashed(EndpointIncarnation),
    /// Not determined yet.
    Unknown,
}

/// A call whose connection to the back end broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DisconnectedCall {
    /// The incarnation of the back end at that time.
    pub(crate) incarnation: EndpointIncarnation,
    at: Duration,
}

/// How the monitoring connection ended.
enum MonitorEnd {
    /// It broke after the back end had responded on it.
    Broken,
    /// A load query timed out.
    TimedOut,
    /// The back end does not accept connections, or does not keep them open.
    Unusable,
}

/// The health and load of the back end.
pub(crate) struct BackendMonitor {
    node: NodeHandle,
    backend: Backend,
    incarnations: Mutex<IncarnationTracker>,
    is_up: AtomicBool,
    queued_requests: AtomicU32,
    /// Load queries without a response since the back end last sent something.
    missed_queries: watch::Sender<u32>,
    /// Incremented with each observation of the back end's process.
    observations: watch::Sender<u64>,
    /// The latest incarnation that has crashed.
    crashed: watch::Sender<Option<EndpointIncarnation>>,
    /// Triggers a load query without waiting for the next period.
    query_now: Notify,
    changed: Notify,
}

impl BackendMonitor {
    pub(crate) fn new(node: NodeHandle, backend: Backend) -> BackendMonitor {
        BackendMonitor {
            node,
            backend,
            incarnations: Mutex::default(),
            is_up: AtomicBool::new(false),
            queued_requests: AtomicU32::new(0),
            missed_queries: watch::Sender::new(0),
            observations: watch::Sender::new(0),
            crashed: watch::Sender::new(None),
            query_now: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Requests queued at the back end.
    pub(crate) fn queued_requests(&self) -> u32 {
        self.queued_requests.load(Ordering::Relaxed)
    }

    /// Whether the back end responded lately.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// The incarnations of the back end that crash from now on.
    pub(crate) fn subscribe_crashes(&self) -> watch::Receiver<Option<EndpointIncarnation>> {
        self.crashed.subscribe()
    }

    /// Waits until the back end comes up or goes down.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Sets whether the back end is up.
    fn set_is_up(&self, is_up: bool) {
        if self.is_up.swap(is_up, Ordering::Relaxed) != is_up {
            self.changed.notify_one();
        }
    }

    /// Records that the back end has sent something.
    pub(crate) fn on_activity(&self) {
        self.missed_queries.send_if_modified(|missed| std::mem::take(missed) > 0);
    }

    /// Records that a call could not connect to the back end.
    pub(crate) fn on_unreachable(&self) {
        self.set_is_up(false);
        self.query_now.notify_one();
    }

    /// Records that the connection of a call broke before the call had ended.
    pub(crate) fn on_call_disconnected(&self) -> DisconnectedCall {
        let disconnected_call = DisconnectedCall {
            incarnation: self.incarnation_id(self.incarnations.lock().incarnation()),
            at: self.node.now(),
        };
        self.observe(|incarnations, _| incarnations.on_call_disconnected(disconnected_call.at));
        // Only a response to a later query proves that the process is alive.
        self.query_now.notify_one();
        disconnected_call
    }

    /// Waits until the back end is unresponsive, although it may still accept connections, while a
    /// call there can be retried elsewhere. An answer that is relayed already is left to go on.
    pub(crate) async fn until_abandonable(&self, relay_status: &RelayStatus) {
        let mut missed = self.missed_queries.subscribe();
        // `self` keeps the sender alive.
        let _ = missed.wait_for(|missed| *missed >= MAX_MISSED_QUERIES).await;
        if relay_status.has_started() {
            std::future::pending().await
        }
    }

    /// Waits for the verdict on the back end after the connection of a call broke, up to a timeout.
    pub(crate) async fn verdict(&self, disconnected_call: DisconnectedCall) -> Verdict {
        let mut observations = self.observations.subscribe();
        let verdict = async {
            loop {
                observations.mark_unchanged();
                if let Some(verdict) = self.incarnations.lock().verdict(disconnected_call.at) {
                    return verdict;
                }
                // `self` keeps the sender alive.
                let _ = observations.changed().await;
            }
        };
        match tokio::time::timeout(VERDICT_TIMEOUT, verdict).await {
            Ok(ProcessVerdict::Alive) => Verdict::Alive,
            Ok(ProcessVerdict::Crashed(incarnation)) => {
                Verdict::Crashed(self.incarnation_id(incarnation))
            }
            Err(_) => Verdict::Unknown,
        }
    }

    /// Monitors the back end until the process exits.
    pub(crate) async fn run(self: Arc<BackendMonitor>) {
        loop {
            let end = match self.backend.connect().await {
                Ok(connection) => self.poll_load(connection).await,
                Err(_) => self.probe().await,
            };
            let delay = match end {
                MonitorEnd::Broken | MonitorEnd::TimedOut => continue,
                MonitorEnd::Unusable if self.is_crash_suspected() => CRASH_CHECK_DELAY,
                MonitorEnd::Unusable => LOAD_QUERY_PERIOD,
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.query_now.notified() => {}
            }
        }
    }

    /// Queries the load over a connection until it breaks or a query times out.
    async fn poll_load(&self, mut connection: Connection) -> MonitorEnd {
        let connected_at = self.node.now();
        let mut has_responded = false;
        let mut ticks = tokio::time::interval(LOAD_QUERY_PERIOD);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.query_now.notified() => {}
                () = connection.closed() => return self.on_connection_closed(has_responded),
            }
            let queried_at = self.node.now();
            match self.backend.load(&mut connection).await {
                Ok(load) => self.on_load_report(load, connected_at, queried_at),
                Err(error) if error.cause == Cause::TimedOut => return self.on_missed_query(),
                Err(_) => return self.on_connection_closed(has_responded),
            }
            has_responded = true;
            // If the back end closes each connection after its response, a closed connection is no
            // sign of a crash.
            if connection.is_closed() {
                return MonitorEnd::Unusable;
            }
        }
    }

    /// Determines why no connection could be opened.
    async fn probe(&self) -> MonitorEnd {
        match self.backend.probe().await {
            ProbeResult::Refused => {
                self.on_activity();
                self.observe(|incarnations, now| incarnations.on_refused(now));
            }
            ProbeResult::Accepted | ProbeResult::Unresponsive => {}
        }
        self.set_is_up(false);
        MonitorEnd::Unusable
    }

    fn is_crash_suspected(&self) -> bool {
        self.incarnations.lock().is_in_doubt(self.node.now())
    }

    fn on_load_report(&self, load: Load, connected_at: Duration, queried_at: Duration) {
        self.on_activity();
        self.queued_requests.store(load.waiting, Ordering::Relaxed);
        self.observe(|incarnations, _| incarnations.on_response(connected_at, queried_at));
        self.set_is_up(true);
    }

    fn on_missed_query(&self) -> MonitorEnd {
        self.missed_queries.send_modify(|missed| *missed += 1);
        self.set_is_up(false);
        MonitorEnd::TimedOut
    }

    fn on_connection_closed(&self, has_responded: bool) -> MonitorEnd {
        self.on_activity();
        if !has_responded {
            self.set_is_up(false);
            return MonitorEnd::Unusable;
        }
        self.observe(|incarnations, now| incarnations.on_connection_closed(now));
        MonitorEnd::Broken
    }

    /// Applies an observation, and announces a crash if the observation shows one.
    fn observe(&self, observation: impl FnOnce(&mut IncarnationTracker, Duration)) {
        let mut incarnations = self.incarnations.lock();
        let before = incarnations.incarnation();
        observation(&mut incarnations, self.node.now());
        let has_crashed = incarnations.incarnation() != before;
        drop(incarnations);
        if has_crashed {
            let crashed = self.incarnation_id(before);
            log::warn!(life = crashed; "back end crashed");
            self.crashed.send_replace(Some(crashed));
            self.set_is_up(false);
        }
        self.observations.send_modify(|count| *count += 1);
    }

    /// The id of an incarnation of the back end, distinct from those of other back ends.
    fn incarnation_id(&self, incarnation: u64) -> EndpointIncarnation {
        let (process, _) = self.node.incarnation().as_u64_pair();
        process.wrapping_add(incarnation)
    }
}
