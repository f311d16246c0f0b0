//! Distributed rate limits by the number of entries: the time to compute a share, the fraction of
//! the limit that steady demand uses, and the requests in the busiest window of 4 s. A seeded
//! simulation with its own clock. Prints one JSON line a run.

#![allow(missing_docs)]

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use lynxmount_policy::{EndpointRateLimit, LimitShare, MEMBERSHIP_CONVERGENCE_TIME, SlotOwners};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

const ENDPOINT: &str = "endpoint";
const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 6_000;
const WINDOW: Duration = Duration::from_secs(4);
const TIMED_SHARES: u32 = 200;
/// Fraction of the steps in which an entry has a call for the endpoint.
const DEMAND: f64 = 0.3;

fn main() {
    for entries in [4, 35, 300, 2_500] {
        for limit_per_s in [0.5, 1.0, 10.0, 50.0] {
            run(entries, limit_per_s);
        }
    }
}

fn run(entries: usize, limit_per_s: f64) {
    let names: Vec<String> = (0..entries).map(|entry| format!("entry-{entry}")).collect();
    let owners = |own: &str| SlotOwners::new(own, names.iter().map(String::as_str));
    let first = owners(&names[0]);
    let began = Instant::now();
    for _ in 0..TIMED_SHARES {
        std::hint::black_box(LimitShare::new(&first, ENDPOINT, limit_per_s));
    }
    let share_us = (began.elapsed() / TIMED_SHARES).as_secs_f64() * 1e6;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut limits: Vec<EndpointRateLimit> = names
        .iter()
        .map(|name| {
            let mut limit = EndpointRateLimit::default();
            let share = LimitShare::new(&owners(name), ENDPOINT, limit_per_s);
            limit.on_response(
                Some(limit_per_s),
                MEMBERSHIP_CONVERGENCE_TIME,
                MEMBERSHIP_CONVERGENCE_TIME,
                |_| share,
            );
            limit
        })
        .collect();
    let mut window: VecDeque<Duration> = VecDeque::new();
    let (mut sent, mut busiest_window) = (0, 0);
    for step in 0..STEPS {
        let now = MEMBERSHIP_CONVERGENCE_TIME + STEP * step;
        for limit in &mut limits {
            if rng.random_bool(DEMAND) && limit.try_acquire(now) {
                window.push_back(now);
                sent += 1;
            }
        }
        while window.front().is_some_and(|at| *at + WINDOW <= now) {
            window.pop_front();
        }
        busiest_window = busiest_window.max(window.len());
    }
    let used = f64::from(sent) / (STEP * STEPS).as_secs_f64() / limit_per_s;
    let allowed = (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize;
    println!(
        "{}",
        json!({
            "entries": entries,
            "limit_per_s": limit_per_s,
            "share_us": share_us,
            "used": used,
            "most_in_4_s": busiest_window,
            "allowed": allowed,
        })
    );
}
