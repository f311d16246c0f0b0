//! Endpoints, entries and callers, some of whose calls end endpoints.
//!
//! A play without network, in steps of 10 ms: endpoints with slots and a queue, entries that
//! decide by `Quarantine` and tell each other, callers that come again, endpoints that end
//! for other reasons, alone or several at once.

#![allow(dead_code, unreachable_pub)]

use std::collections::HashMap;

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, Suspicion};
use lynxmount_policy::Quarantine;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
const ENDPOINTS: usize = 16;
const SLOTS: usize = 12;
const CALLS_PER_S: f64 = 60.0;
/// How long it takes one entry to know what another has seen, and one that is cut off.
const TELL_MS: u64 = 50;
const TELL_LATE_MS: u64 = 3000;
/// How long a call is read before its answer begins, and how long its first event takes.
const READ_MS: (u64, u64) = (40, 300);
const FIRST_EVENT_MS: u64 = 60;
const ANSWER_MS: (u64, u64) = (500, 2000);
const DEADLINE_MS: u64 = 8000;
const ATTEMPTS: u32 = 2;
/// How long an endpoint is away; a group of ranks in step stands still as long.
const AWAY_MS: u64 = 4300;
/// A group cuts what ran in it this long after a rank's end.
const STALL_MS: u64 = 1500;
/// Between two copies of a call under which endpoints end, and how long it comes.
const COPY_MS: (u64, u64) = (300, 2500);
const COPIES_FOR_MS: u64 = 25_000;

/// By what a call is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Nothing is held back.
    Nothing,
    /// By points, and entries tell each other nothing.
    Alone,
    /// By two ends, however far the call was.
    TwoEnds,
    /// By three ends, however far the call was.
    ThreeEnds,
    /// By points.
    Points,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct World {
    pub way: Way,
    pub entries: usize,
    /// The part of what entries tell each other that comes late.
    pub late_part: f64,
    /// Whether all endpoints are ranks of one group that run in step.
    pub is_group: bool,
    /// Endpoints that end for other reasons, a second.
    pub other_ends_per_s: f64,
    /// How many end together then.
    pub together: usize,
    /// Whether the call ends endpoints before its answer has begun.
    pub ends_early: bool,
    /// How often a second one call comes that asks the same as others before it.
    pub hot_per_s: f64,
    pub campaigns: u32,
}

#[derive(Clone, Copy)]
struct Call {
    what: CallFingerprint,
    is_ending: bool,
    deadline: u64,
    attempts: u32,
    may_come_again: bool,
    entry: usize,
}

#[derive(Clone, Copy)]
struct Run {
    call: Call,
    begins: Option<u64>,
    ends: u64,
}

#[derive(Debug, Default)]
pub struct Played {
    pub campaigns: u32,
    pub ended_under_calls: u32,
    pub most_under_one: u32,
    pub innocent: u32,
    pub innocent_held_back: u32,
    pub innocent_served: u32,
}

impl Played {
    fn add(&mut self, other: &Played) {
        self.campaigns += other.campaigns;
        self.ended_under_calls += other.ended_under_calls;
        self.most_under_one = self.most_under_one.max(other.most_under_one);
        self.innocent += other.innocent;
        self.innocent_held_back += other.innocent_held_back;
        self.innocent_served += other.innocent_served;
    }

    pub fn ends_of_each(&self) -> f64 {
        f64::from(self.ended_under_calls) / f64::from(self.campaigns.max(1))
    }

    pub fn held_back_part(&self) -> f64 {
        f64::from(self.innocent_held_back) / f64::from(self.innocent)
    }

    pub fn served_part(&self) -> f64 {
        f64::from(self.innocent_served) / f64::from(self.innocent)
    }
}

#[derive(Clone)]
struct Endpoint {
    life: u64,
    away_until: u64,
    runs: Vec<Run>,
}

struct Play {
    world: World,
    rng: SmallRng,
    now: u64,
    endpoints: Vec<Endpoint>,
    next_life: u64,
    entries: Vec<Quarantine>,
    told: Vec<(u64, usize, Suspicion)>,
    coming: Vec<(u64, Call)>,
    ends_of: HashMap<CallFingerprint, u32>,
    stall_at: Option<u64>,
    closed_until: u64,
    next_call: u32,
    played: Played,
}

fn fingerprint(number: u32) -> CallFingerprint {
    let path = format!("/{number}");
    let content = CallContent { team: None, method: "POST", host: "h", path: &path, body: b"" };
    CallFingerprint::of(content)
}

impl Play {
    fn new(world: World, seed: u64) -> Play {
        let endpoint = |life| Endpoint { life, away_until: 0, runs: Vec::new() };
        let mut play = Play {
            world,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            endpoints: (0..ENDPOINTS as u64).map(endpoint).collect(),
            next_life: ENDPOINTS as u64,
            entries: (0..world.entries).map(|_| Quarantine::default()).collect(),
            told: Vec::new(),
            coming: Vec::new(),
            ends_of: HashMap::new(),
            stall_at: None,
            closed_until: 0,
            next_call: 1,
            played: Played::default(),
        };
        play.plan_campaigns();
        play
    }

    fn new_call(&mut self, at: u64, is_ending: bool, number: u32) -> Call {
        let entry = self.rng.random_range(0..self.world.entries);
        Call {
            what: fingerprint(number),
            is_ending,
            deadline: at + DEADLINE_MS,
            attempts: 0,
            may_come_again: !is_ending,
            entry,
        }
    }

    fn plan_campaigns(&mut self) {
        for _ in 0..self.world.campaigns {
            let begin = self.rng.random_range(5_000..LENGTH_MS - COPIES_FOR_MS);
            let number = self.next_number();
            self.played.campaigns += 1;
            let mut at = begin;
            while at < begin + COPIES_FOR_MS {
                let call = self.new_call(at, true, number);
                self.coming.push((at, call));
                at += self.rng.random_range(COPY_MS.0..COPY_MS.1);
            }
        }
    }

    fn next_number(&mut self) -> u32 {
        self.next_call += 1;
        self.next_call
    }

    /// Seconds since the epoch, as entries see it.
    fn now_s(&self) -> u64 {
        1_780_000_000 + self.now / 1000
    }

    fn run(mut self) -> Played {
        while self.now < LENGTH_MS {
            self.hear();
            self.arrive();
            self.end_by_other_causes();
            self.stall();
            (0..ENDPOINTS).for_each(|index| self.work(index));
            self.send();
            self.now += STEP_MS;
        }
        self.played.ended_under_calls = self.ends_of.values().sum();
        self.played.most_under_one = self.ends_of.values().copied().max().unwrap_or(0);
        self.played
    }

    fn hear(&mut self) {
        let now_s = self.now_s();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.told).into_iter().partition(|(at, ..)| *at <= self.now);
        self.told = later;
        for (_, entry, suspicion) in due {
            if self.entries[entry].merge(&suspicion, now_s)
                == lynxmount_policy::MergeOutcome::Cleared
            {
                self.tell(entry, suspicion.call);
            }
        }
    }

    fn tell(&mut self, from: usize, call: CallFingerprint) {
        if self.world.way == Way::Alone {
            return;
        }
        let Some(suspicion) = self.entries[from].suspicion(&call).cloned() else { return };
        for entry in (0..self.world.entries).filter(|entry| *entry != from) {
            let is_late = self.world.late_part > 0.0 && self.rng.random_bool(self.world.late_part);
            let takes = if is_late { TELL_LATE_MS } else { TELL_MS };
            self.told.push((self.now + takes, entry, suspicion.clone()));
        }
    }

    fn is_due(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP_MS as f64 / 1000.0).min(1.0))
    }

    fn arrive(&mut self) {
        if self.is_due(CALLS_PER_S) {
            let number = self.next_number();
            let call = self.new_call(self.now, false, number);
            self.played.innocent += 1;
            self.coming.push((self.now, call));
        }
        if self.world.hot_per_s > 0.0 && self.is_due(self.world.hot_per_s) {
            let call = self.new_call(self.now, false, 0);
            self.played.innocent += 1;
            self.coming.push((self.now, call));
        }
    }

    fn end_by_other_causes(&mut self) {
        if !self.is_due(self.world.other_ends_per_s) {
            return;
        }
        let indices: Vec<usize> = (0..ENDPOINTS).collect();
        let ending: Vec<usize> =
            indices.choose_multiple(&mut self.rng, self.world.together).copied().collect();
        for index in ending {
            if self.now >= self.endpoints[index].away_until {
                self.end(index);
            }
        }
    }

    /// A group cuts all that ran in it some time after the end of a rank.
    fn stall(&mut self) {
        if self.stall_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.stall_at = None;
        for index in 0..ENDPOINTS {
            let cut = std::mem::take(&mut self.endpoints[index].runs);
            cut.into_iter().for_each(|run| self.again(run.call));
        }
    }

    /// Ends an endpoint, and takes what entries see of it.
    fn end(&mut self, index: usize) {
        let runs = std::mem::take(&mut self.endpoints[index].runs);
        let life = self.endpoints[index].life;
        self.endpoints[index].life = self.next_life;
        self.next_life += 1;
        self.endpoints[index].away_until = self.now + AWAY_MS;
        if self.world.is_group {
            self.stall_at = Some(self.now + STALL_MS);
            self.closed_until = self.now + AWAY_MS;
        }
        let now_s = self.now_s();
        for run in &runs {
            let phase = match (self.world.way, run.begins) {
                (Way::TwoEnds, _) => CallPhase::Beginning,
                (Way::ThreeEnds, _) => CallPhase::Waiting,
                (_, Some(at)) if at + FIRST_EVENT_MS <= self.now => CallPhase::Running,
                (_, Some(at)) if at <= self.now => CallPhase::Beginning,
                _ => CallPhase::Waiting,
            };
            let what = run.call.what;
            if self.entries[run.call.entry].record_crash(what, life, phase, now_s) {
                self.tell(run.call.entry, what);
            }
        }
        runs.into_iter().for_each(|run| self.again(run.call));
    }

    /// Lets an entry, and then the caller, try a call once more.
    fn again(&mut self, call: Call) {
        let again_at = self.now + STEP_MS;
        if call.attempts < ATTEMPTS && again_at < call.deadline {
            self.coming.push((again_at, call));
        } else if call.may_come_again && again_at + 300 < call.deadline {
            let entry = self.rng.random_range(0..self.world.entries);
            let call = Call { attempts: 0, may_come_again: false, entry, ..call };
            self.coming.push((again_at + 300, call));
        }
    }

    fn is_held_back(&self, call: &Call) -> bool {
        let held = self.entries[call.entry].quarantined_for(&call.what, self.now_s());
        held.is_some() && self.world.way != Way::Nothing
    }

    fn send(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.coming).into_iter().partition(|(at, _)| *at <= self.now);
        self.coming = later;
        for (_, call) in due {
            if self.is_held_back(&call) {
                self.played.innocent_held_back += u32::from(!call.is_ending);
                continue;
            }
            if self.now < call.deadline && !self.start(call) {
                self.coming.push((self.now + 2 * STEP_MS, call));
            }
        }
    }

    /// Sends a call to the endpoint with most room, if any has room.
    fn start(&mut self, call: Call) -> bool {
        if self.now < self.closed_until {
            return false;
        }
        let offset = self.rng.random_range(0..ENDPOINTS);
        let open = (0..ENDPOINTS).map(|index| (index + offset) % ENDPOINTS).filter(|index| {
            let endpoint = &self.endpoints[*index];
            self.now >= endpoint.away_until && endpoint.runs.len() < SLOTS + SLOTS / 2
        });
        let Some(index) = open.min_by_key(|index| self.endpoints[*index].runs.len()) else {
            return false;
        };
        let call = Call { attempts: call.attempts + 1, ..call };
        let run = Run { call, begins: None, ends: u64::MAX };
        self.endpoints[index].runs.push(run);
        true
    }

    /// Begins what has a slot, and ends what is over.
    fn work(&mut self, index: usize) {
        if self.now < self.closed_until || self.now < self.endpoints[index].away_until {
            return;
        }
        let (now, early) = (self.now, self.world.ends_early);
        for slot in 0..self.endpoints[index].runs.len().min(SLOTS) {
            if self.endpoints[index].runs[slot].begins.is_none() {
                let begins = now + self.rng.random_range(READ_MS.0..READ_MS.1);
                let takes = self.rng.random_range(ANSWER_MS.0..ANSWER_MS.1);
                let run = &mut self.endpoints[index].runs[slot];
                (run.begins, run.ends) = (Some(begins), begins + takes);
            }
        }
        let ends_endpoint = |run: &Run| {
            let after = if early { 0 } else { FIRST_EVENT_MS / 2 };
            run.call.is_ending
                && run.begins.is_some_and(|at| at + after <= now + u64::from(early) * STEP_MS)
        };
        if let Some(run) = self.endpoints[index].runs.iter().find(|run| ends_endpoint(run)) {
            *self.ends_of.entry(run.call.what).or_default() += 1;
            return self.end(index);
        }
        let runs = std::mem::take(&mut self.endpoints[index].runs);
        let (over, on): (Vec<_>, Vec<_>) = runs.into_iter().partition(|run| run.ends <= now);
        self.endpoints[index].runs = on;
        for run in over {
            self.played.innocent_served += 1;
            if self.entries[run.call.entry].record_survival(run.call.what) {
                self.tell(run.call.entry, run.call.what);
            }
        }
    }
}

/// Plays a world with several seeds.
pub fn play(world: World, seeds: std::ops::Range<u64>) -> Played {
    let mut all = Played::default();
    seeds.for_each(|seed| all.add(&Play::new(world, seed).run()));
    all
}

/// A group of ranks in step, a rank of which ends each half a minute for another reason.
pub const GROUP: World = World {
    way: Way::Points,
    entries: 4,
    late_part: 0.0,
    is_group: true,
    other_ends_per_s: 0.03,
    together: 1,
    ends_early: false,
    hot_per_s: 0.0,
    campaigns: 1,
};

pub const WAYS: [Way; 5] = [Way::Nothing, Way::Alone, Way::TwoEnds, Way::ThreeEnds, Way::Points];

/// The worlds of the table.
pub fn worlds() -> Vec<(&'static str, World)> {
    let apart = World { is_group: false, ..GROUP };
    vec![
        ("group", GROUP),
        ("group, ends early", World { ends_early: true, ..GROUP }),
        ("apart", apart),
        ("apart, ends early", World { ends_early: true, ..apart }),
        ("apart, three such calls", World { campaigns: 3, ..apart }),
        ("apart, others end often", World { campaigns: 0, other_ends_per_s: 1.0, ..apart }),
        (
            "apart, five end together",
            World { campaigns: 0, other_ends_per_s: 0.2, together: 5, hot_per_s: 10.0, ..apart },
        ),
        ("group, others end often", World { campaigns: 0, other_ends_per_s: 0.2, ..GROUP }),
    ]
}
