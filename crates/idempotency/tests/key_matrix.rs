//! A key runs at most once and *not run* is true: every fault at every message,
//! and every pair, judged by what the caller and the back ends saw.

mod world;

use std::sync::Mutex;

use lynxmount_core::Outcome;
use world::{Binding, FAULTS, Fault, Scenario, Seen, Without, World};

type Faults = Vec<(usize, Fault)>;

fn scenario(faults: &[(usize, Fault)], binding: Binding, without: Option<Without>) -> Scenario {
    Scenario { faults: faults.to_vec(), binding, without }
}

/// How many messages may be struck: those of a history with one fault.
const MESSAGES: usize = 30;

/// The messages among which triples are tried.
const MESSAGES_OF_TRIPLES: usize = 12;

fn singles() -> Faults {
    (0..MESSAGES).flat_map(|number| FAULTS.map(|fault| (number, fault))).collect()
}

fn pairs() -> Vec<Faults> {
    let singles = singles();
    let later = |first: &(usize, Fault)| {
        let first = *first;
        singles
            .clone()
            .into_iter()
            .filter(move |later| later.0 > first.0)
            .map(move |l| vec![first, l])
    };
    singles.iter().flat_map(later).collect()
}

fn triples() -> Vec<Faults> {
    let limit = MESSAGES_OF_TRIPLES;
    let pairs = pairs().into_iter().filter(|pair| pair[1].0 < limit);
    let third = |pair: Faults| {
        let first = pair[1].0 + 1;
        let numbers = (first..limit).flat_map(|number| FAULTS.map(|fault| (number, fault)));
        numbers.map(move |fault| [pair.clone(), vec![fault]].concat()).collect::<Vec<Faults>>()
    };
    pairs.flat_map(third).collect()
}

/// What was seen over many cells.
#[derive(Debug, Default)]
struct Tally {
    cells: usize,
    doubled: usize,
    false_not_run: usize,
    told: usize,
    told_unknown: usize,
    unanswered: usize,
}

impl Tally {
    fn add(&mut self, seen: &Seen) {
        let is = |outcome: Outcome| move |told: &&Option<Outcome>| **told == Some(outcome);
        self.cells += 1;
        self.doubled += usize::from(seen.runs.len() > 1);
        self.false_not_run += usize::from(seen.false_not_run);
        self.told += seen.told.iter().flatten().count();
        self.told_unknown += seen.told.iter().filter(is(Outcome::Unknown)).count();
        self.unanswered += usize::from(!seen.told.contains(&Some(Outcome::Complete)));
    }

    fn holds(&self) -> bool {
        self.doubled == 0 && self.false_not_run == 0
    }
}

fn play_all(cells: &[Faults], binding: Binding, without: Option<Without>) -> Tally {
    let tally = Mutex::new(Tally::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for part in cells.chunks(cells.len().div_ceil(threads).max(1)) {
            let tally = &tally;
            scope.spawn(move || {
                for faults in part {
                    let seen = World::play(scenario(faults, binding, without));
                    let mut tally = tally.lock().expect("no thread has panicked");
                    let held = tally.holds();
                    tally.add(&seen);
                    if held && !tally.holds() {
                        println!("first broken: {faults:?} {seen:?}");
                    }
                }
            });
        }
    });
    let tally = tally.into_inner().expect("no thread has panicked");
    println!("{binding:?} without {without:?}: {tally:?}");
    tally
}

#[test]
fn without_faults_the_first_call_is_answered() {
    let seen = World::play(Scenario::default());

    assert_eq!(seen.told, [Some(Outcome::Complete)]);
    assert_eq!(seen.runs, [0]);
}

#[test]
fn every_fault_at_every_message() {
    let cells: Vec<Faults> = singles().into_iter().map(|fault| vec![fault]).collect();

    let tally = play_all(&cells, Binding::Log, None);

    assert!(tally.holds(), "{tally:?}");
}

#[test]
fn every_pair_of_faults() {
    let tally = play_all(&pairs(), Binding::Log, None);

    assert!(tally.holds(), "{tally:?}");
}

#[test]
fn every_triple_of_faults() {
    let tally = play_all(&triples(), Binding::Log, None);

    assert!(tally.holds(), "{tally:?}");
}

#[test]
fn a_binding_in_the_home_endpoints_memory_does_not_hold() {
    let tally = play_all(&pairs(), Binding::HomeMemory, None);

    assert!(tally.doubled > 0, "{tally:?}");
}

#[test]
fn each_mechanism_is_needed() {
    let all =
        [Without::Confirmation, Without::IncarnationCheck, Without::Memory, Without::Revocation];
    for without in all {
        let tally = play_all(&triples(), Binding::Log, Some(without));

        assert!(!tally.holds(), "nothing breaks without {without:?}");
    }
}
