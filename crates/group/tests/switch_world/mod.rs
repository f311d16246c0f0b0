//! A group of engines in lock-step, coordinators that switch its map, and what
//! goes wrong between them.

use std::{collections::VecDeque, time::Duration};

use lynxmount_core::experts::{Action, EngineReport, GroupMap, GroupStep, OrderResult};
use lynxmount_group::{
    HoldHistory, MapSwitch, OutgoingRequest, RankRequest, RequestId, SwitchInputs, SwitchOptions,
    SwitchOutcome, abandoned_step,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::engines::{EPOCH, Engine, engines, first_report};

/// What goes wrong, as parts of all events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Orders whose answer is lost.
    pub(crate) lost_answers: f64,
    /// Orders that take effect much later than they were sent.
    pub(crate) late_orders: f64,
    /// Moments at which a coordinator dies.
    pub(crate) deaths: f64,
    /// Moments at which a coordinator stands still for a while.
    pub(crate) pauses: f64,
    /// Reports of ranks that a coordinator misses, so that it acts on old ones.
    pub(crate) missed_reports: f64,
    /// How many coordinators act at the same time.
    pub(crate) coordinators: usize,
}

/// An order on its way.
struct InFlight {
    to: usize,
    /// `None` once whoever has given it gives it up.
    id: RequestId,
    request: Option<RankRequest>,
    from: usize,
    life: u64,
    sent_at: Duration,
    not_before: Duration,
}

/// A coordinator beside one rank.
struct Coordinator {
    life: u64,
    /// It holds the group through ranks of this remainder.
    remainder: usize,
    switch: Option<MapSwitch>,
    hold_history: HoldHistory,
    asleep_until: Duration,
    found_left_behind: Option<Duration>,
    /// The last report of each rank that it got.
    seen: Vec<EngineReport>,
}

/// The whole.
pub(crate) struct World {
    faults: Faults,
    rng: SmallRng,
    now: Duration,
    step: GroupStep,
    engines: Vec<Engine>,
    orders: Vec<InFlight>,
    coordinators: Vec<Coordinator>,
    next_life: u64,
    /// What happened last, for the message of a check that fails.
    story: VecDeque<String>,
    /// How switches have ended.
    pub(crate) ends: Vec<SwitchOutcome>,
    /// Passes that were begun.
    pub(crate) passes: u64,
}

const TICK: Duration = Duration::from_millis(5);

/// Coordinators that there may be; each has every so many ranks to hold through.
const MAX_COORDINATORS: usize = 3;

/// Lines that are kept of what happened.
const STORY_LINES: usize = 60;

/// How long a coordinator waits for the answer to an order.
const GIVE_UP_AFTER_MS: u64 = 200;

/// How much longer each further coordinator waits, so that one goes first.
const TURN: Duration = Duration::from_millis(700);

/// How long a hold may stand before another coordinator takes it up.
const LEFT_BEHIND_AFTER: Duration = Duration::from_millis(900);

impl World {
    pub(crate) fn new(seed: u64, ranks: usize, faults: Faults) -> World {
        let coordinators = (0..faults.coordinators)
            .map(|index| Coordinator {
                life: index as u64,
                remainder: index,
                switch: None,
                hold_history: HoldHistory::default(),
                asleep_until: Duration::ZERO,
                found_left_behind: None,
                seen: (0..ranks).map(|rank| first_report(rank, ranks)).collect(),
            })
            .collect();
        World {
            faults,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            step: 0,
            engines: engines(ranks),
            orders: Vec::new(),
            coordinators,
            next_life: faults.coordinators as u64,
            story: VecDeque::new(),
            ends: Vec::new(),
            passes: 0,
        }
    }

    /// Plays some time with faults, and then some without, in which whatever was
    /// left behind has to be undone.
    pub(crate) fn play(&mut self, with_faults: Duration, without: Duration) {
        while self.now < with_faults {
            self.tick(true);
        }
        self.faults = Faults {
            lost_answers: 0.0,
            late_orders: 0.0,
            deaths: 0.0,
            pauses: 0.0,
            missed_reports: 0.0,
            ..self.faults
        };
        while self.now < with_faults + without {
            self.tick(false);
        }
    }

    /// The step of a hold that stands, if one does.
    pub(crate) fn held(&self) -> Option<GroupStep> {
        abandoned_step(&self.reports()).filter(|step| *step > self.step)
    }

    fn tick(&mut self, may_start: bool) {
        self.now += TICK;
        for index in 0..self.coordinators.len() {
            self.run_coordinator(index, may_start);
        }
        self.deliver();
        // A group without work begins no pass.
        if self.rng.random_bool(0.15) {
            self.begin_pass();
        }
    }

    fn reports(&self) -> Vec<EngineReport> {
        self.engines.iter().map(|engine| engine.report.clone()).collect()
    }

    fn run_coordinator(&mut self, index: usize, may_start: bool) {
        if self.now < self.coordinators[index].asleep_until {
            return;
        }
        if self.rng.random_bool(self.faults.pauses) {
            let pause = Duration::from_millis(self.rng.random_range(50..3000));
            self.coordinators[index].asleep_until = self.now + pause;
            return;
        }
        if self.rng.random_bool(self.faults.deaths) {
            self.restart(index);
        }
        self.report_to(index);
        if self.coordinators[index].switch.is_none() {
            self.consider(index, may_start);
        }
        let reports = self.coordinators[index].seen.clone();
        let Some(switch) = &mut self.coordinators[index].switch else { return };
        for (rank, report) in reports.into_iter().enumerate() {
            switch.observe(rank, report);
        }
        let orders = switch.tick(self.now);
        let (end, hold_rank, step) = (switch.outcome(), switch.hold_rank(), switch.step());
        self.coordinators[index].hold_history.record(EPOCH, hold_rank, step);
        for order in orders {
            self.send(index, order);
        }
        if let Some(end) = end {
            self.tell(format!("coordinator {index} ends: {end:?}"));
            self.ends.push(end);
            self.coordinators[index].switch = None;
        }
    }

    fn report_to(&mut self, index: usize) {
        for rank in 0..self.engines.len() {
            if !self.rng.random_bool(self.faults.missed_reports) {
                self.coordinators[index].seen[rank] = self.engines[rank].report.clone();
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let coordinator = &mut self.coordinators[index];
        coordinator.life = self.next_life;
        coordinator.switch = None;
        coordinator.found_left_behind = None;
        coordinator.asleep_until = self.now + Duration::from_millis(300);
        coordinator.hold_history = HoldHistory::default();
        self.next_life += 1;
    }

    fn consider(&mut self, index: usize, may_start: bool) {
        let reports = self.coordinators[index].seen.clone();
        let current = self.engines[0].in_use.clone();
        let left = abandoned_step(&reports);
        let found = left.map(|_| self.now);
        let coordinator = &mut self.coordinators[index];
        coordinator.found_left_behind = found.and(coordinator.found_left_behind.or(found));
        let since = coordinator.found_left_behind;
        let is_to_undo =
            since.is_some_and(|since| self.now >= since + LEFT_BEHIND_AFTER + TURN * index as u32);
        let is_to_start = since.is_none() && may_start && self.rng.random_bool(0.05);
        if !is_to_undo && !is_to_start {
            return;
        }
        let remainder = coordinator.remainder;
        let is_own = |rank: usize| rank % MAX_COORDINATORS == remainder;
        let hold_history = &coordinator.hold_history;
        let Some(placement) = hold_history.choose(EPOCH, &reports, is_own) else { return };
        let start = SwitchInputs {
            options: SwitchOptions::default(),
            hold_rank: placement.rank,
            min_step: placement.min_step,
            epoch: EPOCH,
            reports,
            current,
            nonce: self.rng.random(),
            now: self.now,
        };
        let switch = match is_to_undo {
            true => MapSwitch::roll_back(start),
            false => {
                let goal = self.draw_map();
                Some(MapSwitch::start(start, goal, 0))
            }
        };
        let coordinator = &mut self.coordinators[index];
        coordinator.found_left_behind = None;
        coordinator.switch = switch;
    }

    fn draw_map(&mut self) -> GroupMap {
        let ranks = self.engines.len();
        vec![(0..ranks).map(|_| vec![self.rng.random_range(0..100)]).collect()]
    }

    fn send(&mut self, from: usize, order: OutgoingRequest) {
        let OutgoingRequest { rank: to, id, request } = order;
        let delay_ms = match self.rng.random_bool(self.faults.late_orders) {
            true => self.rng.random_range(1000..6000),
            false => self.rng.random_range(0..15),
        };
        let not_before = self.now + Duration::from_millis(delay_ms);
        let life = self.coordinators[from].life;
        self.orders.push(InFlight {
            to,
            id,
            request: Some(request),
            from,
            life,
            sent_at: self.now,
            not_before,
        });
        if delay_ms > GIVE_UP_AFTER_MS {
            let not_before = self.now + Duration::from_millis(GIVE_UP_AFTER_MS);
            self.orders.push(InFlight {
                to,
                id,
                request: None,
                from,
                life,
                sent_at: self.now,
                not_before,
            });
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|order| order.not_before <= self.now);
        self.orders = later;
        for InFlight { to, id, request, from, life, sent_at, .. } in due {
            let Some(request) = request else {
                let coordinator = &mut self.coordinators[from];
                let switch = coordinator.switch.as_mut().filter(|_| coordinator.life == life);
                switch.into_iter().for_each(|switch| switch.on_answer(to, id, None));
                continue;
            };
            let result = match &request {
                RankRequest::Order(order) => self.engines[to].take(order, self.step),
                RankRequest::Report { .. } => OrderResult::Accepted,
            };
            let is_late = sent_at + Duration::from_millis(GIVE_UP_AFTER_MS) < self.now;
            let is_lost = is_late || self.rng.random_bool(self.faults.lost_answers);
            let report = self.engines[to].report.clone();
            self.tell(format!(
                "coordinator {from} life {life} to rank {to}: {} {result:?}; held {:?}, \
                 armed {:?}, prepared {:?}",
                name(&request),
                report.held,
                report.armed,
                report.prepared,
            ));
            let coordinator = &mut self.coordinators[from];
            match &mut coordinator.switch {
                Some(switch) if coordinator.life == life && is_lost && !is_late => {
                    switch.on_answer(to, id, None);
                }
                Some(_) if is_lost => {}
                Some(switch) if coordinator.life == life => {
                    switch.observe(to, report);
                    switch.on_answer(to, id, Some(result));
                }
                _ => {}
            }
        }
    }

    fn tell(&mut self, what: String) {
        self.story.push_back(format!("{:?} {what}", self.now));
        if self.story.len() > STORY_LINES {
            self.story.pop_front();
        }
    }

    fn begin_pass(&mut self) {
        let next = self.step + 1;
        if self.engines.iter().any(|engine| engine.report.held == Some(next)) {
            return;
        }
        self.step = next;
        self.tell(format!("pass {next}"));
        self.passes += 1;
        self.engines.iter_mut().for_each(|engine| engine.begin(next));
        let first = &self.engines[0];
        for engine in &self.engines {
            let story = || self.story.iter().cloned().collect::<Vec<_>>().join("\n");
            assert_eq!(
                (engine.report.map, &engine.in_use),
                (first.report.map, &first.in_use),
                "two maps in pass {next}:\n{}",
                story()
            );
        }
    }
}

/// A request without the map that it may carry.
fn name(request: &RankRequest) -> String {
    match request {
        RankRequest::Order(order) => match &order.action {
            Action::Prepare { version, .. } => format!("Prepare {{ version: {version} }}"),
            other => format!("{other:?}"),
        },
        RankRequest::Report { .. } => "Report".to_owned(),
    }
}
