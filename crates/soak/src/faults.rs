//! Faults as they are done to the fleet.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lynxmount_platform_standin::{
    Backpressure, Behaviour, StoreMode,
    fixture::{OPERATOR_TOPIC, REGISTRATIONS_TOPIC, SHUTDOWN_GRACE},
};
use nix::sys::signal::Signal;
use tokio::task::JoinSet;

use crate::{
    history::{Disturbed, LeaveRecord, LimitRecord, RestRecord, SaidLeavingRecord},
    plan::{EndpointAdvice, EndpointFault, Fault, FaultKind, LinkFault, LinkId, ProcessId},
    poison::repeat_poison,
    process::wait_for_end,
    world::{EXPERTS, World, name},
};

/// How long a process may take to serve again after its start; all that time
/// counts as disturbed.
const START_TIME: Duration = Duration::from_millis(1000);

/// How much longer than its grace time a process may take to end on a busy
/// machine.
const END_SLACK: Duration = Duration::from_millis(2500);

/// How often each pass chooses the expert in demand, and all others.
const IN_DEMAND: u64 = 4000;
const NOT_IN_DEMAND: u64 = 100;

/// Does faults; those that last run beside each other.
pub(crate) struct Injector {
    world: Arc<World>,
    version: AtomicU64,
    demand: AtomicU64,
    /// How many leavings of each endpoint are under way.
    leaves: Vec<AtomicU64>,
}

impl Injector {
    pub(crate) fn new(world: Arc<World>) -> Injector {
        let leaves = world.endpoints.iter().map(|_| AtomicU64::new(0)).collect();
        Injector { world, version: AtomicU64::new(1), demand: AtomicU64::new(0), leaves }
    }

    /// Does all faults, and returns when the last is over.
    ///
    /// Fails if a process can't be signalled or started.
    pub(crate) async fn run(self: Arc<Injector>, faults: &[Fault]) -> anyhow::Result<()> {
        let mut under_way = JoinSet::new();
        let began = self.world.now();
        for fault in faults.iter().copied() {
            let due = began + fault.at;
            tokio::time::sleep(due.saturating_sub(self.world.now())).await;
            let injector = Arc::clone(&self);
            under_way.spawn(async move { injector.inject(fault).await });
        }
        while let Some(done) = under_way.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn inject(&self, fault: Fault) -> anyhow::Result<()> {
        let world = &self.world;
        match fault.kind {
            FaultKind::Advise(endpoint, EndpointAdvice::Leave) => {
                self.say_leaving(endpoint, fault.length).await;
            }
            FaultKind::Advise(endpoint, EndpointAdvice::Limit(in_ten_s)) => {
                self.limit(endpoint, f64::from(in_ten_s) / 10.0, fault.length).await;
            }
            FaultKind::Advise(endpoint, EndpointAdvice::Rest(rest_ms)) => {
                self.rest(endpoint, Duration::from_millis(rest_ms), fault.length).await;
            }
            FaultKind::BlockGroup { frozen } => self.block_group(frozen, fault.length).await,
            FaultKind::ChangeConfig => {
                world.put_config(self.version.fetch_add(1, Ordering::Relaxed) + 1);
            }
            FaultKind::ChangeDemand => self.change_demand(),
            FaultKind::CompactStore => {
                world.store.compact(OPERATOR_TOPIC);
                world.store.compact(REGISTRATIONS_TOPIC);
            }
            FaultKind::Freeze(endpoint) => self.freeze(endpoint, fault.length).await,
            FaultKind::Leave(endpoint) => self.leave(endpoint, fault.length).await,
            FaultKind::Link(link, harm) => self.harm(link, harm, fault.length).await,
            FaultKind::LoseOrders(one_of) => {
                world.group.lose_answers(one_of);
                tokio::time::sleep(fault.length).await;
                world.group.lose_answers(0);
            }
            FaultKind::Misbehave(endpoint, harm) => {
                let begun = world.note_begin(Disturbed::Endpoint(endpoint));
                world.endpoints[endpoint].set_behaviour(behaviour(harm));
                tokio::time::sleep(fault.length).await;
                world.mend(endpoint);
                world.note_end(begun);
            }
            FaultKind::Poison { service, crash } => {
                repeat_poison(world, service, crash, fault.length).await;
            }
            FaultKind::Kill(process) => self.kill(process).await?,
            FaultKind::Pause(process) => self.pause(process, fault.length).await?,
            FaultKind::StoreBusy => self.stop_store(StoreMode::Busy, fault.length).await,
            FaultKind::StoreSilent => self.stop_store(StoreMode::Silent, fault.length).await,
            FaultKind::Terminate(process) => self.terminate(process).await?,
            FaultKind::Hangup(process) => {
                world.process(process).lock().signal(Signal::SIGHUP)?;
            }
        }
        Ok(())
    }

    fn change_demand(&self) {
        let favourite = self.demand.fetch_add(5, Ordering::Relaxed) as usize % EXPERTS;
        let demand = |expert| if expert == favourite { IN_DEMAND } else { NOT_IN_DEMAND };
        self.world.group.set_demand((0..EXPERTS).map(demand).collect());
    }

    async fn freeze(&self, endpoint: usize, length: Duration) {
        let begun = self.world.note_begin(Disturbed::Endpoint(endpoint));
        self.world.endpoints[endpoint].freeze();
        tokio::time::sleep(length).await;
        self.world.endpoints[endpoint].thaw();
        self.world.note_end(begun);
    }

    async fn block_group(&self, frozen: Option<usize>, length: Duration) {
        let world = &self.world;
        let ranks = world.stream_endpoints().map(Disturbed::Endpoint);
        let begun: Vec<usize> = ranks.map(|rank| world.note_begin(rank)).collect();
        world.streams.hold();
        match frozen {
            Some(endpoint) => self.freeze(endpoint, length).await,
            None => tokio::time::sleep(length).await,
        }
        world.streams.release();
        begun.into_iter().for_each(|index| world.note_end(index));
    }

    async fn limit(&self, endpoint: usize, limit_per_s: f64, length: Duration) {
        let world = &self.world;
        let from = world.now();
        world.endpoints[endpoint].set_backpressure(Backpressure::rate_limit(limit_per_s));
        tokio::time::sleep(length).await;
        let to = world.now();
        world.endpoints[endpoint].set_backpressure(Backpressure::default());
        world.history.lock().limits.push(LimitRecord { endpoint, limit_per_s, from, to });
    }

    async fn rest(&self, endpoint: usize, rest: Duration, length: Duration) {
        let world = &self.world;
        let from = world.now();
        world.endpoints[endpoint].set_backpressure(Backpressure::retry_after(rest));
        world.endpoints[endpoint].set_behaviour(Behaviour::Shed);
        tokio::time::sleep(length).await;
        let to = world.now();
        world.mend(endpoint);
        world.endpoints[endpoint].set_backpressure(Backpressure::default());
        world.history.lock().rests.push(RestRecord { endpoint, rest, from, to });
    }

    async fn say_leaving(&self, endpoint: usize, length: Duration) {
        let world = &self.world;
        let from = world.now();
        world.endpoints[endpoint].set_backpressure(Backpressure::leaving());
        tokio::time::sleep(length).await;
        let to = world.now();
        world.endpoints[endpoint].set_backpressure(Backpressure::default());
        world.register_later_life(endpoint);
        world.history.lock().said_leaving.push(SaidLeavingRecord { endpoint, from, to });
    }

    async fn leave(&self, endpoint: usize, length: Duration) {
        let world = &self.world;
        let leaves = &self.leaves[endpoint];
        leaves.fetch_add(1, Ordering::Relaxed);
        world.register(endpoint, "draining");
        let from = world.now();
        // Long enough that work after the bound would be seen.
        tokio::time::sleep(length + Duration::from_secs(3)).await;
        let to = world.now();
        // It is back when the last of its leavings that overlap is over.
        if leaves.fetch_sub(1, Ordering::Relaxed) == 1 {
            world.register(endpoint, "ready");
        }
        world.history.lock().leaves.push(LeaveRecord { endpoint, from, to });
    }

    async fn harm(&self, link: LinkId, harm: LinkFault, length: Duration) {
        let begun = self.world.note_begin(Disturbed::Link(link));
        self.world.link(link).set(Some(harm));
        let length = if harm == LinkFault::Reset { Duration::ZERO } else { length };
        tokio::time::sleep(length).await;
        self.world.link(link).set(None);
        self.world.note_end(begun);
    }

    async fn stop_store(&self, mode: StoreMode, length: Duration) {
        let begun = self.world.note_begin(Disturbed::Store);
        self.world.store.set_mode(mode);
        tokio::time::sleep(length).await;
        self.world.store.set_mode(StoreMode::Up);
        self.world.note_end(begun);
    }

    async fn pause(&self, process: ProcessId, length: Duration) -> anyhow::Result<()> {
        let begun = self.world.note_begin(Disturbed::Process(process));
        self.world.process(process).lock().signal(Signal::SIGSTOP)?;
        tokio::time::sleep(length).await;
        self.world.process(process).lock().signal(Signal::SIGCONT)?;
        self.world.note_end(begun);
        Ok(())
    }

    async fn kill(&self, process: ProcessId) -> anyhow::Result<()> {
        let begun = self.world.note_begin(Disturbed::Process(process));
        self.world.process(process).lock().signal(Signal::SIGKILL)?;
        self.start_again(process, begun).await
    }

    async fn terminate(&self, process: ProcessId) -> anyhow::Result<()> {
        let world = &self.world;
        let leaving = world.note_begin(Disturbed::Leaving(process));
        let life = world.process(process).lock().life();
        world.process(process).lock().signal(Signal::SIGTERM)?;
        let asked = world.now();
        let ended = || world.process(process).lock().ended();
        let ended = wait_for_end(ended, SHUTDOWN_GRACE + END_SLACK).await?;
        let was_harmed = world
            .history
            .lock()
            .is_disturbed(asked, world.now(), |what| what == Disturbed::Process(process));
        // Whoever looks at the process finds it disturbed at each moment until it is back.
        let begun = world.note_begin(Disturbed::Process(process));
        world.note_end(leaving);
        let is_same_life = world.process(process).lock().life() == life;
        match ended {
            Some(status) if status.success() => {}
            _ if was_harmed || !is_same_life => {}
            other => {
                let seen = format!("{} was asked to leave and ended with {other:?}", name(process));
                world.history.lock().ends.push(seen);
                world.process(process).lock().signal(Signal::SIGKILL)?;
            }
        }
        self.start_again(process, begun).await
    }

    /// Starts a process that has ended, unless another fault has done so.
    async fn start_again(&self, process: ProcessId, begun: usize) -> anyhow::Result<()> {
        let cell = self.world.process(process);
        wait_for_end(|| cell.lock().ended(), END_SLACK).await?;
        {
            let mut process = cell.lock();
            if process.ended()?.is_some() {
                process.start_again()?;
            }
        }
        tokio::time::sleep(START_TIME).await;
        self.world.note_end(begun);
        Ok(())
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
