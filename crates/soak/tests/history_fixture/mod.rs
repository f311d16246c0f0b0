//! Histories for tests of the checks.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::time::Duration;

use lynxmount_platform_standin::{echo_body, echo_events};
use lynxmount_soak::{
    history::{
        CallClass, CallRecord, ConfigRecord, Disturbance, Disturbed, History, Outcome, RunRecord,
    },
    promises::{Promise, RECOVERY_TIME, STREAM_EVENTS, check_history},
};

pub(crate) const FAULTS_OVER: Duration = Duration::from_secs(60);

/// How long each call may take.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn seconds(time_s: f64) -> Duration {
    Duration::from_secs_f64(time_s)
}

pub(crate) fn answered(status: u16, body: &str) -> Outcome {
    Outcome::Completed { status, is_signed: status == 200, body: body.to_owned() }
}

pub(crate) fn call(id: &str, class: CallClass, sent_s: f64, outcome: Outcome) -> CallRecord {
    let ended = seconds(sent_s + 0.1);
    CallRecord {
        id: id.to_owned(),
        class,
        events: STREAM_EVENTS,
        entry: 0,
        sent: seconds(sent_s),
        time_limit: TIME_LIMIT,
        ended,
        outcome,
    }
}

pub(crate) fn run(id: &str, endpoint: usize, at_s: f64) -> RunRecord {
    RunRecord { id: id.to_owned(), endpoint, at: seconds(at_s) }
}

pub(crate) fn disturbance(what: Disturbed, from_s: f64, to_s: f64) -> Disturbance {
    Disturbance { what, from: seconds(from_s), to: seconds(to_s) }
}

/// A history without violations.
pub(crate) fn valid_history() -> History {
    let after = (FAULTS_OVER + RECOVERY_TIME).as_secs_f64() + 1.0;
    let calls = vec![
        call("a", CallClass::Lookup, 10.0, answered(200, &echo_body("a"))),
        call("b", CallClass::Booking, 11.0, answered(200, &echo_body("b"))),
        call("c", CallClass::Draft, 12.0, answered(200, &echo_events("c", STREAM_EVENTS))),
        call("d", CallClass::Booking, 13.0, answered(503, "")),
        call("e", CallClass::Lookup, after, answered(200, &echo_body("e"))),
    ];
    History {
        calls,
        runs: vec![run("a", 0, 10.0), run("b", 3, 11.0), run("c", 6, 12.0), run("e", 0, after)],
        configs: vec![ConfigRecord { version: 1, at: seconds(0.0) }],
        passes_after: 100,
        faults_over: FAULTS_OVER,
        ..History::default()
    }
}

pub(crate) fn violated(history: &History) -> Vec<Promise> {
    check_history(history).into_iter().map(|violation| violation.promise).collect()
}

pub(crate) fn with_call(call: CallRecord) -> History {
    let mut history = valid_history();
    history.calls.push(call);
    history
}
