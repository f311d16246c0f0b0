//! Load balancing over replicas by late reports and by several entries without coordination: this
//! crate's power of two choices against round robin, two random choices by reported load alone, and
//! the least reported load. Seeded simulations without a clock. Prints one JSON line a run.

#![allow(missing_docs)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use lynxmount_policy::{Candidate, ChoiceOptions, PrefixCounts, choose, rendezvous_weight};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, Zipf};
use serde_json::json;

const SECONDS: f64 = 60.0;
/// Requests that a replica of speed 1 runs at a time.
const SLOTS: usize = 16;
/// Mean time for which a request uses its slot.
const MEAN_SERVICE_S: f64 = 0.8;
/// Fraction of the work that a cached prefix saves.
const PREFIX_SAVES: f64 = 0.3;
/// Prefixes that a replica can cache, and how many there are.
const CACHED_PREFIXES: usize = 20;
const PREFIXES: f64 = 200.0;
/// Time to the first token that still counts as on time.
const ON_TIME_S: f64 = 0.48;
/// Time to the first token once a request runs.
const FIRST_TOKEN_S: f64 = 0.15;
/// Offered load as a fraction of the total capacity.
const LOAD: f64 = 0.85;
const SEED: u64 = 11;

#[derive(Clone, Copy, Debug)]
enum Policy {
    LeastReported,
    Ours,
    RoundRobin,
    TwoRandom,
}

#[derive(Clone, Copy, Debug)]
struct Setting {
    replicas: usize,
    entries: usize,
    lag_s: f64,
    /// Speed of the first replica; the others have 1.
    first_speed: f64,
}

struct Replica {
    speed: f64,
    running: usize,
    waiting: VecDeque<Request>,
    cache: VecDeque<u64>,
    reported: usize,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived_s: f64,
    work_s: f64,
    prefix: u64,
    entry: usize,
}

/// An entry's view of one replica.
#[derive(Clone, Copy, Default)]
struct View {
    own_running: usize,
    own_at_report: usize,
    last_chosen: u64,
}

/// A simulated event; the event queue has times in nanoseconds, so that they can be ordered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Done { replica: usize, entry: usize },
    Report,
}

struct Run {
    policy: Policy,
    setting: Setting,
    replicas: Vec<Replica>,
    views: Vec<Vec<View>>,
    round_robin_next: Vec<usize>,
    prefixes: Vec<PrefixCounts>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    first_token_s: Vec<f64>,
    prefix_hits: u64,
    longest_queue: usize,
    reported_at_s: f64,
}

fn main() {
    let settings = [
        Setting { replicas: 3, entries: 2, lag_s: 0.1, first_speed: 1.0 },
        Setting { replicas: 16, entries: 2, lag_s: 0.1, first_speed: 1.0 },
        Setting { replicas: 16, entries: 2, lag_s: 1.0, first_speed: 1.0 },
        Setting { replicas: 16, entries: 10, lag_s: 1.0, first_speed: 0.5 },
        Setting { replicas: 16, entries: 40, lag_s: 1.0, first_speed: 1.0 },
        Setting { replicas: 16, entries: 40, lag_s: 5.0, first_speed: 1.0 },
    ];
    for setting in settings {
        for policy in [Policy::RoundRobin, Policy::TwoRandom, Policy::LeastReported, Policy::Ours] {
            Run::new(policy, setting).run();
        }
    }
}

impl Run {
    fn new(policy: Policy, setting: Setting) -> Run {
        let replica = |number: usize| Replica {
            speed: if number == 0 { setting.first_speed } else { 1.0 },
            running: 0,
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            reported: 0,
        };
        Run {
            policy,
            setting,
            replicas: (0..setting.replicas).map(replica).collect(),
            views: vec![vec![View::default(); setting.replicas]; setting.entries],
            round_robin_next: (0..setting.entries).collect(),
            prefixes: vec![PrefixCounts::default(); setting.entries],
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(SEED),
            first_token_s: Vec::new(),
            prefix_hits: 0,
            longest_queue: 0,
            reported_at_s: 0.0,
        }
    }

    fn run(mut self) {
        let capacity: f64 = self.replicas.iter().map(|r| r.speed * SLOTS as f64).sum();
        let arrival_gap = Exp::new(capacity * LOAD / MEAN_SERVICE_S).expect("the rate is positive");
        let work = Exp::new(1.0 / MEAN_SERVICE_S).expect("the rate is positive");
        let prefixes = Zipf::new(PREFIXES, 1.1).expect("the exponent is positive");
        self.push(0.0, Event::Arrival);
        self.push(self.setting.lag_s, Event::Report);
        while let Some(Reverse((at_ns, _, event))) = self.events.pop() {
            let now_s = at_ns as f64 / 1e9;
            if now_s > SECONDS {
                break;
            }
            match event {
                Event::Arrival => {
                    let request = Request {
                        arrived_s: now_s,
                        work_s: work.sample(&mut self.rng),
                        prefix: prefixes.sample(&mut self.rng) as u64,
                        entry: self.rng.random_range(0..self.setting.entries),
                    };
                    self.send(request, now_s);
                    let gap_s = arrival_gap.sample(&mut self.rng);
                    self.push(now_s + gap_s, Event::Arrival);
                }
                Event::Done { replica, entry } => self.finish(replica, entry, now_s),
                Event::Report => self.report(now_s),
            }
        }
        self.print();
    }

    fn push(&mut self, at_s: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(((at_s * 1e9) as u64, self.sequence, event)));
    }

    /// All replicas report their load; entries use it until the next report.
    fn report(&mut self, now_s: f64) {
        for (number, replica) in self.replicas.iter_mut().enumerate() {
            replica.reported = replica.running + replica.waiting.len();
            for views in &mut self.views {
                views[number].own_at_report = views[number].own_running;
            }
        }
        self.reported_at_s = now_s;
        self.push(now_s + self.setting.lag_s, Event::Report);
    }

    fn send(&mut self, request: Request, now_s: f64) {
        let chosen = self.choose(request, now_s);
        let view = &mut self.views[request.entry][chosen];
        view.own_running += 1;
        view.last_chosen = self.sequence;
        self.replicas[chosen].waiting.push_back(request);
        self.longest_queue = self.longest_queue.max(self.replicas[chosen].waiting.len());
        self.start_waiting(chosen, now_s);
    }

    fn choose(&mut self, request: Request, now_s: f64) -> usize {
        let count = self.replicas.len();
        let reported = |index: &usize| self.replicas[*index].reported;
        match self.policy {
            Policy::RoundRobin => {
                let next = &mut self.round_robin_next[request.entry];
                *next = (*next + 1) % count;
                *next
            }
            Policy::LeastReported => (0..count).min_by_key(reported).unwrap_or(0),
            Policy::TwoRandom => {
                let (one, two) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
                [one, two].into_iter().min_by_key(reported).unwrap_or(one)
            }
            Policy::Ours => self.choose_ours(request, now_s),
        }
    }

    fn choose_ours(&mut self, request: Request, now_s: f64) -> usize {
        let views = &self.views[request.entry];
        let candidates: Vec<Candidate> = self
            .replicas
            .iter()
            .zip(views)
            .map(|(replica, view)| {
                let others = replica.reported.saturating_sub(view.own_at_report);
                Candidate {
                    own_load: view.own_running as f64 / SLOTS as f64,
                    others_load: others as f64 / SLOTS as f64,
                    report_age: Duration::from_secs_f64(now_s - self.reported_at_s),
                    last_chosen: view.last_chosen,
                    is_local: true,
                }
            })
            .collect();
        let prefix = request.prefix.to_string();
        let count = self.prefixes[request.entry].count(&prefix, candidates.len());
        let mut prefix_holders: Vec<usize> = (0..candidates.len()).collect();
        prefix_holders.sort_by_key(|number| {
            Reverse(rendezvous_weight(&prefix, &format!("replica-{number}")))
        });
        prefix_holders.truncate(count);
        let choice = choose(&candidates, &prefix_holders, ChoiceOptions::default(), &mut self.rng);
        choice.map_or(0, |choice| choice.index)
    }

    fn start_waiting(&mut self, number: usize, now_s: f64) {
        while self.replicas[number].running < SLOTS {
            let replica = &mut self.replicas[number];
            let Some(request) = replica.waiting.pop_front() else { return };
            replica.running += 1;
            let is_hit = replica.cache.contains(&request.prefix);
            replica.cache.retain(|prefix| *prefix != request.prefix);
            replica.cache.push_front(request.prefix);
            replica.cache.truncate(CACHED_PREFIXES);
            let saved = if is_hit { 1.0 - PREFIX_SAVES } else { 1.0 };
            let done_s = now_s + request.work_s * saved / replica.speed;
            self.prefix_hits += u64::from(is_hit);
            let first_s = now_s - request.arrived_s + FIRST_TOKEN_S * saved / replica.speed;
            self.first_token_s.push(first_s);
            self.push(done_s, Event::Done { replica: number, entry: request.entry });
        }
    }

    fn finish(&mut self, replica: usize, entry: usize, now_s: f64) {
        self.replicas[replica].running -= 1;
        self.views[entry][replica].own_running -= 1;
        self.start_waiting(replica, now_s);
    }

    fn print(mut self) {
        self.first_token_s.sort_by(f64::total_cmp);
        let count = self.first_token_s.len();
        let at = |quantile: f64| self.first_token_s[(quantile * (count - 1) as f64) as usize] * 1e3;
        let on_time = self.first_token_s.iter().filter(|s| **s <= ON_TIME_S).count();
        println!(
            "{}",
            json!({
                "policy": format!("{:?}", self.policy),
                "replicas": self.setting.replicas,
                "entries": self.setting.entries,
                "lag_s": self.setting.lag_s,
                "slow_replica": self.setting.first_speed < 1.0,
                "first_token_ms": { "p50": at(0.5), "p99": at(0.99) },
                "on_time": on_time as f64 / count as f64,
                "prefix_hits": self.prefix_hits as f64 / count as f64,
                "longest_queue": self.longest_queue,
            })
        );
    }
}
