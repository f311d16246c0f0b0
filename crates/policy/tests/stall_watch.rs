//! A lock-step service that stands still.

use std::time::Duration;

use lynxmount_policy::StallWatch;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// A service with calls in progress whose last event was at 1 s.
fn busy() -> StallWatch {
    let mut watch = StallWatch::default();
    watch.note_running(8, ms(0));
    watch.note_event(ms(1000));
    watch
}

#[test]
fn calls_without_an_event_for_long_show_a_stall_and_an_event_ends_it() {
    let mut watch = busy();

    assert!(!watch.is_stalled(ms(1400)));
    assert!(watch.is_stalled(ms(1500)));
    watch.note_event(ms(1600));
    assert!(!watch.is_stalled(ms(1700)));
}

#[test]
fn a_service_that_was_idle_or_streams_nothing_is_not_stalled() {
    let mut idle = busy();
    idle.note_running(0, ms(1100));
    idle.note_running(5, ms(9000));
    let mut plain = StallWatch::default();
    plain.note_running(8, ms(0));

    assert!(!idle.is_stalled(ms(9400)));
    assert!(idle.is_stalled(ms(9500)));
    assert!(!plain.is_stalled(ms(9500)));
}

#[test]
fn a_service_that_has_been_left_by_its_callers_is_tried_again() {
    let mut watch = busy();

    watch.note_running(2, ms(3000));

    assert!(!watch.is_stalled(ms(4000)));
}
