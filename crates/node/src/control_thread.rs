//! The control thread: an event loop that owns the control state and runs the controllers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant, SystemTime},
};

use lynxmount_audit::{AUDIT_STREAM, AuditBatch, AuditEvent};
use lynxmount_config::{CONFIG_STREAM, ConfigRecord, ProcessSettings};
use lynxmount_core::{Incarnation, Result, wall_time_ms};
use lynxmount_link::{bind, serve};
use lynxmount_platform::PlatformClient;
use lynxmount_resources::SharedBudget;
use parking_lot::RwLock;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    Counters, ProcessKind, ProcessStatus, Readiness,
    control_port::{ControlPort, PublishedStatus},
    control_state::{ControlState, Event, Now, PlatformState, SideEffect},
    controllers::run_all,
    counters::{CounterSender, SEND_PERIOD},
    follower::Follower,
    operators_port::OperatorsPort,
    view::{ActiveConfig, ControlView, DrainState, SharedState},
};

/// Interval at which controllers run without other events.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Timeout for appending the last audit records during a shutdown.
const LAST_AUDIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Everything that the control thread owns.
pub(crate) struct ControlThread {
    pub(crate) state: ControlState,
    pub(crate) platform: PlatformClient,
    pub(crate) budget: SharedBudget,
    pub(crate) published_status: Arc<PublishedStatus>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) receiver: mpsc::UnboundedReceiver<Event>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) sender: Option<CounterSender>,
    pub(crate) peer_is_ahead: Arc<Notify>,
}

/// The status that the control port returns before a configuration is in force.
pub(crate) fn initial_status(
    settings: &ProcessSettings,
    kind: ProcessKind,
    incarnation: Incarnation,
) -> PublishedStatus {
    let status = ProcessStatus {
        process_id: settings.process_id.clone(),
        kind,
        failure_domain: settings.failure_domain.clone(),
        incarnation,
        config_version: None,
        change_id: None,
        readiness: Readiness::NoConfig,
        running: 0,
        platform_up: false,
    };
    PublishedStatus { status: RwLock::new(status), head: RwLock::new(None) }
}

impl ControlThread {
    /// Binds the ports, reports the result on `bound`, and runs until the process exits.
    pub(crate) async fn run(mut self, bound: oneshot::Sender<Result<()>>) {
        let result = self.bind().await;
        let is_bound = result.is_ok();
        let _ = bound.send(result);
        if !is_bound {
            return;
        }
        tokio::spawn(self.follower().run());
        self.record_start();
        self.run_controllers().await;
    }

    /// Binds the ports and starts to serve them.
    ///
    /// Fails if an address is in use.
    async fn bind(&self) -> Result<()> {
        let settings = &self.state.settings;
        let control = bind(settings.control_address).await?;
        let operators = bind(settings.operators_address).await?;
        let published_status = Arc::clone(&self.published_status);
        let control_port = ControlPort::new(published_status, self.events.clone());
        tokio::spawn(serve(control, Arc::new(control_port), self.budget.clone()));
        let operators_port = OperatorsPort {
            published_status: Arc::clone(&self.published_status),
            counters: Arc::clone(&self.counters),
        };
        tokio::spawn(serve(operators, Arc::new(operators_port), self.budget.clone()));
        Ok(())
    }

    fn follower(&self) -> Follower {
        Follower {
            settings: self.state.settings.clone(),
            platform: self.platform.clone(),
            events: self.events.clone(),
            shared: Arc::clone(&self.shared),
            peer_is_ahead: Arc::clone(&self.peer_is_ahead),
        }
    }

    fn record_start(&mut self) {
        let incarnation = self.state.incarnation;
        self.state.record(now(), AuditEvent::ProcessStarted { incarnation });
    }

    async fn run_controllers(&mut self) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        let mut sent_at = Instant::now();
        loop {
            let event = tokio::select! {
                event = self.receiver.recv() => event.unwrap_or(Event::Tick),
                _ = ticks.tick() => Event::Tick,
            };
            self.state.running = self.shared.running.load(Ordering::Relaxed);
            run_all(&mut self.state, &event, now());
            self.run_side_effects().await;
            self.publish();
            if let Some(sender) = self.sender.as_mut().filter(|_| sent_at.elapsed() >= SEND_PERIOD)
            {
                sender.send(&self.counters);
                sent_at = Instant::now();
            }
        }
    }

    async fn run_side_effects(&mut self) {
        let is_last = self.state.drain == DrainState::Finished;
        for effect in std::mem::take(&mut self.state.side_effects) {
            let work =
                run_side_effect(effect, self.platform.clone(), self.state.settings.scope.clone());
            let events = self.events.clone();
            let task = tokio::spawn(async move {
                if let Some(event) = work.await {
                    let _ = events.send(event);
                }
            });
            // The process exits once the finished state is published, which follows.
            if is_last {
                let _ = tokio::time::timeout(LAST_AUDIT_TIMEOUT, task).await;
            }
        }
    }

    /// Publishes the view if it differs from the last one.
    fn publish(&self) {
        let before = self.shared.view.load();
        let head = self.state.config_state.head();
        let is_new = head.map(|head| head.offset) != before.config.as_ref().map(|c| c.version);
        let config = match head {
            Some(head) if is_new => Some(Arc::new(ActiveConfig::new(head))),
            _ => before.config.clone(),
        };
        if is_new {
            *self.published_status.head.write() = head.cloned();
        }
        let platform_up = self.state.platform == PlatformState::Available;
        let view = ControlView { config, drain: self.state.drain, platform_up };
        self.publish_status(&view);
        let is_same = !is_new && before.drain == view.drain && before.platform_up == platform_up;
        if !is_same {
            self.shared.publish(view);
        }
    }

    fn publish_status(&self, view: &ControlView) {
        let mut status = self.published_status.status.write();
        status.config_version = view.config.as_ref().map(|config| config.version);
        status.change_id = self.state.config_state.head().map(|head| head.change_id);
        status.running = self.state.running;
        status.platform_up = view.platform_up;
        status.readiness = match view.config {
            _ if view.drain != DrainState::Serving => Readiness::Draining,
            None => Readiness::NoConfig,
            Some(_) => Readiness::Ready,
        };
    }
}

/// Carries out a side effect, and returns the resulting event if there is one.
async fn run_side_effect(
    effect: SideEffect,
    platform: PlatformClient,
    scope: String,
) -> Option<Event> {
    match effect {
        SideEffect::AppendAudit(records) => {
            let batch = AuditBatch { scope, records };
            let appended = platform.append(AUDIT_STREAM, &batch).await;
            Some(Event::AuditAppended(appended.map(|_| batch.records)))
        }
        SideEffect::AppendSnapshot(snapshot) => {
            // A successful append is noticed when the stream is read.
            let record = ConfigRecord::Snapshot(*snapshot);
            let _ = platform.append(CONFIG_STREAM, &record).await;
            None
        }
    }
}

fn now() -> Now {
    Now { instant: Instant::now(), wall_ms: wall_time_ms(SystemTime::now()) }
}
