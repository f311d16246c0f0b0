//! Tests that calls without a complete response are reported unless their endpoint, their time or
//! a disturbance of their entry is the reason.

mod history_fixture;

use lynxmount_platform_standin::echo_events;
use lynxmount_soak::{
    history::{CallClass, CallRecord, Disturbed, ExecutionRecord, History, Outcome},
    plan::{LinkId, ProcessId},
    promises::Promise,
};

use history_fixture::{TIME_LIMIT, call, disturbance, run, seconds, violated, with_call};

const ENTRY: ProcessId = ProcessId::Entry(0);
const ENDPOINT: usize = 6;
const OTHER_ENDPOINT: usize = 7;

/// When the entry gets SIGTERM, in seconds.
const SIGTERM_S: f64 = 19.0;

/// When the last sixth of its grace time begins, in seconds.
const LAST_SIXTH_S: f64 = SIGTERM_S + 8.0 * 5.0 / 6.0;

/// A stream that was executed by [`ENDPOINT`] and truncated.
fn truncated(sent_s: f64, ended_s: f64) -> History {
    let outcome = Outcome::Truncated { status: 200, received: echo_events("f", 3) };
    let ended = seconds(ended_s);
    let mut history =
        with_call(CallRecord { ended, ..call("f", CallClass::Report, sent_s, outcome) });
    history.runs.push(run("f", ENDPOINT, sent_s));
    history
}

/// A call that was executed by [`ENDPOINT`] and got no response.
fn unanswered() -> History {
    let mut history = with_call(call("f", CallClass::Booking, 20.0, Outcome::NoResponse));
    history.runs.push(run("f", ENDPOINT, 20.0));
    history
}

fn with_drain(mut history: History) -> History {
    history.disturbances.push(disturbance(Disturbed::Leaving(ENTRY), SIGTERM_S, 27.5));
    history
}

fn with_execution(mut history: History, ended_s: f64) -> History {
    let (ended, would_end) = (seconds(ended_s), seconds(60.0));
    history.executions.push(ExecutionRecord {
        id: "f".to_owned(),
        endpoint: ENDPOINT,
        is_started_after_close: false,
        is_canceled: true,
        ended,
        would_end,
    });
    history
}

fn violated_with(history: &History, what: Disturbed, from_s: f64, to_s: f64) -> Vec<Promise> {
    let mut history = history.clone();
    history.disturbances.push(disturbance(what, from_s, to_s));
    violated(&history)
}

#[test]
fn a_truncated_stream_is_reported_at_any_time() {
    assert_eq!(violated(&truncated(20.0, 22.0)), [Promise::NotTruncated]);
    assert_eq!(violated(&with_drain(truncated(20.0, 22.0))), [Promise::LeavesGracefully]);
    assert_eq!(violated(&with_drain(truncated(18.0, 22.0))), [Promise::LeavesGracefully]);
    assert_eq!(violated(&with_drain(truncated(15.0, 18.0))), [Promise::NotTruncated]);
}

#[test]
fn an_unanswered_call_of_a_draining_entry_is_reported_if_it_was_forwarded() {
    let mut raced_with_close = with_drain(unanswered());
    raced_with_close.runs.retain(|run| run.id != "f");
    let mut only_arrived = raced_with_close.clone();
    only_arrived.arrivals.push(run("f", ENDPOINT, 20.0));

    assert_eq!(violated(&with_drain(unanswered())), [Promise::LeavesGracefully]);
    assert_eq!(violated(&only_arrived), [Promise::LeavesGracefully]);
    assert_eq!(violated(&raced_with_close), []);
    assert_eq!(violated(&unanswered()), []);
}

#[test]
fn a_call_that_its_endpoint_breaks_off_is_excused() {
    let is_excused_by = |what| {
        let drained = with_drain(unanswered());
        violated_with(&drained, what, 19.0, 22.0).is_empty()
            && violated_with(&truncated(20.0, 22.0), what, 21.0, 21.5).is_empty()
    };

    let with_execution = |is_canceled| {
        let mut history = with_execution(truncated(20.0, 22.0), 22.0);
        history.executions[0].is_canceled = is_canceled;
        violated_with(&history, Disturbed::Crash(ENDPOINT), 21.0, 21.5)
    };

    assert_eq!(with_execution(false), []);
    assert_eq!(with_execution(true), [Promise::NotTruncated]);
    assert!(is_excused_by(Disturbed::Crash(ENDPOINT)));
    assert!(is_excused_by(Disturbed::Responses(ENDPOINT)));
    assert!(is_excused_by(Disturbed::Link(LinkId::Endpoint(ENDPOINT))));
}

#[test]
fn a_silent_endpoint_another_endpoint_and_an_earlier_fault_are_no_excuse() {
    let stream = truncated(20.0, 22.0);
    let drained = with_drain(unanswered());
    let elsewhere = [
        Disturbed::Endpoint(ENDPOINT),
        Disturbed::Crash(OTHER_ENDPOINT),
        Disturbed::Responses(OTHER_ENDPOINT),
        Disturbed::Link(LinkId::Endpoint(OTHER_ENDPOINT)),
        Disturbed::Link(LinkId::Store(ENTRY)),
        Disturbed::Store,
        Disturbed::Configs,
    ];

    for what in elsewhere {
        let stream = violated_with(&stream, what, 19.0, 23.0);
        assert_eq!(stream, [Promise::NotTruncated], "{what:?}");
        let drained = violated_with(&drained, what, 19.0, 23.0);
        assert_eq!(drained, [Promise::LeavesGracefully], "{what:?}");
    }
    let earlier = violated_with(&stream, Disturbed::Responses(ENDPOINT), 19.0, 19.9);
    assert_eq!(earlier, [Promise::NotTruncated]);
}

#[test]
fn an_entry_that_is_disturbed_during_the_call_is_an_excuse() {
    for what in [Disturbed::Process(ENTRY), Disturbed::Link(LinkId::Callers(0))] {
        let (stream, drained) = (truncated(20.0, 22.0), with_drain(unanswered()));

        assert_eq!(violated_with(&stream, what, 18.0, 20.5), []);
        assert_eq!(violated_with(&drained, what, 18.0, 20.5), []);
        assert_eq!(violated_with(&stream, what, 18.0, 19.5), [Promise::NotTruncated]);
        assert_eq!(violated_with(&drained, what, 18.0, 19.5), [Promise::LeavesGracefully]);
    }
}

#[test]
fn a_call_whose_time_is_over_is_excused() {
    let over_s = 20.0 + TIME_LIMIT.as_secs_f64();

    assert_eq!(violated(&truncated(20.0, over_s - 0.1)), [Promise::NotTruncated]);
    assert_eq!(violated(&truncated(20.0, over_s)), []);
}

#[test]
fn a_call_whose_endpoint_works_in_the_last_sixth_of_the_grace_time_is_excused_if_sent_early() {
    let (early_s, late_s) = (SIGTERM_S + 2.9, SIGTERM_S + 3.1);
    let (before_s, after_s) = (LAST_SIXTH_S - 0.1, LAST_SIXTH_S + 0.1);
    let drained = |sent_s, ended_s| with_drain(truncated(sent_s, ended_s));
    let reported = [
        drained(early_s, after_s),
        with_execution(drained(early_s, after_s), before_s),
        with_execution(drained(early_s, before_s), after_s),
        with_execution(drained(late_s, after_s), after_s),
    ];

    for history in reported {
        assert_eq!(violated(&history), [Promise::LeavesGracefully]);
    }
    assert_eq!(violated(&with_execution(drained(early_s, after_s), after_s)), []);
}
