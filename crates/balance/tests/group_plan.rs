//! Plans for groups whose engines switch all sets at once.

use lynxmount_balance::{PlanLimits, group_skew, plan_group};
use proptest::prelude::*;

const RANKS: usize = 16;
const EXPERTS: usize = 64;
const SETS: usize = 4;

fn limits() -> PlanLimits {
    PlanLimits {
        slots_per_rank: 5,
        fetches_per_set: 2,
        fetches_per_rank: 2,
        min_gain_per_fetch: 0.025,
    }
}

fn initial_map() -> Vec<Vec<Vec<usize>>> {
    vec![(0..RANKS).map(|rank| (rank..EXPERTS).step_by(RANKS).collect()).collect(); SETS]
}

/// Zipf-distributed popularity, with the experts in an order that depends on `offset`.
fn zipf(offset: usize) -> Vec<f64> {
    (0..EXPERTS).map(|e| 1.0 / (((e * 37 + offset) % EXPERTS) as f64 + 1.0)).collect()
}

fn demand(offset: usize) -> Vec<Vec<f64>> {
    (0..SETS).map(|set| zipf(offset + set * 11)).collect()
}

#[test]
fn one_change_after_a_shift_removes_most_of_the_skew() {
    let plan = plan_group(&initial_map(), &demand(3), &[], limits()).expect("a plan");

    assert!(plan.skew_before > 3.0, "{}", plan.skew_before);
    assert!(plan.skew_after < 1.6, "{}", plan.skew_after);
}

#[test]
fn a_few_changes_come_close_to_balance() {
    let mut maps = initial_map();
    let demand = demand(9);
    for _ in 0..4 {
        if let Some(plan) = plan_group(&maps, &demand, &[], limits()) {
            maps = plan.maps;
        }
    }

    let skew = group_skew(&maps, &demand, &[]);

    assert!(skew < 1.2, "{skew}");
}

/// Guards against maps that leave a slow rank its share, so that all ranks wait for it in each pass.
#[test]
fn a_few_changes_relieve_a_slow_rank() {
    let mut slowdowns = vec![1.0; RANKS];
    slowdowns[5] = 8.0;
    let demand = demand(9);
    let mut maps = initial_map();
    for _ in 0..4 {
        maps = plan_group(&maps, &demand, &[], limits()).map_or(maps, |plan| plan.maps);
    }
    let before = group_skew(&maps, &demand, &slowdowns);

    for _ in 0..8 {
        maps = plan_group(&maps, &demand, &slowdowns, limits()).map_or(maps, |plan| plan.maps);
    }

    let after = group_skew(&maps, &demand, &slowdowns);
    assert!(before > 4.0, "{before}");
    assert!(after < 2.0, "{after}");
}

#[test]
fn even_demand_moves_nothing() {
    let even = vec![vec![1.0; EXPERTS]; SETS];

    assert_eq!(plan_group(&initial_map(), &even, &[], limits()), None);
}

proptest! {
    #[test]
    fn plans_keep_the_limits_of_engines(
        offsets in proptest::collection::vec(0_usize..EXPERTS, 1..5),
        fetches_per_rank in 1_usize..5,
    ) {
        let mut maps = initial_map();
        for offset in offsets {
            let limits = PlanLimits { fetches_per_rank, ..limits() };
            let Some(plan) = plan_group(&maps, &demand(offset), &[], limits) else { continue };

            prop_assert!(plan.skew_after <= plan.skew_before + 1e-9);
            for rank in 0..RANKS {
                let pairs = plan.maps.iter().zip(&maps);
                let new_by_set: Vec<usize> = pairs
                    .map(|(new, old)| {
                        new[rank].iter().filter(|expert| !old[rank].contains(expert)).count()
                    })
                    .collect();
                prop_assert!(new_by_set.iter().all(|new| *new <= 2), "{new_by_set:?}");
                prop_assert!(new_by_set.iter().sum::<usize>() <= fetches_per_rank);
            }
            for set in &plan.maps {
                prop_assert!(set.iter().all(|held| held.len() <= 5));
                prop_assert!((0..EXPERTS).all(|e| set.iter().any(|held| held.contains(&e))));
            }
            maps = plan.maps;
        }
    }
}
