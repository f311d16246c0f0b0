//! Groups as failure domains: which of them take calls, in which order, and how long calls wait for
//! one to open.

use std::time::Duration;

use lynxmount_core::experts::GroupState;
use lynxmount_policy::{
    EndpointSnapshot, GroupMonitor, InterEventLatency, LatencyClass, Selection, StreamEvent,
    select_endpoint,
};

/// Objective for the longest gap between events.
const GAP_GOAL: Duration = Duration::from_millis(120);
/// How long a group usually is closed.
const OUTAGE: Duration = Duration::from_millis(2100);
/// The entry's share of the calls that a group may run.
const SHARE: f64 = 20.0;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn monitor() -> GroupMonitor {
    let mut groups = GroupMonitor::default();
    groups.set_usual_outage(Some(OUTAGE));
    groups
}

/// Sends a call to a group, and lets its stream have events at a fixed gap.
fn stream_events(groups: &mut GroupMonitor, group: &str, gap: Duration, from_ms: u64, to_ms: u64) {
    groups.on_sent(group, at_ms(from_ms));
    let event = StreamEvent { gap: Some(gap), gap_goal: Some(GAP_GOAL), group_share: SHARE };
    for now in (from_ms..to_ms).step_by(gap.as_millis() as usize) {
        groups.on_event(group, event, at_ms(now));
    }
}

fn endpoint(latency: LatencyClass, own_running: u32) -> EndpointSnapshot {
    EndpointSnapshot {
        latency_class: latency,
        own_running,
        capacity: 12,
        own_capacity: 4,
        ..EndpointSnapshot::default()
    }
}

#[test]
fn a_group_that_is_reported_down_takes_no_calls_and_the_other_does() {
    let mut groups = monitor();

    groups.on_state_reported("a", GroupState::Down, at_ms(100));
    groups.on_state_reported("b", GroupState::Serving, at_ms(100));

    assert!(!groups.may_send("a", at_ms(200)));
    assert!(groups.may_send("b", at_ms(200)));
}

#[test]
fn an_old_report_is_ignored() {
    let mut groups = monitor();

    groups.on_state_reported("a", GroupState::Down, at_ms(100));

    assert!(groups.may_send("a", at_ms(1100)));
}

#[test]
fn refusals_of_one_group_do_not_close_the_other() {
    let mut groups = monitor();

    groups.on_refusal("a", at_ms(0));
    groups.on_refusal("a", at_ms(5));

    assert!(!groups.may_send("a", at_ms(10)));
    assert!(groups.may_send("b", at_ms(10)));
}

#[test]
fn refusals_do_not_close_a_group_that_is_reported_serving() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Serving, at_ms(0));

    groups.on_refusal("a", at_ms(900));
    groups.on_refusal("a", at_ms(950));

    assert!(groups.may_send("a", at_ms(960)));
    assert!(!groups.may_send("a", at_ms(1001)), "the report has expired");
}

#[test]
fn calls_may_wait_for_the_group_that_opens_first() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Down, at_ms(1000));
    groups.on_state_reported("b", GroupState::Down, at_ms(1400));

    let by = groups.expected_open_by(["a", "b"].into_iter(), at_ms(1500));

    assert_eq!(by, Some(at_ms(1000) + OUTAGE + at_ms(500)));
}

#[test]
fn calls_do_not_wait_for_a_group_that_is_closed_for_longer_than_usual() {
    let mut groups = monitor();
    (1000..9000).step_by(200).for_each(|now| {
        groups.on_state_reported("a", GroupState::Down, at_ms(now));
    });

    assert_eq!(groups.expected_open_by(["a"].into_iter(), at_ms(9000)), None);
}

#[test]
fn calls_do_not_wait_for_a_service_without_groups() {
    let mut groups = GroupMonitor::default();
    groups.on_refusal("", at_ms(0));
    groups.on_refusal("", at_ms(5));

    assert_eq!(groups.expected_open_by([""].into_iter(), at_ms(10)), None);
}

#[test]
fn a_group_that_opens_is_a_change_once_and_ends_an_outage() {
    let mut groups = monitor();
    groups.on_refusal("a", at_ms(0));
    groups.on_refusal("a", at_ms(5));
    assert!(groups.on_state_reported("a", GroupState::Down, at_ms(10)));

    assert!(groups.on_state_reported("a", GroupState::Serving, at_ms(300)));
    assert!(!groups.on_state_reported("a", GroupState::Serving, at_ms(400)));
    assert!(groups.may_send("a", at_ms(301)));
}

#[test]
fn long_gaps_make_a_group_late_and_very_long_ones_stalled() {
    for (gap_ms, expected) in
        [(60, LatencyClass::OnTime), (200, LatencyClass::Late), (500, LatencyClass::Stalled)]
    {
        let mut groups = monitor();

        stream_events(&mut groups, "a", at_ms(gap_ms), 1000, 4000);

        assert_eq!(groups.latency_class("a", at_ms(4000)), expected, "{gap_ms}");
    }
}

#[test]
fn silence_raises_the_latency_class_before_the_next_event() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(60), 1000, 2000);

    assert_eq!(groups.latency_class("a", at_ms(2050)), LatencyClass::OnTime);
    assert_eq!(groups.latency_class("a", at_ms(2200)), LatencyClass::Late);
    assert_eq!(groups.latency_class("a", at_ms(2800)), LatencyClass::Stalled);
}

#[test]
fn a_group_without_streams_is_not_silent() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(60), 1000, 2000);

    groups.on_call_ended("a");

    assert_eq!(groups.latency_class("a", at_ms(9000)), LatencyClass::OnTime);
}

#[test]
fn an_entry_without_streams_in_a_group_uses_the_reported_pass_time() {
    let mut groups = monitor();
    stream_events(&mut groups, "b", at_ms(60), 1000, 2000);

    groups.on_pass_time("a", Some(at_ms(700)), at_ms(2000));

    assert_eq!(groups.latency_class("a", at_ms(2100)), LatencyClass::Stalled);
}

#[test]
fn a_group_on_its_first_maps_is_late_and_not_stalled() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Down, at_ms(500));
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));

    stream_events(&mut groups, "a", at_ms(500), 1000, 2400);

    assert_eq!(groups.latency_class("a", at_ms(2400)), LatencyClass::Late);
}

#[test]
fn streams_leave_a_group_only_for_one_that_is_better() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(500), 1000, 3000);
    stream_events(&mut groups, "b", at_ms(500), 1000, 3000);
    assert!(!groups.is_better_elsewhere("a", at_ms(3000)));

    stream_events(&mut groups, "b", at_ms(60), 3000, 3600);

    assert!(groups.is_better_elsewhere("a", at_ms(3600)));
    assert!(!groups.is_better_elsewhere("b", at_ms(3600)));

    stream_events(&mut groups, "b", at_ms(200), 3600, 5000);
    stream_events(&mut groups, "a", at_ms(500), 3600, 5000);

    assert!(
        groups.is_better_elsewhere("a", at_ms(5000)),
        "a late group is better than a stalled one"
    );
}

#[test]
fn long_gaps_of_one_group_do_not_limit_the_other() {
    let mut groups = monitor();
    (0..19).for_each(|_| {
        groups.on_sent("a", at_ms(1000));
        groups.on_sent("b", at_ms(1000));
    });

    stream_events(&mut groups, "a", at_ms(110), 1000, 2600);
    stream_events(&mut groups, "b", at_ms(60), 1000, 2600);

    assert!(groups.is_at_limit("a", SHARE * 1.15));
    assert!(!groups.is_at_limit("b", SHARE * 1.15));
}

#[test]
fn gaps_on_the_first_maps_set_no_limit() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Down, at_ms(500));
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));
    (0..19).for_each(|_| {
        groups.on_sent("a", at_ms(1000));
    });

    stream_events(&mut groups, "a", at_ms(160), 1000, 2400);

    assert!(!groups.is_at_limit("a", SHARE * 1.15));
}

#[test]
fn the_group_on_time_is_preferred_though_it_is_more_loaded() {
    let endpoints = [
        endpoint(LatencyClass::Late, 0),
        endpoint(LatencyClass::OnTime, 3),
        endpoint(LatencyClass::Stalled, 0),
    ];

    assert_eq!(select_endpoint(&endpoints), Selection::Endpoint(1));
}

#[test]
fn a_late_group_is_used_when_those_on_time_are_full() {
    let endpoints = [endpoint(LatencyClass::Late, 0), endpoint(LatencyClass::OnTime, 4)];

    assert_eq!(select_endpoint(&endpoints), Selection::Endpoint(0));
}

#[test]
fn a_stalled_group_is_not_used_while_another_makes_progress() {
    let endpoints = [endpoint(LatencyClass::Stalled, 0), endpoint(LatencyClass::OnTime, 4)];

    assert_eq!(select_endpoint(&endpoints), Selection::Full);
}

#[test]
fn stalled_groups_are_used_if_all_are_stalled() {
    let endpoints = [endpoint(LatencyClass::Stalled, 2), endpoint(LatencyClass::Stalled, 1)];

    assert_eq!(select_endpoint(&endpoints), Selection::Endpoint(1));
}

#[test]
fn closed_groups_are_distinguished_from_a_service_without_endpoints() {
    let closed = EndpointSnapshot { is_closed: true, ..endpoint(LatencyClass::OnTime, 0) };

    assert_eq!(select_endpoint(&[closed, closed]), Selection::Closed);
    assert_eq!(select_endpoint(&[]), Selection::NoEndpoint);
}

#[test]
fn a_group_at_its_limit_is_full() {
    let limited = EndpointSnapshot { is_at_limit: true, ..endpoint(LatencyClass::OnTime, 0) };

    assert_eq!(select_endpoint(&[limited]), Selection::Full);
}

#[test]
fn a_mean_gap_expires_after_a_second() {
    let mut latency = InterEventLatency::default();
    (0..10).for_each(|n| latency.on_event(Some(at_ms(500)), at_ms(1000 + 100 * n)));

    assert_eq!(latency.class(GAP_GOAL, true, at_ms(1950)), LatencyClass::Stalled);
    assert_eq!(latency.class(GAP_GOAL, false, at_ms(3000)), LatencyClass::OnTime);
}

const EVENT: StreamEvent = StreamEvent {
    gap: Some(Duration::from_millis(60)),
    gap_goal: Some(GAP_GOAL),
    group_share: SHARE,
};

#[test]
fn a_group_that_is_reported_blocked_takes_no_calls_until_it_is_reported_serving() {
    let mut groups = monitor();
    assert!(groups.on_state_reported("a", GroupState::Blocked, at_ms(100)));

    let may_send_while_blocked = groups.may_send("a", at_ms(200));
    groups.on_state_reported("a", GroupState::Serving, at_ms(300));

    assert!(!may_send_while_blocked);
    assert_eq!(groups.expected_open_by(["a"].into_iter(), at_ms(200)), None, "the end is unknown");
    assert!(groups.may_send("a", at_ms(300)));
}

#[test]
fn an_event_refutes_an_earlier_report_of_a_stall() {
    let mut groups = monitor();
    groups.on_sent("a", at_ms(0));
    groups.on_state_reported("a", GroupState::Blocked, at_ms(900));

    let is_resumed = groups.on_event("a", EVENT, at_ms(950));
    let is_resumed_again = groups.on_event("a", EVENT, at_ms(960));

    assert!(is_resumed && !is_resumed_again);
    assert!(groups.may_send("a", at_ms(960)));
}

/// Guards against calls that are sent to a stalled group whose process is frozen, too, and reports
/// nothing.
#[test]
fn a_group_that_is_silent_under_all_calls_is_blocked_and_probed() {
    let mut groups = monitor();
    groups.on_sent("a", at_ms(0));
    stream_events(&mut groups, "a", at_ms(60), 0, 600);

    let before = groups.detect_blocked(at_ms(1200));
    let blocked = groups.detect_blocked(at_ms(1240));
    let may_send = groups.may_send("a", at_ms(1241));
    let may_send_probe = groups.may_send("a", at_ms(1490));
    groups.on_sent("a", at_ms(1490));

    assert!(before.is_empty());
    assert_eq!(blocked, ["a"]);
    assert!(!may_send && may_send_probe);
    assert!(!groups.may_send("a", at_ms(1491)));
    assert!(groups.on_event("a", EVENT, at_ms(1600)));
    assert!(groups.may_send("a", at_ms(1600)));
}

#[test]
fn a_group_without_calls_in_progress_is_not_blocked() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_call_ended("a");

    assert!(groups.detect_blocked(at_ms(9000)).is_empty());

    groups.on_sent("a", at_ms(9000));
    assert!(groups.detect_blocked(at_ms(9600)).is_empty());
}

#[test]
fn a_slow_group_is_not_blocked() {
    let mut groups = monitor();
    groups.on_sent("a", at_ms(0));
    stream_events(&mut groups, "a", at_ms(600), 0, 3000);

    assert!(groups.detect_blocked(at_ms(4700)).is_empty());
    assert_eq!(groups.detect_blocked(at_ms(4800)), ["a"]);
}

#[test]
fn a_group_that_is_reported_serving_is_not_blocked_by_silence() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(60), 0, 600);
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
fn the_gap_of_a_stall_does_not_lower_the_concurrency_limit() {
    let mut groups = monitor();
    groups.on_sent("a", at_ms(0));
    groups.on_state_reported("a", GroupState::Blocked, at_ms(900));
    let late = StreamEvent { gap: Some(at_ms(4000)), ..EVENT };

    groups.on_event("a", late, at_ms(1200));

    assert!(!groups.is_at_limit("a", 1.1));
}

/// Guards against calls that are sent to a group with a reported stall once that has lasted: the
/// reported pass time grows with the stall, and would extend how long an event shows progress.
#[test]
fn a_reported_stall_is_not_refuted_by_its_own_length() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(60), 0, 600);

    for now in (1100..=4000).step_by(250) {
        groups.on_pass_time("a", Some(at_ms(now - 600)), at_ms(now));
        groups.on_state_reported("a", GroupState::Blocked, at_ms(now));
        assert!(!groups.may_send("a", at_ms(now + 100)), "sent at {} ms", now + 100);
        assert!(!groups.progress("a", at_ms(now + 600)).is_live());
    }
}

#[test]
fn a_reported_stall_resets_the_time_for_which_a_group_was_live() {
    let mut groups = monitor();
    stream_events(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_pass_time("a", Some(at_ms(3400)), at_ms(4000));

    groups.on_event("a", StreamEvent { gap: Some(at_ms(3500)), ..EVENT }, at_ms(4100));

    assert!(groups.progress("a", at_ms(4200)).live_for < at_ms(200));
}

#[test]
fn a_second_stall_is_detected_as_soon_as_the_first() {
    let mut groups = monitor();
    groups.on_sent("a", at_ms(0));
    stream_events(&mut groups, "a", at_ms(60), 0, 600);
    groups.on_event("a", StreamEvent { gap: Some(at_ms(4000)), ..EVENT }, at_ms(4600));

    assert_eq!(groups.detect_blocked(at_ms(5300)), ["a"]);
}

#[test]
fn one_call_that_waits_for_its_prompt_does_not_block_a_group() {
    let mut groups = monitor();
    groups.on_sent("a", at_ms(0));

    assert!(groups.detect_blocked(at_ms(1100)).is_empty());
}

#[test]
fn a_group_that_is_down_again_is_down_since_then() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Down, at_ms(0));
    groups.on_state_reported("a", GroupState::Down, at_ms(20_000));

    assert!(groups.expected_open_by(["a"].into_iter(), at_ms(20_100)).is_some());
}

#[test]
fn a_report_from_before_many_events_is_no_opening() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Down, at_ms(0));
    stream_events(&mut groups, "a", at_ms(600), 5000, 30_000);

    groups.on_state_reported("a", GroupState::Serving, at_ms(30_000));

    assert_eq!(groups.latency_class("a", at_ms(30_000)), LatencyClass::Stalled);
}

#[test]
fn a_group_that_is_blocked_between_down_and_serving_has_opened() {
    let mut groups = monitor();
    groups.on_state_reported("a", GroupState::Down, at_ms(0));
    groups.on_state_reported("a", GroupState::Blocked, at_ms(500));
    groups.on_state_reported("a", GroupState::Serving, at_ms(1000));
    stream_events(&mut groups, "a", at_ms(600), 1000, 2300);

    assert_eq!(groups.latency_class("a", at_ms(2400)), LatencyClass::Late);
}
