//! Atomicity of a map change: all ranks use the same map in every step, under every fault at
//! every message, and every pair of faults.

mod commit_simulation;

use std::sync::atomic::{AtomicUsize, Ordering};

use commit_simulation::{FAULTS, Fault, Outcome, Scenario, Simulation, Without};
use lynxmount_group::MapNumber;

const OLD: MapNumber = 100;
const NEW: MapNumber = 101;
const SECOND: MapNumber = 102;

/// The minimum number of steps that a group makes under two faults.
const MIN_STEPS: usize = 40;

/// The ticks at which a second coordinator starts: none, or before, during or after the change.
const SECOND_COORDINATOR_AT: [Option<u64>; 6] =
    [None, Some(1), Some(2), Some(3), Some(6), Some(14)];

fn scenario(faults: &[(usize, Fault)], second: Option<u64>, without: Option<Without>) -> Scenario {
    Scenario { faults: faults.to_vec(), second_coordinator_at: second, without }
}

fn assert_atomic(outcome: &Outcome, scenario: &Scenario) {
    assert_eq!(outcome.split_step, None, "{scenario:?}: {outcome:?}");
    assert!(outcome.steps >= MIN_STEPS, "{scenario:?}: {outcome:?}");
}

/// Every single fault at every message of a scenario.
fn singles(second: Option<u64>) -> Vec<Vec<(usize, Fault)>> {
    let messages = Simulation::run(scenario(&[], second, None)).messages;
    let cases = (0..messages).flat_map(|number| FAULTS.map(|fault| vec![(number, fault)]));
    cases.collect()
}

/// Every pair of faults at two messages of a scenario.
fn pairs(second: Option<u64>) -> Vec<Vec<(usize, Fault)>> {
    let singles: Vec<(usize, Fault)> = singles(second).into_iter().flatten().collect();
    let mut cases = Vec::new();
    for (index, first) in singles.iter().enumerate() {
        let later = singles[index + 1..].iter().filter(|later| later.0 > first.0);
        cases.extend(later.map(|later| vec![*first, *later]));
    }
    cases
}

/// Faults that together can make a participant break a vote of its earlier incarnation.
const FAULTS_OF_TRIPLES: [Fault; 4] =
    [Fault::Delay, Fault::FreezeReceiver, Fault::KillSender, Fault::Drop];

/// The messages at which triples are tried: from the first request to arm on.
const MESSAGES_OF_TRIPLES: std::ops::Range<usize> = 6..42;

/// Every triple of [`FAULTS_OF_TRIPLES`] at the messages that matter for a vote.
fn triples() -> Vec<Vec<(usize, Fault)>> {
    let of = |number: usize| FAULTS_OF_TRIPLES.map(|fault| (number, fault));
    let mut cases = Vec::new();
    for first in MESSAGES_OF_TRIPLES {
        for second in first + 1..MESSAGES_OF_TRIPLES.end {
            for third in second + 1..MESSAGES_OF_TRIPLES.end {
                for one in of(first) {
                    for two in of(second) {
                        cases.extend(of(third).map(|three| vec![one, two, three]));
                    }
                }
            }
        }
    }
    cases
}

/// Runs cases in parallel on all processors.
fn run_all(
    cases: &[Vec<(usize, Fault)>],
    second: Option<u64>,
    without: Option<Without>,
    check: impl Fn(&Outcome, &Scenario) + Sync,
) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for part in cases.chunks(cases.len().div_ceil(threads).max(1)) {
            let check = &check;
            scope.spawn(move || {
                for faults in part {
                    let scenario = scenario(faults, second, without);
                    check(&Simulation::run(scenario.clone()), &scenario);
                }
            });
        }
    });
}

#[test]
fn a_change_without_faults_is_committed_in_one_step() {
    let outcome = Simulation::run(scenario(&[], None, None));

    assert_eq!(outcome.split_step, None);
    assert_eq!(outcome.maps, [OLD, NEW]);
}

#[test]
fn the_change_of_a_later_coordinator_is_committed_after_the_first() {
    let outcome = Simulation::run(scenario(&[], Some(30), None));

    assert_eq!(outcome.maps, [OLD, NEW, SECOND]);
}

#[test]
fn every_single_fault_at_every_message() {
    let mut count = 0;
    for second in SECOND_COORDINATOR_AT {
        let cases = singles(second);
        run_all(&cases, second, None, assert_atomic);
        count += cases.len();
    }
    println!("{count} cases passed");
}

#[test]
fn every_pair_of_faults() {
    let mut count = 0;
    for second in [None, Some(3)] {
        let cases = pairs(second);
        run_all(&cases, second, None, assert_atomic);
        count += cases.len();
    }
    println!("{count} cases passed");
}

#[test]
fn every_triple_of_selected_faults() {
    let cases = triples();
    run_all(&cases, None, None, assert_atomic);
    println!("{} cases passed", cases.len());
}

/// The number of cases in which ranks use different maps in a step without a mechanism.
fn count_split(cases: &[Vec<(usize, Fault)>], second: Option<u64>, without: Without) -> usize {
    let split = AtomicUsize::new(0);
    run_all(cases, second, Some(without), |outcome, _| {
        split.fetch_add(usize::from(outcome.split_step.is_some()), Ordering::Relaxed);
    });
    println!("without {without:?}: {split:?} of {} cases split a step", cases.len());
    split.into_inner()
}

/// A mechanism is needed if without it some pair of faults makes ranks use different maps
/// in a step.
fn assert_needed(without: Without) {
    let splits = |second: &Option<u64>| count_split(&pairs(*second), *second, without) > 0;
    assert!(SECOND_COORDINATOR_AT.iter().any(splits), "nothing breaks without {without:?}");
}

#[test]
fn the_votes_of_all_ranks_are_needed() {
    assert_needed(Without::Votes);
}

#[test]
fn holding_ranks_is_needed() {
    assert_needed(Without::Hold);
}

#[test]
fn restoring_the_released_change_is_needed() {
    assert_needed(Without::ReleasedChange);
}

#[test]
fn waiting_until_the_step_of_the_last_change_is_past_is_needed() {
    assert_needed(Without::StepCheck);
}

#[test]
fn ignoring_orders_of_earlier_incarnations_is_needed() {
    assert_needed(Without::IncarnationCheck);
}
