//! Two lock-step groups under the load of a reference deployment, one of them slow
//! for a while: what callers get with and without the choice of the group.

use std::time::Duration;

use lynxmount_policy::{
    EndpointSnapshot, GroupMonitor, LatencyClass, Selection, StreamEvent, select_endpoint,
};

/// The longest pause that is on time.
const GOAL: Duration = Duration::from_millis(120);
const NAMES: [&str; 2] = ["a", "b"];
const RANKS: usize = 8;
const SLOTS: u32 = 12;
const EVENTS: u32 = 26;
/// Arrivals at one entry that sees all calls.
const ARRIVALS_PER_S: f64 = 45.0;
const PLAYED: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(5);
/// How much longer the passes of the first group take while it is slow.
const SLOWNESS: f64 = 9.0;

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

/// What a pass takes: a fixed part, and one for each running stream of a rank.
fn pass(group: usize, running: usize, now: Duration) -> Duration {
    let calm_s = 0.04 + 0.003 * running as f64 / RANKS as f64;
    Duration::from_secs_f64(if is_slow(group, now) { calm_s * SLOWNESS } else { calm_s })
}

/// Streams that were on time, of all that came.
fn play(chooses_group: bool) -> f64 {
    let mut watch = GroupMonitor::default();
    let mut groups: Vec<Group> = NAMES
        .iter()
        .map(|_| Group {
            streams_by_rank: (0..RANKS).map(|_| Vec::new()).collect(),
            next_pass_at: Duration::ZERO,
        })
        .collect();
    let (mut came, mut on_time, mut due, mut choices) = (0, 0, 0.0, 0_u64);
    let mut last_chosen = vec![0; NAMES.len() * RANKS];
    let mut now = Duration::ZERO;
    while now < PLAYED {
        for (index, group) in groups.iter_mut().enumerate() {
            if now >= group.next_pass_at {
                on_time += run_pass(group, NAMES[index], &mut watch, now);
                group.next_pass_at = now + pass(index, group.running(), now);
            }
        }
        due += ARRIVALS_PER_S * TICK.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            came += 1;
            let seats = seats(&groups, &watch, &last_chosen, chooses_group, now);
            if let Selection::Endpoint(chosen) = select_endpoint(&seats) {
                choices += 1;
                last_chosen[chosen] = choices;
                let (group, rank) = (chosen / RANKS, chosen % RANKS);
                watch.on_sent(NAMES[group], now);
                let stream = Stream { events_left: EVENTS, is_late: false, last_event_at: None };
                groups[group].streams_by_rank[rank].push(stream);
            }
        }
        now += TICK;
    }
    f64::from(on_time) / f64::from(came)
}

/// One event for each stream; returns how many came to their end on time.
fn run_pass(group: &mut Group, name: &str, watch: &mut GroupMonitor, now: Duration) -> u32 {
    let share = (RANKS as f64) * f64::from(SLOTS);
    let mut on_time = 0;
    for streams in &mut group.streams_by_rank {
        for stream in streams.iter_mut() {
            let pause = stream.last_event_at.map(|at| now - at);
            stream.is_late |= pause.is_some_and(|pause| pause > GOAL);
            stream.last_event_at = Some(now);
            stream.events_left -= 1;
            watch.on_event(
                name,
                StreamEvent { gap: pause, gap_goal: Some(GOAL), group_share: share },
                now,
            );
        }
        let ended = streams.iter().filter(|stream| stream.events_left == 0);
        on_time += ended.filter(|stream| !stream.is_late).count() as u32;
        let before = streams.len();
        streams.retain(|stream| stream.events_left > 0);
        (streams.len()..before).for_each(|_| watch.on_call_ended(name));
    }
    on_time
}

fn seats(
    groups: &[Group],
    watch: &GroupMonitor,
    last_chosen: &[u64],
    chooses_group: bool,
    now: Duration,
) -> Vec<EndpointSnapshot> {
    let of_group = |index: usize| {
        let pace = watch.latency_class(NAMES[index], now);
        let ranks = groups[index].streams_by_rank.iter().enumerate();
        ranks.map(move |(rank, streams)| EndpointSnapshot {
            own_running: streams.len() as u32,
            capacity: SLOTS,
            own_capacity: SLOTS,
            latency_class: if chooses_group { pace } else { LatencyClass::OnTime },
            last_chosen: last_chosen[index * RANKS + rank],
            ..EndpointSnapshot::default()
        })
    };
    (0..groups.len()).flat_map(of_group).collect()
}

#[test]
fn a_slow_group_costs_few_calls_if_the_group_is_chosen_first() {
    let with_choice = play(true);
    let without = play(false);

    // 0.888 of the calls are on time with the choice, 0.826 without.
    assert!(with_choice > 0.87, "{with_choice} with the choice, {without} without");
    assert!(with_choice > without + 0.04, "{with_choice} with the choice, {without} without");
}
