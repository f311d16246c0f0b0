//! One map in every pass, whoever dies, pauses or is late.

mod engines;
mod switch_world;

use std::time::Duration;

use lynxmount_group::SwitchOutcome;
use switch_world::{Faults, World};

/// Time with faults, and time to recover from them.
const WITH_FAULTS: Duration = Duration::from_secs(12);
const WITHOUT_FAULTS: Duration = Duration::from_secs(16);

fn no_faults() -> Faults {
    Faults {
        lost_answers: 0.0,
        late_orders: 0.0,
        deaths: 0.0,
        pauses: 0.0,
        missed_reports: 0.0,
        coordinators: 1,
    }
}

/// Multiplies the seeds that are played, for hunts by hand.
const SEED_FACTOR_VARIABLE: &str = "LYNXMOUNT_SEED_FACTOR";

fn seed_factor() -> u64 {
    let factor = std::env::var(SEED_FACTOR_VARIABLE).ok();
    factor.and_then(|factor| factor.parse().ok()).unwrap_or(1)
}

/// Plays seeds and returns how many switches took place.
fn play(seeds: u64, faults: Faults) -> usize {
    let mut switched = 0;
    for seed in 0..seeds * seed_factor() {
        let mut world = World::new(seed, 15, faults);

        world.play(WITH_FAULTS, WITHOUT_FAULTS);

        assert_eq!(world.held(), None, "seed {seed}: the group is still held");
        assert!(world.passes > 100, "seed {seed}: {} passes", world.passes);
        switched += world.ends.iter().filter(|end| **end == SwitchOutcome::Switched).count();
    }
    switched
}

#[test]
fn all_ranks_switch_in_one_step() {
    let switched = play(100, no_faults());

    assert!(switched > 1000, "{switched} switches took place");
}

#[test]
fn late_and_unanswered_orders_leave_one_map() {
    let faults = Faults { lost_answers: 0.2, late_orders: 0.15, ..no_faults() };

    let switched = play(200, faults);

    assert!(switched > 200, "{switched} switches took place");
}

#[test]
fn a_coordinator_that_dies_leaves_one_map_and_no_hold() {
    let faults = Faults {
        deaths: 0.003,
        lost_answers: 0.1,
        late_orders: 0.1,
        missed_reports: 0.8,
        ..no_faults()
    };

    play(200, faults);
}

#[test]
fn a_paused_coordinator_does_not_undo_what_another_did() {
    let faults = Faults { pauses: 0.01, lost_answers: 0.05, coordinators: 2, ..no_faults() };

    play(200, faults);
}

#[test]
fn two_coordinators_with_all_faults_leave_one_map() {
    let faults = Faults {
        lost_answers: 0.15,
        late_orders: 0.15,
        deaths: 0.002,
        pauses: 0.005,
        missed_reports: 0.9,
        coordinators: 2,
    };

    play(300, faults);
}

#[test]
fn three_coordinators_with_all_faults_leave_one_map() {
    let faults = Faults {
        lost_answers: 0.1,
        late_orders: 0.1,
        deaths: 0.002,
        pauses: 0.01,
        missed_reports: 0.95,
        coordinators: 3,
    };

    play(300, faults);
}
