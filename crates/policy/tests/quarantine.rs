//! Which calls are held back, for how long, and what processes tell each other of them.

use std::time::Duration;

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, EndpointLife, Suspicion, TeamId};
use lynxmount_policy::{MergeOutcome, Quarantine};
use proptest::prelude::*;

const NOW_S: u64 = 1_780_000_000;

fn call(team: &str, body: &str) -> CallFingerprint {
    let team: TeamId = team.into();
    CallFingerprint::of(CallContent {
        team: Some(&team),
        method: "POST",
        host: "desk.example",
        path: "/draft/7",
        body: body.as_bytes(),
    })
}

fn a_call() -> CallFingerprint {
    call("claims", "body")
}

/// A quarantine in which endpoints have ended under a call, a second apart.
fn after_ends(call: CallFingerprint, phases: &[CallPhase]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (index, phase) in phases.iter().enumerate() {
        quarantine.record_crash(call, index as EndpointLife, *phase, NOW_S + index as u64);
    }
    quarantine
}

fn is_held_back(quarantine: &Quarantine, call: CallFingerprint, after: Duration) -> bool {
    quarantine.quarantined_for(&call, NOW_S + after.as_secs()).is_some()
}

#[test]
fn two_ends_that_found_a_call_beginning_hold_it_back_and_one_does_not() {
    use CallPhase::{Beginning, Running, Waiting};
    for (phases, expected) in [
        (&[Beginning][..], false),
        (&[Waiting, Running], false),
        (&[Beginning, Waiting], true),
        (&[Beginning, Beginning], true),
        (&[Waiting, Running, Waiting], true),
    ] {
        let quarantine = after_ends(a_call(), phases);

        assert_eq!(is_held_back(&quarantine, a_call(), Duration::from_secs(3)), expected);
    }
}

#[test]
fn one_life_counts_once_however_often_it_is_told() {
    let mut quarantine = Quarantine::default();

    let told = [(); 4].map(|()| quarantine.record_crash(a_call(), 1, CallPhase::Beginning, NOW_S));

    assert_eq!(told, [true, false, false, false]);
    assert!(!is_held_back(&quarantine, a_call(), Duration::ZERO));
}

#[test]
fn calls_of_another_team_or_with_another_body_are_others() {
    let quarantine = after_ends(a_call(), &[CallPhase::Beginning; 3]);

    assert!(is_held_back(&quarantine, a_call(), Duration::ZERO));
    assert!(!is_held_back(&quarantine, call("desk", "body"), Duration::ZERO));
    assert!(!is_held_back(&quarantine, call("claims", "other"), Duration::ZERO));
}

#[test]
fn a_good_end_clears_a_call_of_the_ends_before_it() {
    let mut quarantine = after_ends(a_call(), &[CallPhase::Beginning; 2]);

    assert!(quarantine.record_survival(a_call()));

    assert!(!is_held_back(&quarantine, a_call(), Duration::ZERO));
    quarantine.record_crash(a_call(), 7, CallPhase::Beginning, NOW_S);
    assert!(!is_held_back(&quarantine, a_call(), Duration::ZERO));
}

#[test]
fn a_call_that_many_ask_is_not_held_back_where_it_was_answered_lately() {
    let other = after_ends(a_call(), &[CallPhase::Beginning; 3]);
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(a_call());

    let told = other.suspicion(&a_call()).expect("a suspicion");
    let taken = quarantine.merge(told, NOW_S);

    assert_eq!(taken, MergeOutcome::Cleared);
    assert!(!is_held_back(&quarantine, a_call(), Duration::ZERO));
}

#[test]
fn a_verdict_ends_and_the_next_end_makes_it_last() {
    let mut quarantine = after_ends(a_call(), &[CallPhase::Beginning; 2]);
    let over = Duration::from_secs(242);

    assert!(is_held_back(&quarantine, a_call(), Duration::from_secs(239)));
    assert!(!is_held_back(&quarantine, a_call(), over));
    quarantine.record_crash(a_call(), 9, CallPhase::Beginning, NOW_S + over.as_secs());

    assert!(is_held_back(&quarantine, a_call(), Duration::from_secs(23 * 3600)));
}

#[test]
fn what_no_longer_counts_is_forgotten_and_not_taken_again() {
    let mut quarantine = after_ends(a_call(), &[CallPhase::Waiting]);
    let told = quarantine.suspicion(&a_call()).expect("a suspicion").clone();
    let later_s = NOW_S + 700;

    let lapsed = quarantine.expire(later_s);

    assert_eq!(lapsed, [a_call()]);
    assert_eq!(quarantine.merge(&told, later_s), MergeOutcome::Unchanged);
    assert_eq!(quarantine.suspicions().count(), 0);
}

#[test]
fn memory_is_bounded_and_what_lasts_longest_is_kept() {
    let held_back = a_call();
    let mut quarantine = after_ends(held_back, &[CallPhase::Beginning; 3]);

    for number in 0..6000 {
        let other = call("claims", &number.to_string());
        quarantine.record_crash(other, 100 + number, CallPhase::Waiting, NOW_S);
    }

    assert!(quarantine.suspicions().count() <= 4096);
    assert!(is_held_back(&quarantine, held_back, Duration::ZERO));
}

fn phase() -> impl Strategy<Value = CallPhase> {
    prop_oneof![Just(CallPhase::Waiting), Just(CallPhase::Running), Just(CallPhase::Beginning)]
}

proptest! {
    /// Whoever tells whom, in what order and how often: all come to know the same.
    #[test]
    fn processes_come_to_know_the_same_in_any_order(
        ends in prop::collection::vec((0_u64..6, phase(), 0_usize..3), 1..12),
        order in prop::collection::vec((0_usize..3, 0_usize..3), 0..12),
    ) {
        let mut processes = [0; 3].map(|_| Quarantine::default());
        for (life, phase, process) in ends {
            processes[process].record_crash(a_call(), life, phase, NOW_S);
        }
        let everyone = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));

        for (from, to) in order.into_iter().chain(everyone.clone()).chain(everyone) {
            let told: Vec<Suspicion> = processes[from].suspicions().cloned().collect();
            told.iter().for_each(|told| { processes[to].merge(told, NOW_S); });
        }

        prop_assert_eq!(processes[0].digest(), processes[1].digest());
        prop_assert_eq!(processes[1].digest(), processes[2].digest());
        let rest = processes.each_ref().map(|one| one.quarantined_for(&a_call(), NOW_S));
        prop_assert_eq!(rest[0], rest[1]);
        prop_assert_eq!(rest[1], rest[2]);
    }
}
