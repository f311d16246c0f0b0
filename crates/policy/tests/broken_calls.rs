//! Attribution of crashes to calls whose connections broke.

use std::time::Duration;

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, EndpointLife};
use lynxmount_policy::{BrokenCalls, LifeSign, OBSERVATION_TIME};

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

fn broken_at(life: EndpointLife, at: Duration) -> BrokenCalls {
    let mut calls = BrokenCalls::default();
    calls.on_broken(life, call(1), CallPhase::Beginning, LifeSign::Missing, at);
    calls
}

#[test]
fn a_crash_that_shows_late_is_attributed_to_the_calls_before_it() {
    let mut calls = broken_at(LIFE, ms(0));

    assert_eq!(calls.on_crashed(LIFE, OBSERVATION_TIME), [(call(1), CallPhase::Beginning)]);
}

#[test]
fn a_crash_after_the_observation_speaks_against_no_call() {
    let mut calls = broken_at(LIFE, ms(0));

    assert_eq!(calls.on_crashed(LIFE, OBSERVATION_TIME + ms(1)), []);
}

#[test]
fn an_endpoint_that_is_heard_later_has_outlived_the_call() {
    let mut calls = broken_at(LIFE, ms(0));
    calls.on_heard(LIFE, ms(99));
    assert!(calls.hold(&call(1), ms(10)).is_some(), "what is heard may have been sent before");

    calls.on_heard(LIFE, ms(100));

    assert_eq!(calls.hold(&call(1), ms(10)), None);
    assert_eq!(calls.on_crashed(LIFE, ms(200)), []);
}

#[test]
fn an_endpoint_that_has_answered_since_holds_nothing_and_may_still_crash() {
    let mut calls = BrokenCalls::default();
    calls.on_broken(LIFE, call(1), CallPhase::Waiting, LifeSign::Answered, ms(0));

    assert_eq!(calls.hold(&call(1), ms(0)), None);
    assert_eq!(calls.on_crashed(LIFE, ms(20)), [(call(1), CallPhase::Waiting)]);
}

#[test]
fn a_call_waits_shortly_for_one_verdict_and_for_the_observation_of_two() {
    let mut calls = broken_at(LIFE, ms(0));
    assert_eq!(calls.hold(&call(1), ms(0)), Some(ms(50)));
    assert_eq!(calls.hold(&call(1), ms(50)), None);
    assert_eq!(calls.hold(&call(2), ms(0)), None, "another call");

    calls.on_broken(OTHER_LIFE, call(1), CallPhase::Beginning, LifeSign::Missing, ms(60));

    assert_eq!(calls.hold(&call(1), ms(60)), Some(OBSERVATION_TIME));
    assert_eq!(calls.hold(&call(1), ms(60) + OBSERVATION_TIME), None);
}

#[test]
fn an_endpoint_that_left_speaks_against_no_call() {
    let mut calls = broken_at(LIFE, ms(0));

    calls.forget(LIFE);

    assert!(calls.is_empty());
    assert_eq!(calls.on_crashed(LIFE, ms(1)), []);
}
