//! Simulation of endpoints, entries and callers, some of whose calls are poison requests.
//!
//! Without network, in steps of 10 ms: endpoints with slots and a queue, entries that decide by
//! `Quarantine` and share their evidence, callers that retry, and endpoints that crash for other
//! reasons, alone or several at once.

#![allow(dead_code, unreachable_pub)]

use std::collections::HashMap;

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, CrashReport};
use lynxmount_policy::Quarantine;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
const ENDPOINTS: usize = 16;
const SLOTS: usize = 12;
const CALLS_PER_S: f64 = 60.0;
/// Delay of evidence from one entry to another, and to or from one that is cut off.
const SHARE_DELAY_MS: u64 = 50;
const SLOW_SHARE_DELAY_MS: u64 = 3000;
/// Time from the start of a call to the head of its answer, and from there to its first event.
const PROMPT_MS: (u64, u64) = (40, 300);
const FIRST_EVENT_MS: u64 = 60;
const RESPONSE_MS: (u64, u64) = (500, 2000);
const DEADLINE_MS: u64 = 8000;
const ATTEMPTS: u32 = 2;
/// How long an endpoint is down after a crash; a lock-step group is closed as long.
const RESTART_MS: u64 = 4300;
/// A group cancels its calls this long after the crash of a rank.
const STALL_MS: u64 = 1500;
/// Gap between two copies of a poison request, and for how long copies are sent.
const COPY_GAP_MS: (u64, u64) = (300, 2500);
const COPIES_DURATION_MS: u64 = 25_000;

/// The rule by which calls are quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// No call is quarantined.
    NoQuarantine,
    /// By score, and entries share no evidence.
    ScoreWithoutSharing,
    /// By two crashes, whatever the phase of the call.
    TwoCrashes,
    /// By three crashes, whatever the phase of the call.
    ThreeCrashes,
    /// By score.
    Score,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub rule: Rule,
    pub entries: usize,
    /// Fraction of the shared evidence that is late.
    pub late_fraction: f64,
    /// Whether all endpoints are ranks of one lock-step group.
    pub is_group: bool,
    /// Crashes for other reasons, a second.
    pub other_crashes_per_s: f64,
    /// How many endpoints crash at once then.
    pub crashes_at_once: usize,
    /// Whether poison requests crash endpoints before their answers have begun.
    pub crashes_early: bool,
    /// Rate of a popular call with a constant fingerprint.
    pub popular_per_s: f64,
    pub poison_requests: u32,
}

#[derive(Clone, Copy)]
struct Call {
    fingerprint: CallFingerprint,
    is_poison: bool,
    deadline: u64,
    attempts: u32,
    may_be_retried: bool,
    entry: usize,
}

#[derive(Clone, Copy)]
struct Run {
    call: Call,
    begins_at: Option<u64>,
    ends_at: u64,
}

#[derive(Debug, Default)]
pub struct SimulationResult {
    pub poison_requests: u32,
    pub crashes: u32,
    pub max_crashes_of_one: u32,
    pub innocent: u32,
    pub innocent_quarantined: u32,
    pub innocent_served: u32,
}

impl SimulationResult {
    fn add(&mut self, other: &SimulationResult) {
        self.poison_requests += other.poison_requests;
        self.crashes += other.crashes;
        self.max_crashes_of_one = self.max_crashes_of_one.max(other.max_crashes_of_one);
        self.innocent += other.innocent;
        self.innocent_quarantined += other.innocent_quarantined;
        self.innocent_served += other.innocent_served;
    }

    pub fn crashes_per_poison_request(&self) -> f64 {
        f64::from(self.crashes) / f64::from(self.poison_requests.max(1))
    }

    pub fn quarantined_fraction(&self) -> f64 {
        f64::from(self.innocent_quarantined) / f64::from(self.innocent)
    }

    pub fn served_fraction(&self) -> f64 {
        f64::from(self.innocent_served) / f64::from(self.innocent)
    }
}

#[derive(Clone)]
struct Endpoint {
    incarnation: u64,
    down_until: u64,
    calls: Vec<Run>,
}

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: u64,
    endpoints: Vec<Endpoint>,
    next_incarnation: u64,
    entries: Vec<Quarantine>,
    in_flight: Vec<(u64, usize, CrashReport)>,
    arrivals: Vec<(u64, Call)>,
    crashes_of: HashMap<CallFingerprint, u32>,
    stall_at: Option<u64>,
    closed_until: u64,
    next_call: u32,
    result: SimulationResult,
}

fn fingerprint_of(number: u32) -> CallFingerprint {
    let path = format!("/{number}");
    let content = CallContent { team: None, method: "POST", host: "h", path: &path, body: b"" };
    CallFingerprint::of(content)
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let endpoint = |incarnation| Endpoint { incarnation, down_until: 0, calls: Vec::new() };
        let mut simulation = Simulation {
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            endpoints: (0..ENDPOINTS as u64).map(endpoint).collect(),
            next_incarnation: ENDPOINTS as u64,
            entries: (0..scenario.entries).map(|_| Quarantine::default()).collect(),
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            crashes_of: HashMap::new(),
            stall_at: None,
            closed_until: 0,
            next_call: 1,
            result: SimulationResult::default(),
        };
        simulation.plan_poison_requests();
        simulation
    }

    fn new_call(&mut self, at: u64, is_poison: bool, number: u32) -> Call {
        let entry = self.rng.random_range(0..self.scenario.entries);
        Call {
            fingerprint: fingerprint_of(number),
            is_poison,
            deadline: at + DEADLINE_MS,
            attempts: 0,
            may_be_retried: !is_poison,
            entry,
        }
    }

    fn plan_poison_requests(&mut self) {
        for _ in 0..self.scenario.poison_requests {
            let begin = self.rng.random_range(5_000..LENGTH_MS - COPIES_DURATION_MS);
            let number = self.next_number();
            self.result.poison_requests += 1;
            let mut at = begin;
            while at < begin + COPIES_DURATION_MS {
                let call = self.new_call(at, true, number);
                self.arrivals.push((at, call));
                at += self.rng.random_range(COPY_GAP_MS.0..COPY_GAP_MS.1);
            }
        }
    }

    fn next_number(&mut self) -> u32 {
        self.next_call += 1;
        self.next_call
    }

    /// Seconds since the Unix epoch, by the clock of entries.
    fn now_s(&self) -> u64 {
        1_780_000_000 + self.now / 1000
    }

    fn run(mut self) -> SimulationResult {
        while self.now < LENGTH_MS {
            self.deliver();
            self.generate_calls();
            self.crash_by_other_causes();
            self.stall();
            (0..ENDPOINTS).for_each(|index| self.step_endpoint(index));
            self.send();
            self.now += STEP_MS;
        }
        self.result.crashes = self.crashes_of.values().sum();
        self.result.max_crashes_of_one = self.crashes_of.values().copied().max().unwrap_or(0);
        self.result
    }

    fn deliver(&mut self) {
        let now_s = self.now_s();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= self.now);
        self.in_flight = later;
        for (_, entry, crash_report) in due {
            if self.entries[entry].merge(&crash_report, now_s)
                == lynxmount_policy::MergeOutcome::Cleared
            {
                self.share(entry, crash_report.call);
            }
        }
    }

    fn share(&mut self, from: usize, call: CallFingerprint) {
        if self.scenario.rule == Rule::ScoreWithoutSharing {
            return;
        }
        let Some(crash_report) = self.entries[from].crash_report(&call).cloned() else { return };
        for entry in (0..self.scenario.entries).filter(|entry| *entry != from) {
            let is_late = self.scenario.late_fraction > 0.0
                && self.rng.random_bool(self.scenario.late_fraction);
            let duration = if is_late { SLOW_SHARE_DELAY_MS } else { SHARE_DELAY_MS };
            self.in_flight.push((self.now + duration, entry, crash_report.clone()));
        }
    }

    fn is_due(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP_MS as f64 / 1000.0).min(1.0))
    }

    fn generate_calls(&mut self) {
        if self.is_due(CALLS_PER_S) {
            let number = self.next_number();
            let call = self.new_call(self.now, false, number);
            self.result.innocent += 1;
            self.arrivals.push((self.now, call));
        }
        if self.scenario.popular_per_s > 0.0 && self.is_due(self.scenario.popular_per_s) {
            let call = self.new_call(self.now, false, 0);
            self.result.innocent += 1;
            self.arrivals.push((self.now, call));
        }
    }

    fn crash_by_other_causes(&mut self) {
        if !self.is_due(self.scenario.other_crashes_per_s) {
            return;
        }
        let indices: Vec<usize> = (0..ENDPOINTS).collect();
        let crashing: Vec<usize> = indices
            .choose_multiple(&mut self.rng, self.scenario.crashes_at_once)
            .copied()
            .collect();
        for index in crashing {
            if self.now >= self.endpoints[index].down_until {
                self.crash(index);
            }
        }
    }

    /// Cancels all calls of a group some time after the crash of a rank.
    fn stall(&mut self) {
        if self.stall_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.stall_at = None;
        for index in 0..ENDPOINTS {
            let canceled = std::mem::take(&mut self.endpoints[index].calls);
            canceled.into_iter().for_each(|run| self.retry(run.call));
        }
    }

    /// Crashes an endpoint, and lets entries record it.
    fn crash(&mut self, index: usize) {
        let calls = std::mem::take(&mut self.endpoints[index].calls);
        let incarnation = self.endpoints[index].incarnation;
        self.endpoints[index].incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        self.endpoints[index].down_until = self.now + RESTART_MS;
        if self.scenario.is_group {
            self.stall_at = Some(self.now + STALL_MS);
            self.closed_until = self.now + RESTART_MS;
        }
        let now_s = self.now_s();
        for run in &calls {
            let phase = match (self.scenario.rule, run.begins_at) {
                (Rule::TwoCrashes, _) => CallPhase::Beginning,
                (Rule::ThreeCrashes, _) => CallPhase::Waiting,
                (_, Some(at)) if at + FIRST_EVENT_MS <= self.now => CallPhase::Running,
                (_, Some(at)) if at <= self.now => CallPhase::Beginning,
                _ => CallPhase::Waiting,
            };
            let fingerprint = run.call.fingerprint;
            if self.entries[run.call.entry].record_crash(fingerprint, incarnation, phase, now_s) {
                self.share(run.call.entry, fingerprint);
            }
        }
        calls.into_iter().for_each(|run| self.retry(run.call));
    }

    /// Lets an entry, and then the caller, retry a call.
    fn retry(&mut self, call: Call) {
        let retry_at = self.now + STEP_MS;
        if call.attempts < ATTEMPTS && retry_at < call.deadline {
            self.arrivals.push((retry_at, call));
        } else if call.may_be_retried && retry_at + 300 < call.deadline {
            let entry = self.rng.random_range(0..self.scenario.entries);
            let call = Call { attempts: 0, may_be_retried: false, entry, ..call };
            self.arrivals.push((retry_at + 300, call));
        }
    }

    fn is_quarantined(&self, call: &Call) -> bool {
        let quarantine = self.entries[call.entry].quarantined_for(&call.fingerprint, self.now_s());
        quarantine.is_some() && self.scenario.rule != Rule::NoQuarantine
    }

    fn send(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.arrivals).into_iter().partition(|(at, _)| *at <= self.now);
        self.arrivals = later;
        for (_, call) in due {
            if self.is_quarantined(&call) {
                self.result.innocent_quarantined += u32::from(!call.is_poison);
                continue;
            }
            if self.now < call.deadline && !self.start(call) {
                self.arrivals.push((self.now + 2 * STEP_MS, call));
            }
        }
    }

    /// Sends a call to the endpoint with the fewest calls, if any has capacity.
    fn start(&mut self, call: Call) -> bool {
        if self.now < self.closed_until {
            return false;
        }
        let offset = self.rng.random_range(0..ENDPOINTS);
        let open = (0..ENDPOINTS).map(|index| (index + offset) % ENDPOINTS).filter(|index| {
            let endpoint = &self.endpoints[*index];
            self.now >= endpoint.down_until && endpoint.calls.len() < SLOTS + SLOTS / 2
        });
        let Some(index) = open.min_by_key(|index| self.endpoints[*index].calls.len()) else {
            return false;
        };
        let call = Call { attempts: call.attempts + 1, ..call };
        let run = Run { call, begins_at: None, ends_at: u64::MAX };
        self.endpoints[index].calls.push(run);
        true
    }

    /// Begins calls that have a slot, and completes calls.
    fn step_endpoint(&mut self, index: usize) {
        if self.now < self.closed_until || self.now < self.endpoints[index].down_until {
            return;
        }
        let (now, is_early) = (self.now, self.scenario.crashes_early);
        for slot in 0..self.endpoints[index].calls.len().min(SLOTS) {
            if self.endpoints[index].calls[slot].begins_at.is_none() {
                let begins_at = now + self.rng.random_range(PROMPT_MS.0..PROMPT_MS.1);
                let duration = self.rng.random_range(RESPONSE_MS.0..RESPONSE_MS.1);
                let run = &mut self.endpoints[index].calls[slot];
                (run.begins_at, run.ends_at) = (Some(begins_at), begins_at + duration);
            }
        }
        let is_crash_due = |run: &Run| {
            let after = if is_early { 0 } else { FIRST_EVENT_MS / 2 };
            run.call.is_poison
                && run.begins_at.is_some_and(|at| at + after <= now + u64::from(is_early) * STEP_MS)
        };
        if let Some(run) = self.endpoints[index].calls.iter().find(|run| is_crash_due(run)) {
            *self.crashes_of.entry(run.call.fingerprint).or_default() += 1;
            return self.crash(index);
        }
        let calls = std::mem::take(&mut self.endpoints[index].calls);
        let (finished, continuing): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|run| run.ends_at <= now);
        self.endpoints[index].calls = continuing;
        for run in finished {
            self.result.innocent_served += 1;
            if self.entries[run.call.entry].record_survival(run.call.fingerprint) {
                self.share(run.call.entry, run.call.fingerprint);
            }
        }
    }
}

/// Simulates a scenario with several seeds.
pub fn simulate(scenario: Scenario, seeds: std::ops::Range<u64>) -> SimulationResult {
    let mut total = SimulationResult::default();
    seeds.for_each(|seed| total.add(&Simulation::new(scenario, seed).run()));
    total
}

/// A lock-step group, a rank of which crashes each half a minute for another reason.
pub const GROUP: Scenario = Scenario {
    rule: Rule::Score,
    entries: 4,
    late_fraction: 0.0,
    is_group: true,
    other_crashes_per_s: 0.03,
    crashes_at_once: 1,
    crashes_early: false,
    popular_per_s: 0.0,
    poison_requests: 1,
};

pub const RULES: [Rule; 5] = [
    Rule::NoQuarantine,
    Rule::ScoreWithoutSharing,
    Rule::TwoCrashes,
    Rule::ThreeCrashes,
    Rule::Score,
];

/// The scenarios of the table.
pub fn scenarios() -> Vec<(&'static str, Scenario)> {
    let independent = Scenario { is_group: false, ..GROUP };
    vec![
        ("group", GROUP),
        ("group, crashes early", Scenario { crashes_early: true, ..GROUP }),
        ("independent", independent),
        ("independent, crashes early", Scenario { crashes_early: true, ..independent }),
        ("independent, three poison requests", Scenario { poison_requests: 3, ..independent }),
        (
            "independent, frequent other crashes",
            Scenario { poison_requests: 0, other_crashes_per_s: 1.0, ..independent },
        ),
        (
            "independent, five crash at once",
            Scenario {
                poison_requests: 0,
                other_crashes_per_s: 0.2,
                crashes_at_once: 5,
                popular_per_s: 10.0,
                ..independent
            },
        ),
        (
            "group, frequent other crashes",
            Scenario { poison_requests: 0, other_crashes_per_s: 0.2, ..GROUP },
        ),
    ]
}
