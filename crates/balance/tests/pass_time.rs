//! How long passes take, from counts of them.

use std::time::Duration;

use lynxmount_balance::PassTimeTracker;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Reads the count each 100 ms while passes take `pass_ms`.
fn read(time: &mut PassTimeTracker, from_ms: u64, to_ms: u64, pass_ms: u64, is_working: bool) {
    for now in (from_ms..to_ms).step_by(100) {
        time.record(1, now / pass_ms, is_working, at_ms(now));
    }
}

#[test]
fn the_peak_is_that_of_the_longest_passes_and_fades() {
    let mut time = PassTimeTracker::default();
    read(&mut time, 0, 2000, 50, true);
    let calm = time.peak().expect("passes were seen");
    (0..5).for_each(|n| time.record(1, 40 + n, true, at_ms(2000 + 150 * n)));
    let peak = time.peak().expect("passes were seen");

    (1..100).for_each(|n| time.record(1, 44 + 2 * n, true, at_ms(2600 + 100 * n)));

    let faded = time.peak().expect("passes were seen");
    assert!(calm < at_ms(70), "{calm:?}");
    assert!(peak > at_ms(140), "{peak:?}");
    assert!(faded > at_ms(50) && faded < at_ms(100), "{faded:?}");
}

#[test]
fn idle_time_does_not_count() {
    let mut time = PassTimeTracker::default();
    read(&mut time, 0, 3000, 60, true);
    let before = time.peak();

    (3000..9000).step_by(100).for_each(|now| time.record(1, 49, false, at_ms(now)));

    assert_eq!(time.peak(), before);
    assert_eq!(time.current(at_ms(9000)), None);
}

#[test]
fn a_group_that_stands_still_shows_it_at_once() {
    let mut time = PassTimeTracker::default();
    read(&mut time, 0, 3000, 50, true);

    (3000..4000).step_by(100).for_each(|now| time.record(1, 58, true, at_ms(now)));

    let current = time.current(at_ms(4000)).expect("the group works");
    assert!(current >= at_ms(1000), "{current:?}");
}

#[test]
fn a_group_that_forms_anew_is_counted_anew() {
    let mut time = PassTimeTracker::default();
    time.record(1, 5000, true, at_ms(0));

    time.record(2, 3, true, at_ms(1000));
    time.record(2, 13, true, at_ms(2000));

    assert_eq!(time.peak(), Some(at_ms(100)));
}
