//! Admission control under twice the load that can be served: which teams are admitted, how fast
//! the others are refused, and whether they are admitted when they retry after the given time. Then
//! the effect of a retry budget when all replicas are slow. Seeded simulations without a clock.
//! Prints one JSON line a run.

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
const SLOTS: usize = 20;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(1);
const OVERLOAD: f64 = 2.0;
const SEED: u64 = 5;
/// Name, priority and fraction of the load of ten teams: three large ones and seven small ones.
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
struct TeamCounts {
    offered: u64,
    on_time: u64,
    retried: u64,
    retried_in_vain: u64,
}

fn main() {
    for discipline in [Discipline::Fifo, Discipline::Ours] {
        OverloadSimulation::new(discipline).run();
    }
    for with_budget in [false, true] {
        run_retries(with_budget);
    }
}

struct OverloadSimulation {
    discipline: Discipline,
    queue: ServiceQueue,
    fifo: Vec<(Duration, usize)>,
    queued: HashMap<Ticket, (Duration, usize)>,
    running: Vec<Duration>,
    retrying: Vec<(Duration, usize)>,
    counts: Vec<TeamCounts>,
    served: u64,
    refusal_times: Vec<Duration>,
    rng: SmallRng,
}

impl OverloadSimulation {
    fn new(discipline: Discipline) -> OverloadSimulation {
        OverloadSimulation {
            discipline,
            queue: ServiceQueue::default(),
            fifo: Vec::new(),
            queued: HashMap::new(),
            running: Vec::new(),
            retrying: Vec::new(),
            counts: TEAMS.iter().map(|_| TeamCounts::default()).collect(),
            served: 0,
            refusal_times: Vec::new(),
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    fn run(mut self) {
        let capacity_per_s = SLOTS as f64 / SERVICE_TIME.as_secs_f64();
        let per_tick = capacity_per_s * OVERLOAD * TICK.as_secs_f64();
        for tick in 0..SECONDS * 1_000 {
            let now = TICK * tick as u32;
            self.running.retain(|done| *done > now);
            self.start_queued(now);
            for (team, (_, _, fraction)) in TEAMS.iter().enumerate() {
                if self.rng.random_bool((per_tick * fraction).min(1.0)) {
                    self.counts[team].offered += 1;
                    self.arrive(team, now, false);
                }
            }
            let due_retries: Vec<usize> =
                self.retrying.iter().filter(|(at, _)| *at <= now).map(|(_, team)| *team).collect();
            self.retrying.retain(|(at, _)| *at > now);
            for team in due_retries {
                self.arrive(team, now, true);
            }
        }
        self.print(capacity_per_s * SECONDS as f64);
    }

    fn arrive(&mut self, team: usize, now: Duration, is_retry: bool) {
        self.counts[team].retried += u64::from(is_retry);
        if self.discipline == Discipline::Fifo {
            self.fifo.push((now, team));
            self.start_queued(now);
            return;
        }
        let (name, priority, _) = TEAMS[team];
        let wait_until = now + MAX_WAIT;
        let waiter = Waiter { team: TeamId::from(name), priority, wait_until };
        let has_capacity = self.running.len() < SLOTS;
        match self.queue.try_admit(waiter, has_capacity, now) {
            QueueDecision::Start => self.start(team, now, now),
            QueueDecision::Wait(ticket) => {
                self.queued.insert(ticket, (now, team));
            }
            QueueDecision::Refuse { retry_after } => {
                self.counts[team].retried_in_vain += u64::from(is_retry);
                self.refusal_times.push(Duration::ZERO);
                // A tenth of them retry at the given time.
                if !is_retry && self.rng.random_bool(0.1) {
                    self.retrying.push((now + retry_after, team));
                }
            }
        }
    }

    fn start_queued(&mut self, now: Duration) {
        while self.running.len() < SLOTS {
            let queued_request = match self.discipline {
                Discipline::Fifo if self.fifo.is_empty() => return,
                Discipline::Fifo => Some(self.fifo.remove(0)),
                Discipline::Ours => {
                    let ticket = self.queue.dequeue(now);
                    ticket.and_then(|ticket| self.queued.remove(&ticket))
                }
            };
            let Some((arrived, team)) = queued_request else { break };
            self.start(team, arrived, now);
        }
        // Requests that have exceeded their maximum wait are refused.
        let expired: Vec<Ticket> = self
            .queued
            .iter()
            .filter(|(_, (arrived, _))| now >= *arrived + MAX_WAIT)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.queue.remove(ticket, now);
            self.queued.remove(&ticket);
            self.refusal_times.push(MAX_WAIT);
        }
    }

    fn start(&mut self, team: usize, arrived: Duration, now: Duration) {
        self.running.push(now + SERVICE_TIME);
        let is_on_time = now <= arrived + MAX_WAIT;
        self.served += u64::from(is_on_time);
        self.counts[team].on_time += u64::from(is_on_time);
    }

    fn print(&self, capacity: f64) {
        let share = |count: &TeamCounts| count.on_time as f64 / count.offered.max(1) as f64;
        let shares: Vec<_> = TEAMS
            .iter()
            .zip(&self.counts)
            .map(|((name, priority, _), count)| {
                json!({ "team": name, "priority": priority, "on_time": share(count) })
            })
            .collect();
        let small: Vec<f64> = self.counts[3..7].iter().map(share).collect();
        let large: Vec<f64> = self.counts[..3].iter().map(|count| count.on_time as f64).collect();
        let retried: u64 = self.counts.iter().map(|count| count.retried).sum();
        let retried_in_vain: u64 = self.counts.iter().map(|count| count.retried_in_vain).sum();
        let refused_at_once = self.refusal_times.iter().filter(|wait| wait.is_zero()).count();
        println!(
            "{}",
            json!({
                "run": "twice the load",
                "discipline": format!("{:?}", self.discipline),
                "goodput_of_capacity": self.served as f64 / capacity,
                "teams": shares,
                "jain_small": jain(&small),
                "jain_large": jain(&large),
                "refused_at_once": refused_at_once as f64 / self.refusal_times.len().max(1) as f64,
                "admitted_on_return": 1.0 - retried_in_vain as f64 / retried.max(1) as f64,
            })
        );
    }
}

/// Jain's fairness index: 1 if all values are equal.
fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares.max(f64::MIN_POSITIVE))
}

/// All replicas are slow: attempts that take longer than a timeout are lost and retried, at the
/// cost of the capacity that they have used.
fn run_retries(with_budget: bool) {
    const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
    const SLOW_SERVICE_TIME: Duration = Duration::from_millis(180);
    const OFFERED: f64 = 0.8;
    const RETRY_PERCENT: u32 = 10;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut budget = RetryBudget::default();
    let mut queued: std::collections::VecDeque<(Duration, Duration, RetryState)> =
        Default::default();
    let mut running: Vec<(Duration, Duration)> = Vec::new();
    let (mut first_attempts, mut attempts, mut answered) = (0_u64, 0_u64, 0_u64);
    for tick in 0..SECONDS * 1_000 {
        let now = TICK * tick as u32;
        running.retain(|(done, _)| *done > now);
        if rng.random_bool(SLOTS as f64 / SERVICE_TIME.as_secs_f64() * OFFERED * TICK.as_secs_f64())
        {
            first_attempts += 1;
            attempts += 1;
            budget.deposit(RETRY_PERCENT);
            let deadline = now + Duration::from_secs(2);
            queued.push_back((now, now, RetryState::new(3, deadline, deadline, true)));
        }
        // An attempt that exceeds its timeout is abandoned and retried; the replica still runs the
        // abandoned one.
        for (_, sent, retry) in &mut queued {
            if now >= *sent + ATTEMPT_TIMEOUT && now < *sent + ATTEMPT_TIMEOUT + TICK {
                let withdraw = || !with_budget || budget.try_withdraw();
                if retry.on_attempt_failed(AttemptFailure::Lost, now, withdraw)
                    == RetryDecision::Retry
                {
                    attempts += 1;
                    *sent = now;
                    running.push((now + SLOW_SERVICE_TIME, now));
                }
            }
        }
        while running.len() < SLOTS {
            let Some((arrived, _, _)) = queued.pop_front() else { break };
            running.push((now + SLOW_SERVICE_TIME, arrived));
            answered += u64::from(now + SLOW_SERVICE_TIME <= arrived + Duration::from_secs(2));
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
