//! Benchmarks all policies on all kinds of trace, and the time of a decision. Prints one
//! JSON line per run.

#![allow(missing_docs)]

use std::time::Instant;

use lynxmount_balance::{BalanceOptions, Planner, PolicyKind, Replay, Shape, TraceKind, generate};
use serde_json::json;

const SHAPE: Shape = Shape { ranks: 32, experts: 64, layers: 4, slots_per_rank: 3 };
const STEPS: u64 = 3_000;
const SEED: u64 = 7;
/// The largest dimensions with a guaranteed decision time.
const DEEP: Shape = Shape { ranks: 32, experts: 64, layers: 60, slots_per_rank: 3 };

fn main() {
    let weights = [("daugava", 4.0, 1.0), ("association", 1.0, 4.0), ("equal", 1.0, 1.0)];
    for kind in TraceKind::ALL {
        for policy in [PolicyKind::Static, PolicyKind::Replan] {
            run(kind, policy, "any", BalanceOptions::default());
        }
        for (name, skew_weight, cost_weight) in weights {
            let options = BalanceOptions { skew_weight, cost_weight, ..BalanceOptions::default() };
            run(kind, PolicyKind::Adaptive, name, options);
        }
    }
    time_decisions();
}

fn run(kind: TraceKind, policy: PolicyKind, weights: &str, options: BalanceOptions) {
    let mut replay = Replay::new(policy, SHAPE, options);
    for counts in generate(kind, SHAPE, STEPS, SEED) {
        replay.step(&counts);
    }
    let summary = replay.summary();
    println!("{}", json!({ "trace": kind.name(), "weights": weights, "summary": summary }));
}

/// Measures the decision time for a deep model under drift.
fn time_decisions() {
    let options = BalanceOptions { skew_weight: 4.0, ..BalanceOptions::default() };
    let mut replay = Replay::new(PolicyKind::Adaptive, DEEP, options);
    let mut planner = Planner::new(PolicyKind::Adaptive, DEEP, options);
    let mut window = vec![vec![0.0; DEEP.experts]; DEEP.layers];
    let mut times_ms = Vec::new();
    for counts in generate(TraceKind::SlowDrift, DEEP, 1_000, SEED) {
        if counts.step > 0 && counts.step % options.window_steps == 0 {
            let started = Instant::now();
            std::hint::black_box(planner.decide(&window, replay.maps()));
            times_ms.push(started.elapsed().as_secs_f64() * 1e3);
            window.iter_mut().flatten().for_each(|count| *count = 0.0);
        }
        for (sums, tokens) in window.iter_mut().zip(&counts.tokens) {
            sums.iter_mut().zip(tokens).for_each(|(sum, count)| *sum += count);
        }
        replay.step(&counts);
    }
    let first = times_ms.remove(0);
    let mean = times_ms.iter().sum::<f64>() / times_ms.len() as f64;
    let slowest = times_ms.iter().copied().fold(0.0, f64::max);
    let decision = json!({ "first": first, "mean": mean, "slowest_after_first": slowest });
    println!("{}", json!({ "decision_ms": decision, "shape": DEEP }));
}
