//! Admission under twice the load that can be served: who gets in, how fast the
//! others are refused, and whether they get in when they come back as told.
//! Then what a retry budget saves when every replica is slow. Seeded fakes, no
//! clock. Prints one JSON line a run.

#![allow(missing_docs)]

use std::{collections::HashMap, time::Duration};

use lynxmount_core::TeamId;
use lynxmount_policy::{
    AttemptFailure, QueueDecision, RetryBudget, RetryDecision, RetryState, ServiceQueue, Ticket,
    Waiter,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

const TICK: Duration = Duration::from_millis(1);
const SECONDS: u64 = 60;
const PLACES: usize = 20;
const SERVICE: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(1);
const OVERLOAD: f64 = 2.0;
const SEED: u64 = 5;
/// Ten teams: three large ones, and seven that ask for what they can get.
const TEAMS: [(&str, u8, f64); 10] = [
    ("large-1", 1, 0.30),
    ("large-2", 1, 0.30),
    ("large-3", 1, 0.25),
    ("small-1", 1, 0.02),
    ("small-2", 1, 0.02),
    ("small-3", 1, 0.02),
    ("small-4", 1, 0.02),
    ("first", 0, 0.03),
    ("last-1", 5, 0.02),
    ("last-2", 5, 0.02),
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Discipline {
    /// First come, first served, without a bound.
    Fifo,
    /// The queue of this crate.
    Ours,
}

#[derive(Default)]
struct TeamCount {
    offered: u64,
    on_time: u64,
    came_back: u64,
    came_back_in_vain: u64,
}

fn main() {
    for discipline in [Discipline::Fifo, Discipline::Ours] {
        Admission::new(discipline).play();
    }
    for with_budget in [false, true] {
        play_retries(with_budget);
    }
}

struct Admission {
    discipline: Discipline,
    queue: ServiceQueue,
    fifo: Vec<(Duration, usize)>,
    waiting: HashMap<Ticket, (Duration, usize)>,
    running: Vec<Duration>,
    returning: Vec<(Duration, usize)>,
    counts: Vec<TeamCount>,
    served: u64,
    refused_after: Vec<Duration>,
    rng: SmallRng,
}

impl Admission {
    fn new(discipline: Discipline) -> Admission {
        Admission {
            discipline,
            queue: ServiceQueue::default(),
            fifo: Vec::new(),
            waiting: HashMap::new(),
            running: Vec::new(),
            returning: Vec::new(),
            counts: TEAMS.iter().map(|_| TeamCount::default()).collect(),
            served: 0,
            refused_after: Vec::new(),
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    fn play(mut self) {
        let capacity_per_s = PLACES as f64 / SERVICE.as_secs_f64();
        let per_tick = capacity_per_s * OVERLOAD * TICK.as_secs_f64();
        for tick in 0..SECONDS * 1_000 {
            let now = TICK * tick as u32;
            self.running.retain(|done| *done > now);
            self.start_waiting(now);
            for (team, (_, _, part)) in TEAMS.iter().enumerate() {
                if self.rng.random_bool((per_tick * part).min(1.0)) {
                    self.counts[team].offered += 1;
                    self.arrive(team, now, false);
                }
            }
            let due: Vec<usize> =
                self.returning.iter().filter(|(at, _)| *at <= now).map(|(_, team)| *team).collect();
            self.returning.retain(|(at, _)| *at > now);
            for team in due {
                self.arrive(team, now, true);
            }
        }
        self.print(capacity_per_s * SECONDS as f64);
    }

    fn arrive(&mut self, team: usize, now: Duration, is_return: bool) {
        self.counts[team].came_back += u64::from(is_return);
        if self.discipline == Discipline::Fifo {
            self.fifo.push((now, team));
            self.start_waiting(now);
            return;
        }
        let (name, priority, _) = TEAMS[team];
        let wait_until = now + MAX_WAIT;
        let waiter = Waiter { team: TeamId::from(name), priority, wait_until };
        let has_place = self.running.len() < PLACES;
        match self.queue.try_admit(waiter, has_place, now) {
            QueueDecision::Start => self.start(team, now, now),
            QueueDecision::Wait(ticket) => {
                self.waiting.insert(ticket, (now, team));
            }
            QueueDecision::Refuse { retry_after } => {
                self.counts[team].came_back_in_vain += u64::from(is_return);
                self.refused_after.push(Duration::ZERO);
                // A tenth come back when they were told to.
                if !is_return && self.rng.random_bool(0.1) {
                    self.returning.push((now + retry_after, team));
                }
            }
        }
    }

    fn start_waiting(&mut self, now: Duration) {
        while self.running.len() < PLACES {
            let next = match self.discipline {
                Discipline::Fifo if self.fifo.is_empty() => return,
                Discipline::Fifo => Some(self.fifo.remove(0)),
                Discipline::Ours => {
                    let ticket = self.queue.dequeue(now);
                    ticket.and_then(|ticket| self.waiting.remove(&ticket))
                }
            };
            let Some((arrived, team)) = next else { break };
            self.start(team, arrived, now);
        }
        // Whoever has waited for longer than allowed is refused at once.
        let late: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, (arrived, _))| now >= *arrived + MAX_WAIT)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            self.queue.remove(ticket, now);
            self.waiting.remove(&ticket);
            self.refused_after.push(MAX_WAIT);
        }
    }

    fn start(&mut self, team: usize, arrived: Duration, now: Duration) {
        self.running.push(now + SERVICE);
        let is_on_time = now <= arrived + MAX_WAIT;
        self.served += u64::from(is_on_time);
        self.counts[team].on_time += u64::from(is_on_time);
    }

    fn print(&self, capacity: f64) {
        let share = |count: &TeamCount| count.on_time as f64 / count.offered.max(1) as f64;
        let shares: Vec<_> = TEAMS
            .iter()
            .zip(&self.counts)
            .map(|((name, priority, _), count)| {
                json!({ "team": name, "priority": priority, "on_time": share(count) })
            })
            .collect();
        let small: Vec<f64> = self.counts[3..7].iter().map(share).collect();
        let large: Vec<f64> = self.counts[..3].iter().map(|count| count.on_time as f64).collect();
        let came_back: u64 = self.counts.iter().map(|count| count.came_back).sum();
        let in_vain: u64 = self.counts.iter().map(|count| count.came_back_in_vain).sum();
        let at_once = self.refused_after.iter().filter(|wait| wait.is_zero()).count();
        println!(
            "{}",
            json!({
                "run": "twice the load",
                "discipline": format!("{:?}", self.discipline),
                "goodput_of_capacity": self.served as f64 / capacity,
                "teams": shares,
                "jain_small": jain(&small),
                "jain_large": jain(&large),
                "refused_at_once": at_once as f64 / self.refused_after.len().max(1) as f64,
                "admitted_on_return": 1.0 - in_vain as f64 / came_back.max(1) as f64,
            })
        );
    }
}

/// Jain's index of fairness: 1 if all are equal.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares.max(f64::MIN_POSITIVE))
}

/// All replicas are slow for a while: attempts that take longer than a timeout
/// are lost and tried again, at the cost of the capacity that they have used.
fn play_retries(with_budget: bool) {
    const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
    const SLOW_SERVICE: Duration = Duration::from_millis(180);
    const OFFERED: f64 = 0.8;
    const RETRY_PERCENT: u32 = 10;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut budget = RetryBudget::default();
    let mut waiting: std::collections::VecDeque<(Duration, Duration, RetryState)> =
        Default::default();
    let mut running: Vec<(Duration, Duration)> = Vec::new();
    let (mut first_attempts, mut attempts, mut answered) = (0_u64, 0_u64, 0_u64);
    for tick in 0..SECONDS * 1_000 {
        let now = TICK * tick as u32;
        running.retain(|(done, _)| *done > now);
        if rng.random_bool(PLACES as f64 / SERVICE.as_secs_f64() * OFFERED * TICK.as_secs_f64()) {
            first_attempts += 1;
            attempts += 1;
            budget.deposit(RETRY_PERCENT);
            let deadline = now + Duration::from_secs(2);
            waiting.push_back((now, now, RetryState::new(3, deadline, deadline, true)));
        }
        // An attempt that waits for longer than its timeout is given up and
        // tried again; what waits at the replica is run all the same.
        for (_, sent, retry) in &mut waiting {
            if now >= *sent + ATTEMPT_TIMEOUT && now < *sent + ATTEMPT_TIMEOUT + TICK {
                let may_retry = || !with_budget || budget.try_withdraw();
                if retry.on_attempt_failed(AttemptFailure::Lost, now, may_retry)
                    == RetryDecision::Retry
                {
                    attempts += 1;
                    *sent = now;
                    running.push((now + SLOW_SERVICE, now));
                }
            }
        }
        while running.len() < PLACES {
            let Some((arrived, _, _)) = waiting.pop_front() else { break };
            running.push((now + SLOW_SERVICE, arrived));
            answered += u64::from(now + SLOW_SERVICE <= arrived + Duration::from_secs(2));
        }
    }
    println!(
        "{}",
        json!({
            "run": "all replicas slow",
            "retry_budget": with_budget,
            "attempts_per_request": attempts as f64 / first_attempts as f64,
            "answered": answered as f64 / first_attempts as f64,
        })
    );
}
