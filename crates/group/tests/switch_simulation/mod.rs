//! Randomized simulation of a group of engines in lock-step, coordinators that switch its map,
//! and injected faults.

use std::{collections::VecDeque, time::Duration};

use lynxmount_core::experts::{Action, EngineReport, GroupMap, GroupStep, OrderResult};
use lynxmount_group::{
    HoldHistory, MapSwitch, OutgoingRequest, RankRequest, RequestId, SwitchInputs, SwitchOptions,
    SwitchOutcome, abandoned_step, hold_owner, may_start_switches,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::engines::{EPOCH, Engine, engines, initial_report};

/// The probabilities of faults, and the number of coordinators.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// That the answer to an order is lost.
    pub(crate) lost_answers: f64,
    /// That an order takes effect much later than it was sent.
    pub(crate) late_orders: f64,
    /// That a coordinator crashes in a tick.
    pub(crate) crashes: f64,
    /// That a coordinator is paused in a tick.
    pub(crate) pauses: f64,
    /// That a coordinator misses a rank's report, so that it acts on an old one.
    pub(crate) missed_reports: f64,
    /// The number of concurrent coordinators. Those of later ranks start no switches,
    /// and own no rank but their own.
    pub(crate) coordinators: usize,
}

/// A request in flight, or the expiry of its timeout at the sender.
struct InFlight {
    to: usize,
    id: RequestId,
    /// `None` for the expiry of the timeout.
    request: Option<RankRequest>,
    from: usize,
    incarnation: u64,
    sent_at: Duration,
    not_before: Duration,
}

/// A coordinator beside one rank.
struct Coordinator {
    incarnation: u64,
    /// The rank beside which it runs.
    rank: usize,
    switch: Option<MapSwitch>,
    hold_history: HoldHistory,
    paused_until: Duration,
    abandoned_since: Option<Duration>,
    /// The last report that it received from each rank.
    reports: Vec<EngineReport>,
}

/// The state of a simulation.
pub(crate) struct Simulation {
    faults: Faults,
    rng: SmallRng,
    now: Duration,
    step: GroupStep,
    engines: Vec<Engine>,
    in_flight: Vec<InFlight>,
    coordinators: Vec<Coordinator>,
    next_incarnation: u64,
    /// The most recent events, for the message of a failed assertion.
    trace: VecDeque<String>,
    /// The outcomes of all finished switches.
    pub(crate) outcomes: Vec<SwitchOutcome>,
    /// The number of begun passes.
    pub(crate) passes: u64,
}

const TICK: Duration = Duration::from_millis(5);

/// The number of events that are kept in the trace.
const TRACE_LINES: usize = 60;

/// How long a coordinator waits for the answer to an order.
const ANSWER_TIMEOUT_MS: u64 = 200;

/// How much longer each further coordinator waits before a rollback, so that one goes first.
const ROLLBACK_STAGGER: Duration = Duration::from_millis(700);

/// The time after which a hold counts as abandoned.
const ABANDONED_AFTER: Duration = Duration::from_millis(900);

impl Simulation {
    pub(crate) fn new(seed: u64, ranks: usize, faults: Faults) -> Simulation {
        let coordinators = (0..faults.coordinators)
            .map(|index| Coordinator {
                incarnation: index as u64,
                rank: index,
                switch: None,
                hold_history: HoldHistory::default(),
                paused_until: Duration::ZERO,
                abandoned_since: None,
                reports: (0..ranks).map(|rank| initial_report(rank, ranks)).collect(),
            })
            .collect();
        Simulation {
            faults,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            step: 0,
            engines: engines(ranks),
            in_flight: Vec::new(),
            coordinators,
            next_incarnation: faults.coordinators as u64,
            trace: VecDeque::new(),
            outcomes: Vec::new(),
            passes: 0,
        }
    }

    /// Runs with faults for some time, and then without: abandoned switches have to be rolled
    /// back by the end.
    pub(crate) fn run(&mut self, with_faults: Duration, without: Duration) {
        while self.now < with_faults {
            self.tick(true);
        }
        self.faults = Faults {
            lost_answers: 0.0,
            late_orders: 0.0,
            crashes: 0.0,
            pauses: 0.0,
            missed_reports: 0.0,
            ..self.faults
        };
        while self.now < with_faults + without {
            self.tick(false);
        }
    }

    /// The step of an abandoned switch that has not begun yet, if there is one.
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
        if self.now < self.coordinators[index].paused_until {
            return;
        }
        if self.rng.random_bool(self.faults.pauses) {
            let pause = Duration::from_millis(self.rng.random_range(50..3000));
            self.coordinators[index].paused_until = self.now + pause;
            return;
        }
        if self.rng.random_bool(self.faults.crashes) {
            self.restart(index);
        }
        self.deliver_reports(index);
        if self.coordinators[index].switch.is_none() {
            self.maybe_start_switch(index, may_start);
        }
        let reports = self.coordinators[index].reports.clone();
        let Some(switch) = &mut self.coordinators[index].switch else { return };
        for (rank, report) in reports.into_iter().enumerate() {
            switch.observe(rank, report);
        }
        let requests = switch.tick(self.now);
        let (outcome, hold_rank, step) = (switch.outcome(), switch.hold_rank(), switch.hold_step());
        self.coordinators[index].hold_history.record(EPOCH, hold_rank, step, self.now);
        for request in requests {
            self.send(index, request);
        }
        if let Some(outcome) = outcome {
            self.record(format!("coordinator {index} finishes: {outcome:?}"));
            self.outcomes.push(outcome);
            self.coordinators[index].switch = None;
        }
    }

    fn deliver_reports(&mut self, index: usize) {
        for rank in 0..self.engines.len() {
            if !self.rng.random_bool(self.faults.missed_reports) {
                self.coordinators[index].reports[rank] = self.engines[rank].report.clone();
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let coordinator = &mut self.coordinators[index];
        coordinator.incarnation = self.next_incarnation;
        coordinator.switch = None;
        coordinator.abandoned_since = None;
        coordinator.paused_until = self.now + Duration::from_millis(300);
        coordinator.hold_history = HoldHistory::default();
        self.next_incarnation += 1;
    }

    fn maybe_start_switch(&mut self, index: usize, may_start: bool) {
        let reports = self.coordinators[index].reports.clone();
        let current = self.engines[0].in_use.clone();
        let abandoned = abandoned_step(&reports);
        let found = abandoned.map(|_| self.now);
        let coordinator = &mut self.coordinators[index];
        coordinator.abandoned_since = found.and(coordinator.abandoned_since.or(found));
        let since = coordinator.abandoned_since;
        let is_rollback_due = since.is_some_and(|since| {
            self.now >= since + ABANDONED_AFTER + ROLLBACK_STAGGER * index as u32
        });
        let may_start = may_start && may_start_switches(coordinator.rank);
        let is_start_due = since.is_none() && may_start && self.rng.random_bool(0.05);
        if !is_rollback_due && !is_start_due {
            return;
        }
        let own = coordinator.rank;
        let is_own = |rank: usize| rank == own || hold_owner(rank) == own;
        let hold_history = &coordinator.hold_history;
        let Some(placement) = hold_history.choose(EPOCH, &reports, is_own, self.now) else {
            return;
        };
        let inputs = SwitchInputs {
            options: SwitchOptions::default(),
            hold_rank: placement.rank,
            min_step: placement.min_step,
            epoch: EPOCH,
            reports,
            current,
            nonce: self.rng.random(),
            now: self.now,
        };
        let switch = match is_rollback_due {
            true => MapSwitch::roll_back(inputs),
            false => {
                let target = self.random_map();
                Some(MapSwitch::start(inputs, target, 0))
            }
        };
        let coordinator = &mut self.coordinators[index];
        coordinator.abandoned_since = None;
        coordinator.switch = switch;
    }

    fn random_map(&mut self) -> GroupMap {
        let ranks = self.engines.len();
        vec![(0..ranks).map(|_| vec![self.rng.random_range(0..100)]).collect()]
    }

    fn send(&mut self, from: usize, outgoing: OutgoingRequest) {
        let OutgoingRequest { rank: to, id, request } = outgoing;
        let delay_ms = match self.rng.random_bool(self.faults.late_orders) {
            true => self.rng.random_range(1000..6000),
            false => self.rng.random_range(0..15),
        };
        let not_before = self.now + Duration::from_millis(delay_ms);
        let incarnation = self.coordinators[from].incarnation;
        self.in_flight.push(InFlight {
            to,
            id,
            request: Some(request),
            from,
            incarnation,
            sent_at: self.now,
            not_before,
        });
        if delay_ms > ANSWER_TIMEOUT_MS {
            let not_before = self.now + Duration::from_millis(ANSWER_TIMEOUT_MS);
            self.in_flight.push(InFlight {
                to,
                id,
                request: None,
                from,
                incarnation,
                sent_at: self.now,
                not_before,
            });
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.not_before <= self.now);
        self.in_flight = later;
        for InFlight { to, id, request, from, incarnation, sent_at, .. } in due {
            let Some(request) = request else {
                let coordinator = &mut self.coordinators[from];
                let switch =
                    coordinator.switch.as_mut().filter(|_| coordinator.incarnation == incarnation);
                switch.into_iter().for_each(|switch| switch.on_answer(to, id, None));
                continue;
            };
            let result = match &request {
                RankRequest::Order(order) => self.engines[to].execute(order, self.step),
                RankRequest::Report { .. } => OrderResult::Accepted,
            };
            let is_late = sent_at + Duration::from_millis(ANSWER_TIMEOUT_MS) < self.now;
            let is_lost = is_late || self.rng.random_bool(self.faults.lost_answers);
            let report = self.engines[to].report.clone();
            self.record(format!(
                "coordinator {from} incarnation {incarnation} to rank {to}: {} {result:?}; \
                 held {:?}, armed {:?}, prepared {:?}",
                format_request(&request),
                report.held,
                report.armed,
                report.prepared,
            ));
            let coordinator = &mut self.coordinators[from];
            match &mut coordinator.switch {
                Some(switch) if coordinator.incarnation == incarnation && is_lost && !is_late => {
                    switch.on_answer(to, id, None);
                }
                Some(_) if is_lost => {}
                Some(switch) if coordinator.incarnation == incarnation => {
                    switch.observe(to, report);
                    switch.on_answer(to, id, Some(result));
                }
                _ => {}
            }
        }
    }

    fn record(&mut self, event: String) {
        self.trace.push_back(format!("{:?} {event}", self.now));
        if self.trace.len() > TRACE_LINES {
            self.trace.pop_front();
        }
    }

    fn begin_pass(&mut self) {
        let next = self.step + 1;
        if self.engines.iter().any(|engine| engine.report.held == Some(next)) {
            return;
        }
        self.step = next;
        self.record(format!("pass {next}"));
        self.passes += 1;
        self.engines.iter_mut().for_each(|engine| engine.begin_step(next));
        let first = &self.engines[0];
        for engine in &self.engines {
            let trace = || self.trace.iter().cloned().collect::<Vec<_>>().join("\n");
            assert_eq!(
                (engine.report.map, &engine.in_use),
                (first.report.map, &first.in_use),
                "different maps in pass {next}:\n{}",
                trace()
            );
        }
    }
}

/// Formats a request without the map that it may carry.
fn format_request(request: &RankRequest) -> String {
    match request {
        RankRequest::Order(order) => match &order.action {
            Action::Prepare { version, .. } => format!("Prepare {{ version: {version} }}"),
            other => format!("{other:?}"),
        },
        RankRequest::Report { .. } => "Report".to_owned(),
    }
}
