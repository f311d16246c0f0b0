//! Balancing a group: when to change its map, and seeing the change through.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use lynxmount_balance::{GroupPlan, plan_change};
use lynxmount_core::{
    Clock, Mechanism, Mechanisms, Result,
    edge::{Engine, FleetSource},
    experts::{Action, EngineOrder, GroupEpoch, GroupMap, MapVersion},
};
use lynxmount_group::{
    KnownMaps, RankNumber, RankOrder, RelayTarget, Switch, SwitchEnd, SwitchStart, left_behind,
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    beliefs::{Beliefs, Group},
    duty::Duty,
    members::Members,
    memory::Memory,
    message::{Datagram, OrderAnswer},
    orders::{Awaiting, Base, Outbox, give, read_row},
    roster::Roster,
    spec::Spec,
};

/// How often a change is weighed.
const PERIOD: Duration = Duration::from_millis(50);

/// How often a switch under way is looked after if nothing is answered.
const SWITCH_TICK: Duration = Duration::from_millis(20);

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
    pub(crate) port: u16,
    pub(crate) roster: Arc<Roster>,
    pub(crate) members: Arc<Members>,
    pub(crate) duty: Arc<Duty>,
    pub(crate) beliefs: Arc<Mutex<Beliefs>>,
    pub(crate) outbox: Arc<Outbox>,
    pub(crate) maps: Arc<Mutex<KnownMaps>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) mechanisms: Mechanisms,
}

/// How long a process must be silent before its engine is read and given orders
/// directly: three reports of the ranks that report least often. A frozen process
/// kept its group held for 4 s before.
const DIRECT_AFTER: Duration = Duration::from_millis(1000);

/// How often a map that this process lacks is asked for.
const ASK_MAP_PERIOD: Duration = Duration::from_millis(200);

/// How often an engine is read directly. Each reading from afar is priced as a
/// probe.
const DIRECT_PERIOD: Duration = Duration::from_millis(250);

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
        let is_left_behind = left_behind(&group.reports).is_some();
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

    /// Begins to read the engines whose processes are silent. Nothing waits for
    /// them: an engine that can't be reached would hold up all others.
    fn read_silent(&self, memory: &mut Memory) {
        if !self.mechanisms.has(Mechanism::DirectReads) {
            return;
        }
        if memory.read_directly_at.is_some_and(|at| at.elapsed() < DIRECT_PERIOD) {
            return;
        }
        memory.read_directly_at = Some(Instant::now());
        for engine in self.members.engines().into_iter().filter(|engine| self.is_silent(*engine)) {
            let (client, beliefs) = ((self.make_engine)(engine), Arc::clone(&self.beliefs));
            self.metrics.count("engines.read_directly");
            tokio::spawn(async move {
                match client.report().await {
                    Ok(report) => beliefs.lock().note_reading(engine, report),
                    Err(error) => log::debug!("{error}"),
                }
            });
        }
    }

    /// Says whether the process beside an engine has told nothing for long.
    fn is_silent(&self, engine: SocketAddr) -> bool {
        let told_ago = self.beliefs.lock().told_ago(engine);
        let silent_for = told_ago.unwrap_or_else(|| self.members.own_age());
        engine != self.own && silent_for > DIRECT_AFTER
    }

    /// The map that all ranks have in use. One that this process was not given, as it
    /// was not there then, it asks one of them for, and after that all of them for what
    /// their engines hold.
    async fn current_map(&self, memory: &mut Memory, group: &Group) -> Option<Arc<GroupMap>> {
        let version = group.map_version()?;
        let known = self.maps.lock().get(group.epoch, version);
        if known.is_some() {
            memory.map_asked = None;
            return known;
        }
        match memory.map_asked.filter(|(asked, _)| *asked == version) {
            Some((_, at)) if at.elapsed() < ASK_MAP_PERIOD => return None,
            Some(_) => self.ask_rows(group, version).await,
            None => self.ask_map(group, version).await,
        }
        memory.map_asked = Some((version, Instant::now()));
        None
    }

    async fn ask_map(&self, group: &Group, version: MapVersion) {
        let others: Vec<SocketAddr> =
            group.engines.iter().copied().filter(|engine| *engine != self.own).collect();
        let asked = others.choose(&mut rand::rng()).copied();
        if let Some(asked) = asked {
            let asking = Datagram::MapAsked { epoch: group.epoch, version };
            self.members.send(self.peer(asked), asking).await;
        }
    }

    /// Asks all ranks what they hold: 60 bytes each for ten sets of three places. What an
    /// engine holds whose process is silent is read from it.
    async fn ask_rows(&self, group: &Group, version: MapVersion) {
        log::info!(version; "nobody knows the map in use; ranks are asked what they hold");
        for engine in &group.engines {
            match self.is_silent(*engine) {
                true => self.read_row(*engine, group.epoch, version),
                false => {
                    let asking = Datagram::RowAsked { epoch: group.epoch, version };
                    self.members.send(self.peer(*engine), asking).await;
                }
            }
        }
    }

    fn read_row(&self, engine: SocketAddr, epoch: GroupEpoch, version: MapVersion) {
        let (client, maps) = ((self.make_engine)(engine), Arc::clone(&self.maps));
        self.metrics.count("engines.read_directly");
        tokio::spawn(async move {
            match read_row(&client, epoch, version).await {
                Ok(row) => row.into_iter().for_each(|row| maps.lock().note_row(row)),
                Err(error) => log::debug!("{error}"),
            }
        });
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
        memory.pass_time.note(group.epoch, step, is_working, self.clock.now());
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
        let mut switch = Switch::start(start, plan.maps.clone(), memory.min_version);
        memory.min_version = switch.version();
        self.metrics.count("maps.started");
        let began = Instant::now();
        let end = self.drive(memory, &mut switch, &group.engines, base).await;
        self.note(&plan, &switch, pressure, end, began.elapsed());
    }

    fn start(&self, memory: &Memory, group: &Group, current: &GroupMap) -> Option<SwitchStart> {
        let reports = group.reports.clone();
        let listeners = self.members.listeners();
        let place = listeners.iter().position(|engine| *engine == self.own)?;
        let is_own = |rank: usize| is_own_guard(&group.engines, &listeners, place, rank);
        let guard = memory.guards.choose(group.epoch, &reports, is_own)?;
        Some(SwitchStart {
            options: memory.switch_options(self.mechanisms.has(Mechanism::LossyLead)),
            guard: guard.rank,
            min_step: guard.min_step,
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
        switch: &Switch,
        pressure: f64,
        end: SwitchEnd,
        took: Duration,
    ) {
        let version = switch.version();
        let armed_ms = switch.armed_in().map(|time| time.as_millis() as u64);
        let (before, after, fetches) = (plan.skew_before, plan.skew_after, plan.fetches);
        let took_ms = took.as_millis() as u64;
        log::info!(version, skew_before = before, skew_after = after, fetches, pressure, armed_ms,
            took_ms, end:? = end; "change of map");
        self.metrics.latency("maps.change", took);
        if end == SwitchEnd::Switched {
            self.metrics.count("maps.switched");
        }
    }

    async fn undo(&self, memory: &mut Memory, group: Group) {
        let Some(current) = self.current_map(memory, &group).await else { return };
        let Some(start) = self.start(memory, &group, &current) else { return };
        let Some(mut switch) = Switch::undo(start) else { return };
        log::warn!(epoch = group.epoch; "a change of map was left behind; it is undone");
        memory.min_version = memory.min_version.max(switch.version());
        let end = self.drive(memory, &mut switch, &group.engines, None).await;
        log::info!(end:? = end; "a change of map that was left behind is over");
        self.metrics.count("maps.undone");
    }

    /// Sees a switch through.
    async fn drive(
        &self,
        memory: &mut Memory,
        switch: &mut Switch,
        engines: &[SocketAddr],
        base: Base<'_>,
    ) -> SwitchEnd {
        let mut under_way: FuturesUnordered<BoxFuture<'_, (usize, Result<OrderAnswer>)>> =
            FuturesUnordered::new();
        loop {
            let orders = switch.tick(self.clock.now());
            let mut relayed = self.relay(&orders, engines, base).await;
            for RankOrder { rank, order } in orders {
                let engine = engines[rank];
                let awaiting = relayed.remove(&self.peer(engine));
                under_way.push(Box::pin(async move {
                    (rank, self.give(engine, &order, base, awaiting).await)
                }));
            }
            memory.guards.note(switch.epoch(), switch.guard(), switch.step());
            if let Some(end) = switch.end() {
                return end;
            }
            tokio::select! {
                Some((rank, answered)) = under_way.next(), if !under_way.is_empty() => {
                    memory.note_loss(&answered);
                    self.note_report(engines[rank], &answered);
                    take_answer(switch, rank, answered);
                }
                () = tokio::time::sleep(SWITCH_TICK) => {
                    self.read_silent(memory);
                    self.observe(switch, engines);
                }
            }
        }
    }

    /// Sends a map through relays to all ranks that are to be given it, if that is
    /// sooner there. Returns what is then awaited, by the process that answers.
    async fn relay(
        &self,
        orders: &[RankOrder],
        engines: &[SocketAddr],
        base: Base<'_>,
    ) -> HashMap<SocketAddr, Awaiting> {
        let is_map = |order: &&RankOrder| matches!(order.order.action, Action::Prepare { .. });
        let maps: Vec<&RankOrder> = orders.iter().filter(is_map).collect();
        let Some(first) = maps.first() else { return HashMap::new() };
        self.maps.lock().note_order(&first.order);
        let engines = maps.iter().map(|order| engines[order.rank]);
        let spoken = engines.filter(|engine| *engine != self.own && !self.is_silent(*engine));
        let targets: Vec<RelayTarget> = spoken.map(|engine| self.relay_target(engine)).collect();
        match self.outbox.relay(&targets, &first.order, base).await {
            Ok(awaited) => awaited,
            Err(error) => {
                log::error!(error:% = error; "a map can't be written");
                HashMap::new()
            }
        }
    }

    /// The process beside an engine.
    fn peer(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.port)
    }

    fn relay_target(&self, engine: SocketAddr) -> RelayTarget {
        RelayTarget {
            failure_domain: self.roster.failure_domain(engine),
            address: self.peer(engine),
        }
    }

    /// Keeps what an answer tells, so that an older report does not follow it.
    fn note_report(&self, engine: SocketAddr, answered: &Result<OrderAnswer>) {
        if let Ok(answer) = answered {
            self.beliefs.lock().note_report(engine, answer.report.clone());
        }
    }

    /// Takes what the ranks have told meanwhile.
    fn observe(&self, switch: &mut Switch, engines: &[SocketAddr]) {
        let beliefs = self.beliefs.lock();
        for (rank, engine) in engines.iter().enumerate() {
            if let Some(report) = beliefs.last_report(*engine) {
                switch.observe(rank, report);
            }
        }
    }

    /// Gives an order through the process beside the engine, or straight to the
    /// engine if that process does not answer.
    async fn give(
        &self,
        engine: SocketAddr,
        order: &EngineOrder,
        base: Base<'_>,
        awaiting: Option<Awaiting>,
    ) -> Result<OrderAnswer> {
        if engine == self.own {
            return give(&*self.engine, order).await;
        }
        if self.is_silent(engine) {
            self.metrics.count("orders.direct");
            return give(&(self.make_engine)(engine), order).await;
        }
        let peer = self.peer(engine);
        match self.outbox.give(peer, order, base, awaiting).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                log::info!(error:% = error; "order given to the engine directly");
                self.metrics.count("orders.direct");
                give(&(self.make_engine)(engine), order).await
            }
        }
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

fn take_answer(switch: &mut Switch, rank: usize, answered: Result<OrderAnswer>) {
    match answered {
        Ok(OrderAnswer { result, report, .. }) => {
            switch.observe(rank, report);
            switch.answered(rank, result);
        }
        Err(error) => {
            log::info!(rank, error:% = error; "nothing is known of an order");
            switch.answered(rank, None);
        }
    }
}
