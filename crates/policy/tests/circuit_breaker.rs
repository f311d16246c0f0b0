//! The rest that an endpoint asks for.

use std::time::Duration;

use lynxmount_policy::{CircuitBreaker, EndpointBackpressure, LimitShare};
use proptest::prelude::*;

/// How long after a refusal the rest binds.
const GRACE_MS: u64 = 500;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn resting(rest_ms: u64) -> CircuitBreaker {
    let mut rest = CircuitBreaker::default();
    rest.on_refusal(at_ms(rest_ms), at_ms(0));
    rest
}

#[test]
fn an_endpoint_rests_as_long_as_it_asked_and_then_gets_one_call() {
    let mut rest = resting(3_000);

    assert!(!rest.try_acquire(at_ms(2_999)));
    assert!(rest.try_acquire(at_ms(3_000)));
    assert!(!rest.try_acquire(at_ms(3_001)));
    assert!(rest.on_response());
    assert!(rest.try_acquire(at_ms(3_100)) && rest.try_acquire(at_ms(3_100)));
}

#[test]
fn a_first_call_without_an_answer_does_not_hold_others_up_for_long() {
    let mut rest = resting(1_000);
    rest.try_acquire(at_ms(1_000));

    assert_eq!(rest.resumes_at(at_ms(1_100)), Some(at_ms(1_500)));
    assert!(rest.try_acquire(at_ms(1_500)));
}

#[test]
fn a_first_call_that_was_not_sent_leaves_its_turn_to_another() {
    let mut rest = resting(1_000);
    rest.try_acquire(at_ms(1_000));
    rest.abandon_trial(at_ms(1_010));

    assert!(rest.try_acquire(at_ms(1_010)));
}

#[test]
fn later_refusals_never_shorten_a_rest_and_answers_to_earlier_calls_do_not_end_it() {
    let mut rest = resting(3_000);

    rest.on_refusal(at_ms(100), at_ms(200));

    assert!(!rest.on_response());
    assert_eq!(rest.resumes_at(at_ms(400)), Some(at_ms(3_000)));
}

#[test]
fn no_rest_is_endless_and_none_is_no_rest() {
    assert!(resting(0).is_closed());
    let mut endless = CircuitBreaker::default();
    endless.on_refusal(Duration::MAX, at_ms(10));

    assert!(endless.resumes_at(at_ms(10)).is_some_and(|at| at < Duration::from_secs(3_600)));
}

#[test]
fn a_call_in_turn_under_a_limit_is_not_sent_to_an_endpoint_that_rests_since() {
    let mut advice = EndpointBackpressure::default();
    let share = LimitShare { interval: at_ms(100), phase: 1.0 };
    advice.rate_limit.on_response(Some(10.0), at_ms(20_000), at_ms(20_000), |_| share);

    let is_taken = advice.try_acquire(at_ms(20_100));
    advice.breaker.on_refusal(at_ms(1_000), at_ms(20_110));

    assert!(is_taken);
    assert!(!advice.may_send(at_ms(20_120)));
}

proptest! {
    /// Many callers press at random; answers come late, and each asks for another rest.
    #[test]
    fn no_more_than_two_calls_reach_an_endpoint_in_any_time_of_rest(
        steps in proptest::collection::vec((1_u64..60, 0_u64..400, 200_u64..4_000), 50..400),
    ) {
        let mut rest = CircuitBreaker::default();
        let mut now_ms = 0;
        let mut under_way: Vec<(u64, u64)> = Vec::new();
        let mut refusals: Vec<(u64, u64)> = Vec::new();
        let mut arrivals: Vec<u64> = Vec::new();
        for (pause_ms, answer_ms, rest_ms) in steps {
            now_ms += pause_ms;
            let (due, later) = under_way.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
            under_way = later;
            let due: Vec<(u64, u64)> = due;
            for (answered_ms, asked_ms) in due {
                rest.on_refusal(at_ms(asked_ms), at_ms(now_ms));
                refusals.push((answered_ms, asked_ms));
            }
            if rest.try_acquire(at_ms(now_ms)) {
                arrivals.push(now_ms);
                under_way.push((now_ms + answer_ms, rest_ms));
            }
        }
        for (answered_ms, asked_ms) in refusals {
            let bound = (answered_ms + GRACE_MS)..(answered_ms + asked_ms);
            let count = arrivals.iter().filter(|at| bound.contains(at)).count();
            prop_assert!(count <= 2, "{count} calls in the rest of {asked_ms} ms from {answered_ms}");
        }
    }
}
