//! Distinguishes a crashed process from a broken connection.

use std::time::Duration;

use lynxmount_policy::{CRASH_ATTRIBUTION_WINDOW, IncarnationTracker, ProcessVerdict};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A process that has answered on a monitoring connection opened at 0 ms.
fn serving() -> IncarnationTracker {
    let mut tracker = IncarnationTracker::default();
    tracker.on_response(ms(0), ms(10));
    tracker
}

#[test]
fn connections_that_break_together_show_a_crash_in_either_order() {
    for (broke_at, closed_at) in [(ms(500), ms(501)), (ms(501), ms(500))] {
        let mut tracker = serving();
        match broke_at < closed_at {
            true => {
                tracker.on_call_disconnected(broke_at);
                tracker.on_connection_closed(closed_at);
            }
            false => {
                tracker.on_connection_closed(closed_at);
                tracker.on_call_disconnected(broke_at);
            }
        }

        assert_eq!(tracker.verdict(broke_at), Some(ProcessVerdict::Crashed(0)));
        assert_eq!(tracker.incarnation(), 1);
    }
}

#[test]
fn a_process_that_answers_after_one_call_broke_is_alive() {
    let mut tracker = serving();
    tracker.on_call_disconnected(ms(500));
    assert_eq!(tracker.verdict(ms(500)), None);

    tracker.on_response(ms(0), ms(500));

    assert_eq!(tracker.verdict(ms(500)), Some(ProcessVerdict::Alive));
    assert_eq!(tracker.incarnation(), 0);
}

#[test]
fn an_answer_on_a_later_connection_does_not_prove_that_the_process_is_alive() {
    let mut tracker = serving();
    tracker.on_call_disconnected(ms(500));

    tracker.on_response(ms(510), ms(511));

    assert_eq!(tracker.verdict(ms(500)), None);
}

#[test]
fn a_monitoring_connection_that_closes_alone_shows_no_crash() {
    let mut tracker = serving();

    tracker.on_connection_closed(ms(500));
    tracker.on_call_disconnected(ms(700));

    assert_eq!(tracker.verdict(ms(700)), None);
    assert_eq!(tracker.incarnation(), 0);
}

#[test]
fn a_refused_connection_shows_a_crash_within_the_attribution_window() {
    let mut tracker = serving();
    tracker.on_call_disconnected(ms(500));
    assert!(tracker.is_in_doubt(ms(500) + CRASH_ATTRIBUTION_WINDOW));

    tracker.on_refused(ms(500) + CRASH_ATTRIBUTION_WINDOW);

    assert_eq!(tracker.verdict(ms(500)), Some(ProcessVerdict::Crashed(0)));
    assert!(!tracker.is_in_doubt(ms(500) + CRASH_ATTRIBUTION_WINDOW));
}

#[test]
fn a_process_that_stays_down_ends_one_incarnation() {
    let mut tracker = serving();

    tracker.on_refused(ms(500));
    tracker.on_refused(ms(600));
    assert_eq!(tracker.incarnation(), 1);

    tracker.on_response(ms(700), ms(710));
    tracker.on_refused(ms(800));
    assert_eq!(tracker.incarnation(), 2);
}
