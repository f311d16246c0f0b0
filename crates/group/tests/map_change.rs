//! One map in every step: every fault at every message, and every pair.

mod world;

use std::sync::atomic::{AtomicUsize, Ordering};

use lynxmount_group::MapNumber;
use world::{FAULTS, Fault, Scenario, Seen, Without, World};

const OLD: MapNumber = 100;
const NEW: MapNumber = 101;
const SECOND: MapNumber = 102;

/// Steps that a group makes at least, whatever two faults do to it.
const MIN_STEPS: usize = 40;

/// The moments at which a second balancer starts, from before to after.
const SECOND_BALANCER_AT: [Option<u64>; 6] = [None, Some(1), Some(2), Some(3), Some(6), Some(14)];

fn scenario(faults: &[(usize, Fault)], second: Option<u64>, without: Option<Without>) -> Scenario {
    Scenario { faults: faults.to_vec(), second_balancer_at: second, without }
}

fn assert_holds(seen: &Seen, scenario: &Scenario) {
    assert_eq!(seen.split_step, None, "{scenario:?}: {seen:?}");
    assert!(seen.steps >= MIN_STEPS, "{scenario:?}: {seen:?}");
}

/// Every fault at every message of a scenario.
fn singles(second: Option<u64>) -> Vec<Vec<(usize, Fault)>> {
    let messages = World::play(scenario(&[], second, None)).messages;
    let cells = (0..messages).flat_map(|number| FAULTS.map(|fault| vec![(number, fault)]));
    cells.collect()
}

/// Every pair of faults at two messages of a scenario.
fn pairs(second: Option<u64>) -> Vec<Vec<(usize, Fault)>> {
    let singles: Vec<(usize, Fault)> = singles(second).into_iter().flatten().collect();
    let mut cells = Vec::new();
    for (index, first) in singles.iter().enumerate() {
        let later = singles[index + 1..].iter().filter(|later| later.0 > first.0);
        cells.extend(later.map(|later| vec![*first, *later]));
    }
    cells
}

/// Faults that together can make a gate break a promise of its earlier life.
const FAULTS_OF_TRIPLES: [Fault; 4] =
    [Fault::Delay, Fault::FreezeReceiver, Fault::KillSender, Fault::Lose];

/// The messages among which triples are tried: from the first order to arm on.
const MESSAGES_OF_TRIPLES: std::ops::Range<usize> = 6..42;

/// Every triple of some faults at the messages that matter for a promise.
fn triples() -> Vec<Vec<(usize, Fault)>> {
    let of = |number: usize| FAULTS_OF_TRIPLES.map(|fault| (number, fault));
    let mut cells = Vec::new();
    for first in MESSAGES_OF_TRIPLES {
        for second in first + 1..MESSAGES_OF_TRIPLES.end {
            for third in second + 1..MESSAGES_OF_TRIPLES.end {
                for one in of(first) {
                    for two in of(second) {
                        cells.extend(of(third).map(|three| vec![one, two, three]));
                    }
                }
            }
        }
    }
    cells
}

/// Plays cells on all processors.
fn play_all(
    cells: &[Vec<(usize, Fault)>],
    second: Option<u64>,
    without: Option<Without>,
    check: impl Fn(&Seen, &Scenario) + Sync,
) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for part in cells.chunks(cells.len().div_ceil(threads).max(1)) {
            let check = &check;
            scope.spawn(move || {
                for faults in part {
                    let scenario = scenario(faults, second, without);
                    check(&World::play(scenario.clone()), &scenario);
                }
            });
        }
    });
}

#[test]
fn without_faults_the_change_takes_place_in_one_step() {
    let seen = World::play(scenario(&[], None, None));

    assert_eq!(seen.split_step, None);
    assert_eq!(seen.maps, [OLD, NEW]);
}

#[test]
fn a_later_balancers_change_takes_place_after_the_first() {
    let seen = World::play(scenario(&[], Some(30), None));

    assert_eq!(seen.maps, [OLD, NEW, SECOND]);
}

#[test]
fn every_fault_at_every_message() {
    let mut count = 0;
    for second in SECOND_BALANCER_AT {
        let cells = singles(second);
        play_all(&cells, second, None, assert_holds);
        count += cells.len();
    }
    println!("{count} cells passed");
}

#[test]
fn every_pair_of_faults() {
    let mut count = 0;
    for second in [None, Some(3)] {
        let cells = pairs(second);
        play_all(&cells, second, None, assert_holds);
        count += cells.len();
    }
    println!("{count} cells passed");
}

#[test]
fn every_triple_of_some_faults() {
    let cells = triples();
    play_all(&cells, None, None, assert_holds);
    println!("{} cells passed", cells.len());
}

/// How many cells split a step without a mechanism.
fn count_split(cells: &[Vec<(usize, Fault)>], second: Option<u64>, without: Without) -> usize {
    let split = AtomicUsize::new(0);
    play_all(cells, second, Some(without), |seen, _| {
        split.fetch_add(usize::from(seen.split_step.is_some()), Ordering::Relaxed);
    });
    println!("without {without:?}: {split:?} of {} cells split a step", cells.len());
    split.into_inner()
}

/// A mechanism is needed if some pair of faults splits a step without it.
fn assert_needed(without: Without) {
    let splits = |second: &Option<u64>| count_split(&pairs(*second), *second, without) > 0;
    assert!(SECOND_BALANCER_AT.iter().any(splits), "nothing breaks without {without:?}");
}

#[test]
fn the_agreement_of_all_ranks_is_needed() {
    assert_needed(Without::Agreement);
}

#[test]
fn holding_the_rank_is_needed() {
    assert_needed(Without::Hold);
}

#[test]
fn knowing_what_the_rank_was_released_from_is_needed() {
    assert_needed(Without::Released);
}

#[test]
fn waiting_until_the_last_change_is_past_is_needed() {
    assert_needed(Without::Pause);
}

#[test]
fn the_engine_has_to_ignore_earlier_lives_of_its_gate() {
    assert_needed(Without::Session);
}
