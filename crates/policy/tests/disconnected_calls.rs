//! Attribution of crashes to calls whose connections broke.

use std::time::Duration;

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, EndpointLife};
use lynxmount_policy::{CRASH_ATTRIBUTION_WINDOW, DisconnectedCalls, LivenessEvidence};

const LIFE: EndpointLife = 7;
const OTHER_LIFE: EndpointLife = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(number: u8) -> CallFingerprint {
    let path = format!("/{number}");
    let content = CallContent { team: None, method: "GET", host: "", path: &path, body: b"" };
    CallFingerprint::of(content)
}

fn broken_at(life: EndpointLife, at: Duration) -> DisconnectedCalls {
    let mut calls = DisconnectedCalls::default();
    calls.on_disconnect(life, call(1), CallPhase::Beginning, LivenessEvidence::Missing, at);
    calls
}

#[test]
fn a_crash_that_shows_late_is_attributed_to_the_calls_before_it() {
    let mut calls = broken_at(LIFE, ms(0));

    assert_eq!(calls.on_crashed(LIFE, CRASH_ATTRIBUTION_WINDOW), [(call(1), CallPhase::Beginning)]);
}

#[test]
fn a_crash_after_the_observation_speaks_against_no_call() {
    let mut calls = broken_at(LIFE, ms(0));

    assert_eq!(calls.on_crashed(LIFE, CRASH_ATTRIBUTION_WINDOW + ms(1)), []);
}

#[test]
fn an_endpoint_that_is_heard_later_has_outlived_the_call() {
    let mut calls = broken_at(LIFE, ms(0));
    calls.on_received(LIFE, ms(99));
    assert!(
        calls.remaining_hold(&call(1), ms(10)).is_some(),
        "what is heard may have been sent before"
    );

    calls.on_received(LIFE, ms(100));

    assert_eq!(calls.remaining_hold(&call(1), ms(10)), None);
    assert_eq!(calls.on_crashed(LIFE, ms(200)), []);
}

#[test]
fn an_endpoint_that_has_answered_since_holds_nothing_and_may_still_crash() {
    let mut calls = DisconnectedCalls::default();
    calls.on_disconnect(LIFE, call(1), CallPhase::Waiting, LivenessEvidence::Answered, ms(0));

    assert_eq!(calls.remaining_hold(&call(1), ms(0)), None);
    assert_eq!(calls.on_crashed(LIFE, ms(20)), [(call(1), CallPhase::Waiting)]);
}

#[test]
fn a_call_waits_shortly_for_one_verdict_and_for_the_observation_of_two() {
    let mut calls = broken_at(LIFE, ms(0));
    assert_eq!(calls.remaining_hold(&call(1), ms(0)), Some(ms(50)));
    assert_eq!(calls.remaining_hold(&call(1), ms(50)), None);
    assert_eq!(calls.remaining_hold(&call(2), ms(0)), None, "another call");

    calls.on_disconnect(
        OTHER_LIFE,
        call(1),
        CallPhase::Beginning,
        LivenessEvidence::Missing,
        ms(60),
    );

    assert_eq!(calls.remaining_hold(&call(1), ms(60)), Some(CRASH_ATTRIBUTION_WINDOW));
    assert_eq!(calls.remaining_hold(&call(1), ms(60) + CRASH_ATTRIBUTION_WINDOW), None);
}

#[test]
fn an_endpoint_that_left_speaks_against_no_call() {
    let mut calls = broken_at(LIFE, ms(0));

    calls.forget(LIFE);

    assert!(calls.is_empty());
    assert_eq!(calls.on_crashed(LIFE, ms(1)), []);
}
