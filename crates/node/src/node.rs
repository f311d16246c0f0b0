//! Starts the control thread of a process, and the handle by which traffic threads use it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use lynxmount_audit::{Actor, AuditEvent};
use lynxmount_config::ProcessSettings;
use lynxmount_core::{Incarnation, Result, Step, invalid, new_incarnation};
use lynxmount_platform::PlatformClient;
use lynxmount_policy::ResourceLimits;
use lynxmount_resources::{BudgetEvent, SharedBudget};
use nix::sys::resource::{Resource, getrlimit};
use tokio::{
    runtime::Runtime,
    sync::{Notify, mpsc, oneshot, watch},
};

use crate::{
    ControlView, Counter, Counters, ProcessKind,
    control_state::{ControlState, Event},
    control_thread::{ControlThread, initial_status},
    counters::CounterSender,
    view::SharedState,
};

/// Descriptors of a process whose limit is not known.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// The largest number of descriptors that is used.
const MAX_DESCRIPTORS: usize = 65_536;

/// Starts the control thread of a process.
#[derive(Debug)]
pub struct Node;

/// A handle to the control thread for traffic threads; clones share it.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    settings: Arc<ProcessSettings>,
    incarnation: Incarnation,
    started_at: Instant,
    shared: Arc<SharedState>,
    counters: Arc<Counters>,
    events: mpsc::UnboundedSender<Event>,
    peer_is_ahead: Arc<Notify>,
    budget: SharedBudget,
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<SharedState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Node {
    /// Binds the ports and starts the control thread.
    ///
    /// Fails if a port can't be bound or the thread can't be started.
    pub fn start(settings: ProcessSettings, kind: ProcessKind) -> Result<NodeHandle> {
        let incarnation = new_incarnation();
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(SharedState::new());
        let counters = Arc::new(Counters::default());
        let peer_is_ahead = Arc::new(Notify::new());
        let sender = settings.statsd_address.map(CounterSender::new).transpose()?;
        let budget = budget(&settings, &counters);
        let thread = ControlThread {
            budget: budget.clone(),
            published_status: Arc::new(initial_status(&settings, kind, incarnation)),
            platform: PlatformClient::new(settings.platform_address),
            state: ControlState::new(settings.clone(), incarnation),
            events: events.clone(),
            receiver,
            shared: Arc::clone(&shared),
            counters: Arc::clone(&counters),
            sender,
            peer_is_ahead: Arc::clone(&peer_is_ahead),
        };
        start_thread(thread)?;
        let settings = Arc::new(settings);
        let started_at = Instant::now();
        Ok(NodeHandle {
            settings,
            incarnation,
            started_at,
            shared,
            counters,
            events,
            peer_is_ahead,
            budget,
        })
    }
}

/// Creates the budget of what a process holds for its peers, within its memory and the limit of its
/// descriptors, and counts its events.
fn budget(settings: &ProcessSettings, counters: &Arc<Counters>) -> SharedBudget {
    let descriptors = getrlimit(Resource::RLIMIT_NOFILE)
        .map_or(DEFAULT_DESCRIPTORS, |(soft, _)| {
            usize::try_from(soft).unwrap_or(usize::MAX).min(MAX_DESCRIPTORS)
        });
    let counters = Arc::clone(counters);
    let limits = ResourceLimits::of_process(settings.memory_bytes, descriptors);
    SharedBudget::new(limits, move |event| counters.count(counter_of(event)))
}

fn counter_of(event: BudgetEvent) -> Counter {
    match event {
        BudgetEvent::ConnectionEvicted(_) => Counter::ConnectionsEvicted,
        BudgetEvent::ConnectionOverdue(_) => Counter::ConnectionsOverdue,
        BudgetEvent::ConnectionRefused => Counter::ConnectionsRefused,
        BudgetEvent::BodyRefused => Counter::BodiesRefused,
        BudgetEvent::BodyTooSlow => Counter::BodiesTooSlow,
    }
}

/// Creates the runtime for traffic, whose threads are separate from the control thread.
///
/// Fails if its threads can't be started.
pub fn traffic_runtime(settings: &ProcessSettings) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|e| invalid(Step::Start, "traffic threads", e))
}

fn start_thread(thread: ControlThread) -> Result<()> {
    let fail = |e: std::io::Error| invalid(Step::Start, "control thread", e);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fail)?;
    let (bound, bind_result) = oneshot::channel();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(bound)))
        .map_err(fail)?;
    bind_result.blocking_recv().unwrap_or_else(|e| Err(invalid(Step::Start, "control thread", e)))
}

impl NodeHandle {
    /// The process's settings.
    pub fn settings(&self) -> &ProcessSettings {
        &self.settings
    }

    /// The process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The process's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What the process holds for its peers.
    pub fn budget(&self) -> &SharedBudget {
        &self.budget
    }

    /// Time since the process's start, the clock of all policies.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The latest view.
    pub fn view(&self) -> Arc<ControlView> {
        self.shared.view.load_full()
    }

    /// Subscribes to changes of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Counts a request as in progress until the guard is dropped; a shutdown waits for it.
    pub fn start_request(&self) -> InFlightGuard {
        self.shared.running.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(&self.shared))
    }

    /// Records an event in the audit trail.
    pub fn audit(&self, event: AuditEvent) {
        let _ = self.events.send(Event::Audited(event));
    }

    /// Requests that the process finish its work and exit.
    pub fn drain(&self, actor: Actor) {
        let _ = self.events.send(Event::Drain(actor));
    }

    /// Handles evidence that a peer has a newer configuration than this process.
    pub fn on_newer_peer_config(&self) {
        self.peer_is_ahead.notify_one();
    }

    /// Waits until the view satisfies a predicate.
    pub async fn wait_for(&self, mut predicate: impl FnMut(&ControlView) -> bool) {
        let mut changes = self.changes();
        loop {
            changes.mark_unchanged();
            if predicate(&self.view()) {
                return;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
