//! Decisions of entries that call endpoints directly.

use std::time::Duration;

use lynxmount_core::{EndpointList, EndpointRecord, EndpointState};
use lynxmount_policy::{
    CallOutcome, EndpointSnapshot, Membership, OutageDetector, OutlierDetector, Selection,
    WindowBudget, WindowBudgetOptions, outage_retry_after, select_endpoint,
};
use proptest::prelude::*;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn seat(own_running: u32, others_running: u32) -> EndpointSnapshot {
    EndpointSnapshot {
        own_running,
        others_running,
        capacity: 12,
        own_capacity: 5,
        ..EndpointSnapshot::default()
    }
}

#[test]
fn the_least_loaded_endpoint_is_taken() {
    let seats = [seat(3, 0), seat(1, 1), seat(2, 4)];

    assert_eq!(select_endpoint(&seats), Selection::Endpoint(1));
}

#[test]
fn among_equals_the_one_that_rested_longest_is_taken() {
    let seats = [
        EndpointSnapshot { last_chosen: 7, ..seat(1, 0) },
        EndpointSnapshot { last_chosen: 2, ..seat(1, 0) },
        EndpointSnapshot { last_chosen: 5, ..seat(1, 0) },
    ];

    assert_eq!(select_endpoint(&seats), Selection::Endpoint(1));
}

#[test]
fn a_full_service_is_told_apart_from_one_without_endpoints() {
    assert_eq!(select_endpoint(&[seat(5, 0), seat(4, 8)]), Selection::Full);
    assert_eq!(select_endpoint(&[]), Selection::NoEndpoint);
}

#[test]
fn endpoints_that_were_tried_or_left_out_are_a_last_resort() {
    let ejected = EndpointSnapshot { is_ejected: true, ..seat(0, 0) };
    let tried = EndpointSnapshot { was_tried: true, ..seat(0, 0) };

    assert_eq!(select_endpoint(&[ejected, tried, seat(4, 0)]), Selection::Endpoint(2));
    assert_eq!(select_endpoint(&[ejected, tried]), Selection::Endpoint(1));
    assert_eq!(select_endpoint(&[ejected]), Selection::Endpoint(0));
}

#[test]
fn an_endpoint_that_has_asked_for_a_pause_gets_no_call_whatever_the_others_are_like() {
    let paused = |until| EndpointSnapshot { resumes_at: Some(at_ms(until)), ..seat(0, 0) };
    let tried = EndpointSnapshot { was_tried: true, ..seat(4, 0) };
    let ejected = EndpointSnapshot { is_ejected: true, ..seat(0, 0) };
    let closed = EndpointSnapshot { is_closed: true, ..paused(10) };

    assert_eq!(select_endpoint(&[paused(70), tried]), Selection::Endpoint(1));
    assert_eq!(select_endpoint(&[paused(70), ejected]), Selection::Paused { until: at_ms(70) });
    assert_eq!(
        select_endpoint(&[EndpointSnapshot { is_ejected: true, ..paused(70) }, ejected]),
        Selection::Endpoint(1)
    );
    assert_eq!(select_endpoint(&[paused(70), seat(5, 0)]), Selection::Full);
    assert_eq!(
        select_endpoint(&[paused(70), paused(40), closed]),
        Selection::Paused { until: at_ms(40) }
    );
    assert_eq!(select_endpoint(&[closed]), Selection::Closed);
}

#[test]
fn an_endpoint_that_leaves_counts_as_gone() {
    let leaving = EndpointSnapshot { is_leaving: true, ..seat(0, 0) };
    let paused = EndpointSnapshot { resumes_at: Some(at_ms(10)), ..leaving };

    assert_eq!(select_endpoint(&[leaving, seat(4, 0)]), Selection::Endpoint(1));
    assert_eq!(select_endpoint(&[leaving, seat(5, 0)]), Selection::Full);
    assert_eq!(select_endpoint(&[leaving, paused]), Selection::NoEndpoint);
}

#[test]
fn an_endpoint_that_can_not_be_reached_is_left_out_for_longer_each_time() {
    let mut health = OutlierDetector::default();

    assert!(health.record(CallOutcome::Unreachable, at_ms(0)));

    assert!(health.is_ejected(at_ms(499)));
    assert!(!health.is_ejected(at_ms(500)));
    health.record(CallOutcome::Unreachable, at_ms(500));
    assert!(health.is_ejected(at_ms(1499)));
    assert!(!health.is_ejected(at_ms(1500)));
}

#[test]
fn an_endpoint_that_fails_now_and_then_stays() {
    let mut health = OutlierDetector::default();
    for call in 0..200 {
        let end = if call % 7 == 0 { CallOutcome::Failed } else { CallOutcome::Answered };

        assert!(!health.record(end, at_ms(call * 10)), "call {call}");
    }
}

#[test]
fn an_endpoint_that_fails_mostly_is_left_out_and_comes_back_by_trial() {
    let mut health = OutlierDetector::default();
    let ejected_at = (0..10).find(|call| health.record(CallOutcome::Failed, at_ms(call * 10)));
    assert!(ejected_at.is_some_and(|call| call < 5), "{ejected_at:?}");

    health.record(CallOutcome::Answered, at_ms(2000));

    assert!(!health.is_ejected(at_ms(2000)));
}

fn budget() -> WindowBudget {
    let window = Duration::from_secs(10);
    WindowBudget::new(WindowBudgetOptions { ratio: 0.2, slack: 88.0, window })
}

#[test]
fn repeats_stay_within_half_of_the_share_and_come_back_with_the_window() {
    let mut budget = budget();

    let first = (0..100).filter(|_| budget.try_withdraw(4, at_ms(0))).count();
    let later = (0..100).filter(|_| budget.try_withdraw(4, at_ms(10_600))).count();

    assert_eq!((first, later), (11, 11));
}

proptest! {
    #[test]
    fn four_entries_never_exceed_the_bound_of_a_window(
        events in proptest::collection::vec((0_u64..30_000, 0_usize..4, any::<bool>()), 1..400)
    ) {
        let mut events = events;
        events.sort();
        let mut budgets = vec![budget(); 4];
        let mut calls = Vec::new();
        let mut repeats = Vec::new();
        for (ms, entry, is_call) in events {
            match is_call {
                true => {
                    budgets[entry].record_call(at_ms(ms));
                    calls.push(ms);
                }
                false if budgets[entry].try_withdraw(4, at_ms(ms)) => repeats.push(ms),
                false => {}
            }
        }

        for start in (0..30_000).step_by(500) {
            let within = |at: &&u64| (start..start + 10_000).contains(*at);
            // Calls that paid may have come up to a window earlier.
            let paid = |at: &&u64| (start.saturating_sub(10_000)..start + 10_000).contains(*at);
            let bound = 0.2 * calls.iter().filter(paid).count() as f64 + 88.0;
            prop_assert!(repeats.iter().filter(within).count() as f64 <= bound);
        }
    }
}

fn record(id: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        // Each id of these tests is one letter.
        address: ([127, 0, 0, id.as_bytes()[0]], 1).into(),
        failure_domain: "z".into(),
        slots: 1,
        state: EndpointState::Ready,
        started_ms: None,
        listed_at: 0,
    }
}

/// A life of the endpoint at one and the same address, listed at an offset.
fn life(id: &str, listed_at: u64, started_ms: Option<u64>) -> EndpointRecord {
    EndpointRecord { listed_at, started_ms, ..record(id) }
}

fn lives(lives: &[EndpointRecord]) -> EndpointList {
    let address = ([127, 0, 0, 9], 1).into();
    let endpoints = lives.iter().map(|life| EndpointRecord { address, ..life.clone() }).collect();
    EndpointList { read_to: 1, endpoints }
}

fn list(read_to: u64, ids: &[&str]) -> EndpointList {
    EndpointList { read_to, endpoints: ids.iter().map(|id| record(id)).collect() }
}

fn ids(membership: &Membership) -> Vec<String> {
    membership.endpoints().iter().map(|endpoint| endpoint.id.to_string()).collect()
}

#[test]
fn a_registration_that_is_removed_is_gone_at_once() {
    let mut membership = Membership::default();
    membership.update(&list(1, &["a", "b"]), at_ms(0));

    membership.update(&list(2, &["a"]), at_ms(800));

    assert_eq!(ids(&membership), ["a"]);
}

#[test]
fn a_registration_that_is_removed_is_gone_at_once_however_rarely_the_list_is_read() {
    for period_ms in [850, 1700, 5000] {
        let mut membership = Membership::new(true, at_ms(period_ms));
        for read in 0..4 {
            membership.update(&list(1, &["a", "b"]), at_ms(read * period_ms));
        }

        membership.update(&list(2, &["a"]), at_ms(4 * period_ms + 20));

        assert_eq!(ids(&membership), ["a"], "a period of {period_ms} ms");
    }
}

#[test]
fn a_list_of_a_peer_counts_if_it_is_newer() {
    let mut membership = Membership::default();
    membership.update(&list(5, &["a", "b"]), at_ms(0));

    membership.update_from_peer(&list(5, &["a"]), at_ms(700));
    assert_eq!(ids(&membership), ["a", "b"]);

    membership.update_from_peer(&list(6, &["b"]), at_ms(800));
    assert_eq!(ids(&membership), ["b"]);
}

#[test]
fn registrations_that_lapse_in_an_outage_have_time_to_come_back() {
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
fn two_refusals_in_a_row_pause_a_service_and_an_answer_ends_it() {
    let mut outage = OutageDetector::default();

    assert!(!outage.on_refusal(at_ms(0)));
    assert!(outage.on_refusal(at_ms(10)));

    assert!(!outage.may_send(at_ms(259)));
    assert!(outage.may_send(at_ms(260)));
    outage.on_response();
    assert!(!outage.on_refusal(at_ms(300)));
}

#[test]
fn in_an_outage_one_call_at_a_time_is_sent() {
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
fn of_two_registrations_at_one_address_the_later_listed_one_holds() {
    let mut membership = Membership::default();

    membership.update(&lives(&[life("a", 9, None), life("b", 7, None)]), at_ms(0));

    assert_eq!(ids(&membership), ["a"]);
}

#[test]
fn a_late_registration_of_a_life_that_is_over_changes_nothing() {
    let mut membership = Membership::default();
    membership.update(&lives(&[life("a", 3, None), life("b", 7, None)]), at_ms(0));
    membership.update(&lives(&[life("b", 7, None)]), at_ms(4000));

    membership.update(&lives(&[life("a", 12, None), life("b", 7, None)]), at_ms(5000));

    assert_eq!(ids(&membership), ["b"]);
}

#[test]
fn the_life_that_tells_the_later_start_holds_whenever_it_was_listed() {
    let mut membership = Membership::default();

    membership.update(&lives(&[life("a", 3, Some(2000)), life("b", 7, Some(1000))]), at_ms(0));

    assert_eq!(ids(&membership), ["a"]);
}

#[test]
fn lives_at_different_addresses_are_different_endpoints() {
    let mut membership = Membership::default();

    membership.update(&list(1, &["a", "b"]), at_ms(0));

    assert_eq!(ids(&membership), ["a", "b"]);
}

#[test]
fn callers_come_back_within_a_third_of_their_time() {
    for spread in [0.0, 0.5, 1.0, 7.0] {
        let after = outage_retry_after(Duration::from_secs(8), spread);

        assert!(after >= Duration::from_millis(1900) && after < Duration::from_millis(2667));
    }
}
