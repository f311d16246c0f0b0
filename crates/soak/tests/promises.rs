//! Tests that each check reports exactly the histories that violate its promise.

mod history_fixture;

use lynxmount_platform_standin::{RetryBounds, echo_body, echo_events};
use lynxmount_soak::{
    history::{
        CallClass, CallRecord, ConfigRecord, Disturbed, ExecutionRecord, History, LeaveRecord,
        LeavingSignalRecord, Outcome, PoisonRecord, ProbeRecord, RateLimitRecord, RetryAfterRecord,
        RetryBudgetRecord,
    },
    plan::{LinkId, ProcessId},
    promises::{Promise, STREAM_EVENTS},
};

use history_fixture::{
    answered, call, disturbance, run, seconds, valid_history, violated, with_call,
};

fn probe(version: u64, sent_s: f64, is_known: bool) -> ProbeRecord {
    let ended = seconds(sent_s + 0.01);
    ProbeRecord { entry: 0, incarnation: 1, version, sent: seconds(sent_s), ended, is_known }
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(violated(&valid_history()), []);
}

#[test]
fn responses_that_are_incomplete_or_of_another_call_are_reported() {
    let other = with_call(call("f", CallClass::Lookup, 20.0, answered(200, &echo_body("g"))));
    let short_stream = answered(200, &echo_events("f", STREAM_EVENTS - 1));
    let short = with_call(call("f", CallClass::Draft, 20.0, short_stream));
    let mixed = Outcome::Truncated { status: 200, received: echo_events("g", 3) };
    let mixed = with_call(call("f", CallClass::Draft, 20.0, mixed));
    let unsigned = Outcome::Completed { status: 200, is_signed: false, body: echo_body("f") };
    let unsigned = with_call(call("f", CallClass::Lookup, 20.0, unsigned));

    for history in [other, short, unsigned] {
        assert_eq!(violated(&history), [Promise::WholeAnswer]);
    }
    assert_eq!(violated(&mixed), [Promise::WholeAnswer, Promise::NotTruncated]);
}

#[test]
fn second_executions_and_false_not_run_responses_are_reported() {
    let mut twice = valid_history();
    twice.runs.push(run("b", 4, 11.5));
    let mut untrue = valid_history();
    untrue.runs.push(run("d", 3, 30.0));

    assert_eq!(violated(&twice), [Promise::AtMostOnce]);
    assert_eq!(violated(&untrue), [Promise::NotRun]);
}

#[test]
fn rejected_valid_calls_are_reported() {
    let denied = with_call(call("f", CallClass::Lookup, 20.0, answered(404, "")));

    assert_eq!(violated(&denied), [Promise::NotDenied]);
}

#[test]
fn calls_without_a_response_are_reported_unless_their_entry_was_disturbed() {
    let mut history = with_call(call("f", CallClass::Lookup, 20.0, Outcome::TimedOut));
    let before = violated(&history);

    let entry = Disturbed::Process(ProcessId::Entry(0));
    history.disturbances.push(disturbance(entry, 19.0, 19.5));

    assert_eq!(before, [Promise::Answered]);
    assert_eq!(violated(&history), []);
}

/// A call that its caller abandons at 22 s.
fn abandoned_call(id: &str) -> CallRecord {
    let abandoned = Outcome::Abandoned { received: String::new() };
    CallRecord { ended: seconds(22.0), ..call(id, CallClass::Draft, 20.0, abandoned) }
}

fn execution(id: &str, ended_s: f64, would_end_s: f64) -> ExecutionRecord {
    ExecutionRecord {
        id: id.to_owned(),
        endpoint: 6,
        is_started_after_close: true,
        is_canceled: true,
        ended: seconds(ended_s),
        would_end: seconds(would_end_s),
    }
}

#[test]
fn an_abandoned_stream_is_reported_unless_its_entry_was_disturbed() {
    let mut history = with_call(abandoned_call("f"));
    let before = violated(&history);

    let link = Disturbed::Link(LinkId::Callers(0));
    history.disturbances.push(disturbance(link, 19.0, 19.5));

    assert_eq!(before, [Promise::AnsweredBeforeLeaving]);
    assert_eq!(violated(&history), []);
}

/// A stream with two events that its caller abandons at 22 s.
fn abandoned_stream(id: &str) -> CallRecord {
    let outcome = Outcome::Abandoned { received: echo_events(id, 2) };
    CallRecord { outcome, ..abandoned_call(id) }
}

#[test]
fn a_stream_that_its_caller_leaves_is_reported_unless_its_endpoint_was_silent() {
    let mut history = with_call(abandoned_stream("f"));
    history.executions.push(execution("f", 22.0, 25.0));
    let mut other = history.clone();
    let mut over = history.clone();
    let mut unanswered = with_call(abandoned_call("f"));
    unanswered.executions.push(execution("f", 22.0, 25.0));
    let sound = violated(&history);

    history.disturbances.push(disturbance(Disturbed::Paused(6), 20.5, 23.0));
    other.disturbances.push(disturbance(Disturbed::Paused(7), 20.5, 23.0));
    over.disturbances.push(disturbance(Disturbed::Paused(6), 19.0, 19.9));
    unanswered.disturbances.push(disturbance(Disturbed::Paused(6), 20.5, 23.0));

    assert_eq!(violated(&history), []);
    for reported in [sound, violated(&other), violated(&over), violated(&unanswered)] {
        assert_eq!(reported, [Promise::AnsweredBeforeLeaving]);
    }
}

#[test]
fn work_on_a_frozen_machine_counts_from_its_thaw_unless_it_starts_then() {
    let mut history = with_call(abandoned_stream("f"));
    history.disturbances.push(disturbance(Disturbed::Frozen(6), 20.5, 24.0));
    let running = |ended_s| ExecutionRecord {
        is_started_after_close: false,
        ..execution("f", ended_s, 29.0)
    };
    let with_execution = |execution| History { executions: vec![execution], ..history.clone() };

    let ended = violated(&with_execution(running(24.1)));
    let went_on = violated(&with_execution(running(24.6)));
    let started = violated(&with_execution(execution("f", 24.1, 29.0)));

    assert_eq!(ended, []);
    assert_eq!(went_on, [Promise::NoWorkForGoneCallers]);
    assert_eq!(started, [Promise::NoWorkForGoneCallers]);
}

/// A machine thaws after the last of several freezes that overlap.
#[test]
fn work_on_a_machine_that_freezes_again_counts_from_its_last_thaw() {
    let mut history = with_call(abandoned_stream("f"));
    history.disturbances.push(disturbance(Disturbed::Frozen(6), 20.5, 24.0));
    history.disturbances.push(disturbance(Disturbed::Frozen(6), 23.0, 26.0));
    history.disturbances.push(disturbance(Disturbed::Frozen(6), 27.0, 28.0));
    history.disturbances.push(disturbance(Disturbed::Frozen(7), 25.0, 29.0));
    let running = |ended_s| ExecutionRecord {
        is_started_after_close: false,
        ..execution("f", ended_s, 29.0)
    };
    let with_execution = |execution| History { executions: vec![execution], ..history.clone() };

    let ended = violated(&with_execution(running(26.1)));
    let went_on = violated(&with_execution(running(26.6)));

    assert_eq!(ended, []);
    assert_eq!(went_on, [Promise::NoWorkForGoneCallers]);
}

#[test]
fn events_received_before_the_caller_left_must_belong_to_its_call() {
    let abandoned = Outcome::Abandoned { received: echo_events("g", 2) };
    let mut history = with_call(CallRecord { outcome: abandoned, ..abandoned_call("f") });
    let entry = Disturbed::Process(ProcessId::Entry(0));
    history.disturbances.push(disturbance(entry, 19.0, 19.5));

    assert_eq!(violated(&history), [Promise::WholeAnswer]);
}

#[test]
fn uncanceled_executions_of_abandoned_calls_are_reported() {
    let mut history = with_call(abandoned_call("f"));
    history.executions.push(execution("f", 24.0, 24.0));
    let one_of_one = violated(&history);
    history.executions.extend([
        execution("f", 22.1, 25.0),
        execution("f", 22.1, 25.0),
        execution("f", 22.1, 25.0),
    ]);
    let one_of_four = violated(&history);
    history.executions.push(execution("f", 22.6, 25.0));

    assert_eq!(one_of_one, [Promise::AnsweredBeforeLeaving, Promise::NoWorkForGoneCallers]);
    assert_eq!(one_of_four, [Promise::AnsweredBeforeLeaving]);
    assert_eq!(violated(&history), one_of_one);
}

#[test]
fn uncanceled_executions_are_excused_by_a_disturbed_entry_or_endpoint_link() {
    let mut history = with_call(abandoned_call("f"));
    history.executions.push(execution("f", 24.0, 24.0));
    let mut cut_off = history.clone();
    let (entry, link) = (ProcessId::Entry(0), LinkId::Endpoint(6));
    history.disturbances.push(disturbance(Disturbed::Process(entry), 19.0, 19.5));
    cut_off.disturbances.push(disturbance(Disturbed::Link(link), 21.0, 23.0));

    assert_eq!(violated(&history), []);
    assert_eq!(violated(&cut_off), [Promise::AnsweredBeforeLeaving]);
}

#[test]
fn requests_to_a_draining_endpoint_are_reported_unless_the_store_was_disturbed() {
    let mut history = valid_history();
    history.leaves.push(LeaveRecord { endpoint: 0, from: seconds(20.0), to: seconds(40.0) });
    history.runs.push(run("late", 0, 25.0));
    let before = violated(&history);

    let link = Disturbed::Link(LinkId::Store(ProcessId::Entry(1)));
    history.disturbances.push(disturbance(link, 18.0, 18.5));

    assert_eq!(before, [Promise::LeavingGetsNothing]);
    assert_eq!(violated(&history), []);
}

#[test]
fn requests_beyond_a_rate_limit_are_reported_unless_their_entry_was_disturbed() {
    let limit =
        RateLimitRecord { endpoint: 0, limit_per_s: 1.0, from: seconds(20.0), to: seconds(30.0) };
    let mut history = History { rate_limits: vec![limit], ..valid_history() };
    for number in 0..50 {
        let (id, at_s) = (format!("l{number}"), 20.0 + 0.2 * f64::from(number));
        history.calls.push(call(&id, CallClass::Lookup, at_s, answered(200, &echo_body(&id))));
        history.arrivals.push(run(&id, 0, at_s));
    }
    let mut within = history.clone();
    within.arrivals = within.arrivals.into_iter().step_by(5).collect();
    let mut disturbed = history.clone();
    let entry = Disturbed::Process(ProcessId::Entry(0));
    disturbed.disturbances.push(disturbance(entry, 21.0, 22.0));

    assert_eq!(violated(&history), [Promise::KeepsLimits]);
    assert_eq!(violated(&within), []);
    assert_eq!(violated(&disturbed), []);
}

#[test]
fn requests_within_a_retry_after_time_are_reported_unless_their_entry_was_disturbed() {
    let (retry_after, from, to) = (seconds(3.0), seconds(20.0), seconds(30.0));
    let mut history = History {
        retry_afters: vec![RetryAfterRecord { endpoint: 0, retry_after, from, to }],
        ..valid_history()
    };
    for number in 0..8 {
        let (id, at_s) = (format!("r{number}"), 20.0 + 0.7 * f64::from(number));
        history.calls.push(call(&id, CallClass::Lookup, at_s, answered(503, "")));
        history.arrivals.push(run(&id, 0, at_s));
    }
    let mut honoured = history.clone();
    honoured.arrivals = honoured.arrivals.into_iter().step_by(5).collect();
    let mut disturbed = history.clone();
    let entry = Disturbed::Process(ProcessId::Entry(0));
    disturbed.disturbances.push(disturbance(entry, 21.0, 22.0));

    assert_eq!(violated(&history), [Promise::GrantsRest]);
    assert_eq!(violated(&honoured), []);
    assert_eq!(violated(&disturbed), []);
}

#[test]
fn requests_after_a_leaving_signal_are_reported() {
    let signal = LeavingSignalRecord { endpoint: 0, from: seconds(20.0), to: seconds(30.0) };
    let mut history = History { leaving_signals: vec![signal], ..valid_history() };
    for at_s in [20.1, 22.0, 25.0] {
        let id = format!("s{at_s}");
        history.calls.push(call(&id, CallClass::Lookup, at_s, answered(200, &echo_body(&id))));
        history.arrivals.push(run(&id, 0, at_s));
    }
    let mut in_time = history.clone();
    in_time.arrivals.pop();

    assert_eq!(violated(&history), [Promise::LeavingGetsNothing]);
    assert_eq!(violated(&in_time), []);
}

#[test]
fn a_configuration_that_is_late_or_rolled_back_is_reported() {
    let mut late = valid_history();
    late.configs.push(ConfigRecord { version: 2, at: seconds(20.0) });
    late.probes.push(probe(2, 30.0, false));
    let mut back = valid_history();
    back.configs.push(ConfigRecord { version: 2, at: seconds(20.0) });
    back.probes.extend([probe(2, 22.0, true), probe(1, 23.0, true)]);

    assert_eq!(violated(&late), [Promise::ConfigInForce]);
    assert_eq!(violated(&back), [Promise::ConfigNeverBack]);
}

#[test]
fn a_configuration_that_is_late_after_a_silence_is_reported() {
    let mut history = valid_history();
    history.configs.push(ConfigRecord { version: 2, at: seconds(21.0) });
    history.disturbances.push(disturbance(Disturbed::Configs, 20.0, 24.0));
    let with_refusal = |sent_s| {
        let mut history = history.clone();
        history.probes.push(probe(2, sent_s, false));
        violated(&history)
    };

    assert_eq!(with_refusal(23.9), []);
    assert_eq!(with_refusal(26.9), []);
    assert_eq!(with_refusal(27.1), [Promise::ConfigInForce]);
}

#[test]
fn a_split_map_an_idle_group_and_a_service_that_does_not_recover_are_reported() {
    let split = History { split_pass: Some(7), ..valid_history() };
    let idle = History { passes_after: 0, ..valid_history() };
    let mut failing = valid_history();
    let last = failing.calls.len() - 1;
    failing.calls[last].outcome = answered(503, "");

    assert_eq!(violated(&split), [Promise::OneMap]);
    assert_eq!(violated(&idle), [Promise::Recovers]);
    assert_eq!(violated(&failing), [Promise::Recovers]);
}

#[test]
fn processes_that_exit_by_themselves_are_reported() {
    let history = History { ends: vec!["entry-0 exited by itself".into()], ..valid_history() };

    assert_eq!(violated(&history), [Promise::Ends]);
}

fn poisoned(crashes: u32) -> History {
    let mut history = valid_history();
    let (from, to) = (seconds(20.0), seconds(24.0));
    history.poisons.push(PoisonRecord { endpoints: 0..3, from, to, crashes });
    history
}

#[test]
fn poison_requests_that_crash_more_endpoints_than_allowed_are_reported() {
    assert_eq!(violated(&poisoned(6)), []);
    assert_eq!(violated(&poisoned(7)), [Promise::Quarantines]);

    let mut disturbed = poisoned(7);
    let link = Disturbed::Link(LinkId::Endpoint(2));
    disturbed.disturbances.push(disturbance(link, 21.0, 22.0));
    assert_eq!(violated(&disturbed), []);
}

#[test]
fn requests_to_a_former_incarnation_are_not_asked_to_rest() {
    let record = RetryAfterRecord {
        endpoint: 0,
        retry_after: seconds(4.0),
        from: seconds(5.0),
        to: seconds(12.0),
    };
    let calls = (0..7).map(|n| call(&format!("r{n}"), CallClass::Lookup, 6.0, Outcome::NoResponse));
    let arrivals: Vec<_> =
        (0..7).map(|n| run(&format!("r{n}"), 0, 6.0 + 0.3 * f64::from(n))).collect();
    let mut refused = History { retry_afters: vec![record], ..valid_history() };
    refused.calls.extend(calls);
    refused.arrivals.extend(arrivals.clone());
    let misdirected = History { misdirected: arrivals, ..refused.clone() };

    assert_eq!(violated(&refused), [Promise::GrantsRest]);
    assert_eq!(violated(&misdirected), []);
}

#[test]
fn too_many_repeated_arrivals_are_reported() {
    let bounds = RetryBounds { ratio: 0.2, slack: 2.0, window: seconds(10.0) };
    let retry_budget = Some(RetryBudgetRecord { bounds, endpoints_per_service: 3 });
    let history = |repeats: usize| {
        let mut history = History { retry_budget, ..valid_history() };
        let call = history.calls.iter().find(|call| call.class == CallClass::Lookup);
        let (id, sent_s) = call.map(|call| (call.id.clone(), call.sent.as_secs_f64())).unwrap();
        let arrivals = (0..=repeats).map(|number| run(&id, 0, sent_s + 0.1 * number as f64));
        history.arrivals = arrivals.collect();
        history
    };

    assert_eq!(violated(&history(2)), []);
    assert_eq!(violated(&history(4)), [Promise::KeepsRetryBudget]);
}
