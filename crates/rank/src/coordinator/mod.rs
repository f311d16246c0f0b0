//! The leader's balancing loop: when to switch the group to another expert map.
//!
//! [`drive`] carries a switch out, [`current_map`] finds the map in use, and [`direct_reads`]
//! reads engines whose processes are silent.

mod current_map;
mod direct_reads;
mod drive;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::{GroupPlan, plan_change};
use lynxmount_core::{
    Clock, Mechanism, Mechanisms,
    adapter::{Engine, FleetSource},
    experts::GroupMap,
};
use lynxmount_group::{
    MapCache, MapSwitch, RankNumber, SwitchInputs, SwitchOutcome, abandoned_step, hold_owner,
    may_start_switches,
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::{
    balance_spec::BalanceSpec,
    discovery::Discovery,
    leader_state::LeaderState,
    leadership::Leadership,
    obstacle::Obstacle,
    order_client::OrderClient,
    rank_states::{GroupSnapshot, RankStates},
    registry::Registry,
    transport::Transport,
};

/// How often a switch is considered.
const BALANCE_PERIOD: Duration = Duration::from_millis(50);

/// How long a switch may look unfinished before it counts as abandoned by its leader. A switch
/// usually holds a group for 20 ms, and rolls back after 400 ms. Rolling back a switch that is
/// still in progress is safe.
const ABANDONED_AFTER: Duration = Duration::from_millis(600);

/// Balances the own group while this process is its leader.
pub(crate) struct Coordinator<E, S, F> {
    pub(crate) engine: Arc<E>,
    pub(crate) make_engine: Arc<F>,
    pub(crate) source: Arc<S>,
    pub(crate) own_engine: SocketAddr,
    pub(crate) transport: Transport,
    pub(crate) registry: Arc<Registry>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) leadership: Arc<Leadership>,
    pub(crate) rank_states: Arc<Mutex<RankStates>>,
    pub(crate) order_client: Arc<OrderClient>,
    pub(crate) maps: Arc<Mutex<MapCache>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) is_first_start: bool,
    pub(crate) mechanisms: Mechanisms,
    /// Cancelled when the process is told to terminate.
    pub(crate) terminating: CancellationToken,
}

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Balances until the process is told to terminate and no switch is in progress.
    pub(crate) async fn run(self) {
        let mut state = LeaderState::new(self.is_first_start);
        while !self.terminating.is_cancelled() {
            tokio::time::sleep(BALANCE_PERIOD).await;
            let is_leading = self.leadership.is_leader();
            if is_leading != state.was_leader {
                log::info!(is_leading; "leadership changed");
                state.was_leader = is_leading;
            }
            if is_leading {
                self.balance(&mut state).await;
            }
        }
    }

    async fn balance(&self, state: &mut LeaderState) {
        self.read_silent_engines(state);
        let Some(group) = self.rank_states.lock().snapshot(self.own_engine) else {
            let missing = self.rank_states.lock().missing_ranks();
            let obstacle = (!missing.is_empty()).then_some(Obstacle::MissingRanks(missing));
            return state.obstacle.set(obstacle);
        };
        let is_unfinished = abandoned_step(&group.reports).is_some();
        match (is_unfinished, state.unfinished_since) {
            (false, _) => {
                state.unfinished_since = None;
                state.obstacle.set(None);
                // Only a new switch needs the configuration: settling one must not wait for it.
                let Some(spec) = self.spec(state).await else { return };
                self.rebalance(state, &spec, group).await;
            }
            (true, None) => state.unfinished_since = Some(Instant::now()),
            (true, Some(since)) if since.elapsed() < ABANDONED_AFTER => {}
            (true, Some(_)) => {
                state.unfinished_since = None;
                self.roll_back(state, group).await;
            }
        }
    }

    async fn spec(&self, state: &mut LeaderState) -> Option<BalanceSpec> {
        if state.spec.is_none() {
            let read = self.source.config_from(None, Duration::ZERO).await;
            let config = match read {
                Ok(read) => read.value,
                Err(error) => {
                    log::warn!(error:% = error; "configuration read failed");
                    None
                }
            };
            state.spec = BalanceSpec::from_config(&config?, &self.registry.service()?);
            if !self.mechanisms.has(Mechanism::ShortCopies) {
                // A copy time of zero does not limit the number of copies.
                state.spec.iter_mut().for_each(|spec| spec.experts.copy_time = Duration::ZERO);
            }
        }
        state.spec
    }

    /// The time between passes as a fraction of the gap goal; 1 while either is unknown.
    fn pressure(&self, state: &mut LeaderState, spec: &BalanceSpec, group: &GroupSnapshot) -> f64 {
        let is_working = group.reports.iter().any(|report| report.running > 0);
        let step = group.reports.iter().map(|report| report.step).max().unwrap_or_default();
        state.pass_time.record(group.epoch, step, is_working, self.clock.now());
        if !self.mechanisms.has(Mechanism::RoomForGains) {
            return 1.0;
        }
        let (Some(pass), Some(goal)) = (state.pass_time.peak(), spec.gap_goal) else {
            return 1.0;
        };
        pass.as_secs_f64() / goal.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    async fn rebalance(&self, state: &mut LeaderState, spec: &BalanceSpec, group: GroupSnapshot) {
        let pressure = self.pressure(state, spec, &group);
        // A switch is in progress: the armed map comes into use with the group's next pass.
        if group.reports.iter().any(|report| report.armed.is_some()) {
            return;
        }
        let step = group.reports.iter().map(|report| report.step).max().unwrap_or_default();
        state.hold_history.on_seen(group.epoch, step);
        if !state.hold_history.may_switch(group.epoch, step, self.clock.now()) {
            return;
        }
        if !self.own_rank(&group).is_some_and(may_start_switches) {
            return;
        }
        let Some(current) = self.current_map(state, &group).await else { return };
        let Some(demand) = self.rank_states.lock().demand(spec.experts.experts) else { return };
        let slowdowns = match self.mechanisms.has(Mechanism::SlowRanks) {
            true => group.slowdowns(),
            false => Vec::new(),
        };
        let plan = plan_change(&current, &demand, &slowdowns, &spec.experts, pressure);
        let Some(plan) = plan else { return };
        let Some(inputs) = self.switch_inputs(state, &group, &current) else { return };
        let base = group.map_version().map(|version| (version, &*current));
        let mut switch = MapSwitch::start(inputs, plan.maps.clone(), state.min_version);
        state.min_version = switch.version();
        self.metrics.count("maps.started");
        let started_at = Instant::now();
        let outcome = self.drive(state, &mut switch, &group.engines, base).await;
        self.record_switch(&plan, &switch, pressure, outcome, started_at.elapsed());
    }

    fn own_rank(&self, group: &GroupSnapshot) -> Option<RankNumber> {
        group.engines.iter().position(|engine| *engine == self.own_engine)
    }

    fn switch_inputs(
        &self,
        state: &LeaderState,
        group: &GroupSnapshot,
        current: &GroupMap,
    ) -> Option<SwitchInputs> {
        let reports = group.reports.clone();
        let own_rank = self.own_rank(group)?;
        let is_own = |rank: RankNumber| rank == own_rank || hold_owner(rank) == own_rank;
        let placement =
            state.hold_history.choose(group.epoch, &reports, is_own, self.clock.now())?;
        Some(SwitchInputs {
            options: state.switch_options(self.mechanisms.has(Mechanism::LossyLead)),
            hold_rank: placement.rank,
            min_step: placement.min_step,
            epoch: group.epoch,
            reports,
            current: current.clone(),
            nonce: rand::rng().random(),
            now: self.clock.now(),
        })
    }

    fn record_switch(
        &self,
        plan: &GroupPlan,
        switch: &MapSwitch,
        pressure: f64,
        outcome: SwitchOutcome,
        duration: Duration,
    ) {
        let version = switch.version();
        let armed_ms = switch.arming_time().map(|time| time.as_millis() as u64);
        let (before, after, fetches) = (plan.skew_before, plan.skew_after, plan.fetches);
        let took_ms = duration.as_millis() as u64;
        log::info!(version, skew_before = before, skew_after = after, fetches, pressure, armed_ms,
            took_ms, end:? = outcome; "map switch finished");
        self.metrics.record_latency("maps.change", duration);
        if outcome == SwitchOutcome::Switched {
            self.metrics.count("maps.switched");
        }
    }

    async fn roll_back(&self, state: &mut LeaderState, group: GroupSnapshot) {
        let Some(current) = self.current_map(state, &group).await else {
            return state.obstacle.set(Some(Obstacle::UnknownMap));
        };
        let Some(inputs) = self.switch_inputs(state, &group, &current) else {
            return state.obstacle.set(Some(Obstacle::NoHoldRank));
        };
        state.obstacle.set(None);
        let Some(mut switch) = MapSwitch::roll_back(inputs) else { return };
        log::warn!(epoch = group.epoch; "abandoned map switch found");
        state.min_version = state.min_version.max(switch.version());
        let outcome = self.drive(state, &mut switch, &group.engines, None).await;
        log::info!(end:? = outcome; "abandoned map switch settled");
        self.metrics.count("maps.undone");
    }
}
