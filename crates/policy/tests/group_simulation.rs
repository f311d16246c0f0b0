//! Simulation of two lock-step groups under the load of a reference deployment, one of them slow
//! for a while: how many calls are on time with and without the choice by latency class.

use std::time::Duration;

use lynxmount_policy::{
    EndpointSnapshot, GroupMonitor, LatencyClass, Selection, StreamEvent, select_endpoint,
};

/// Objective for the longest gap between events.
const GAP_GOAL: Duration = Duration::from_millis(120);
const NAMES: [&str; 2] = ["a", "b"];
const RANKS: usize = 8;
const SLOTS: u32 = 12;
const EVENTS: u32 = 26;
/// Arrivals at one entry that sees all calls.
const ARRIVALS_PER_S: f64 = 45.0;
const DURATION: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(5);
/// How much longer the passes of the first group take while it is slow.
const SLOWDOWN: f64 = 9.0;

struct Stream {
    events_left: u32,
    is_late: bool,
    last_event_at: Option<Duration>,
}

struct Group {
    streams_by_rank: Vec<Vec<Stream>>,
    next_pass_at: Duration,
}

impl Group {
    fn running(&self) -> usize {
        self.streams_by_rank.iter().map(Vec::len).sum()
    }
}

fn is_slow(group: usize, now: Duration) -> bool {
    group == 0 && (4.0..13.0).contains(&now.as_secs_f64())
}

/// Duration of a pass: a fixed part, and one for each running stream of a rank.
fn pass_time(group: usize, running: usize, now: Duration) -> Duration {
    let normal_s = 0.04 + 0.003 * running as f64 / RANKS as f64;
    Duration::from_secs_f64(if is_slow(group, now) { normal_s * SLOWDOWN } else { normal_s })
}

/// Simulates the groups. Returns the fraction of calls whose streams were on time.
fn simulate(prefers_on_time_group: bool) -> f64 {
    let mut monitor = GroupMonitor::default();
    let mut groups: Vec<Group> = NAMES
        .iter()
        .map(|_| Group {
            streams_by_rank: (0..RANKS).map(|_| Vec::new()).collect(),
            next_pass_at: Duration::ZERO,
        })
        .collect();
    let (mut arrived, mut on_time, mut due_arrivals, mut choices) = (0, 0, 0.0, 0_u64);
    let mut last_chosen = vec![0; NAMES.len() * RANKS];
    let mut now = Duration::ZERO;
    while now < DURATION {
        for (index, group) in groups.iter_mut().enumerate() {
            if now >= group.next_pass_at {
                on_time += run_pass(group, NAMES[index], &mut monitor, now);
                group.next_pass_at = now + pass_time(index, group.running(), now);
            }
        }
        due_arrivals += ARRIVALS_PER_S * TICK.as_secs_f64();
        while due_arrivals >= 1.0 {
            due_arrivals -= 1.0;
            arrived += 1;
            let snapshots = snapshots(&groups, &monitor, &last_chosen, prefers_on_time_group, now);
            if let Selection::Endpoint(chosen) = select_endpoint(&snapshots) {
                choices += 1;
                last_chosen[chosen] = choices;
                let (group, rank) = (chosen / RANKS, chosen % RANKS);
                monitor.on_sent(NAMES[group], now);
                let stream = Stream { events_left: EVENTS, is_late: false, last_event_at: None };
                groups[group].streams_by_rank[rank].push(stream);
            }
        }
        now += TICK;
    }
    f64::from(on_time) / f64::from(arrived)
}

/// Sends one event on each stream. Returns how many streams completed on time.
fn run_pass(group: &mut Group, name: &str, monitor: &mut GroupMonitor, now: Duration) -> u32 {
    let group_share = (RANKS as f64) * f64::from(SLOTS);
    let mut on_time = 0;
    for streams in &mut group.streams_by_rank {
        for stream in streams.iter_mut() {
            let gap = stream.last_event_at.map(|at| now - at);
            stream.is_late |= gap.is_some_and(|gap| gap > GAP_GOAL);
            stream.last_event_at = Some(now);
            stream.events_left -= 1;
            monitor.on_event(name, StreamEvent { gap, gap_goal: Some(GAP_GOAL), group_share }, now);
        }
        let ended = streams.iter().filter(|stream| stream.events_left == 0);
        on_time += ended.filter(|stream| !stream.is_late).count() as u32;
        let before = streams.len();
        streams.retain(|stream| stream.events_left > 0);
        (streams.len()..before).for_each(|_| monitor.on_call_ended(name));
    }
    on_time
}

fn snapshots(
    groups: &[Group],
    monitor: &GroupMonitor,
    last_chosen: &[u64],
    prefers_on_time_group: bool,
    now: Duration,
) -> Vec<EndpointSnapshot> {
    let of_group = |index: usize| {
        let latency_class = monitor.latency_class(NAMES[index], now);
        let ranks = groups[index].streams_by_rank.iter().enumerate();
        ranks.map(move |(rank, streams)| EndpointSnapshot {
            own_running: streams.len() as u32,
            capacity: SLOTS,
            own_capacity: SLOTS,
            latency_class: if prefers_on_time_group { latency_class } else { LatencyClass::OnTime },
            last_chosen: last_chosen[index * RANKS + rank],
            ..EndpointSnapshot::default()
        })
    };
    (0..groups.len()).flat_map(of_group).collect()
}

#[test]
fn preferring_the_group_on_time_keeps_most_calls_on_time_while_the_other_is_slow() {
    let with_choice = simulate(true);
    let without_choice = simulate(false);

    // 0.888 of the calls are on time with the choice, 0.826 without.
    assert!(with_choice > 0.87, "{with_choice} with the choice, {without_choice} without");
    assert!(
        with_choice > without_choice + 0.04,
        "{with_choice} with the choice, {without_choice} without"
    );
}
