//! Injects the planned faults into the fleet.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lynxmount_platform_standin::{
    Backpressure, Behaviour, StoreMode, TopicSilence,
    fixture::{OPERATOR_TOPIC, REGISTRATIONS_TOPIC, SHUTDOWN_GRACE},
};
use nix::sys::signal::Signal;
use tokio::task::JoinSet;

use crate::{
    crowds::keep_crowd,
    expiry::expire_registrations,
    fleet::{EXPERTS, Fleet, process_name},
    history::{Disturbed, LeaveRecord, LeavingSignalRecord, RateLimitRecord, RetryAfterRecord},
    pauses::pause_streams,
    plan::{BackpressureKind, EndpointFault, Fault, FaultKind, LinkFault, LinkId, ProcessId},
    poison::repeat_poison,
    process::wait_for_exit,
    restore::restore_store,
};

/// How long a process may take to serve after its start; it counts as disturbed for that time.
const START_TIME: Duration = Duration::from_millis(1000);

/// How much longer than its shutdown grace a process may take to exit on a busy machine.
const EXIT_SLACK: Duration = Duration::from_millis(2500);

/// How often each pass selects the hot expert.
const HOT_DEMAND: u64 = 4000;

/// How often each pass selects any other expert.
const COLD_DEMAND: u64 = 100;

/// Injects faults; faults with a duration run concurrently.
pub(crate) struct Injector {
    fleet: Arc<Fleet>,
    version: AtomicU64,
    demand: AtomicU64,
    /// For each endpoint, how many overlapping leave faults are in progress.
    leaves: Vec<AtomicU64>,
}

impl Injector {
    pub(crate) fn new(fleet: Arc<Fleet>) -> Injector {
        let leaves = fleet.endpoints.iter().map(|_| AtomicU64::new(0)).collect();
        Injector { fleet, version: AtomicU64::new(1), demand: AtomicU64::new(0), leaves }
    }

    /// Injects all faults and returns when the last one is over.
    ///
    /// Fails if a process can't be signalled or started.
    pub(crate) async fn run(self: Arc<Injector>, faults: &[Fault]) -> anyhow::Result<()> {
        let mut running = JoinSet::new();
        let started = self.fleet.now();
        for fault in faults.iter().copied() {
            let due = started + fault.at;
            tokio::time::sleep(due.saturating_sub(self.fleet.now())).await;
            let injector = Arc::clone(&self);
            running.spawn(async move { injector.inject(fault).await });
        }
        while let Some(done) = running.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn inject(&self, fault: Fault) -> anyhow::Result<()> {
        let fleet = &self.fleet;
        match fault.kind {
            FaultKind::Advise(endpoint, BackpressureKind::Leave) => {
                self.signal_leaving(endpoint, fault.length).await;
            }
            FaultKind::Advise(endpoint, BackpressureKind::Limit(in_ten_s)) => {
                self.limit_rate(endpoint, f64::from(in_ten_s) / 10.0, fault.length).await;
            }
            FaultKind::Advise(endpoint, BackpressureKind::Rest(retry_after_ms)) => {
                self.request_retry_after(
                    endpoint,
                    Duration::from_millis(retry_after_ms),
                    fault.length,
                )
                .await;
            }
            FaultKind::BlockGroup { frozen } => self.block_group(frozen, fault.length).await,
            FaultKind::ChangeConfig => {
                fleet.put_config(self.version.fetch_add(1, Ordering::Relaxed) + 1);
            }
            FaultKind::ChangeDemand => self.change_demand(),
            FaultKind::CompactStore => {
                fleet.store.compact(OPERATOR_TOPIC);
                fleet.store.compact(REGISTRATIONS_TOPIC);
            }
            FaultKind::Crowd { entry, clients, crowd } => {
                keep_crowd(fleet.callers_addresses[entry], clients, crowd, fault.length).await;
            }
            FaultKind::Freeze(endpoint) => self.freeze(endpoint, fault.length).await,
            FaultKind::ExpireRegistrations(expiry) => {
                expire_registrations(fleet, expiry, fault.length).await;
            }
            FaultKind::Leave(endpoint) => self.leave(endpoint, fault.length).await,
            FaultKind::Link(link, fault_kind) => {
                self.disturb_link(link, fault_kind, fault.length).await
            }
            FaultKind::LoseOrders(one_of) => {
                fleet.group.lose_answers(one_of);
                tokio::time::sleep(fault.length).await;
                fleet.group.lose_answers(0);
            }
            FaultKind::Misbehave(endpoint, fault_kind) => {
                let disturbance = fleet.start_disturbance(disturbed(endpoint, fault_kind));
                fleet.endpoints[endpoint].set_behaviour(behaviour(fault_kind));
                tokio::time::sleep(fault.length).await;
                fleet.reset_behaviour(endpoint);
                fleet.end_disturbance(disturbance);
            }
            FaultKind::Poison { service, crash } => {
                repeat_poison(fleet, service, crash, fault.length).await;
            }
            FaultKind::Kill(process) => self.kill(process).await?,
            FaultKind::Pause(process) => self.pause(process, fault.length).await?,
            FaultKind::PauseStreams(paused) => pause_streams(fleet, paused, fault.length).await,
            FaultKind::RestoreStore(restore) => restore_store(fleet, restore, fault.length).await,
            FaultKind::StoreBusy => self.stop_store(StoreMode::Busy, fault.length).await,
            FaultKind::SilenceConfigs(silence) => self.silence_configs(silence, fault.length).await,
            FaultKind::StoreSilent => self.stop_store(StoreMode::Silent, fault.length).await,
            FaultKind::Terminate(process) => self.terminate(process).await?,
            FaultKind::Hangup(process) => {
                fleet.process(process).lock().signal(Signal::SIGHUP)?;
            }
        }
        Ok(())
    }

    fn change_demand(&self) {
        let hot = self.demand.fetch_add(5, Ordering::Relaxed) as usize % EXPERTS;
        let demand = |expert| if expert == hot { HOT_DEMAND } else { COLD_DEMAND };
        self.fleet.group.set_demand((0..EXPERTS).map(demand).collect());
    }

    async fn freeze(&self, endpoint: usize, length: Duration) {
        let disturbance = self.fleet.start_disturbance(Disturbed::Endpoint(endpoint));
        let frozen = self.fleet.start_disturbance(Disturbed::Frozen(endpoint));
        self.fleet.endpoints[endpoint].freeze();
        tokio::time::sleep(length).await;
        self.fleet.endpoints[endpoint].thaw();
        self.fleet.end_disturbance(frozen);
        self.fleet.end_disturbance(disturbance);
    }

    async fn block_group(&self, frozen: Option<usize>, length: Duration) {
        let fleet = &self.fleet;
        let ranks = fleet.stream_endpoints().map(Disturbed::Endpoint);
        let disturbances: Vec<usize> = ranks.map(|rank| fleet.start_disturbance(rank)).collect();
        fleet.streams.hold();
        match frozen {
            Some(endpoint) => self.freeze(endpoint, length).await,
            None => tokio::time::sleep(length).await,
        }
        fleet.streams.release();
        disturbances.into_iter().for_each(|index| fleet.end_disturbance(index));
    }

    async fn limit_rate(&self, endpoint: usize, limit_per_s: f64, length: Duration) {
        let fleet = &self.fleet;
        let from = fleet.now();
        fleet.endpoints[endpoint].set_backpressure(Backpressure::rate_limit(limit_per_s));
        tokio::time::sleep(length).await;
        let to = fleet.now();
        fleet.endpoints[endpoint].set_backpressure(Backpressure::default());
        fleet.history.lock().rate_limits.push(RateLimitRecord { endpoint, limit_per_s, from, to });
    }

    async fn request_retry_after(&self, endpoint: usize, retry_after: Duration, length: Duration) {
        let fleet = &self.fleet;
        let from = fleet.now();
        fleet.endpoints[endpoint].set_backpressure(Backpressure::retry_after(retry_after));
        fleet.endpoints[endpoint].set_behaviour(Behaviour::Shed);
        tokio::time::sleep(length).await;
        let to = fleet.now();
        fleet.reset_behaviour(endpoint);
        fleet.endpoints[endpoint].set_backpressure(Backpressure::default());
        fleet.history.lock().retry_afters.push(RetryAfterRecord {
            endpoint,
            retry_after,
            from,
            to,
        });
    }

    async fn signal_leaving(&self, endpoint: usize, length: Duration) {
        let fleet = &self.fleet;
        let from = fleet.now();
        fleet.endpoints[endpoint].set_backpressure(Backpressure::leaving());
        tokio::time::sleep(length).await;
        let to = fleet.now();
        fleet.endpoints[endpoint].set_backpressure(Backpressure::default());
        fleet.register_restarted(endpoint);
        fleet.history.lock().leaving_signals.push(LeavingSignalRecord { endpoint, from, to });
    }

    async fn leave(&self, endpoint: usize, length: Duration) {
        let fleet = &self.fleet;
        let leaves = &self.leaves[endpoint];
        leaves.fetch_add(1, Ordering::Relaxed);
        fleet.register(endpoint, "draining");
        let from = fleet.now();
        // Long enough to observe work that arrives after the drain bound.
        tokio::time::sleep(length + Duration::from_secs(3)).await;
        let to = fleet.now();
        // The endpoint is ready again after the last of its overlapping leave faults.
        if leaves.fetch_sub(1, Ordering::Relaxed) == 1 {
            fleet.register(endpoint, "ready");
        }
        fleet.history.lock().leaves.push(LeaveRecord { endpoint, from, to });
    }

    async fn disturb_link(&self, link: LinkId, fault: LinkFault, length: Duration) {
        let disturbance = self.fleet.start_disturbance(Disturbed::Link(link));
        self.fleet.link(link).set_fault(Some(fault));
        let length = if fault == LinkFault::Reset { Duration::ZERO } else { length };
        tokio::time::sleep(length).await;
        self.fleet.link(link).set_fault(None);
        self.fleet.end_disturbance(disturbance);
    }

    async fn stop_store(&self, mode: StoreMode, length: Duration) {
        let disturbance = self.fleet.start_disturbance(Disturbed::Store);
        self.fleet.store.set_mode(mode);
        tokio::time::sleep(length).await;
        self.fleet.store.set_mode(StoreMode::Up);
        self.fleet.end_disturbance(disturbance);
    }

    async fn silence_configs(&self, silence: TopicSilence, length: Duration) {
        let disturbance = self.fleet.start_disturbance(Disturbed::Configs);
        self.fleet.store.set_silence(OPERATOR_TOPIC, Some(silence));
        tokio::time::sleep(length).await;
        self.fleet.store.set_silence(OPERATOR_TOPIC, None);
        self.fleet.end_disturbance(disturbance);
    }

    async fn pause(&self, process: ProcessId, length: Duration) -> anyhow::Result<()> {
        let disturbance = self.fleet.start_disturbance(Disturbed::Process(process));
        self.fleet.process(process).lock().signal(Signal::SIGSTOP)?;
        tokio::time::sleep(length).await;
        self.fleet.process(process).lock().signal(Signal::SIGCONT)?;
        self.fleet.end_disturbance(disturbance);
        Ok(())
    }

    async fn kill(&self, process: ProcessId) -> anyhow::Result<()> {
        let disturbance = self.fleet.start_disturbance(Disturbed::Process(process));
        self.fleet.process(process).lock().signal(Signal::SIGKILL)?;
        self.restart(process, disturbance).await
    }

    async fn terminate(&self, process: ProcessId) -> anyhow::Result<()> {
        let fleet = &self.fleet;
        let leaving = fleet.start_disturbance(Disturbed::Leaving(process));
        let incarnation = fleet.process(process).lock().incarnation();
        fleet.process(process).lock().signal(Signal::SIGTERM)?;
        let asked_at = fleet.now();
        let exit_status = || fleet.process(process).lock().exit_status();
        let status = wait_for_exit(exit_status, SHUTDOWN_GRACE + EXIT_SLACK).await?;
        let was_disturbed = fleet
            .history
            .lock()
            .is_disturbed(asked_at, fleet.now(), |what| what == Disturbed::Process(process));
        // The two disturbances overlap, so that the process counts as disturbed without a gap until
        // it is back.
        let disturbance = fleet.start_disturbance(Disturbed::Process(process));
        fleet.end_disturbance(leaving);
        let is_same_incarnation = fleet.process(process).lock().incarnation() == incarnation;
        match status {
            Some(status) if status.success() => {}
            _ if was_disturbed || !is_same_incarnation => {}
            status => {
                let seen = format!(
                    "{} was asked to exit and ended with {status:?}",
                    process_name(process)
                );
                fleet.history.lock().ends.push(seen);
                fleet.process(process).lock().signal(Signal::SIGKILL)?;
            }
        }
        self.restart(process, disturbance).await
    }

    /// Restarts a process once it has exited, unless another fault has done so.
    async fn restart(&self, process: ProcessId, disturbance: usize) -> anyhow::Result<()> {
        let cell = self.fleet.process(process);
        wait_for_exit(|| cell.lock().exit_status(), EXIT_SLACK).await?;
        {
            let mut process = cell.lock();
            if process.exit_status()?.is_some() {
                process.restart()?;
            }
        }
        tokio::time::sleep(START_TIME).await;
        self.fleet.end_disturbance(disturbance);
        Ok(())
    }
}

fn disturbed(endpoint: usize, fault: EndpointFault) -> Disturbed {
    match fault {
        EndpointFault::AnswerTwice | EndpointFault::Reset | EndpointFault::Truncate => {
            Disturbed::Responses(endpoint)
        }
        EndpointFault::Fail | EndpointFault::Hang | EndpointFault::Shed => {
            Disturbed::Endpoint(endpoint)
        }
    }
}

fn behaviour(fault: EndpointFault) -> Behaviour {
    match fault {
        EndpointFault::AnswerTwice => Behaviour::AnswerTwice,
        EndpointFault::Fail => Behaviour::Fail,
        EndpointFault::Hang => Behaviour::Hang,
        EndpointFault::Reset => Behaviour::Reset,
        EndpointFault::Shed => Behaviour::Shed,
        EndpointFault::Truncate => Behaviour::Truncate,
    }
}
