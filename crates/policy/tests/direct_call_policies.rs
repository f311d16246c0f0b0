//! Policies of entries that call endpoints directly: endpoint selection, outlier ejection,
//! membership and outages.

use std::time::Duration;

use lynxmount_core::{EndpointList, EndpointRecord, EndpointState, LogPosition};
use lynxmount_policy::{
    CallOutcome, EndpointSnapshot, Membership, OutageDetector, OutlierDetector, Selection,
    outage_retry_after, select_endpoint,
};

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(own_running: u32, others_running: u32) -> EndpointSnapshot {
    EndpointSnapshot {
        own_running,
        others_running,
        capacity: 12,
        own_capacity: 5,
        ..EndpointSnapshot::default()
    }
}

#[test]
fn the_least_loaded_endpoint_is_selected() {
    let endpoints = [endpoint(3, 0), endpoint(1, 1), endpoint(2, 4)];

    assert_eq!(select_endpoint(&endpoints), Selection::Endpoint(1));
}

#[test]
fn among_equals_the_least_recently_chosen_endpoint_is_selected() {
    let endpoints = [
        EndpointSnapshot { last_chosen: 7, ..endpoint(1, 0) },
        EndpointSnapshot { last_chosen: 2, ..endpoint(1, 0) },
        EndpointSnapshot { last_chosen: 5, ..endpoint(1, 0) },
    ];

    assert_eq!(select_endpoint(&endpoints), Selection::Endpoint(1));
}

#[test]
fn a_full_service_is_distinguished_from_one_without_endpoints() {
    assert_eq!(select_endpoint(&[endpoint(5, 0), endpoint(4, 8)]), Selection::Full);
    assert_eq!(select_endpoint(&[]), Selection::NoEndpoint);
}

#[test]
fn tried_or_ejected_endpoints_are_a_last_resort() {
    let ejected = EndpointSnapshot { is_ejected: true, ..endpoint(0, 0) };
    let tried = EndpointSnapshot { was_tried: true, ..endpoint(0, 0) };

    assert_eq!(select_endpoint(&[ejected, tried, endpoint(4, 0)]), Selection::Endpoint(2));
    assert_eq!(select_endpoint(&[ejected, tried]), Selection::Endpoint(1));
    assert_eq!(select_endpoint(&[ejected]), Selection::Endpoint(0));
}

#[test]
fn a_paused_endpoint_gets_no_call_whatever_the_state_of_the_others() {
    let paused = |until| EndpointSnapshot { resumes_at: Some(at_ms(until)), ..endpoint(0, 0) };
    let tried = EndpointSnapshot { was_tried: true, ..endpoint(4, 0) };
    let ejected = EndpointSnapshot { is_ejected: true, ..endpoint(0, 0) };
    let closed = EndpointSnapshot { is_closed: true, ..paused(10) };

    assert_eq!(select_endpoint(&[paused(70), tried]), Selection::Endpoint(1));
    assert_eq!(select_endpoint(&[paused(70), ejected]), Selection::Paused { until: at_ms(70) });
    assert_eq!(
        select_endpoint(&[EndpointSnapshot { is_ejected: true, ..paused(70) }, ejected]),
        Selection::Endpoint(1)
    );
    assert_eq!(select_endpoint(&[paused(70), endpoint(5, 0)]), Selection::Full);
    assert_eq!(
        select_endpoint(&[paused(70), paused(40), closed]),
        Selection::Paused { until: at_ms(40) }
    );
    assert_eq!(select_endpoint(&[closed]), Selection::Closed);
}

#[test]
fn a_leaving_endpoint_counts_as_gone() {
    let leaving = EndpointSnapshot { is_leaving: true, ..endpoint(0, 0) };
    let paused = EndpointSnapshot { resumes_at: Some(at_ms(10)), ..leaving };

    assert_eq!(select_endpoint(&[leaving, endpoint(4, 0)]), Selection::Endpoint(1));
    assert_eq!(select_endpoint(&[leaving, endpoint(5, 0)]), Selection::Full);
    assert_eq!(select_endpoint(&[leaving, paused]), Selection::NoEndpoint);
}

#[test]
fn ejections_of_an_unreachable_endpoint_back_off_exponentially() {
    let mut detector = OutlierDetector::default();

    assert!(detector.record(CallOutcome::Unreachable, at_ms(0)));

    assert!(detector.is_ejected(at_ms(499)));
    assert!(!detector.is_ejected(at_ms(500)));
    detector.record(CallOutcome::Unreachable, at_ms(500));
    assert!(detector.is_ejected(at_ms(1499)));
    assert!(!detector.is_ejected(at_ms(1500)));
}

#[test]
fn an_endpoint_with_occasional_failures_is_not_ejected() {
    let mut detector = OutlierDetector::default();
    for call in 0..200 {
        let outcome = if call % 7 == 0 { CallOutcome::Failed } else { CallOutcome::Answered };

        assert!(!detector.record(outcome, at_ms(call * 10)), "call {call}");
    }
}

#[test]
fn an_endpoint_that_mostly_fails_is_ejected_and_returns_after_the_ejection() {
    let mut detector = OutlierDetector::default();
    let ejected_at = (0..10).find(|call| detector.record(CallOutcome::Failed, at_ms(call * 10)));
    assert!(ejected_at.is_some_and(|call| call < 5), "{ejected_at:?}");

    detector.record(CallOutcome::Answered, at_ms(2000));

    assert!(!detector.is_ejected(at_ms(2000)));
}

fn record(id: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        // Each id in these tests is one letter.
        address: ([127, 0, 0, id.as_bytes()[0]], 1).into(),
        failure_domain: "z".into(),
        slots: 1,
        state: EndpointState::Ready,
        started_ms: None,
        listed_at: LogPosition::default(),
        written_at: LogPosition::default(),
    }
}

/// An incarnation of the endpoint, listed at an offset.
fn incarnation(id: &str, listed_at: u64, started_ms: Option<u64>) -> EndpointRecord {
    EndpointRecord { listed_at: at_offset(listed_at), started_ms, ..record(id) }
}

/// A list of incarnations at the same address.
fn incarnations(records: &[EndpointRecord]) -> EndpointList {
    let address = ([127, 0, 0, 9], 1).into();
    let endpoints =
        records.iter().map(|record| EndpointRecord { address, ..record.clone() }).collect();
    EndpointList { as_of: at_offset(1), endpoints }
}

fn at_offset(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

fn list(as_of_offset: u64, ids: &[&str]) -> EndpointList {
    EndpointList {
        as_of: at_offset(as_of_offset),
        endpoints: ids.iter().map(|id| record(id)).collect(),
    }
}

fn ids(membership: &Membership) -> Vec<String> {
    membership.endpoints(|_| true).iter().map(|endpoint| endpoint.id.to_string()).collect()
}

#[test]
fn a_removed_registration_is_dropped_at_once() {
    let mut membership = Membership::default();
    membership.update(&list(1, &["a", "b"]), at_ms(0));

    membership.update(&list(2, &["a"]), at_ms(800));

    assert_eq!(ids(&membership), ["a"]);
}

#[test]
fn a_removed_registration_is_dropped_at_once_whatever_the_read_period() {
    for period_ms in [850, 1700, 5000] {
        let mut membership = Membership::new(true, at_ms(period_ms), at_ms(3600));
        for read in 0..4 {
            membership.update(&list(1, &["a", "b"]), at_ms(read * period_ms));
        }

        membership.update(&list(2, &["a"]), at_ms(4 * period_ms + 20));

        assert_eq!(ids(&membership), ["a"], "a period of {period_ms} ms");
    }
}

#[test]
fn the_list_of_a_peer_is_applied_only_if_it_is_newer() {
    let mut membership = Membership::default();
    membership.update(&list(5, &["a", "b"]), at_ms(0));

    membership.update_from_peer(&list(5, &["a"]), at_ms(700));
    assert_eq!(ids(&membership), ["a", "b"]);

    membership.update_from_peer(&list(6, &["b"]), at_ms(800));
    assert_eq!(ids(&membership), ["b"]);
}

#[test]
fn registrations_that_expire_in_an_outage_have_a_grace_period() {
    let mut membership = Membership::default();
    membership.update(&list(1, &["a", "b", "c"]), at_ms(0));

    membership.update(&list(2, &["a"]), at_ms(6000));
    assert_eq!(ids(&membership), ["a", "b", "c"]);

    membership.update(&list(3, &["a", "b"]), at_ms(7000));
    assert_eq!(ids(&membership), ["a", "b", "c"]);

    membership.update(&list(4, &["a", "b"]), at_ms(8300));
    assert_eq!(ids(&membership), ["a", "b"]);
}

#[test]
fn two_consecutive_refusals_begin_an_outage_and_an_answer_ends_it() {
    let mut outage = OutageDetector::default();

    assert!(!outage.on_refusal(at_ms(0)));
    assert!(outage.on_refusal(at_ms(10)));

    assert!(!outage.may_send(at_ms(259)));
    assert!(outage.may_send(at_ms(260)));
    outage.on_response();
    assert!(!outage.on_refusal(at_ms(300)));
}

#[test]
fn in_an_outage_one_probe_at_a_time_is_sent() {
    let mut outage = OutageDetector::default();
    outage.on_refusal(at_ms(0));
    outage.on_refusal(at_ms(10));

    assert_eq!(outage.on_sent(at_ms(260)), Some(at_ms(510)));
    assert!(!outage.may_send(at_ms(261)));
    assert!(!outage.on_refusal(at_ms(262)), "the outage has begun before");
    assert!(!outage.may_send(at_ms(509)));
    assert!(outage.may_send(at_ms(510)));

    outage.on_response();
    assert_eq!(outage.on_sent(at_ms(520)), None);
    assert!(outage.may_send(at_ms(521)));
}

#[test]
fn of_two_registrations_at_one_address_the_later_listed_one_is_valid() {
    let mut membership = Membership::default();

    membership
        .update(&incarnations(&[incarnation("a", 9, None), incarnation("b", 7, None)]), at_ms(0));

    assert_eq!(ids(&membership), ["a"]);
}

#[test]
fn a_late_registration_of_an_earlier_incarnation_is_ignored() {
    let mut membership = Membership::default();
    membership
        .update(&incarnations(&[incarnation("a", 3, None), incarnation("b", 7, None)]), at_ms(0));
    membership.update(&incarnations(&[incarnation("b", 7, None)]), at_ms(4000));

    membership.update(
        &incarnations(&[incarnation("a", 12, None), incarnation("b", 7, None)]),
        at_ms(5000),
    );

    assert_eq!(ids(&membership), ["b"]);
}

#[test]
fn the_incarnation_with_the_later_start_time_is_valid_whenever_it_was_listed() {
    let mut membership = Membership::default();

    membership.update(
        &incarnations(&[incarnation("a", 3, Some(2000)), incarnation("b", 7, Some(1000))]),
        at_ms(0),
    );

    assert_eq!(ids(&membership), ["a"]);
}

/// Guards against a live endpoint that is replaced by another writer's registration.
#[test]
fn a_registration_of_an_unknown_service_does_not_replace_an_endpoint() {
    let mut membership = Membership::default();
    let foreign = EndpointRecord { service: "unknown".into(), ..incarnation("b", 9, None) };

    membership.update(&incarnations(&[incarnation("a", 3, None), foreign]), at_ms(0));

    let endpoints = membership.endpoints(|service| &**service != "unknown");
    assert_eq!(endpoints.iter().map(|endpoint| &*endpoint.id).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn registrations_at_different_addresses_are_different_endpoints() {
    let mut membership = Membership::default();

    membership.update(&list(1, &["a", "b"]), at_ms(0));

    assert_eq!(ids(&membership), ["a", "b"]);
}

#[test]
fn callers_retry_within_a_third_of_their_remaining_time() {
    for jitter in [0.0, 0.5, 1.0, 7.0] {
        let retry_after = outage_retry_after(Duration::from_secs(8), jitter);

        assert!(
            retry_after >= Duration::from_millis(1900) && retry_after < Duration::from_millis(2667)
        );
    }
}
