//! Circuit breakers whose open time endpoints ask for.

use std::time::Duration;

use lynxmount_policy::{CircuitBreaker, EndpointBackpressure, LimitShare, MembershipEvidence};
use proptest::prelude::*;

/// How long after a refusal calls may still arrive that were in flight.
const GRACE_MS: u64 = 500;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open_for(open_ms: u64) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    breaker.on_refusal(at_ms(open_ms), at_ms(0));
    breaker
}

#[test]
fn a_breaker_stays_open_as_long_as_asked_and_then_admits_one_call() {
    let mut breaker = open_for(3_000);

    assert!(!breaker.try_acquire(at_ms(2_999)));
    assert!(breaker.try_acquire(at_ms(3_000)));
    assert!(!breaker.try_acquire(at_ms(3_001)));
    assert!(breaker.on_response());
    assert!(breaker.try_acquire(at_ms(3_100)) && breaker.try_acquire(at_ms(3_100)));
}

#[test]
fn an_unanswered_trial_call_does_not_block_others_for_long() {
    let mut breaker = open_for(1_000);
    breaker.try_acquire(at_ms(1_000));

    assert_eq!(breaker.resumes_at(at_ms(1_100)), Some(at_ms(1_500)));
    assert!(breaker.try_acquire(at_ms(1_500)));
}

#[test]
fn an_abandoned_trial_call_lets_another_be_sent() {
    let mut breaker = open_for(1_000);
    breaker.try_acquire(at_ms(1_000));
    breaker.abandon_trial(at_ms(1_010));

    assert!(breaker.try_acquire(at_ms(1_010)));
}

#[test]
fn later_refusals_never_shorten_the_open_time_and_late_answers_do_not_close_the_breaker() {
    let mut breaker = open_for(3_000);

    breaker.on_refusal(at_ms(100), at_ms(200));

    assert!(!breaker.on_response());
    assert_eq!(breaker.resumes_at(at_ms(400)), Some(at_ms(3_000)));
}

#[test]
fn the_open_time_is_bounded_and_zero_does_not_open_the_breaker() {
    assert!(open_for(0).is_closed());
    let mut unbounded = CircuitBreaker::default();
    unbounded.on_refusal(Duration::MAX, at_ms(10));

    assert!(unbounded.resumes_at(at_ms(10)).is_some_and(|at| at < Duration::from_secs(3_600)));
}

#[test]
fn an_acquired_call_is_not_sent_if_the_breaker_has_opened_since() {
    let mut backpressure = EndpointBackpressure::default();
    let share = LimitShare {
        interval: at_ms(100),
        phase: 1.0,
        evidence: MembershipEvidence::Current { since: Duration::ZERO },
    };
    backpressure.rate_limit.on_response(Some(10.0), at_ms(20_000), at_ms(20_000), |_| share);

    let is_acquired = backpressure.try_acquire(at_ms(20_100));
    backpressure.breaker.on_refusal(at_ms(1_000), at_ms(20_110));

    assert!(is_acquired);
    assert!(!backpressure.may_send(at_ms(20_120)));
}

proptest! {
    /// Callers send at random; answers come late, and each asks for another open time.
    #[test]
    fn no_more_than_two_calls_reach_an_endpoint_in_any_open_time(
        steps in proptest::collection::vec((1_u64..60, 0_u64..400, 200_u64..4_000), 50..400),
    ) {
        let mut breaker = CircuitBreaker::default();
        let mut now_ms = 0;
        let mut in_flight: Vec<(u64, u64)> = Vec::new();
        let mut refusals: Vec<(u64, u64)> = Vec::new();
        let mut arrivals: Vec<u64> = Vec::new();
        for (gap_ms, answer_ms, open_ms) in steps {
            now_ms += gap_ms;
            let (due, later) = in_flight.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
            in_flight = later;
            let due: Vec<(u64, u64)> = due;
            for (answered_ms, asked_ms) in due {
                breaker.on_refusal(at_ms(asked_ms), at_ms(now_ms));
                refusals.push((answered_ms, asked_ms));
            }
            if breaker.try_acquire(at_ms(now_ms)) {
                arrivals.push(now_ms);
                in_flight.push((now_ms + answer_ms, open_ms));
            }
        }
        for (answered_ms, asked_ms) in refusals {
            let bound = (answered_ms + GRACE_MS)..(answered_ms + asked_ms);
            let count = arrivals.iter().filter(|at| bound.contains(at)).count();
            prop_assert!(count <= 2, "{count} calls within {asked_ms} ms from {answered_ms}");
        }
    }
}
