//! One change of an expert map, in which a machine freezes once.
//!
//! A frozen machine neither sends nor receives; what was sent to it arrives as it
//! wakes. Its engine goes on with the passes of its group, unless the group is held.

use std::{collections::BTreeMap, time::Duration};

use lynxmount_core::experts::{Action, EngineReport, GroupStep, OrderResult};
use lynxmount_group::{
    MapSwitch, OutgoingRequest, RankNumber, RankRequest, RequestId, SwitchInputs, SwitchOptions,
    SwitchOutcome, abandoned_step,
};

use crate::engines::{EPOCH, Engine, engines};

/// The rank whose machine coordinates and through which the group is held.
pub(crate) const COORDINATOR: RankNumber = 0;

const TICK: Duration = Duration::from_millis(1);
const FREEZE_TIME: Duration = Duration::from_secs(4);
const PASS_TIME: Duration = Duration::from_millis(50);
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// How often a coordinator looks after its switch if nothing comes.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// How long a coordinator waits for the answer to an order.
const GIVE_UP_AFTER: Duration = Duration::from_millis(360);

/// The time that copies take at a rank, for each rank before it.
const COPY_TIME_PER_RANK: Duration = Duration::from_millis(8);

/// How long a hold may stand after a change before it is undone.
const LEFT_BEHIND_AFTER: Duration = Duration::from_millis(600);

/// How long the group is played after all is over.
const TIME_AFTER: Duration = Duration::from_secs(1);

/// When all has to be over.
const MAX_TIME: Duration = Duration::from_secs(20);

/// When a machine freezes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Moment {
    /// After so many orders were delivered, after the last of them took effect and before it
    /// was answered.
    AfterOrder(usize),
    /// Some time after the change began.
    At(Duration),
    /// As the order with this index arrives, before it takes effect.
    BeforeOrder(usize),
}

/// A machine that freezes.
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
    /// Whom it was for.
    pub(crate) rank: RankNumber,
    /// What it asked for.
    pub(crate) name: &'static str,
}

/// What came of a change.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// How the change ended.
    pub(crate) end: Option<SwitchOutcome>,
    /// The orders in the sequence in which they arrived.
    pub(crate) delivered: Vec<Delivered>,
    /// By how much the longest pause between passes exceeded a pass.
    pub(crate) standstill: Duration,
    /// When the change was over.
    pub(crate) took: Duration,
    /// The hold that stands at the end, if one does.
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
        match self.body {
            Body::Order(_) => self.rank,
            Body::Answer { .. } | Body::Report => COORDINATOR,
        }
    }
}

struct World {
    now: Duration,
    engines: Vec<Engine>,
    step: GroupStep,
    last_pass: Duration,
    standstill: Duration,
    messages: Vec<Message>,
    /// Since when answers are awaited.
    waiting: BTreeMap<(RankNumber, RequestId), Duration>,
    options: SwitchOptions,
    switch: MapSwitch,
    /// The last report of each rank that the coordinator got.
    seen: Vec<EngineReport>,
    found_left_behind: Option<Duration>,
    /// How the change ended, and when.
    ended: Option<(SwitchOutcome, Duration)>,
    looked_at: Duration,
    freeze: Option<Freeze>,
    frozen_until: Duration,
    delivered: Vec<Delivered>,
}

/// Plays one change of a group's map, and the undoing of what it leaves behind.
pub(crate) fn play(ranks: usize, options: SwitchOptions, freeze: Option<Freeze>) -> Outcome {
    let mut world = World::new(ranks, options, freeze);
    let mut over_at = None;
    while world.now < MAX_TIME && over_at.is_none_or(|at| world.now < at + TIME_AFTER) {
        world.tick();
        let is_over = world.switch.outcome().is_some() && world.held().is_none();
        over_at = over_at.filter(|_| is_over).or_else(|| is_over.then_some(world.now));
    }
    Outcome {
        end: world.ended.map(|(end, _)| end),
        held: world.held(),
        delivered: world.delivered,
        standstill: world.standstill,
        took: world.ended.map_or(world.now, |(_, at)| at),
    }
}

/// The time that a message takes between the coordinator and a rank.
fn latency(rank: RankNumber) -> Duration {
    match rank {
        COORDINATOR => Duration::from_millis(1),
        other => Duration::from_millis(3 + other as u64 % 4),
    }
}

impl World {
    fn new(ranks: usize, options: SwitchOptions, freeze: Option<Freeze>) -> World {
        let engines = engines(ranks);
        let seen: Vec<EngineReport> = engines.iter().map(|engine| engine.report.clone()).collect();
        let start = SwitchInputs {
            options,
            hold_rank: COORDINATOR,
            min_step: 1,
            epoch: EPOCH,
            reports: seen.clone(),
            current: engines[0].in_use.clone(),
            nonce: 7,
            now: Duration::ZERO,
        };
        let goal = vec![(0..ranks).map(|rank| vec![rank + ranks]).collect()];
        World {
            now: Duration::ZERO,
            engines,
            step: 0,
            last_pass: Duration::ZERO,
            standstill: Duration::ZERO,
            messages: Vec::new(),
            waiting: BTreeMap::new(),
            options,
            switch: MapSwitch::start(start, goal, 0),
            seen,
            found_left_behind: None,
            ended: None,
            looked_at: Duration::ZERO,
            freeze,
            frozen_until: Duration::ZERO,
            delivered: Vec::new(),
        }
    }

    /// The step of a hold that stands, if one does.
    fn held(&self) -> Option<GroupStep> {
        let reports: Vec<EngineReport> =
            self.engines.iter().map(|engine| engine.report.clone()).collect();
        abandoned_step(&reports).filter(|step| *step > self.step)
    }

    fn observe(&mut self, rank: RankNumber, report: EngineReport) {
        self.seen[rank] = report.clone();
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
        let has_come = self.deliver();
        if !self.is_frozen(COORDINATOR) {
            let is_due = self.now >= self.looked_at + LOOK_PERIOD;
            if has_come || is_due {
                self.look();
            }
        }
    }

    fn begin_pass(&mut self) {
        let next = self.step + 1;
        let is_held = self.engines.iter().any(|engine| engine.report.held == Some(next));
        let since = self.now - self.last_pass;
        self.standstill = self.standstill.max(since.saturating_sub(PASS_TIME));
        if is_held || since < PASS_TIME {
            return;
        }
        self.step = next;
        self.last_pass = self.now;
        self.engines.iter_mut().for_each(|engine| engine.begin(next));
        let first = &self.engines[0];
        for engine in &self.engines {
            assert_eq!(
                (engine.report.map, &engine.in_use),
                (first.report.map, &first.in_use),
                "two maps in pass {next}: {:?}, {:?}",
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

    /// Returns whether anything has come to the coordinator.
    fn deliver(&mut self) -> bool {
        let mut has_come = false;
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
                    has_come = true;
                }
                Body::Order(order) => self.deliver_order(rank, order, due),
                Body::Report => self.observe(rank, report),
            }
        }
        has_come
    }

    fn deliver_order(&mut self, rank: RankNumber, order: OutgoingRequest, due: Duration) {
        let index = self.delivered.len();
        self.freeze_if(Moment::BeforeOrder(index));
        if self.is_frozen(rank) {
            self.delivered.push(Delivered { rank, name: "" });
            self.send(rank, Body::Order(order), due);
            return;
        }
        self.delivered.push(Delivered { rank, name: name(&order) });
        let id = order.id;
        let result = self.take(&order);
        self.freeze_if(Moment::AfterOrder(index));
        let sent_at = if self.is_frozen(rank) { self.frozen_until } else { self.now };
        self.send(rank, Body::Answer { id, result }, sent_at + latency(rank));
    }

    fn take(&mut self, order: &OutgoingRequest) -> OrderResult {
        match &order.request {
            RankRequest::Order(taken) => self.engines[order.rank].take(taken, self.step),
            RankRequest::Report { .. } => OrderResult::Accepted,
        }
    }

    fn look(&mut self) {
        self.looked_at = self.now;
        let waiting = std::mem::take(&mut self.waiting);
        for ((rank, id), since) in waiting {
            match self.now >= since + GIVE_UP_AFTER {
                true => self.switch.on_answer(rank, id, None),
                false => drop(self.waiting.insert((rank, id), since)),
            }
        }
        if self.switch.outcome().is_some() {
            self.undo_if_left_behind();
        }
        for order in self.switch.tick(self.now) {
            let rank = order.rank;
            let due = self.now + latency(rank) + work_time(&order);
            self.waiting.insert((rank, order.id), self.now);
            self.send(rank, Body::Order(order), due);
        }
        self.ended = self.ended.or(self.switch.outcome().map(|end| (end, self.now)));
    }
}

impl World {
    fn undo_if_left_behind(&mut self) {
        let found = abandoned_step(&self.seen).map(|_| self.now);
        self.found_left_behind = found.and(self.found_left_behind.or(found));
        if self.found_left_behind.is_none_or(|since| self.now < since + LEFT_BEHIND_AFTER) {
            return;
        }
        self.found_left_behind = None;
        let is_free = |rank: &RankNumber| self.seen[*rank].held.is_none();
        let start = SwitchInputs {
            options: self.options,
            hold_rank: (COORDINATOR + 1..self.seen.len()).find(is_free).expect("a free rank"),
            min_step: self.step + 1,
            epoch: EPOCH,
            reports: self.seen.clone(),
            current: self.engines[0].in_use.clone(),
            nonce: 8,
            now: self.now,
        };
        if let Some(switch) = MapSwitch::roll_back(start) {
            self.switch = switch;
            self.waiting.clear();
        }
    }
}

/// How long a rank works before an order takes effect.
fn work_time(order: &OutgoingRequest) -> Duration {
    match name(order) {
        "prepare" => COPY_TIME_PER_RANK * order.rank as u32,
        _ => Duration::ZERO,
    }
}

fn name(order: &OutgoingRequest) -> &'static str {
    let RankRequest::Order(order) = &order.request else { return "report" };
    match order.action {
        Action::Arm { .. } => "arm",
        Action::Disarm { .. } => "disarm",
        Action::Go { .. } => "go",
        Action::Hold { .. } => "hold",
        Action::Prepare { .. } => "prepare",
    }
}
