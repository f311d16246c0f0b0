//! Which endpoints may replace one that still runs an attempt.

use lynxmount_policy::ReplacementCandidate;

/// An endpoint that owns a free slot, without a report.
fn candidate() -> ReplacementCandidate {
    ReplacementCandidate {
        was_tried: false,
        is_in_stalled_group: false,
        is_slow: false,
        own_running: 1,
        own_slots: 2,
        reported_running: None,
        slots: 8,
    }
}

#[test]
fn an_own_slot_is_certain_and_others_only_by_a_report() {
    let own = candidate();
    let used = ReplacementCandidate { own_running: 2, ..own };
    let reported = ReplacementCandidate { reported_running: Some(7), ..used };
    let full = ReplacementCandidate { reported_running: Some(8), ..used };

    let certain = [own, used, reported, full].map(|endpoint| endpoint.may_replace(true));
    let allowed = [own, used, reported, full].map(|endpoint| endpoint.may_replace(false));

    assert_eq!(certain, [true, false, true, false]);
    assert_eq!(allowed, [true; 4]);
}

/// Guards against calls that are moved to where they were, or where nothing goes on.
#[test]
fn no_endpoint_replaces_another_that_is_no_better() {
    let tried = ReplacementCandidate { was_tried: true, ..candidate() };
    let stalled = ReplacementCandidate { is_in_stalled_group: true, ..candidate() };
    let slow = ReplacementCandidate { is_slow: true, ..candidate() };

    assert!([tried, stalled, slow].iter().all(|endpoint| !endpoint.may_replace(false)));
}
