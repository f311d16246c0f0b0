//! Simulation of a lock-step group under the load of a reference deployment, one rank of which is
//! slow for a while: how many calls are on time if calls avoid that rank, and if streams leave it.

use std::time::Duration;

use lynxmount_policy::{EndpointSnapshot, Selection, select_endpoint, slow_ranks};

/// Objective for the longest gap between events.
const GAP_GOAL: Duration = Duration::from_millis(150);
const RANKS: usize = 72;
const SLOTS: u32 = 10;
const EVENTS: u32 = 19;
/// Arrivals at one entry that sees all calls.
const ARRIVALS_PER_S: f64 = 230.0;
const DURATION: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(5);
const SLOW_RANK: usize = 7;
const SLOWDOWN: f64 = 12.0;
/// How long it takes until entries know that a rank is slow.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
const SLOW_FROM: Duration = Duration::from_secs(5);
const SLOW_UNTIL: Duration = Duration::from_secs(15);

/// What entries do about a rank that is known to be slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reaction {
    None,
    NewCallsAvoidIt,
    StreamsLeaveIt,
}

#[derive(Clone, Copy)]
struct Stream {
    events_left: u32,
    is_late: bool,
    last_event_at: Option<Duration>,
}

struct Group {
    streams_by_rank: Vec<Vec<Stream>>,
    last_chosen: Vec<u64>,
    choices: u64,
}

fn is_slow(now: Duration) -> bool {
    (SLOW_FROM..SLOW_UNTIL).contains(&now)
}

fn slowdown(rank: usize, now: Duration) -> f64 {
    if rank == SLOW_RANK && is_slow(now) { SLOWDOWN } else { 1.0 }
}

impl Group {
    /// Duration of a pass: all ranks wait for the one whose streams take longest.
    fn pass_time(&self, now: Duration) -> Duration {
        let of_rank = |(rank, streams): (usize, &Vec<Stream>)| {
            0.008 * streams.len() as f64 * slowdown(rank, now)
        };
        let longest_s = self.streams_by_rank.iter().enumerate().map(of_rank).fold(0.0, f64::max);
        Duration::from_secs_f64(0.03 + longest_s)
    }

    fn select(&self, avoids_slow_rank: bool) -> Option<usize> {
        let snapshot = |(rank, streams): (usize, &Vec<Stream>)| EndpointSnapshot {
            own_running: streams.len() as u32,
            capacity: SLOTS,
            own_capacity: SLOTS,
            is_ejected: avoids_slow_rank && rank == SLOW_RANK,
            last_chosen: self.last_chosen[rank],
            ..EndpointSnapshot::default()
        };
        let ranks: Vec<EndpointSnapshot> =
            self.streams_by_rank.iter().enumerate().map(snapshot).collect();
        match select_endpoint(&ranks) {
            Selection::Endpoint(rank) => Some(rank),
            _ => None,
        }
    }

    fn place(&mut self, stream: Stream, rank: usize) {
        self.choices += 1;
        self.last_chosen[rank] = self.choices;
        self.streams_by_rank[rank].push(stream);
    }

    /// Moves the streams of the slow rank to other ranks.
    fn leave_slow_rank(&mut self) {
        for stream in std::mem::take(&mut self.streams_by_rank[SLOW_RANK]) {
            let rank = self.select(true).unwrap_or(SLOW_RANK);
            self.place(stream, rank);
        }
    }

    /// Sends one event on each stream. Returns how many streams completed on time.
    fn run_pass(&mut self, now: Duration) -> u32 {
        let mut on_time = 0;
        for streams in &mut self.streams_by_rank {
            for stream in streams.iter_mut() {
                let gap = stream.last_event_at.map(|at| now - at);
                stream.is_late |= gap.is_some_and(|gap| gap > GAP_GOAL);
                stream.last_event_at = Some(now);
                stream.events_left -= 1;
            }
            let ended = streams.iter().filter(|stream| stream.events_left == 0);
            on_time += ended.filter(|stream| !stream.is_late).count() as u32;
            streams.retain(|stream| stream.events_left > 0);
        }
        on_time
    }
}

/// Simulates the group. Returns the fraction of calls whose streams were on time.
fn simulate(reaction: Reaction) -> f64 {
    let streams_by_rank = (0..RANKS).map(|_| Vec::new()).collect();
    let mut group = Group { streams_by_rank, last_chosen: vec![0; RANKS], choices: 0 };
    let (mut arrived, mut on_time, mut due_arrivals) = (0, 0, 0.0);
    let (mut now, mut next_pass_at) = (Duration::ZERO, Duration::ZERO);
    while now < DURATION {
        let noticed_at = now.saturating_sub(NOTICE_DELAY);
        let reported = (0..RANKS).map(|rank| (rank, slowdown(rank, noticed_at)));
        let is_known = is_slow(now) && slow_ranks(reported, RANKS) == [SLOW_RANK];
        if is_known && reaction == Reaction::StreamsLeaveIt {
            group.leave_slow_rank();
        }
        if now >= next_pass_at {
            on_time += group.run_pass(now);
            next_pass_at = now + group.pass_time(now);
        }
        due_arrivals += ARRIVALS_PER_S * TICK.as_secs_f64();
        while due_arrivals >= 1.0 {
            due_arrivals -= 1.0;
            arrived += 1;
            if let Some(rank) = group.select(is_known && reaction != Reaction::None) {
                let stream = Stream { events_left: EVENTS, is_late: false, last_event_at: None };
                group.place(stream, rank);
            }
        }
        now += TICK;
    }
    f64::from(on_time) / f64::from(arrived)
}

#[test]
fn most_calls_are_on_time_if_they_avoid_a_slow_rank_and_its_streams_leave_it() {
    let without = simulate(Reaction::None);
    let avoided = simulate(Reaction::NewCallsAvoidIt);
    let left = simulate(Reaction::StreamsLeaveIt);

    println!("on time: {without} without, {avoided} if avoided, {left} if left");
    assert!(avoided > without + 0.1, "{avoided} if avoided, {without} without");
    assert!(left > avoided + 0.05, "{left} if left, {avoided} if avoided");
    assert!(left > 0.85, "{left}");
}
