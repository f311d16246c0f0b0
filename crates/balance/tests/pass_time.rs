//! How long passes take, from counts of them.

use std::time::Duration;

use lynxmount_balance::PassTime;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Reads the count each 100 ms while passes take `pass_ms`.
fn read(time: &mut PassTime, from_ms: u64, to_ms: u64, pass_ms: u64, is_working: bool) {
    for now in (from_ms..to_ms).step_by(100) {
        time.note(1, now / pass_ms, is_working, at_ms(now));
    }
}

#[test]
fn the_mean_is_the_time_between_passes() {
    let mut time = PassTime::default();

    read(&mut time, 0, 5000, 60, true);

    let mean_ms = time.mean().expect("passes were seen").as_secs_f64() * 1000.0;
    assert!((55.0..65.0).contains(&mean_ms), "{mean_ms}");
}

#[test]
fn idle_time_does_not_count() {
    let mut time = PassTime::default();
    read(&mut time, 0, 3000, 60, true);
    let before = time.mean();

    (3000..9000).step_by(100).for_each(|now| time.note(1, 49, false, at_ms(now)));

    assert_eq!(time.mean(), before);
}

#[test]
fn a_group_that_forms_anew_is_counted_anew() {
    let mut time = PassTime::default();
    time.note(1, 5000, true, at_ms(0));

    time.note(2, 3, true, at_ms(1000));
    time.note(2, 13, true, at_ms(2000));

    assert_eq!(time.mean(), Some(at_ms(100)));
}
