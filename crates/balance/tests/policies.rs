//! Requirements on each policy for each kind of trace.

use lynxmount_balance::{
    BalanceOptions, ExpertMap, PolicyKind, Replay, ReplaySummary, Shape, TraceKind, generate,
    layer_skew,
};
use proptest::{prelude::*, test_runner::RngSeed};

const SHAPE: Shape = Shape { ranks: 32, experts: 64, layers: 4, slots_per_rank: 3 };
const STEPS: u64 = 3_000;
const SEEDS: [u64; 2] = [7, 8];

/// The traces with changes of popularity that are worth following.
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

fn run(policy: PolicyKind, kind: TraceKind, options: BalanceOptions, seed: u64) -> ReplaySummary {
    let mut replay = Replay::new(policy, SHAPE, options);
    for counts in generate(kind, SHAPE, STEPS, seed) {
        replay.step(&counts);
    }
    replay.summary()
}

#[test]
fn drifting_traces_need_a_tenth_of_the_moves_for_nearly_the_same_skew() {
    for (kind, seed) in DRIFTING.iter().flat_map(|kind| SEEDS.map(|seed| (*kind, seed))) {
        let adaptive = run(PolicyKind::Adaptive, kind, daugava(), seed);
        let replan = run(PolicyKind::Replan, kind, daugava(), seed);

        assert!(
            adaptive.step_skew_mean <= 1.03 * replan.step_skew_mean,
            "{kind:?}: {adaptive:?} {replan:?}"
        );
        assert!(
            10 * adaptive.experts_moved <= replan.experts_moved,
            "{kind:?}: {adaptive:?} {replan:?}"
        );
    }
}

#[test]
fn noise_moves_nothing_after_the_first_decision() {
    for (options, seed) in [daugava(), association()].iter().flat_map(|o| SEEDS.map(|s| (*o, s))) {
        let adaptive = run(PolicyKind::Adaptive, TraceKind::NoiseOnly, options, seed);

        assert!(adaptive.rebalances <= 1, "{adaptive:?}");
    }
}

#[test]
fn no_trace_has_a_worse_skew_than_with_the_initial_map() {
    for (kind, seed) in TraceKind::ALL.iter().flat_map(|kind| SEEDS.map(|seed| (*kind, seed))) {
        let adaptive = run(PolicyKind::Adaptive, kind, association(), seed);
        let initial = run(PolicyKind::Static, kind, association(), seed);

        assert!(adaptive.step_skew_mean <= 1.01 * initial.step_skew_mean, "{kind:?}: {adaptive:?}");
    }
}

#[test]
fn alternating_experts_are_not_followed() {
    let adaptive = run(PolicyKind::Adaptive, TraceKind::Alternating, daugava(), 7);
    let replan = run(PolicyKind::Replan, TraceKind::Alternating, daugava(), 7);

    assert!(adaptive.step_skew_mean < replan.step_skew_mean, "{adaptive:?} {replan:?}");
    assert!(10 * adaptive.experts_moved < replan.experts_moved, "{adaptive:?} {replan:?}");
}

#[test]
fn the_weights_trade_off_moves_against_skew() {
    for (kind, seed) in DRIFTING.iter().flat_map(|kind| SEEDS.map(|seed| (*kind, seed))) {
        let skew_weighted = run(PolicyKind::Adaptive, kind, daugava(), seed);
        let cost_weighted = run(PolicyKind::Adaptive, kind, association(), seed);

        assert!(
            2 * cost_weighted.experts_moved <= skew_weighted.experts_moved,
            "{kind:?}: {cost_weighted:?}"
        );
        assert!(
            skew_weighted.step_skew_mean <= cost_weighted.step_skew_mean,
            "{kind:?}: {skew_weighted:?}"
        );
    }
}

#[test]
fn nothing_moves_without_load() {
    let mut replay = Replay::new(PolicyKind::Adaptive, SHAPE, daugava());
    for counts in generate(TraceKind::Outage, SHAPE, 600, 7) {
        let is_outage = (200..400).contains(&counts.step);
        let updates = replay.step(&counts);
        // The first step of the outage decides on the window before it.
        assert!(!is_outage || counts.step == 200 || updates.is_empty(), "step {}", counts.step);
    }
}

#[test]
fn the_summary_matches_the_reported_map_updates() {
    for policy in [PolicyKind::Adaptive, PolicyKind::Replan, PolicyKind::Static] {
        let mut replay = Replay::new(policy, SHAPE, daugava());
        let mut maps = vec![ExpertMap::initial(SHAPE); SHAPE.layers];
        let (mut moved, mut skews) = (0, Vec::new());
        for counts in generate(TraceKind::SlowDrift, SHAPE, 400, 7) {
            for update in replay.step(&counts) {
                moved += update.ranks.fetches_from(&maps[update.layer]) as u64;
                maps[update.layer] = update.ranks;
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
    fn every_map_is_valid(shape in shapes(), kind in 0..6_usize, seed in 0..100_u64) {
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
