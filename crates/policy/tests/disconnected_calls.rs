//! Attribution of crashes to calls whose connections broke.

use std::time::Duration;

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, EndpointIncarnation};
use lynxmount_policy::{CRASH_ATTRIBUTION_WINDOW, DisconnectedCalls, LivenessEvidence};

const INCARNATION: EndpointIncarnation = 7;
const OTHER_INCARNATION: EndpointIncarnation = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(number: u8) -> CallFingerprint {
    let path = format!("/{number}");
    let content = CallContent { team: None, method: "GET", host: "", path: &path, body: b"" };
    CallFingerprint::of(content)
}

fn disconnected_at(incarnation: EndpointIncarnation, at: Duration) -> DisconnectedCalls {
    let mut calls = DisconnectedCalls::default();
    calls.on_disconnect(incarnation, call(1), CallPhase::Beginning, LivenessEvidence::Missing, at);
    calls
}

#[test]
fn a_late_crash_is_attributed_to_calls_within_the_window() {
    let mut calls = disconnected_at(INCARNATION, ms(0));

    assert_eq!(
        calls.on_crashed(INCARNATION, CRASH_ATTRIBUTION_WINDOW),
        [(call(1).into(), CallPhase::Beginning)]
    );
}

#[test]
fn a_crash_after_the_window_is_attributed_to_no_call() {
    let mut calls = disconnected_at(INCARNATION, ms(0));

    assert_eq!(calls.on_crashed(INCARNATION, CRASH_ATTRIBUTION_WINDOW + ms(1)), []);
}

#[test]
fn data_that_is_received_later_shows_that_the_endpoint_survived_the_call() {
    let mut calls = disconnected_at(INCARNATION, ms(0));
    calls.on_received(INCARNATION, ms(99));
    assert!(
        calls.remaining_hold(&call(1), ms(10)).is_some(),
        "the data may have been sent before the disconnect"
    );

    calls.on_received(INCARNATION, ms(100));

    assert_eq!(calls.remaining_hold(&call(1), ms(10)), None);
    assert_eq!(calls.on_crashed(INCARNATION, ms(200)), []);
}

#[test]
fn an_answer_after_the_disconnect_releases_the_call_but_does_not_clear_it() {
    let mut calls = DisconnectedCalls::default();
    calls.on_disconnect(
        INCARNATION,
        call(1),
        CallPhase::Waiting,
        LivenessEvidence::Answered,
        ms(0),
    );

    assert_eq!(calls.remaining_hold(&call(1), ms(0)), None);
    assert_eq!(calls.on_crashed(INCARNATION, ms(20)), [(call(1).into(), CallPhase::Waiting)]);
}

#[test]
fn a_call_is_held_briefly_for_one_verdict_and_for_the_whole_window_for_two() {
    let mut calls = disconnected_at(INCARNATION, ms(0));
    assert_eq!(calls.remaining_hold(&call(1), ms(0)), Some(ms(50)));
    assert_eq!(calls.remaining_hold(&call(1), ms(50)), None);
    assert_eq!(calls.remaining_hold(&call(2), ms(0)), None, "another call");

    calls.on_disconnect(
        OTHER_INCARNATION,
        call(1),
        CallPhase::Beginning,
        LivenessEvidence::Missing,
        ms(60),
    );

    assert_eq!(calls.remaining_hold(&call(1), ms(60)), Some(CRASH_ATTRIBUTION_WINDOW));
    assert_eq!(calls.remaining_hold(&call(1), ms(60) + CRASH_ATTRIBUTION_WINDOW), None);
}

#[test]
fn calls_of_an_endpoint_that_left_are_dropped() {
    let mut calls = disconnected_at(INCARNATION, ms(0));

    calls.forget(INCARNATION);

    assert!(calls.is_empty());
    assert_eq!(calls.on_crashed(INCARNATION, ms(1)), []);
}
