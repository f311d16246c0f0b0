//! The time between passes, from readings of a step counter.

use std::time::Duration;

use lynxmount_balance::PassTimeTracker;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Reads the step counter every 100 ms while passes take `pass_ms`.
fn read(tracker: &mut PassTimeTracker, from_ms: u64, to_ms: u64, pass_ms: u64, is_working: bool) {
    for now in (from_ms..to_ms).step_by(100) {
        tracker.record(1, now / pass_ms, is_working, at_ms(now));
    }
}

#[test]
fn the_peak_follows_the_longest_passes_and_decays() {
    let mut tracker = PassTimeTracker::default();
    read(&mut tracker, 0, 2000, 50, true);
    let initial = tracker.peak().expect("passes were recorded");
    (0..5).for_each(|n| tracker.record(1, 40 + n, true, at_ms(2000 + 150 * n)));
    let peak = tracker.peak().expect("passes were recorded");

    (1..100).for_each(|n| tracker.record(1, 44 + 2 * n, true, at_ms(2600 + 100 * n)));

    let decayed = tracker.peak().expect("passes were recorded");
    assert!(initial < at_ms(70), "{initial:?}");
    assert!(peak > at_ms(140), "{peak:?}");
    assert!(decayed > at_ms(50) && decayed < at_ms(100), "{decayed:?}");
}

#[test]
fn idle_time_does_not_count() {
    let mut tracker = PassTimeTracker::default();
    read(&mut tracker, 0, 3000, 60, true);
    let before = tracker.peak();

    (3000..9000).step_by(100).for_each(|now| tracker.record(1, 49, false, at_ms(now)));

    assert_eq!(tracker.peak(), before);
    assert_eq!(tracker.current(at_ms(9000)), None);
}

#[test]
fn a_stall_shows_in_the_current_pass_time() {
    let mut tracker = PassTimeTracker::default();
    read(&mut tracker, 0, 3000, 50, true);

    (3000..4000).step_by(100).for_each(|now| tracker.record(1, 58, true, at_ms(now)));

    let current = tracker.current(at_ms(4000)).expect("the group works");
    assert!(current >= at_ms(1000), "{current:?}");
}

#[test]
fn a_new_epoch_restarts_the_count() {
    let mut tracker = PassTimeTracker::default();
    tracker.record(1, 5000, true, at_ms(0));

    tracker.record(2, 3, true, at_ms(1000));
    tracker.record(2, 13, true, at_ms(2000));

    assert_eq!(tracker.peak(), Some(at_ms(100)));
}
