//! Evidence that a process knows all members.

use std::time::Duration;

use lynxmount_policy::{MembershipEvidence, MembershipTracker};

fn at_s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A process that lists named after one and two seconds.
fn listed() -> MembershipTracker {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(true, at_s(1));
    tracker.on_list(true, at_s(2));
    tracker
}

/// Guards against a process that passes for a member because it is old.
#[test]
fn age_is_no_evidence() {
    let mut tracker = MembershipTracker::default();

    tracker.on_list(false, at_s(2));

    assert_eq!(tracker.evidence(at_s(2)), MembershipEvidence::None);
    assert_eq!(tracker.evidence(at_s(1000)), MembershipEvidence::None);
}

/// Guards against processes that start together, read a list that lacks the others, and no other.
#[test]
fn one_list_is_not_confirmed() {
    let mut tracker = MembershipTracker::default();

    tracker.on_list(true, Duration::ZERO);
    assert_eq!(tracker.evidence(at_s(5)), MembershipEvidence::Unconfirmed);
    assert_eq!(tracker.evidence(at_s(11)), MembershipEvidence::None);

    tracker.on_list(true, at_s(5));
    assert_eq!(tracker.evidence(at_s(5)), MembershipEvidence::Current { since: Duration::ZERO });
}

#[test]
fn evidence_is_as_old_as_the_first_list_and_as_recent_as_the_last() {
    let mut tracker = listed();

    tracker.on_list(true, at_s(10));

    assert_eq!(tracker.evidence(at_s(20)), MembershipEvidence::Current { since: at_s(1) });
    assert_eq!(tracker.evidence(at_s(21)), MembershipEvidence::Stale { since: at_s(1) });
}

#[test]
fn evidence_is_stale_while_lists_do_not_name_the_process() {
    let mut tracker = listed();

    tracker.on_list(false, at_s(3));
    assert_eq!(tracker.evidence(at_s(3)), MembershipEvidence::Stale { since: at_s(1) });

    tracker.on_list(true, at_s(4));
    assert_eq!(tracker.evidence(at_s(4)), MembershipEvidence::Current { since: at_s(1) });
}

/// Guards against the return of a process that the others have dropped meanwhile.
#[test]
fn evidence_starts_anew_once_others_may_have_dropped_the_process() {
    let mut tracker = listed();
    let returned_at = at_s(2 + 75);

    assert_eq!(tracker.evidence(returned_at), MembershipEvidence::None);
    tracker.on_list(true, returned_at);
    assert_eq!(tracker.evidence(returned_at), MembershipEvidence::Unconfirmed);
    let confirmed_at = returned_at + at_s(1);
    tracker.on_list(true, confirmed_at);

    assert_eq!(tracker.evidence(confirmed_at), MembershipEvidence::Current { since: returned_at });
}
