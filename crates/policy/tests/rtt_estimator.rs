//! How long an answer is waited for before a message is sent again.

use std::time::Duration;

use lynxmount_policy::RttEstimator;

const FIRST: Duration = Duration::from_millis(250);
const LEAST: Duration = Duration::from_millis(90);
const MOST: Duration = Duration::from_millis(600);

fn after(answers_ms: &[u64]) -> Duration {
    let mut answers = RttEstimator::new(FIRST, LEAST, MOST);
    answers_ms.iter().for_each(|took_ms| answers.record(Duration::from_millis(*took_ms)));
    answers.timeout()
}

#[test]
fn the_first_time_holds_until_an_answer_has_come() {
    assert_eq!(after(&[]), FIRST);
}

#[test]
fn answers_that_take_long_are_waited_for_longer() {
    let timeout = after(&[160, 200, 180, 220, 170, 210]);

    assert!(timeout > Duration::from_millis(220), "{timeout:?}");
    assert!(timeout < Duration::from_millis(500), "{timeout:?}");
}

#[test]
fn quick_answers_are_not_waited_for_less_than_the_least_time() {
    assert_eq!(after(&[5; 30]), LEAST);
}

#[test]
fn no_answer_is_waited_for_longer_than_the_most() {
    assert_eq!(after(&[5_000, 10, 5_000]), MOST);
}

#[test]
fn what_was_slow_once_is_forgotten() {
    let answers: Vec<u64> = [500].into_iter().chain([20; 40]).collect();

    assert_eq!(after(&answers), LEAST);
}
