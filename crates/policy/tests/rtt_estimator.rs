//! Retransmission timeouts from measured response times.

use std::time::Duration;

use lynxmount_policy::RttEstimator;

const INITIAL: Duration = Duration::from_millis(250);
const MIN: Duration = Duration::from_millis(90);
const MAX: Duration = Duration::from_millis(600);

fn timeout_after(samples_ms: &[u64]) -> Duration {
    let mut estimator = RttEstimator::new(INITIAL, MIN, MAX);
    samples_ms.iter().for_each(|sample_ms| estimator.record(Duration::from_millis(*sample_ms)));
    estimator.timeout()
}

#[test]
fn the_initial_timeout_applies_before_the_first_sample() {
    assert_eq!(timeout_after(&[]), INITIAL);
}

#[test]
fn slow_responses_raise_the_timeout() {
    let timeout = timeout_after(&[160, 200, 180, 220, 170, 210]);

    assert!(timeout > Duration::from_millis(220), "{timeout:?}");
    assert!(timeout < Duration::from_millis(500), "{timeout:?}");
}

#[test]
fn fast_responses_do_not_lower_the_timeout_below_the_minimum() {
    assert_eq!(timeout_after(&[5; 30]), MIN);
}

#[test]
fn slow_responses_do_not_raise_the_timeout_above_the_maximum() {
    assert_eq!(timeout_after(&[5_000, 10, 5_000]), MAX);
}

#[test]
fn the_timeout_falls_again_after_one_slow_response() {
    let samples_ms: Vec<u64> = [500].into_iter().chain([20; 40]).collect();

    assert_eq!(timeout_after(&samples_ms), MIN);
}
