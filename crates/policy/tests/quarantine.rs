//! Which calls are quarantined, for how long, and how evidence against them is merged.

use std::time::Duration;

use lynxmount_core::{
    CallContent, CallFingerprint, CallPhase, CrashReport, EndpointIncarnation, TeamId,
};
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

/// A quarantine after crashes while a call was in progress, a second apart.
fn after_crashes(call: CallFingerprint, phases: &[CallPhase]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (index, phase) in phases.iter().enumerate() {
        quarantine.record_crash(call, index as EndpointIncarnation, *phase, NOW_S + index as u64);
    }
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, call: CallFingerprint, after: Duration) -> bool {
    quarantine.quarantined_for(&call, NOW_S + after.as_secs()).is_some()
}

#[test]
fn crashes_quarantine_a_call_by_their_phases() {
    use CallPhase::{Beginning, Running, Waiting};
    for (phases, expected) in [
        (&[Beginning][..], false),
        (&[Waiting, Running], false),
        (&[Beginning, Waiting], true),
        (&[Beginning, Beginning], true),
        (&[Waiting, Running, Waiting], true),
    ] {
        let quarantine = after_crashes(a_call(), phases);

        assert_eq!(is_quarantined(&quarantine, a_call(), Duration::from_secs(3)), expected);
    }
}

#[test]
fn a_crash_of_one_incarnation_counts_once() {
    let mut quarantine = Quarantine::default();

    let is_new =
        [(); 4].map(|()| quarantine.record_crash(a_call(), 1, CallPhase::Beginning, NOW_S));

    assert_eq!(is_new, [true, false, false, false]);
    assert!(!is_quarantined(&quarantine, a_call(), Duration::ZERO));
}

#[test]
fn calls_of_another_team_or_with_another_body_are_different_calls() {
    let quarantine = after_crashes(a_call(), &[CallPhase::Beginning; 3]);

    assert!(is_quarantined(&quarantine, a_call(), Duration::ZERO));
    assert!(!is_quarantined(&quarantine, call("desk", "body"), Duration::ZERO));
    assert!(!is_quarantined(&quarantine, call("claims", "other"), Duration::ZERO));
}

#[test]
fn a_survival_clears_a_call_of_earlier_crashes() {
    let mut quarantine = after_crashes(a_call(), &[CallPhase::Beginning; 2]);

    assert!(quarantine.record_survival(a_call()));

    assert!(!is_quarantined(&quarantine, a_call(), Duration::ZERO));
    quarantine.record_crash(a_call(), 7, CallPhase::Beginning, NOW_S);
    assert!(!is_quarantined(&quarantine, a_call(), Duration::ZERO));
}

#[test]
fn a_popular_call_is_not_quarantined_where_it_was_survived_recently() {
    let other = after_crashes(a_call(), &[CallPhase::Beginning; 3]);
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(a_call());

    let received = other.crash_report(&a_call()).expect("a crash report");
    let outcome = quarantine.merge(received, NOW_S);

    assert_eq!(outcome, MergeOutcome::Cleared);
    assert!(!is_quarantined(&quarantine, a_call(), Duration::ZERO));
}

#[test]
fn a_quarantine_expires_and_is_prolonged_by_the_next_crash() {
    let mut quarantine = after_crashes(a_call(), &[CallPhase::Beginning; 2]);
    let past_quarantine = Duration::from_secs(242);

    assert!(is_quarantined(&quarantine, a_call(), Duration::from_secs(239)));
    assert!(!is_quarantined(&quarantine, a_call(), past_quarantine));
    quarantine.record_crash(a_call(), 9, CallPhase::Beginning, NOW_S + past_quarantine.as_secs());

    assert!(is_quarantined(&quarantine, a_call(), Duration::from_secs(23 * 3600)));
}

#[test]
fn expired_evidence_is_dropped_and_not_merged_again() {
    let mut quarantine = after_crashes(a_call(), &[CallPhase::Waiting]);
    let received = quarantine.crash_report(&a_call()).expect("a crash report").clone();
    let later_s = NOW_S + 700;

    let expired = quarantine.expire(later_s);

    assert_eq!(expired, [a_call()]);
    assert_eq!(quarantine.merge(&received, later_s), MergeOutcome::Unchanged);
    assert_eq!(quarantine.crash_reports().count(), 0);
}

#[test]
fn memory_is_bounded_and_the_evidence_that_expires_last_is_kept() {
    let quarantined = a_call();
    let mut quarantine = after_crashes(quarantined, &[CallPhase::Beginning; 3]);

    for number in 0..6000 {
        let other = call("claims", &number.to_string());
        quarantine.record_crash(other, 100 + number, CallPhase::Waiting, NOW_S);
    }

    assert!(quarantine.crash_reports().count() <= 4096);
    assert!(is_quarantined(&quarantine, quarantined, Duration::ZERO));
}

fn phase() -> impl Strategy<Value = CallPhase> {
    prop_oneof![Just(CallPhase::Waiting), Just(CallPhase::Running), Just(CallPhase::Beginning)]
}

proptest! {
    /// Whichever processes exchange evidence, in what order and how often: all end with the same.
    #[test]
    fn processes_converge_in_any_order_of_merges(
        crashes in prop::collection::vec((0_u64..6, phase(), 0_usize..3), 1..12),
        order in prop::collection::vec((0_usize..3, 0_usize..3), 0..12),
    ) {
        let mut processes = [0; 3].map(|_| Quarantine::default());
        for (incarnation, phase, process) in crashes {
            processes[process].record_crash(a_call(), incarnation, phase, NOW_S);
        }
        let all_pairs = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));

        for (from, to) in order.into_iter().chain(all_pairs.clone()).chain(all_pairs) {
            let received: Vec<CrashReport> = processes[from].crash_reports().cloned().collect();
            received.iter().for_each(|received| { processes[to].merge(received, NOW_S); });
        }

        prop_assert_eq!(processes[0].digest(), processes[1].digest());
        prop_assert_eq!(processes[1].digest(), processes[2].digest());
        let remaining = processes.each_ref().map(|one| one.quarantined_for(&a_call(), NOW_S));
        prop_assert_eq!(remaining[0], remaining[1]);
        prop_assert_eq!(remaining[1], remaining[2]);
    }
}
