//! Simulation of one map switch during which a machine freezes once.
//!
//! A frozen machine neither sends nor receives; messages to it arrive when it resumes.
//! The hold is placed through the process of another rank, all other orders through the rank's own.
//! The engine of a frozen machine continues with the passes of its group, unless the group is held.

use std::{collections::BTreeMap, time::Duration};

use lynxmount_core::experts::{Action, EngineReport, GroupStep, OrderResult};
use lynxmount_group::{
    MapSwitch, OutgoingRequest, RankNumber, RankRequest, RequestId, SwitchInputs, SwitchOptions,
    SwitchOutcome, abandoned_step,
};

use crate::engines::{EPOCH, Engine, engines};

/// The rank on the coordinator's machine, on which the hold is placed.
pub(crate) const COORDINATOR: RankNumber = 0;

/// The rank through whose process the hold is placed.
pub(crate) const HOLD_DELEGATE: RankNumber = 1;

const TICK: Duration = Duration::from_millis(1);
const FREEZE_TIME: Duration = Duration::from_secs(4);
const PASS_TIME: Duration = Duration::from_millis(50);
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// How often a coordinator ticks its switch if it receives nothing.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// How long a coordinator waits for the answer to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(360);

/// The additional copy time of each rank compared to the rank before it.
const COPY_TIME_PER_RANK: Duration = Duration::from_millis(8);

/// The time after which the hold of a finished switch counts as abandoned.
const ABANDONED_AFTER: Duration = Duration::from_millis(600);

/// How long the simulation continues after the switch is over and no hold is left.
const TIME_AFTER: Duration = Duration::from_secs(1);

/// The maximum duration of a simulation.
const MAX_TIME: Duration = Duration::from_secs(20);

/// When a machine freezes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Moment {
    /// After the order with this index has taken effect, before it is answered.
    AfterOrder(usize),
    /// At a time after the start of the switch.
    At(Duration),
    /// When the order with this index arrives, before it takes effect.
    BeforeOrder(usize),
}

/// The freeze of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Freeze {
    /// The rank on that machine.
    pub(crate) rank: RankNumber,
    /// When it freezes.
    pub(crate) moment: Moment,
}

/// An order that was delivered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Delivered {
    /// The rank whose process received it.
    pub(crate) rank: RankNumber,
    /// The name of its action.
    pub(crate) name: &'static str,
}

/// The result of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// The outcome of the switch.
    pub(crate) switch: Option<SwitchOutcome>,
    /// The orders in the sequence of their arrival.
    pub(crate) delivered: Vec<Delivered>,
    /// The longest time between passes in excess of a pass.
    pub(crate) stall: Duration,
    /// The duration of the switch.
    pub(crate) took: Duration,
    /// The step of the hold that is left at the end, if there is one.
    pub(crate) held: Option<GroupStep>,
}

enum Body {
    Answer { id: RequestId, result: OrderResult },
    Order(OutgoingRequest),
    Report,
}

/// A message between the coordinator and the process beside a rank.
struct Message {
    due: Duration,
    rank: RankNumber,
    body: Body,
    /// The rank's state as it was sent.
    report: EngineReport,
}

impl Message {
    fn receiver(&self) -> RankNumber {
        match &self.body {
            Body::Order(order) => process_of(order),
            Body::Answer { .. } | Body::Report => COORDINATOR,
        }
    }
}

struct Simulation {
    now: Duration,
    engines: Vec<Engine>,
    step: GroupStep,
    last_pass: Duration,
    stall: Duration,
    messages: Vec<Message>,
    /// The requests without an answer, and when they were sent.
    waiting: BTreeMap<(RankNumber, RequestId), Duration>,
    options: SwitchOptions,
    switch: MapSwitch,
    /// The last report that the coordinator received from each rank.
    reports: Vec<EngineReport>,
    abandoned_since: Option<Duration>,
    /// The outcome of the switch, and when it was reached.
    ended: Option<(SwitchOutcome, Duration)>,
    last_tick: Duration,
    freeze: Option<Freeze>,
    frozen_until: Duration,
    delivered: Vec<Delivered>,
}

/// Simulates one switch of a group's map, and the rollback if it is abandoned.
pub(crate) fn run(ranks: usize, options: SwitchOptions, freeze: Option<Freeze>) -> Outcome {
    let mut simulation = Simulation::new(ranks, options, freeze);
    let mut over_at = None;
    while simulation.now < MAX_TIME && over_at.is_none_or(|at| simulation.now < at + TIME_AFTER) {
        simulation.tick();
        let is_over = simulation.switch.outcome().is_some() && simulation.held().is_none();
        over_at = over_at.filter(|_| is_over).or_else(|| is_over.then_some(simulation.now));
    }
    Outcome {
        switch: simulation.ended.map(|(outcome, _)| outcome),
        held: simulation.held(),
        delivered: simulation.delivered,
        stall: simulation.stall,
        took: simulation.ended.map_or(simulation.now, |(_, at)| at),
    }
}

/// The latency of messages between the coordinator and a rank.
fn latency(rank: RankNumber) -> Duration {
    match rank {
        COORDINATOR => Duration::from_millis(1),
        other => Duration::from_millis(3 + other as u64 % 4),
    }
}

impl Simulation {
    fn new(ranks: usize, options: SwitchOptions, freeze: Option<Freeze>) -> Simulation {
        let engines = engines(ranks);
        let reports: Vec<EngineReport> =
            engines.iter().map(|engine| engine.report.clone()).collect();
        let inputs = SwitchInputs {
            options,
            hold_rank: COORDINATOR,
            min_step: 1,
            epoch: EPOCH,
            reports: reports.clone(),
            current: engines[0].in_use.clone(),
            nonce: 7,
            now: Duration::ZERO,
        };
        let target = vec![(0..ranks).map(|rank| vec![rank + ranks]).collect()];
        Simulation {
            now: Duration::ZERO,
            engines,
            step: 0,
            last_pass: Duration::ZERO,
            stall: Duration::ZERO,
            messages: Vec::new(),
            waiting: BTreeMap::new(),
            options,
            switch: MapSwitch::start(inputs, target, 0),
            reports,
            abandoned_since: None,
            ended: None,
            last_tick: Duration::ZERO,
            freeze,
            frozen_until: Duration::ZERO,
            delivered: Vec::new(),
        }
    }

    /// The step of an abandoned switch that has not begun yet, if there is one.
    fn held(&self) -> Option<GroupStep> {
        let reports: Vec<EngineReport> =
            self.engines.iter().map(|engine| engine.report.clone()).collect();
        abandoned_step(&reports).filter(|step| *step > self.step)
    }

    fn observe(&mut self, rank: RankNumber, report: EngineReport) {
        self.reports[rank] = report.clone();
        self.switch.observe(rank, report);
    }

    fn is_frozen(&self, rank: RankNumber) -> bool {
        self.now < self.frozen_until && self.freeze.is_some_and(|freeze| freeze.rank == rank)
    }

    fn freeze_if(&mut self, moment: Moment) {
        if self.freeze.is_some_and(|freeze| freeze.moment == moment) {
            self.frozen_until = self.now + FREEZE_TIME;
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.freeze_if(Moment::At(self.now));
        self.begin_pass();
        self.send_reports();
        let has_answer = self.deliver();
        if !self.is_frozen(COORDINATOR) {
            let is_due = self.now >= self.last_tick + TICK_PERIOD;
            if has_answer || is_due {
                self.tick_switch();
            }
        }
    }

    fn begin_pass(&mut self) {
        let next = self.step + 1;
        let is_held = self.engines.iter().any(|engine| engine.report.held == Some(next));
        let since = self.now - self.last_pass;
        self.stall = self.stall.max(since.saturating_sub(PASS_TIME));
        if is_held || since < PASS_TIME {
            return;
        }
        self.step = next;
        self.last_pass = self.now;
        self.engines.iter_mut().for_each(|engine| engine.begin_step(next));
        let first = &self.engines[0];
        for engine in &self.engines {
            assert_eq!(
                (engine.report.map, &engine.in_use),
                (first.report.map, &first.in_use),
                "different maps in pass {next}: {:?}, {:?}",
                self.freeze,
                self.delivered
            );
        }
    }

    fn send_reports(&mut self) {
        if !self.now.as_millis().is_multiple_of(REPORT_PERIOD.as_millis()) {
            return;
        }
        for rank in 0..self.engines.len() {
            if !self.is_frozen(rank) {
                self.send(rank, Body::Report, self.now + latency(rank));
            }
        }
    }

    fn send(&mut self, rank: RankNumber, body: Body, due: Duration) {
        let report = self.engines[rank].report.clone();
        self.messages.push(Message { due, rank, body, report });
    }

    /// Returns whether the coordinator has received an answer.
    fn deliver(&mut self) -> bool {
        let mut has_answer = false;
        let messages = std::mem::take(&mut self.messages);
        for message in messages {
            let is_due = message.due <= self.now;
            if !is_due || self.is_frozen(message.receiver()) {
                self.messages.push(message);
                continue;
            }
            let Message { rank, body, report, due } = message;
            match body {
                Body::Answer { id, result } => {
                    self.waiting.remove(&(rank, id));
                    self.observe(rank, report);
                    self.switch.on_answer(rank, id, Some(result));
                    has_answer = true;
                }
                Body::Order(order) => self.deliver_order(rank, order, due),
                Body::Report => self.observe(rank, report),
            }
        }
        has_answer
    }

    fn deliver_order(&mut self, rank: RankNumber, order: OutgoingRequest, due: Duration) {
        let index = self.delivered.len();
        let process = process_of(&order);
        self.freeze_if(Moment::BeforeOrder(index));
        if self.is_frozen(process) || self.is_frozen(rank) {
            self.delivered.push(Delivered { rank: process, name: "" });
            self.send(rank, Body::Order(order), due);
            return;
        }
        self.delivered.push(Delivered { rank: process, name: action_name(&order) });
        let id = order.id;
        let result = self.execute(&order);
        self.freeze_if(Moment::AfterOrder(index));
        let sent_at = if self.is_frozen(process) { self.frozen_until } else { self.now };
        self.send(rank, Body::Answer { id, result }, sent_at + latency(process));
    }

    fn execute(&mut self, request: &OutgoingRequest) -> OrderResult {
        match &request.request {
            RankRequest::Order(order) => self.engines[request.rank].execute(order, self.step),
            RankRequest::Report { .. } => OrderResult::Accepted,
        }
    }

    fn tick_switch(&mut self) {
        self.last_tick = self.now;
        let waiting = std::mem::take(&mut self.waiting);
        for ((rank, id), since) in waiting {
            match self.now >= since + ANSWER_TIMEOUT {
                true => self.switch.on_answer(rank, id, None),
                false => drop(self.waiting.insert((rank, id), since)),
            }
        }
        if self.switch.outcome().is_some() {
            self.roll_back_if_abandoned();
        }
        for order in self.switch.tick(self.now) {
            let rank = order.rank;
            let due = self.now + latency(process_of(&order)) + effect_delay(&order);
            self.waiting.insert((rank, order.id), self.now);
            self.send(rank, Body::Order(order), due);
        }
        self.ended = self.ended.or(self.switch.outcome().map(|outcome| (outcome, self.now)));
    }
}

impl Simulation {
    fn roll_back_if_abandoned(&mut self) {
        let found = abandoned_step(&self.reports).map(|_| self.now);
        self.abandoned_since = found.and(self.abandoned_since.or(found));
        if self.abandoned_since.is_none_or(|since| self.now < since + ABANDONED_AFTER) {
            return;
        }
        self.abandoned_since = None;
        let is_free = |rank: &RankNumber| self.reports[*rank].held.is_none();
        let inputs = SwitchInputs {
            options: self.options,
            hold_rank: (COORDINATOR + 1..self.reports.len()).find(is_free).expect("a free rank"),
            min_step: self.step + 1,
            epoch: EPOCH,
            reports: self.reports.clone(),
            current: self.engines[0].in_use.clone(),
            nonce: 8,
            now: self.now,
        };
        if let Some(switch) = MapSwitch::roll_back(inputs) {
            self.switch = switch;
            self.waiting.clear();
        }
    }
}

/// The time from the arrival of an order until it takes effect.
fn effect_delay(order: &OutgoingRequest) -> Duration {
    match action_name(order) {
        "prepare" => COPY_TIME_PER_RANK * order.rank as u32,
        _ => Duration::ZERO,
    }
}

/// The rank through whose process an order goes to its engine.
fn process_of(order: &OutgoingRequest) -> RankNumber {
    match action_name(order) {
        "hold" => HOLD_DELEGATE,
        _ => order.rank,
    }
}

fn action_name(order: &OutgoingRequest) -> &'static str {
    let RankRequest::Order(order) = &order.request else { return "report" };
    match order.action {
        Action::Arm { .. } => "arm",
        Action::Disarm { .. } => "disarm",
        Action::Go { .. } => "go",
        Action::Hold { .. } => "hold",
        Action::Prepare { .. } => "prepare",
    }
}
