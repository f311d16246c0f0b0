//! The limit that an endpoint names, shared by entries without a coordinator.

use std::time::Duration;

use lynxmount_policy::{EndpointRateLimit, LimitChange, LimitShare, RetrySchedule, SlotOwners};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENDPOINT: &str = "i-1";
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(4);
/// How often entries look up each other.
const MEMBERS_PERIOD: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(3);

/// How long ago an entry must have heard of the limit for its requests to count.
const HEARD_BEFORE: Duration = Duration::from_millis(500);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn owners(own: usize, members: &[usize]) -> SlotOwners {
    let names: Vec<String> = members.iter().map(|member| format!("entry-{member}")).collect();
    SlotOwners::new(&format!("entry-{own}"), names.iter().map(String::as_str))
}

fn share(interval_ms: u64) -> LimitShare {
    LimitShare { interval: at_ms(interval_ms), phase: 1.0 }
}

/// An entry of a generated fleet.
struct Entry {
    members: Vec<usize>,
    limit: EndpointRateLimit,
    heard_at: Option<Duration>,
    /// Sends nothing until then.
    frozen_until: Duration,
    /// When it started, on the clock of the fleet.
    started_at: Duration,
    /// When it looks up its members next.
    members_read_at: Duration,
}

/// An observation on its way to a peer.
struct Report {
    to: usize,
    limit_per_s: Option<f64>,
    observed_at: Duration,
    arrives_at: Duration,
}

/// Entries that send whenever they may, and what the endpoint gets of them.
struct Fleet {
    reports: Vec<Report>,
    entries: Vec<Entry>,
    limit_per_s: f64,
    /// Whether the endpoint names its limit.
    is_limited: bool,
    counted: Vec<Duration>,
    arrived: usize,
}

impl Fleet {
    fn new(size: usize, limit_per_s: f64) -> Fleet {
        let members: Vec<usize> = (0..size).collect();
        let entries = (0..size).map(|_| Entry {
            members: members.clone(),
            limit: EndpointRateLimit::default(),
            heard_at: None,
            frozen_until: Duration::ZERO,
            started_at: Duration::ZERO,
            members_read_at: Duration::ZERO,
        });
        Fleet {
            reports: Vec::new(),
            entries: entries.collect(),
            limit_per_s,
            is_limited: true,
            counted: Vec::new(),
            arrived: 0,
        }
    }

    /// Lets all entries send what they may, each with a call in hand for part of the time.
    fn step(&mut self, now: Duration, demand: f64, rng: &mut SmallRng) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            let wants = rng.random_bool(demand) && now >= entry.frozen_until;
            let own_time = now.saturating_sub(entry.started_at);
            if now < entry.started_at || !wants || !entry.limit.try_acquire(own_time) {
                continue;
            }
            self.arrived += 1;
            if now > GRACE && entry.heard_at.is_some_and(|at| at + HEARD_BEFORE <= now) {
                self.counted.push(now);
            }
            let owners = owners(index, &entry.members);
            let named = self.is_limited.then_some(self.limit_per_s);
            let share = |limit_per_s| LimitShare::new(&owners, ENDPOINT, limit_per_s);
            let change = entry.limit.on_response(named, own_time, own_time, share);
            entry.heard_at.get_or_insert(now);
            if change.is_some() {
                self.publish(named, now, now, rng);
            }
        }
    }

    /// Sends what was observed to three peers, twice; messages are late or lost.
    fn publish(
        &mut self,
        limit_per_s: Option<f64>,
        at: Duration,
        now: Duration,
        rng: &mut SmallRng,
    ) {
        for _ in 0..6 {
            if rng.random_bool(0.1) {
                continue;
            }
            let to = rng.random_range(0..self.entries.len());
            let arrives_at = now + at_ms(rng.random_range(0..800));
            self.reports.push(Report { to, limit_per_s, observed_at: at, arrives_at });
        }
    }

    /// Delivers gossip that has arrived; what is new is passed on.
    fn deliver(&mut self, now: Duration, rng: &mut SmallRng) {
        let has_arrived = |report: &Report| report.arrives_at <= now;
        let (arrived, under_way) =
            std::mem::take(&mut self.reports).into_iter().partition(has_arrived);
        self.reports = under_way;
        let arrived: Vec<Report> = arrived;
        for Report { to, limit_per_s, observed_at, .. } in arrived {
            let entry = &mut self.entries[to];
            if now < entry.started_at {
                continue;
            }
            let own = |at: Duration| at.saturating_sub(entry.started_at);
            let owners = owners(to, &entry.members);
            let share = |limit_per_s| LimitShare::new(&owners, ENDPOINT, limit_per_s);
            // Receivers take a report for older than it is.
            let observed_for_sure = observed_at.saturating_sub(at_ms(500));
            let (observed, received) = (own(observed_for_sure), own(now));
            let change = entry.limit.on_peer_report(limit_per_s, observed, received, share);
            if change.is_some() {
                self.publish(limit_per_s, observed_at, now, rng);
            }
        }
    }

    /// Entries that are due look up who is present.
    fn read_members(&mut self, present: usize, now: Duration) {
        for index in 0..present {
            let entry = &mut self.entries[index];
            if now < entry.members_read_at {
                continue;
            }
            entry.members = (0..present).collect();
            entry.members_read_at = now + MEMBERS_PERIOD;
            let owners = owners(index, &entry.members);
            let share = LimitShare::new(&owners, ENDPOINT, self.limit_per_s);
            entry.limit.set_share(share, now.saturating_sub(entry.started_at));
        }
    }

    /// The last of those present leaves, or another joins.
    fn join_or_leave(&mut self, present: usize, now: Duration, rng: &mut SmallRng) -> usize {
        match rng.random_bool(0.5) {
            true if present < self.entries.len() => {
                self.entries[present] = Entry {
                    members: Vec::new(),
                    limit: EndpointRateLimit::default(),
                    heard_at: None,
                    frozen_until: now,
                    started_at: now,
                    members_read_at: now,
                };
                present + 1
            }
            false if present > 1 => {
                self.entries[present - 1].started_at = Duration::MAX;
                present - 1
            }
            _ => present,
        }
    }

    fn most_in_window(&self) -> usize {
        let counts = (0..self.counted.len()).map(|first| {
            let end = self.counted[first] + WINDOW;
            self.counted[first..].iter().take_while(|at| **at < end).count()
        });
        counts.max().unwrap_or_default()
    }

    fn allowed(&self) -> usize {
        (1.5 * self.limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn entries_that_join_leave_freeze_and_disagree_stay_within_an_endpoints_limit(
        size in 1_usize..48,
        limit_per_s in 0.3_f64..50.0,
        demand in 0.05_f64..1.0,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(size, limit_per_s);
        let (mut present, mut change_at) = (size, at_ms(2_000));
        for index in 0..size {
            fleet.entries[index].members_read_at = at_ms(rng.random_range(0..8_000));
        }
        for step in 0..2_500 {
            let now = STEP * step;
            if now >= change_at {
                change_at = now + at_ms(rng.random_range(500..4_000));
                present = fleet.join_or_leave(present, now, &mut rng);
                let frozen = rng.random_range(0..present);
                fleet.entries[frozen].frozen_until = now + at_ms(rng.random_range(0..2_000));
            }
            fleet.read_members(present, now);
            fleet.deliver(now, &mut rng);
            fleet.step(now, demand, &mut rng);
        }
        let (most, allowed) = (fleet.most_in_window(), fleet.allowed());
        prop_assert!(most <= allowed, "{most} requests in a window, {allowed} allowed");
    }
}

#[test]
fn nine_tenths_of_a_limit_are_used_by_fleets_of_any_size() {
    for (size, limit_per_s) in [(1, 1.0), (4, 0.5), (4, 1.1), (4, 50.0), (35, 1.0), (35, 50.0)] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet::new(size, limit_per_s);
        let mut warm = 0;
        for step in 0..6_000 {
            if step == 1_000 {
                warm = fleet.arrived;
            }
            fleet.step(STEP * step, 0.5, &mut rng);
        }
        let used = (fleet.arrived - warm) as f64 / (STEP * 5_000).as_secs_f64() / limit_per_s;
        assert!((0.9..=1.1).contains(&used), "{size} entries, {limit_per_s}/s: {used}");
    }
}

#[test]
fn thousands_of_entries_stay_within_an_endpoints_limit() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut fleet = Fleet::new(2_500, 1.0);

    (0..600).for_each(|step| fleet.step(STEP * step, 0.3, &mut rng));

    let (most, allowed) = (fleet.most_in_window(), fleet.allowed());
    assert!(most <= allowed, "{most} requests in a window, {allowed} allowed");
}

#[test]
fn nine_tenths_of_large_fleets_hear_of_a_limits_end_within_seconds() {
    for size in [35, 200] {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut fleet = Fleet::new(size, 1.0);
        for step in 0..1_000 {
            let now = STEP * step;
            fleet.is_limited = step < 500;
            fleet.deliver(now, &mut rng);
            fleet.step(now, 0.3, &mut rng);
        }

        let limited = fleet.entries.iter().filter(|entry| entry.limit.limit_per_s().is_some());
        let limited = limited.count();
        assert!(limited * 10 <= size, "{limited} of {size} entries still hold to the limit");
    }
}

#[test]
fn what_a_peer_has_observed_before_the_own_observation_changes_nothing() {
    let mut limit = EndpointRateLimit::default();
    limit.on_response(Some(1.0), at_ms(100), at_ms(120), |_| share(1_000));

    let older = limit.on_peer_report(None, at_ms(110), at_ms(500), |_| share(1_000));
    let newer = limit.on_peer_report(None, at_ms(130), at_ms(500), |_| share(1_000));

    assert_eq!(older, None);
    assert_eq!(newer, Some(LimitChange::Lifted));
}

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_only() {
    let mut limit = EndpointRateLimit::default();
    let named = limit.on_response(Some(1.0), at_ms(100), at_ms(120), |_| share(1_000));

    let overtaken = limit.on_response(None, at_ms(110), at_ms(130), |_| share(1_000));
    let later = limit.on_response(None, at_ms(140), at_ms(150), |_| share(1_000));

    assert_eq!(named, Some(LimitChange::Changed));
    assert_eq!(overtaken, None);
    assert_eq!(later, Some(LimitChange::Lifted));
    assert!(limit.try_acquire(at_ms(150)) && limit.try_acquire(at_ms(150)));
}

#[test]
fn a_request_that_was_not_sent_is_returned_to_the_share() {
    let mut limit = EndpointRateLimit::default();
    limit.on_response(Some(1.0), at_ms(19_000), at_ms(19_000), |_| share(1_000));

    assert!(!limit.try_acquire(at_ms(19_999)));
    assert!(limit.try_acquire(at_ms(20_000)));
    assert_eq!(limit.resumes_at(at_ms(20_000)), Some(at_ms(21_000)));
    limit.refund(at_ms(20_000));

    assert_eq!(limit.resumes_at(at_ms(20_000)), None);
}

#[test]
fn an_entry_that_has_just_started_uses_a_part_of_its_share() {
    let mut limit = EndpointRateLimit::default();

    limit.on_response(Some(1.0), at_ms(0), at_ms(0), |_| share(1_000));

    assert_eq!(limit.resumes_at(at_ms(0)), Some(at_ms(3_000)));
}

#[test]
fn limits_out_of_range_neither_stop_an_endpoint_for_good_nor_overflow() {
    for limit_per_s in [0.0, 1e-9, 1e18, f64::MAX] {
        let share = LimitShare::new(&owners(0, &[0]), ENDPOINT, limit_per_s);

        assert!(share.interval <= Duration::from_secs(20), "{share:?}");
        assert!(share.interval > Duration::ZERO, "{share:?}");
    }
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let mut returns = RetrySchedule::default();
    let mut assign = |now| returns.assign(at_ms(1_000), at_ms(200), at_ms(now));

    assert_eq!(assign(0), at_ms(1_000));
    assert_eq!(assign(0), at_ms(1_200));
    assert_eq!(assign(100), at_ms(1_300));
}
