//! What each policy must do, and must never do, on the recorded kinds of trace.

use lynxmount_balance::{
    BalanceOptions, ExpertMap, PolicyKind, Replay, ReplaySummary, Shape, TraceKind, generate,
    layer_skew,
};
use proptest::{prelude::*, test_runner::RngSeed};

const SHAPE: Shape = Shape { ranks: 32, experts: 64, layers: 4, slots_per_rank: 3 };
const STEPS: u64 = 3_000;
const SEEDS: [u64; 2] = [7, 8];

/// Traces on which popularity changes and following it pays.
const DRIFTING: [TraceKind; 4] =
    [TraceKind::FestivalSwing, TraceKind::OneVeryHot, TraceKind::Outage, TraceKind::SlowDrift];

/// The weights of examples/daugava.jsonc.
fn daugava() -> BalanceOptions {
    BalanceOptions { skew_weight: 4.0, cost_weight: 1.0, ..BalanceOptions::default() }
}

/// The weights of examples/association.jsonc.
fn association() -> BalanceOptions {
    BalanceOptions { skew_weight: 1.0, cost_weight: 4.0, ..BalanceOptions::default() }
}

fn play(policy: PolicyKind, kind: TraceKind, options: BalanceOptions, seed: u64) -> ReplaySummary {
    let mut replay = Replay::new(policy, SHAPE, options);
    for counts in generate(kind, SHAPE, STEPS, seed) {
        replay.step(&counts);
    }
    replay.summary()
}

#[test]
fn on_drifting_traces_a_tenth_of_the_moves_gives_nearly_the_same_skew() {
    for (kind, seed) in DRIFTING.iter().flat_map(|kind| SEEDS.map(|seed| (*kind, seed))) {
        let ours = play(PolicyKind::Adaptive, kind, daugava(), seed);
        let replan = play(PolicyKind::Replan, kind, daugava(), seed);

        assert!(
            ours.step_skew_mean <= 1.03 * replan.step_skew_mean,
            "{kind:?}: {ours:?} {replan:?}"
        );
        assert!(10 * ours.experts_moved <= replan.experts_moved, "{kind:?}: {ours:?} {replan:?}");
    }
}

#[test]
fn on_noise_nothing_moves_after_the_first_decision() {
    for (options, seed) in [daugava(), association()].iter().flat_map(|o| SEEDS.map(|s| (*o, s))) {
        let ours = play(PolicyKind::Adaptive, TraceKind::NoiseOnly, options, seed);

        assert!(ours.rebalances <= 1, "{ours:?}");
    }
}

#[test]
fn on_no_trace_is_the_skew_worse_than_that_of_the_first_map() {
    for (kind, seed) in TraceKind::ALL.iter().flat_map(|kind| SEEDS.map(|seed| (*kind, seed))) {
        let ours = play(PolicyKind::Adaptive, kind, association(), seed);
        let first = play(PolicyKind::Static, kind, association(), seed);

        assert!(ours.step_skew_mean <= 1.01 * first.step_skew_mean, "{kind:?}: {ours:?}");
    }
}

#[test]
fn chasing_alternating_experts_is_left_to_others() {
    let ours = play(PolicyKind::Adaptive, TraceKind::Alternating, daugava(), 7);
    let replan = play(PolicyKind::Replan, TraceKind::Alternating, daugava(), 7);

    assert!(ours.step_skew_mean < replan.step_skew_mean, "{ours:?} {replan:?}");
    assert!(10 * ours.experts_moved < replan.experts_moved, "{ours:?} {replan:?}");
}

#[test]
fn the_weights_trade_moves_for_skew() {
    for (kind, seed) in DRIFTING.iter().flat_map(|kind| SEEDS.map(|seed| (*kind, seed))) {
        let skew_first = play(PolicyKind::Adaptive, kind, daugava(), seed);
        let cost_first = play(PolicyKind::Adaptive, kind, association(), seed);

        assert!(
            2 * cost_first.experts_moved <= skew_first.experts_moved,
            "{kind:?}: {cost_first:?}"
        );
        assert!(skew_first.step_skew_mean <= cost_first.step_skew_mean, "{kind:?}: {skew_first:?}");
    }
}

#[test]
fn without_load_nothing_moves() {
    let mut replay = Replay::new(PolicyKind::Adaptive, SHAPE, daugava());
    for counts in generate(TraceKind::Outage, SHAPE, 600, 7) {
        let is_dark = (200..400).contains(&counts.step);
        let changed = replay.step(&counts);
        // The window that ends as the outage begins is decided on in its first step.
        assert!(!is_dark || counts.step == 200 || changed.is_empty(), "step {}", counts.step);
    }
}

#[test]
fn maps_that_are_told_give_the_measures_again() {
    for policy in [PolicyKind::Adaptive, PolicyKind::Replan, PolicyKind::Static] {
        let mut replay = Replay::new(policy, SHAPE, daugava());
        let mut maps = vec![ExpertMap::initial(SHAPE); SHAPE.layers];
        let (mut moved, mut skews) = (0, Vec::new());
        for counts in generate(TraceKind::SlowDrift, SHAPE, 400, 7) {
            for told in replay.step(&counts) {
                moved += told.ranks.fetches_from(&maps[told.layer]) as u64;
                maps[told.layer] = told.ranks;
            }
            let total: f64 = counts.tokens.iter().flatten().sum();
            let layers = maps.iter().zip(&counts.tokens);
            skews.push(
                layers.map(|(m, t)| layer_skew(m, t) * t.iter().sum::<f64>() / total).sum::<f64>(),
            );
        }

        let summary = replay.summary();
        let mean = skews.iter().sum::<f64>() / skews.len() as f64;
        assert_eq!(summary.experts_moved, moved);
        assert!((summary.step_skew_mean - mean).abs() < 1e-9);
    }
}

fn shapes() -> impl Strategy<Value = Shape> {
    (1..9_usize, 1..20_usize, 1..3_usize, 0..4_usize).prop_map(|(ranks, experts, layers, extra)| {
        let slots_per_rank = experts.div_ceil(ranks) + extra;
        Shape { ranks, experts, layers, slots_per_rank }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn every_map_keeps_the_rules(shape in shapes(), kind in 0..6_usize, seed in 0..100_u64) {
        for policy in [PolicyKind::Adaptive, PolicyKind::Replan, PolicyKind::Static] {
            let options = BalanceOptions { window_steps: 5, ..daugava() };
            let mut replay = Replay::new(policy, shape, options);
            for counts in generate(TraceKind::ALL[kind], shape, 40, seed) {
                replay.step(&counts);
                for map in replay.maps() {
                    prop_assert!(map.is_valid(shape), "{policy:?} {shape:?} {map:?}");
                }
            }
        }
    }
}
