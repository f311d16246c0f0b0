//! Detection of pauses of the own process.

use std::time::Duration;

use lynxmount_policy::{HEARTBEAT_PERIOD, PauseDetector};

const PAUSE: Duration = Duration::from_secs(4);

/// A detector after some heartbeats, and the time of the last one.
fn running() -> (PauseDetector, Duration) {
    let mut detector = PauseDetector::default();
    let last = (0..10).map(|beat| HEARTBEAT_PERIOD * beat).inspect(|at| detector.on_heartbeat(*at));
    let last = last.last().expect("a heartbeat");
    (detector, last)
}

#[test]
fn requests_of_a_running_process_do_not_wait() {
    let (detector, last) = running();

    assert_eq!(detector.settle_time(last), Duration::ZERO);
    assert_eq!(detector.settle_time(last + HEARTBEAT_PERIOD * 4), Duration::ZERO);
}

#[test]
fn requests_that_are_read_before_the_first_heartbeat_after_a_pause_wait() {
    let (detector, last) = running();

    assert!(detector.settle_time(last + PAUSE) > Duration::ZERO);
}

#[test]
fn requests_wait_for_a_limited_time_after_a_pause() {
    let (mut detector, last) = running();
    let resumed_at = last + PAUSE;

    detector.on_heartbeat(resumed_at);
    let at_once = detector.settle_time(resumed_at);
    detector.on_heartbeat(resumed_at + HEARTBEAT_PERIOD);

    assert!(at_once > HEARTBEAT_PERIOD);
    assert_eq!(detector.settle_time(resumed_at + HEARTBEAT_PERIOD), at_once - HEARTBEAT_PERIOD);
    assert_eq!(detector.settle_time(resumed_at + at_once), Duration::ZERO);
}
