//! A key runs at most once and *not run* is only reported if it is true, with every fault at every
//! message, every pair and early triples. The caller and the back ends are observed.

mod simulation;

use std::sync::Mutex;

use lynxmount_core::Outcome;
use simulation::{Binding, FAULTS, Fault, Mechanism, Observations, Scenario, Simulation};

type Faults = Vec<(usize, Fault)>;

fn scenario(faults: &[(usize, Fault)], binding: Binding, disabled: Option<Mechanism>) -> Scenario {
    Scenario { faults: faults.to_vec(), binding, disabled }
}

/// Messages that a fault may affect: those of a run with one fault.
const MAX_MESSAGES: usize = 30;

/// Messages that a fault of a triple may affect.
const MAX_MESSAGES_OF_TRIPLES: usize = 12;

fn single_faults() -> Faults {
    (0..MAX_MESSAGES).flat_map(|number| FAULTS.map(|fault| (number, fault))).collect()
}

fn fault_pairs() -> Vec<Faults> {
    let singles = single_faults();
    let later = |first: &(usize, Fault)| {
        let first = *first;
        singles
            .clone()
            .into_iter()
            .filter(move |later| later.0 > first.0)
            .map(move |later| vec![first, later])
    };
    singles.iter().flat_map(later).collect()
}

fn fault_triples() -> Vec<Faults> {
    let limit = MAX_MESSAGES_OF_TRIPLES;
    let pairs = fault_pairs().into_iter().filter(|pair| pair[1].0 < limit);
    let third = |pair: Faults| {
        let first = pair[1].0 + 1;
        let numbers = (first..limit).flat_map(|number| FAULTS.map(|fault| (number, fault)));
        numbers.map(move |fault| [pair.clone(), vec![fault]].concat()).collect::<Vec<Faults>>()
    };
    pairs.flat_map(third).collect()
}

/// Totals over many scenarios.
#[derive(Debug, Default)]
struct Tally {
    scenarios: usize,
    duplicate_runs: usize,
    false_not_run: usize,
    outcomes: usize,
    unknown_outcomes: usize,
    unanswered: usize,
}

impl Tally {
    fn add(&mut self, observations: &Observations) {
        let is = |outcome: Outcome| move |reported: &&Option<Outcome>| **reported == Some(outcome);
        self.scenarios += 1;
        self.duplicate_runs += usize::from(observations.runs.len() > 1);
        self.false_not_run += usize::from(observations.has_false_not_run);
        self.outcomes += observations.outcomes.iter().flatten().count();
        self.unknown_outcomes += observations.outcomes.iter().filter(is(Outcome::Unknown)).count();
        self.unanswered += usize::from(!observations.outcomes.contains(&Some(Outcome::Complete)));
    }

    fn is_correct(&self) -> bool {
        self.duplicate_runs == 0 && self.false_not_run == 0
    }
}

fn run_all(scenarios: &[Faults], binding: Binding, disabled: Option<Mechanism>) -> Tally {
    let tally = Mutex::new(Tally::default());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for part in scenarios.chunks(scenarios.len().div_ceil(threads).max(1)) {
            let tally = &tally;
            scope.spawn(move || {
                for faults in part {
                    let observations = Simulation::run(scenario(faults, binding, disabled));
                    let mut tally = tally.lock().expect("no thread has panicked");
                    let was_correct = tally.is_correct();
                    tally.add(&observations);
                    if was_correct && !tally.is_correct() {
                        println!("first violation: {faults:?} {observations:?}");
                    }
                }
            });
        }
    });
    let tally = tally.into_inner().expect("no thread has panicked");
    println!("{binding:?}, disabled: {disabled:?}: {tally:?}");
    tally
}

#[test]
fn the_first_call_is_answered_without_faults() {
    let observations = Simulation::run(Scenario::default());

    assert_eq!(observations.outcomes, [Some(Outcome::Complete)]);
    assert_eq!(observations.runs, [0]);
}

#[test]
fn every_fault_at_every_message() {
    let scenarios: Vec<Faults> = single_faults().into_iter().map(|fault| vec![fault]).collect();

    let tally = run_all(&scenarios, Binding::Log, None);

    assert!(tally.is_correct(), "{tally:?}");
}

#[test]
fn every_pair_of_faults() {
    let tally = run_all(&fault_pairs(), Binding::Log, None);

    assert!(tally.is_correct(), "{tally:?}");
}

#[test]
fn every_triple_of_faults() {
    let tally = run_all(&fault_triples(), Binding::Log, None);

    assert!(tally.is_correct(), "{tally:?}");
}

#[test]
fn a_binding_in_the_home_endpoints_memory_allows_duplicate_runs() {
    let tally = run_all(&fault_pairs(), Binding::HomeMemory, None);

    assert!(tally.duplicate_runs > 0, "{tally:?}");
}

#[test]
fn each_mechanism_is_required() {
    let all = [
        Mechanism::Confirmation,
        Mechanism::IncarnationCheck,
        Mechanism::Memory,
        Mechanism::Revocation,
    ];
    for disabled in all {
        let tally = run_all(&fault_triples(), Binding::Log, Some(disabled));

        assert!(!tally.is_correct(), "no violation with {disabled:?} disabled");
    }
}
