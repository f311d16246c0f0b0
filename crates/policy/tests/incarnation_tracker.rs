//! Telling a crashed process from a broken connection.

use std::time::Duration;

use lynxmount_policy::{CRASH_ATTRIBUTION_WINDOW, IncarnationTracker, ProcessVerdict};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A process that has answered on a connection that is kept since 0 ms.
fn serving() -> IncarnationTracker {
    let mut life = IncarnationTracker::default();
    life.on_response(ms(0), ms(10));
    life
}

#[test]
fn connections_that_break_together_show_a_crash_in_either_order() {
    for (broke_at, closed_at) in [(ms(500), ms(501)), (ms(501), ms(500))] {
        let mut life = serving();
        match broke_at < closed_at {
            true => {
                life.on_call_disconnected(broke_at);
                life.on_connection_closed(closed_at);
            }
            false => {
                life.on_connection_closed(closed_at);
                life.on_call_disconnected(broke_at);
            }
        }

        assert_eq!(life.verdict(broke_at), Some(ProcessVerdict::Crashed(0)));
        assert_eq!(life.incarnation(), 1);
    }
}

#[test]
fn a_call_that_breaks_alone_leaves_the_process_alive_once_it_answers() {
    let mut life = serving();
    life.on_call_disconnected(ms(500));
    assert_eq!(life.verdict(ms(500)), None);

    life.on_response(ms(0), ms(500));

    assert_eq!(life.verdict(ms(500)), Some(ProcessVerdict::Alive));
    assert_eq!(life.incarnation(), 0);
}

#[test]
fn an_answer_on_a_later_connection_proves_nothing() {
    let mut life = serving();
    life.on_call_disconnected(ms(500));

    life.on_response(ms(510), ms(511));

    assert_eq!(life.verdict(ms(500)), None);
}

#[test]
fn a_kept_connection_that_breaks_alone_shows_no_crash() {
    let mut life = serving();

    life.on_connection_closed(ms(500));
    life.on_call_disconnected(ms(700));

    assert_eq!(life.verdict(ms(700)), None);
    assert_eq!(life.incarnation(), 0);
}

#[test]
fn a_refused_connection_shows_a_crash_as_long_as_calls_are_observed() {
    let mut life = serving();
    life.on_call_disconnected(ms(500));
    assert!(life.is_in_doubt(ms(500) + CRASH_ATTRIBUTION_WINDOW));

    life.on_refused(ms(500) + CRASH_ATTRIBUTION_WINDOW);

    assert_eq!(life.verdict(ms(500)), Some(ProcessVerdict::Crashed(0)));
    assert!(!life.is_in_doubt(ms(500) + CRASH_ATTRIBUTION_WINDOW));
}

#[test]
fn a_process_that_is_down_ends_once() {
    let mut life = serving();

    life.on_refused(ms(500));
    life.on_refused(ms(600));
    assert_eq!(life.incarnation(), 1);

    life.on_response(ms(700), ms(710));
    life.on_refused(ms(800));
    assert_eq!(life.incarnation(), 2);
}
