//! Each promise is seen to be broken by a history that breaks it, and by no other.

use std::time::Duration;

use lynxmount_platform_standin::{echo_body, echo_events};
use lynxmount_soak::{
    history::{
        CallRecord, CallSort, ConfigRecord, Disturbance, Disturbed, History, LeaveRecord,
        LimitRecord, Outcome, PoisonRecord, ProbeRecord, RestRecord, RunRecord, SaidLeavingRecord,
        WorkRecord,
    },
    plan::{LinkId, ProcessId},
    promises::{Promise, RECOVERY, STREAM_EVENTS, judge},
};

const FAULTS_OVER: Duration = Duration::from_secs(60);

fn seconds(time_s: f64) -> Duration {
    Duration::from_secs_f64(time_s)
}

fn answered(status: u16, body: &str) -> Outcome {
    Outcome::Answered { status, is_signed: status == 200, body: body.to_owned() }
}

fn call(id: &str, sort: CallSort, sent_s: f64, outcome: Outcome) -> CallRecord {
    let ended = seconds(sent_s + 0.1);
    CallRecord { id: id.to_owned(), sort, entry: 0, sent: seconds(sent_s), ended, outcome }
}

fn run(id: &str, endpoint: usize, at_s: f64) -> RunRecord {
    RunRecord { id: id.to_owned(), endpoint, at: seconds(at_s) }
}

fn probe(version: u64, sent_s: f64, is_known: bool) -> ProbeRecord {
    let ended = seconds(sent_s + 0.01);
    ProbeRecord { entry: 0, life: 1, version, sent: seconds(sent_s), ended, is_known }
}

fn disturbance(what: Disturbed, from_s: f64, to_s: f64) -> Disturbance {
    Disturbance { what, from: seconds(from_s), to: seconds(to_s) }
}

/// A history in which nothing is broken.
fn good() -> History {
    let after = (FAULTS_OVER + RECOVERY).as_secs_f64() + 1.0;
    let calls = vec![
        call("a", CallSort::Lookup, 10.0, answered(200, &echo_body("a"))),
        call("b", CallSort::Booking, 11.0, answered(200, &echo_body("b"))),
        call("c", CallSort::Draft, 12.0, answered(200, &echo_events("c", STREAM_EVENTS))),
        call("d", CallSort::Booking, 13.0, answered(503, "")),
        call("e", CallSort::Lookup, after, answered(200, &echo_body("e"))),
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

fn broken(history: &History) -> Vec<Promise> {
    judge(history).into_iter().map(|violation| violation.promise).collect()
}

fn with_call(call: CallRecord) -> History {
    let mut history = good();
    history.calls.push(call);
    history
}

#[test]
fn a_good_history_breaks_nothing() {
    assert_eq!(broken(&good()), []);
}

#[test]
fn answers_that_are_not_whole_or_not_the_calls_own_are_seen() {
    let other = with_call(call("f", CallSort::Lookup, 20.0, answered(200, &echo_body("g"))));
    let short_stream = answered(200, &echo_events("f", STREAM_EVENTS - 1));
    let short = with_call(call("f", CallSort::Draft, 20.0, short_stream));
    let mixed = Outcome::Cut { status: 200, received: echo_events("g", 3) };
    let mixed = with_call(call("f", CallSort::Draft, 20.0, mixed));
    let unsigned = Outcome::Answered { status: 200, is_signed: false, body: echo_body("f") };
    let unsigned = with_call(call("f", CallSort::Lookup, 20.0, unsigned));

    for history in [other, short, mixed, unsigned] {
        assert_eq!(broken(&history), [Promise::WholeAnswer]);
    }
}

#[test]
fn a_cut_stream_is_no_whole_answer_and_breaks_nothing() {
    let cut = Outcome::Cut { status: 200, received: echo_events("f", 3) };

    assert_eq!(broken(&with_call(call("f", CallSort::Draft, 20.0, cut))), []);
}

#[test]
fn second_runs_and_untrue_refusals_are_seen() {
    let mut twice = good();
    twice.runs.push(run("b", 4, 11.5));
    let mut untrue = good();
    untrue.runs.push(run("d", 3, 30.0));

    assert_eq!(broken(&twice), [Promise::AtMostOnce]);
    assert_eq!(broken(&untrue), [Promise::NotRun]);
}

#[test]
fn proper_calls_that_are_called_wrong_are_seen() {
    let denied = with_call(call("f", CallSort::Lookup, 20.0, answered(404, "")));

    assert_eq!(broken(&denied), [Promise::NotDenied]);
}

#[test]
fn calls_without_an_answer_count_unless_their_entry_was_disturbed() {
    let mut history = with_call(call("f", CallSort::Lookup, 20.0, Outcome::Unanswered));
    let before = broken(&history);

    let entry = Disturbed::Process(ProcessId::Entry(0));
    history.disturbances.push(disturbance(entry, 19.0, 19.5));

    assert_eq!(before, [Promise::Answered]);
    assert_eq!(broken(&history), []);
}

/// A call whose caller leaves at 22 s.
fn left_call(id: &str) -> CallRecord {
    let left = Outcome::Left { received: String::new() };
    CallRecord { ended: seconds(22.0), ..call(id, CallSort::Draft, 20.0, left) }
}

fn work(id: &str, ended_s: f64, would_end_s: f64) -> WorkRecord {
    WorkRecord {
        id: id.to_owned(),
        endpoint: 6,
        is_begun_after_close: true,
        ended: seconds(ended_s),
        would_end: seconds(would_end_s),
    }
}

#[test]
fn a_caller_that_leaves_a_silent_stream_is_seen_unless_its_entry_was_disturbed() {
    let mut history = with_call(left_call("f"));
    let before = broken(&history);

    let link = Disturbed::Link(LinkId::Callers(0));
    history.disturbances.push(disturbance(link, 19.0, 19.5));

    assert_eq!(before, [Promise::AnsweredBeforeLeaving]);
    assert_eq!(broken(&history), []);
}

#[test]
fn what_came_before_a_caller_left_is_of_its_call() {
    let left = Outcome::Left { received: echo_events("g", 2) };
    let mut history = with_call(CallRecord { outcome: left, ..left_call("f") });
    let entry = Disturbed::Process(ProcessId::Entry(0));
    history.disturbances.push(disturbance(entry, 19.0, 19.5));

    assert_eq!(broken(&history), [Promise::WholeAnswer]);
}

#[test]
fn work_for_callers_that_have_left_is_seen() {
    let mut history = with_call(left_call("f"));
    history.works.push(work("f", 24.0, 24.0));
    let one_of_one = broken(&history);
    history.works.extend([work("f", 22.1, 25.0), work("f", 22.1, 25.0), work("f", 22.1, 25.0)]);
    let one_of_four = broken(&history);
    history.works.push(work("f", 22.6, 25.0));

    assert_eq!(one_of_one, [Promise::AnsweredBeforeLeaving, Promise::NoWorkForGoneCallers]);
    assert_eq!(one_of_four, [Promise::AnsweredBeforeLeaving]);
    assert_eq!(broken(&history), one_of_one);
}

#[test]
fn work_for_callers_that_have_left_is_excused_by_its_entry_or_its_endpoints_link() {
    let mut history = with_call(left_call("f"));
    history.works.push(work("f", 24.0, 24.0));
    let mut cut_off = history.clone();
    let (entry, link) = (ProcessId::Entry(0), LinkId::Endpoint(6));
    history.disturbances.push(disturbance(Disturbed::Process(entry), 19.0, 19.5));
    cut_off.disturbances.push(disturbance(Disturbed::Link(link), 21.0, 23.0));

    assert_eq!(broken(&history), []);
    assert_eq!(broken(&cut_off), [Promise::AnsweredBeforeLeaving]);
}

#[test]
fn a_call_that_a_leaving_process_drops_is_seen_if_it_was_passed_on() {
    let mut history = with_call(call("f", CallSort::Booking, 20.0, Outcome::NoAnswer));
    let leaving = Disturbed::Leaving(ProcessId::Entry(0));
    history.disturbances.push(disturbance(leaving, 19.0, 24.0));
    let crossed_the_close = broken(&history);

    history.runs.push(run("f", 3, 20.0));
    history.disturbances.push(disturbance(Disturbed::Endpoint(4), 19.0, 22.0));
    let dropped = broken(&history);
    history.disturbances.push(disturbance(Disturbed::Endpoint(3), 19.0, 22.0));

    assert_eq!(crossed_the_close, []);
    assert_eq!(dropped, [Promise::LeavesGracefully]);
    assert_eq!(broken(&history), []);
}

#[test]
fn work_for_an_endpoint_that_has_left_is_seen_unless_the_store_was_disturbed() {
    let mut history = good();
    history.leaves.push(LeaveRecord { endpoint: 0, from: seconds(20.0), to: seconds(40.0) });
    history.runs.push(run("late", 0, 25.0));
    let before = broken(&history);

    let link = Disturbed::Link(LinkId::Store(ProcessId::Entry(1)));
    history.disturbances.push(disturbance(link, 18.0, 18.5));

    assert_eq!(before, [Promise::LeavingGetsNothing]);
    assert_eq!(broken(&history), []);
}

#[test]
fn requests_beyond_an_endpoints_limit_are_seen_unless_their_entry_was_disturbed() {
    let limit =
        LimitRecord { endpoint: 0, limit_per_s: 1.0, from: seconds(20.0), to: seconds(30.0) };
    let mut history = History { limits: vec![limit], ..good() };
    for number in 0..50 {
        let (id, at_s) = (format!("l{number}"), 20.0 + 0.2 * f64::from(number));
        history.calls.push(call(&id, CallSort::Lookup, at_s, answered(200, &echo_body(&id))));
        history.arrivals.push(run(&id, 0, at_s));
    }
    let mut within = history.clone();
    within.arrivals = within.arrivals.into_iter().step_by(5).collect();
    let mut disturbed = history.clone();
    let entry = Disturbed::Process(ProcessId::Entry(0));
    disturbed.disturbances.push(disturbance(entry, 21.0, 22.0));

    assert_eq!(broken(&history), [Promise::KeepsLimits]);
    assert_eq!(broken(&within), []);
    assert_eq!(broken(&disturbed), []);
}

#[test]
fn requests_in_a_time_of_rest_are_seen_unless_their_entry_was_disturbed() {
    let (rest, from, to) = (seconds(3.0), seconds(20.0), seconds(30.0));
    let mut history = History { rests: vec![RestRecord { endpoint: 0, rest, from, to }], ..good() };
    for number in 0..8 {
        let (id, at_s) = (format!("r{number}"), 20.0 + 0.7 * f64::from(number));
        history.calls.push(call(&id, CallSort::Lookup, at_s, answered(503, "")));
        history.arrivals.push(run(&id, 0, at_s));
    }
    let mut granted = history.clone();
    granted.arrivals = granted.arrivals.into_iter().step_by(5).collect();
    let mut disturbed = history.clone();
    let entry = Disturbed::Process(ProcessId::Entry(0));
    disturbed.disturbances.push(disturbance(entry, 21.0, 22.0));

    assert_eq!(broken(&history), [Promise::GrantsRest]);
    assert_eq!(broken(&granted), []);
    assert_eq!(broken(&disturbed), []);
}

#[test]
fn requests_to_an_endpoint_that_has_said_it_leaves_are_seen() {
    let said = SaidLeavingRecord { endpoint: 0, from: seconds(20.0), to: seconds(30.0) };
    let mut history = History { said_leaving: vec![said], ..good() };
    for at_s in [20.1, 22.0, 25.0] {
        let id = format!("s{at_s}");
        history.calls.push(call(&id, CallSort::Lookup, at_s, answered(200, &echo_body(&id))));
        history.arrivals.push(run(&id, 0, at_s));
    }
    let mut in_time = history.clone();
    in_time.arrivals.pop();

    assert_eq!(broken(&history), [Promise::LeavingGetsNothing]);
    assert_eq!(broken(&in_time), []);
}

#[test]
fn a_configuration_that_is_late_or_goes_back_is_seen() {
    let mut late = good();
    late.configs.push(ConfigRecord { version: 2, at: seconds(20.0) });
    late.probes.push(probe(2, 30.0, false));
    let mut back = good();
    back.configs.push(ConfigRecord { version: 2, at: seconds(20.0) });
    back.probes.extend([probe(2, 22.0, true), probe(1, 23.0, true)]);

    assert_eq!(broken(&late), [Promise::ConfigInForce]);
    assert_eq!(broken(&back), [Promise::ConfigNeverBack]);
}

#[test]
fn a_split_map_an_idle_group_and_service_that_stays_away_are_seen() {
    let split = History { split_pass: Some(7), ..good() };
    let idle = History { passes_after: 0, ..good() };
    let mut away = good();
    let last = away.calls.len() - 1;
    away.calls[last].outcome = answered(503, "");

    assert_eq!(broken(&split), [Promise::OneMap]);
    assert_eq!(broken(&idle), [Promise::Recovers]);
    assert_eq!(broken(&away), [Promise::Recovers]);
}

#[test]
fn processes_that_end_by_themselves_are_seen() {
    let history = History { ends: vec!["entry-0 has ended by itself".into()], ..good() };

    assert_eq!(broken(&history), [Promise::Ends]);
}

fn poisoned(crashes: u32) -> History {
    let mut history = good();
    let (from, to) = (seconds(20.0), seconds(24.0));
    history.poisons.push(PoisonRecord { endpoints: 0..3, from, to, crashes });
    history
}

#[test]
fn requests_that_crash_more_endpoints_than_the_quarantine_allows_are_seen() {
    assert_eq!(broken(&poisoned(6)), []);
    assert_eq!(broken(&poisoned(7)), [Promise::Quarantines]);

    let mut harmed = poisoned(7);
    let link = Disturbed::Link(LinkId::Endpoint(2));
    harmed.disturbances.push(disturbance(link, 21.0, 22.0));
    assert_eq!(broken(&harmed), []);
}
