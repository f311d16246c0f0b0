//! Atomicity of a map switch: all ranks use the same map in every pass, under crashes, pauses,
//! lost answers and late orders.

mod engines;
mod switch_simulation;

use std::time::Duration;

use lynxmount_group::SwitchOutcome;
use switch_simulation::{Faults, Simulation};

/// The time with faults, and the time to recover from them.
const WITH_FAULTS: Duration = Duration::from_secs(12);
const WITHOUT_FAULTS: Duration = Duration::from_secs(16);

fn no_faults() -> Faults {
    Faults {
        lost_answers: 0.0,
        late_orders: 0.0,
        crashes: 0.0,
        pauses: 0.0,
        missed_reports: 0.0,
        coordinators: 1,
    }
}

/// Multiplies the number of seeds, for longer manual runs.
const SEED_FACTOR_VARIABLE: &str = "LYNXMOUNT_SEED_FACTOR";

fn seed_factor() -> u64 {
    let factor = std::env::var(SEED_FACTOR_VARIABLE).ok();
    factor.and_then(|factor| factor.parse().ok()).unwrap_or(1)
}

/// Simulates a number of seeds; returns the number of completed switches.
fn run(seeds: u64, faults: Faults) -> usize {
    let mut switched = 0;
    for seed in 0..seeds * seed_factor() {
        let mut simulation = Simulation::new(seed, 15, faults);

        simulation.run(WITH_FAULTS, WITHOUT_FAULTS);

        assert_eq!(simulation.held(), None, "seed {seed}: the group is still held");
        assert!(simulation.passes > 100, "seed {seed}: {} passes", simulation.passes);
        switched += simulation
            .outcomes
            .iter()
            .filter(|outcome| **outcome == SwitchOutcome::Switched)
            .count();
    }
    switched
}

#[test]
fn all_ranks_switch_in_one_step() {
    let switched = run(100, no_faults());

    assert!(switched > 1000, "{switched} switches took place");
}

#[test]
fn late_and_unanswered_orders_keep_maps_consistent() {
    let faults = Faults { lost_answers: 0.2, late_orders: 0.15, ..no_faults() };

    let switched = run(200, faults);

    assert!(switched > 200, "{switched} switches took place");
}

#[test]
fn a_coordinator_crash_keeps_maps_consistent_and_leaves_no_hold() {
    let faults = Faults {
        crashes: 0.003,
        lost_answers: 0.1,
        late_orders: 0.1,
        missed_reports: 0.8,
        ..no_faults()
    };

    run(200, faults);
}

#[test]
fn a_paused_coordinator_does_not_undo_the_switch_of_another() {
    let faults = Faults { pauses: 0.01, lost_answers: 0.05, coordinators: 2, ..no_faults() };

    run(200, faults);
}

#[test]
fn two_coordinators_with_all_faults_keep_maps_consistent() {
    let faults = Faults {
        lost_answers: 0.15,
        late_orders: 0.15,
        crashes: 0.002,
        pauses: 0.005,
        missed_reports: 0.9,
        coordinators: 2,
    };

    run(300, faults);
}

#[test]
fn three_coordinators_with_all_faults_keep_maps_consistent() {
    let faults = Faults {
        lost_answers: 0.1,
        late_orders: 0.1,
        crashes: 0.002,
        pauses: 0.01,
        missed_reports: 0.95,
        coordinators: 3,
    };

    run(300, faults);
}

/// Guards against a pass with different maps where the processes of the first ranks are gone, and a
/// later one settles what they have left, while they come and go.
#[test]
fn a_coordinator_that_only_settles_keeps_maps_consistent() {
    let faults = Faults {
        lost_answers: 0.15,
        late_orders: 0.15,
        crashes: 0.004,
        pauses: 0.005,
        missed_reports: 0.9,
        coordinators: 5,
    };

    run(200, faults);
}
