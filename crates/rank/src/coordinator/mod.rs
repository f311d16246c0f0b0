//! Balancing a group: when to change its map.
//!
//! [`drive`] sees a change through, [`current_map`] finds out which map is in use, and
//! [`silence`] reads engines whose processes are silent.

mod current_map;
mod drive;
mod silence;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::{GroupPlan, plan_change};
use lynxmount_core::{
    Clock, Mechanism, Mechanisms,
    edge::{Engine, FleetSource},
    experts::GroupMap,
};
use lynxmount_group::{
    MapCache, MapSwitch, RankNumber, SwitchInputs, SwitchOutcome, abandoned_step,
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use rand::Rng;

use crate::{
    beliefs::{Beliefs, Group},
    duty::Duty,
    mailbox::Mailbox,
    members::Members,
    memory::Memory,
    outbox::Outbox,
    roster::Roster,
    spec::Spec,
};

/// How often a change is weighed.
const PERIOD: Duration = Duration::from_millis(50);

/// How long a hold may stand before it is taken for left behind: a switch holds
/// a group for 20 ms as a rule, and undoes it after 400 ms. Undoing one that is still
/// under way is safe.
const LEFT_BEHIND_AFTER: Duration = Duration::from_millis(600);

/// Balances one group as long as this process is the first live one.
pub(crate) struct Coordinator<E, S, F> {
    pub(crate) engine: Arc<E>,
    pub(crate) make_engine: F,
    pub(crate) source: Arc<S>,
    pub(crate) own: SocketAddr,
    pub(crate) mailbox: Mailbox,
    pub(crate) roster: Arc<Roster>,
    pub(crate) members: Arc<Members>,
    pub(crate) duty: Arc<Duty>,
    pub(crate) beliefs: Arc<Mutex<Beliefs>>,
    pub(crate) outbox: Arc<Outbox>,
    pub(crate) maps: Arc<Mutex<MapCache>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) mechanisms: Mechanisms,
}

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Balances until the task is dropped.
    pub(crate) async fn run(self) {
        let mut memory = Memory::default();
        loop {
            tokio::time::sleep(PERIOD).await;
            let is_leading = self.duty.is_leading();
            if is_leading != memory.was_leading {
                log::info!(is_leading; "balancing duty");
                memory.was_leading = is_leading;
            }
            if is_leading {
                self.balance(&mut memory).await;
            }
        }
    }

    async fn balance(&self, memory: &mut Memory) {
        self.read_silent(memory);
        let Some(group) = self.beliefs.lock().group_of(self.own) else { return };
        let Some(spec) = self.spec(memory).await else { return };
        let is_left_behind = abandoned_step(&group.reports).is_some();
        match (is_left_behind, memory.left_behind_since) {
            (false, _) => {
                memory.left_behind_since = None;
                self.change(memory, &spec, group).await;
            }
            (true, None) => memory.left_behind_since = Some(Instant::now()),
            (true, Some(since)) if since.elapsed() < LEFT_BEHIND_AFTER => {}
            (true, Some(_)) => {
                memory.left_behind_since = None;
                self.undo(memory, group).await;
            }
        }
    }

    async fn spec(&self, memory: &mut Memory) -> Option<Spec> {
        if memory.spec.is_none() {
            let read = self.source.config_after(None, Duration::ZERO).await;
            let config = match read {
                Ok(config) => config.map(|(_, config)| config),
                Err(error) => {
                    log::warn!(error:% = error; "the configuration can't be read");
                    None
                }
            };
            memory.spec = Spec::of(&config?, &self.roster.service()?);
            if !self.mechanisms.has(Mechanism::ShortCopies) {
                // Experts that are copied at once are copied in any number.
                memory.spec.iter_mut().for_each(|spec| spec.experts.copy_time = Duration::ZERO);
            }
        }
        memory.spec
    }

    /// The time between passes as a part of the longest pause that is on time; 1
    /// as long as either is not known.
    fn pressure(&self, memory: &mut Memory, spec: &Spec, group: &Group) -> f64 {
        let is_working = group.reports.iter().any(|report| report.running > 0);
        let step = group.reports.iter().map(|report| report.step).max().unwrap_or_default();
        memory.pass_time.record(group.epoch, step, is_working, self.clock.now());
        if !self.mechanisms.has(Mechanism::RoomForGains) {
            return 1.0;
        }
        let (Some(pass), Some(goal)) = (memory.pass_time.peak(), spec.pause_goal) else {
            return 1.0;
        };
        pass.as_secs_f64() / goal.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    async fn change(&self, memory: &mut Memory, spec: &Spec, group: Group) {
        let pressure = self.pressure(memory, spec, &group);
        // A map that is armed comes into use with the next pass of the group.
        if group.reports.iter().any(|report| report.armed.is_some()) {
            return;
        }
        let Some(current) = self.current_map(memory, &group).await else { return };
        let Some(demand) = self.beliefs.lock().demand(spec.experts.experts) else { return };
        let Some(plan) = plan_change(&current, &demand, &spec.experts, pressure) else { return };
        let Some(start) = self.start(memory, &group, &current) else { return };
        let base = group.map_version().map(|version| (version, &*current));
        let mut switch = MapSwitch::start(start, plan.maps.clone(), memory.min_version);
        memory.min_version = switch.version();
        self.metrics.count("maps.started");
        let began = Instant::now();
        let end = self.drive(memory, &mut switch, &group.engines, base).await;
        self.note(&plan, &switch, pressure, end, began.elapsed());
    }

    fn start(&self, memory: &Memory, group: &Group, current: &GroupMap) -> Option<SwitchInputs> {
        let reports = group.reports.clone();
        let listeners = self.members.listeners();
        let place = listeners.iter().position(|engine| *engine == self.own)?;
        let is_own = |rank: usize| is_own_guard(&group.engines, &listeners, place, rank);
        let placement = memory.hold_history.choose(group.epoch, &reports, is_own)?;
        Some(SwitchInputs {
            options: memory.switch_options(self.mechanisms.has(Mechanism::LossyLead)),
            hold_rank: placement.rank,
            min_step: placement.min_step,
            epoch: group.epoch,
            reports,
            current: current.clone(),
            nonce: rand::rng().random(),
            now: self.clock.now(),
        })
    }

    fn note(
        &self,
        plan: &GroupPlan,
        switch: &MapSwitch,
        pressure: f64,
        end: SwitchOutcome,
        took: Duration,
    ) {
        let version = switch.version();
        let armed_ms = switch.arming_time().map(|time| time.as_millis() as u64);
        let (before, after, fetches) = (plan.skew_before, plan.skew_after, plan.fetches);
        let took_ms = took.as_millis() as u64;
        log::info!(version, skew_before = before, skew_after = after, fetches, pressure, armed_ms,
            took_ms, end:? = end; "change of map");
        self.metrics.latency("maps.change", took);
        if end == SwitchOutcome::Switched {
            self.metrics.count("maps.switched");
        }
    }

    async fn undo(&self, memory: &mut Memory, group: Group) {
        let Some(current) = self.current_map(memory, &group).await else { return };
        let Some(start) = self.start(memory, &group, &current) else { return };
        let Some(mut switch) = MapSwitch::roll_back(start) else { return };
        log::warn!(epoch = group.epoch; "a change of map was left behind; it is undone");
        memory.min_version = memory.min_version.max(switch.version());
        let end = self.drive(memory, &mut switch, &group.engines, None).await;
        log::info!(end:? = end; "a change of map that was left behind is over");
        self.metrics.count("maps.undone");
    }
}

/// Says whether a rank is this process's to hold the group through: its own, and
/// of those that no process balances beside its share.
fn is_own_guard(
    engines: &[SocketAddr],
    listeners: &[SocketAddr],
    place: usize,
    rank: RankNumber,
) -> bool {
    match listeners.iter().position(|listener| *listener == engines[rank]) {
        Some(listener) => listener == place,
        None => rank % listeners.len() == place,
    }
}
