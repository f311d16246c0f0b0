//! Groups as failure domains: which of them a call goes to, and when it may wait
//! for one to open.

use std::time::Duration;

use lynxmount_core::experts::GroupState;
use lynxmount_policy::{
    EndpointSnapshot, GroupMonitor, InterEventLatency, LatencyClass, Selection, StreamEvent,
    select_endpoint,
};

/// The longest pause that is on time.
const GOAL: Duration = Duration::from_millis(120);
/// How long a group usually is closed.
const OUTAGE: Duration = Duration::from_millis(2100);
/// What an entry may run in a group.
const SHARE: f64 = 20.0;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn watch() -> GroupMonitor {
    let mut groups = GroupMonitor::default();
    groups.set_usual_outage(Some(OUTAGE));
    groups
}

/// Lets a stream of a group have events with a pause before each.
fn play(groups: &mut GroupMonitor, group: &str, pause: Duration, from_ms: u64, to_ms: u64) {
    groups.on_sent(group, at_ms(from_ms));
    let event = StreamEvent { gap: Some(pause), gap_goal: Some(GOAL), group_share: SHARE };
    for now in (from_ms..to_ms).step_by(pause.as_millis() as usize) {
        groups.on_event(group, event, at_ms(now));
    }
}

fn seat(pace: LatencyClass, own_running: u32) -> EndpointSnapshot {
    EndpointSnapshot {
        latency_class: pace,
        own_running,
        capacity: 12,
        own_capacity: 4,
        ..EndpointSnapshot::default()
    }
}

#[test]
fn a_group_that_is_told_to_be_closed_takes_no_calls_and_the_other_does() {
    let mut groups = watch();

    groups.on_state_reported("a", GroupState::Down, at_ms(100));
    groups.on_state_reported("b", GroupState::Serving, at_ms(100));

    assert!(!groups.may_send("a", at_ms(200)));
    assert!(groups.may_send("b", at_ms(200)));
}

#[test]
fn what_was_told_long_ago_does_not_count() {
    let mut groups = watch();

    groups.on_state_reported("a", GroupState::Down, at_ms(100));

    assert!(groups.may_send("a", at_ms(1100)));
}

#[test]
fn refusals_of_one_group_do_not_close_the_other() {
    let mut groups = watch();

    groups.on_refusal("a", at_ms(0));
    groups.on_refusal("a", at_ms(5));

    assert!(!groups.may_send("a", at_ms(10)));
    assert!(groups.may_send("b", at_ms(10)));
}

#[test]
fn refusals_of_a_group_that_is_told_to_be_open_do_not_close_it() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Serving, at_ms(0));

    groups.on_refusal("a", at_ms(900));
    groups.on_refusal("a", at_ms(950));

    assert!(groups.may_send("a", at_ms(960)));
    assert!(!groups.may_send("a", at_ms(1001)), "nothing is told any more");
}

#[test]
fn calls_may_wait_for_the_group_that_opens_first() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Down, at_ms(1000));
    groups.on_state_reported("b", GroupState::Down, at_ms(1400));

    let by = groups.expected_open_by(["a", "b"].into_iter(), at_ms(1500));

    assert_eq!(by, Some(at_ms(1000) + OUTAGE + at_ms(500)));
}

#[test]
fn calls_do_not_wait_for_a_group_that_is_closed_for_longer_than_usual() {
    let mut groups = watch();
    (1000..9000).step_by(200).for_each(|now| {
        groups.on_state_reported("a", GroupState::Down, at_ms(now));
    });

    assert_eq!(groups.expected_open_by(["a"].into_iter(), at_ms(9000)), None);
}

#[test]
fn a_service_without_groups_holds_nobody() {
    let mut groups = GroupMonitor::default();
    groups.on_refusal("", at_ms(0));
    groups.on_refusal("", at_ms(5));

    assert_eq!(groups.expected_open_by([""].into_iter(), at_ms(10)), None);
}

#[test]
fn a_group_that_opens_is_told_once_and_ends_what_was_seen_before() {
    let mut groups = watch();
    groups.on_refusal("a", at_ms(0));
    groups.on_refusal("a", at_ms(5));
    assert!(groups.on_state_reported("a", GroupState::Down, at_ms(10)));

    assert!(groups.on_state_reported("a", GroupState::Serving, at_ms(300)));
    assert!(!groups.on_state_reported("a", GroupState::Serving, at_ms(400)));
    assert!(groups.may_send("a", at_ms(301)));
}

#[test]
fn a_group_of_long_pauses_is_late_and_of_very_long_ones_stands_still() {
    for (pause_ms, expected) in
        [(60, LatencyClass::OnTime), (200, LatencyClass::Late), (500, LatencyClass::Stalled)]
    {
        let mut groups = watch();

        play(&mut groups, "a", at_ms(pause_ms), 1000, 4000);

        assert_eq!(groups.latency_class("a", at_ms(4000)), expected, "{pause_ms}");
    }
}

#[test]
fn a_group_that_falls_silent_is_seen_before_any_event_comes() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(60), 1000, 2000);

    assert_eq!(groups.latency_class("a", at_ms(2050)), LatencyClass::OnTime);
    assert_eq!(groups.latency_class("a", at_ms(2200)), LatencyClass::Late);
    assert_eq!(groups.latency_class("a", at_ms(2800)), LatencyClass::Stalled);
}

#[test]
fn a_group_without_streams_is_not_silent() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(60), 1000, 2000);

    groups.on_call_ended("a");

    assert_eq!(groups.latency_class("a", at_ms(9000)), LatencyClass::OnTime);
}

#[test]
fn a_group_tells_its_pace_to_entries_that_have_no_streams_there() {
    let mut groups = watch();
    play(&mut groups, "b", at_ms(60), 1000, 2000);

    groups.on_pass_time("a", Some(at_ms(700)), at_ms(2000));

    assert_eq!(groups.latency_class("a", at_ms(2100)), LatencyClass::Stalled);
}

#[test]
fn a_group_on_its_first_maps_is_late_and_does_not_stand_still() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Down, at_ms(500));
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));

    play(&mut groups, "a", at_ms(500), 1000, 2400);

    assert_eq!(groups.latency_class("a", at_ms(2400)), LatencyClass::Late);
}

#[test]
fn streams_leave_a_group_only_for_one_that_is_better() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(500), 1000, 3000);
    play(&mut groups, "b", at_ms(500), 1000, 3000);
    assert!(!groups.is_better_elsewhere("a", at_ms(3000)));

    play(&mut groups, "b", at_ms(60), 3000, 3600);

    assert!(groups.is_better_elsewhere("a", at_ms(3600)));
    assert!(!groups.is_better_elsewhere("b", at_ms(3600)));

    play(&mut groups, "b", at_ms(200), 3600, 5000);
    play(&mut groups, "a", at_ms(500), 3600, 5000);

    assert!(groups.is_better_elsewhere("a", at_ms(5000)), "late is better than none");
}

#[test]
fn long_pauses_of_one_group_do_not_limit_what_the_other_runs() {
    let mut groups = watch();
    (0..19).for_each(|_| {
        groups.on_sent("a", at_ms(1000));
        groups.on_sent("b", at_ms(1000));
    });

    play(&mut groups, "a", at_ms(110), 1000, 2600);
    play(&mut groups, "b", at_ms(60), 1000, 2600);

    assert!(groups.is_at_limit("a", SHARE * 1.15));
    assert!(!groups.is_at_limit("b", SHARE * 1.15));
}

#[test]
fn pauses_of_the_first_maps_set_no_limit() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Down, at_ms(500));
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));
    (0..19).for_each(|_| {
        groups.on_sent("a", at_ms(1000));
    });

    play(&mut groups, "a", at_ms(160), 1000, 2400);

    assert!(!groups.is_at_limit("a", SHARE * 1.15));
}

#[test]
fn the_group_on_time_goes_first_though_it_has_more_to_do() {
    let seats = [
        seat(LatencyClass::Late, 0),
        seat(LatencyClass::OnTime, 3),
        seat(LatencyClass::Stalled, 0),
    ];

    assert_eq!(select_endpoint(&seats), Selection::Endpoint(1));
}

#[test]
fn a_late_group_is_used_when_those_on_time_have_no_room() {
    let seats = [seat(LatencyClass::Late, 0), seat(LatencyClass::OnTime, 4)];

    assert_eq!(select_endpoint(&seats), Selection::Endpoint(0));
}

#[test]
fn a_group_that_stands_still_is_not_used_while_another_goes_on() {
    let seats = [seat(LatencyClass::Stalled, 0), seat(LatencyClass::OnTime, 4)];

    assert_eq!(select_endpoint(&seats), Selection::Full);
}

#[test]
fn groups_that_all_stand_still_are_used() {
    let seats = [seat(LatencyClass::Stalled, 2), seat(LatencyClass::Stalled, 1)];

    assert_eq!(select_endpoint(&seats), Selection::Endpoint(1));
}

#[test]
fn when_all_groups_are_closed_a_call_is_told_so() {
    let closed = EndpointSnapshot { is_closed: true, ..seat(LatencyClass::OnTime, 0) };

    assert_eq!(select_endpoint(&[closed, closed]), Selection::Closed);
    assert_eq!(select_endpoint(&[]), Selection::NoEndpoint);
}

#[test]
fn a_group_at_its_limit_has_no_room() {
    let limited = EndpointSnapshot { is_at_limit: true, ..seat(LatencyClass::OnTime, 0) };

    assert_eq!(select_endpoint(&[limited]), Selection::Full);
}

#[test]
fn a_mean_of_pauses_is_forgotten_after_a_second() {
    let mut pace = InterEventLatency::default();
    (0..10).for_each(|n| pace.on_event(Some(at_ms(500)), at_ms(1000 + 100 * n)));

    assert_eq!(pace.class(GOAL, true, at_ms(1950)), LatencyClass::Stalled);
    assert_eq!(pace.class(GOAL, false, at_ms(3000)), LatencyClass::OnTime);
}

const EVENT: StreamEvent =
    StreamEvent { gap: Some(Duration::from_millis(60)), gap_goal: Some(GOAL), group_share: SHARE };

#[test]
fn a_group_that_is_told_to_be_blocked_takes_no_calls_until_it_is_told_to_serve() {
    let mut groups = watch();
    assert!(groups.on_state_reported("a", GroupState::Blocked, at_ms(100)));

    let while_blocked = groups.may_send("a", at_ms(200));
    groups.on_state_reported("a", GroupState::Serving, at_ms(300));

    assert!(!while_blocked);
    assert_eq!(
        groups.expected_open_by(["a"].into_iter(), at_ms(200)),
        None,
        "nobody knows until when"
    );
    assert!(groups.may_send("a", at_ms(300)));
}

#[test]
fn an_event_is_newer_than_a_told_standstill() {
    let mut groups = watch();
    groups.on_sent("a", at_ms(0));
    groups.on_state_reported("a", GroupState::Blocked, at_ms(900));

    let is_resumed = groups.on_event("a", EVENT, at_ms(950));
    let is_resumed_again = groups.on_event("a", EVENT, at_ms(960));

    assert!(is_resumed && !is_resumed_again);
    assert!(groups.may_send("a", at_ms(960)));
}

/// Guards against calls that are sent into a group that stands still while its own process is
/// frozen.
#[test]
fn a_group_that_is_silent_under_all_calls_is_blocked_and_sent_one_call_at_a_time() {
    let mut groups = watch();
    groups.on_sent("a", at_ms(0));
    play(&mut groups, "a", at_ms(60), 0, 600);

    let before = groups.detect_blocked(at_ms(1200));
    let blocked = groups.detect_blocked(at_ms(1240));
    let may_send = groups.may_send("a", at_ms(1241));
    let may_probe = groups.may_send("a", at_ms(1490));
    groups.on_sent("a", at_ms(1490));

    assert!(before.is_empty());
    assert_eq!(blocked, ["a"]);
    assert!(!may_send && may_probe);
    assert!(!groups.may_send("a", at_ms(1491)));
    assert!(groups.on_event("a", EVENT, at_ms(1600)));
    assert!(groups.may_send("a", at_ms(1600)));
}

#[test]
fn a_group_without_calls_in_progress_is_not_blocked() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_call_ended("a");

    assert!(groups.detect_blocked(at_ms(9000)).is_empty());

    groups.on_sent("a", at_ms(9000));
    assert!(groups.detect_blocked(at_ms(9600)).is_empty());
}

#[test]
fn a_slow_group_is_not_blocked() {
    let mut groups = watch();
    groups.on_sent("a", at_ms(0));
    play(&mut groups, "a", at_ms(600), 0, 3000);

    assert!(groups.detect_blocked(at_ms(4700)).is_empty());
    assert_eq!(groups.detect_blocked(at_ms(4800)), ["a"]);
}

#[test]
fn a_group_that_is_told_to_serve_is_not_blocked_by_silence() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));

    assert!(groups.detect_blocked(at_ms(1900)).is_empty());
}

#[test]
fn a_service_without_groups_is_never_blocked() {
    let mut groups = GroupMonitor::default();
    groups.on_sent("", at_ms(0));

    assert!(groups.detect_blocked(at_ms(9000)).is_empty());
}

#[test]
fn the_pause_of_a_standstill_does_not_lower_what_a_group_may_run() {
    let mut groups = watch();
    groups.on_sent("a", at_ms(0));
    groups.on_state_reported("a", GroupState::Blocked, at_ms(900));
    let late = StreamEvent { gap: Some(at_ms(4000)), ..EVENT };

    groups.on_event("a", late, at_ms(1200));

    assert!(!groups.is_at_limit("a", 1.1));
}

/// Guards against calls that are sent into a group whose standstill is told, once that has lasted.
#[test]
fn a_told_standstill_is_not_refuted_by_its_own_length() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(60), 0, 600);

    for now in (1100..=4000).step_by(250) {
        groups.on_pass_time("a", Some(at_ms(now - 600)), at_ms(now));
        groups.on_state_reported("a", GroupState::Blocked, at_ms(now));
        assert!(!groups.may_send("a", at_ms(now + 100)), "sent at {} ms", now + 100);
        assert!(!groups.progress("a", at_ms(now + 600)).is_live());
    }
}

#[test]
fn a_told_standstill_ends_the_time_for_which_a_group_was_live() {
    let mut groups = watch();
    play(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_pass_time("a", Some(at_ms(3400)), at_ms(4000));

    groups.on_event("a", StreamEvent { gap: Some(at_ms(3500)), ..EVENT }, at_ms(4100));

    assert!(groups.progress("a", at_ms(4200)).live_for < at_ms(200));
}

#[test]
fn a_second_standstill_is_found_as_soon_as_the_first() {
    let mut groups = watch();
    groups.on_sent("a", at_ms(0));
    play(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_event("a", StreamEvent { gap: Some(at_ms(4000)), ..EVENT }, at_ms(4600));

    assert_eq!(groups.detect_blocked(at_ms(5300)), ["a"]);
}

#[test]
fn one_call_that_waits_for_its_prompt_does_not_block_a_group() {
    let mut groups = watch();
    groups.on_sent("a", at_ms(0));

    assert!(groups.detect_blocked(at_ms(1100)).is_empty());
}

#[test]
fn a_group_that_is_down_anew_is_down_since_then() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Down, at_ms(0));
    groups.on_state_reported("a", GroupState::Down, at_ms(20_000));

    assert!(groups.expected_open_by(["a"].into_iter(), at_ms(20_100)).is_some());
}

#[test]
fn what_was_told_before_many_events_makes_no_opening() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Down, at_ms(0));
    play(&mut groups, "a", at_ms(600), 5000, 30_000);

    groups.on_state_reported("a", GroupState::Serving, at_ms(30_000));

    assert_eq!(groups.latency_class("a", at_ms(30_000)), LatencyClass::Stalled);
}

#[test]
fn a_group_that_is_blocked_before_it_serves_has_opened() {
    let mut groups = watch();
    groups.on_state_reported("a", GroupState::Down, at_ms(0));
    groups.on_state_reported("a", GroupState::Blocked, at_ms(500));
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));
    play(&mut groups, "a", at_ms(600), 1000, 2300);

    assert_eq!(groups.latency_class("a", at_ms(2400)), LatencyClass::Late);
}
