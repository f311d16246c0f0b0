//! Distributed rate limits that endpoints announce, shared by entries without a coordinator.

use std::time::Duration;

use lynxmount_policy::{
    EndpointRateLimit, LimitChange, LimitShare, MembershipEvidence, RetrySchedule, SlotOwners,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENDPOINT: &str = "i-1";
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(4);
/// How often entries read the membership.
const MEMBERSHIP_PERIOD: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(3);

/// How long ago an entry must have learned of the limit for its requests to count.
const LEARNED_BEFORE: Duration = Duration::from_millis(500);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn owners(own: usize, members: &[usize]) -> SlotOwners {
    let names: Vec<String> = members.iter().map(|member| format!("entry-{member}")).collect();
    SlotOwners::new(&format!("entry-{own}"), names.iter().map(String::as_str))
}

fn share(interval_ms: u64) -> LimitShare {
    LimitShare {
        interval: at_ms(interval_ms),
        phase: 1.0,
        evidence: MembershipEvidence::Current { since: Duration::ZERO },
    }
}

/// A simulated entry.
struct Entry {
    members: Vec<usize>,
    limit: EndpointRateLimit,
    learned_at: Option<Duration>,
    /// Sends nothing until then.
    frozen_until: Duration,
    /// When it started, by the clock of the fleet.
    started_at: Duration,
    /// When it reads the membership next.
    members_read_at: Duration,
}

/// A gossip message in flight to a peer.
struct Report {
    receiver: usize,
    limit_per_s: Option<f64>,
    observed_at: Duration,
    arrives_at: Duration,
}

/// A simulated fleet of entries that send whenever they may, to one endpoint.
struct Fleet {
    reports: Vec<Report>,
    entries: Vec<Entry>,
    limit_per_s: f64,
    /// Whether the endpoint announces its limit.
    announces_limit: bool,
    counted_requests: Vec<Duration>,
    arrived: usize,
}

impl Fleet {
    fn new(size: usize, limit_per_s: f64) -> Fleet {
        let members: Vec<usize> = (0..size).collect();
        let entries = (0..size).map(|_| Entry {
            members: members.clone(),
            limit: EndpointRateLimit::default(),
            learned_at: None,
            frozen_until: Duration::ZERO,
            started_at: Duration::ZERO,
            members_read_at: Duration::ZERO,
        });
        Fleet {
            reports: Vec::new(),
            entries: entries.collect(),
            limit_per_s,
            announces_limit: true,
            counted_requests: Vec::new(),
            arrived: 0,
        }
    }

    /// Lets each entry send a request if it has a call, with probability `demand`, and may send it.
    fn step(&mut self, now: Duration, demand: f64, rng: &mut SmallRng) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            let has_call = rng.random_bool(demand) && now >= entry.frozen_until;
            let own_time = now.saturating_sub(entry.started_at);
            if now < entry.started_at || !has_call || !entry.limit.try_acquire(own_time) {
                continue;
            }
            self.arrived += 1;
            if now > GRACE && entry.learned_at.is_some_and(|at| at + LEARNED_BEFORE <= now) {
                self.counted_requests.push(now);
            }
            let owners = owners(index, &entry.members);
            let announced = self.announces_limit.then_some(self.limit_per_s);
            let share = |limit_per_s| LimitShare::new(&owners, ENDPOINT, limit_per_s);
            let change = entry.limit.on_response(announced, own_time, own_time, share);
            entry.learned_at.get_or_insert(now);
            if change.is_some() {
                self.publish(announced, now, now, rng);
            }
        }
    }

    /// Gossips an observation to three peers, twice; messages are late or lost.
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
            let receiver = rng.random_range(0..self.entries.len());
            let arrives_at = now + at_ms(rng.random_range(0..800));
            self.reports.push(Report { receiver, limit_per_s, observed_at: at, arrives_at });
        }
    }

    /// Delivers due gossip messages; new observations are forwarded.
    fn deliver(&mut self, now: Duration, rng: &mut SmallRng) {
        let is_due = |report: &Report| report.arrives_at <= now;
        let (arrived, in_flight) = std::mem::take(&mut self.reports).into_iter().partition(is_due);
        self.reports = in_flight;
        let arrived: Vec<Report> = arrived;
        for Report { receiver, limit_per_s, observed_at, .. } in arrived {
            let entry = &mut self.entries[receiver];
            if now < entry.started_at {
                continue;
            }
            let own = |at: Duration| at.saturating_sub(entry.started_at);
            let owners = owners(receiver, &entry.members);
            let share = |limit_per_s| LimitShare::new(&owners, ENDPOINT, limit_per_s);
            // Receivers assume that a report is older than it is.
            let min_observed_at = observed_at.saturating_sub(at_ms(500));
            let (observed, received) = (own(min_observed_at), own(now));
            let change = entry.limit.on_peer_report(limit_per_s, observed, received, share);
            if change.is_some() {
                self.publish(limit_per_s, observed_at, now, rng);
            }
        }
    }

    /// Lets entries read the membership that are due.
    fn read_members(&mut self, member_count: usize, now: Duration) {
        for index in 0..member_count {
            let entry = &mut self.entries[index];
            if now < entry.members_read_at {
                continue;
            }
            entry.members = (0..member_count).collect();
            entry.members_read_at = now + MEMBERSHIP_PERIOD;
            let owners = owners(index, &entry.members);
            let share = LimitShare::new(&owners, ENDPOINT, self.limit_per_s);
            entry.limit.set_share(share, now.saturating_sub(entry.started_at));
        }
    }

    /// The last entry leaves, or another joins. Returns the new number of entries.
    fn join_or_leave(&mut self, member_count: usize, now: Duration, rng: &mut SmallRng) -> usize {
        match rng.random_bool(0.5) {
            true if member_count < self.entries.len() => {
                self.entries[member_count] = Entry {
                    members: Vec::new(),
                    limit: EndpointRateLimit::default(),
                    learned_at: None,
                    frozen_until: now,
                    started_at: now,
                    members_read_at: now,
                };
                member_count + 1
            }
            false if member_count > 1 => {
                self.entries[member_count - 1].started_at = Duration::MAX;
                member_count - 1
            }
            _ => member_count,
        }
    }

    fn most_in_window(&self) -> usize {
        let counts = (0..self.counted_requests.len()).map(|first| {
            let end = self.counted_requests[first] + WINDOW;
            self.counted_requests[first..].iter().take_while(|at| **at < end).count()
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
    fn entries_that_join_leave_freeze_and_disagree_stay_within_the_limit(
        size in 1_usize..48,
        limit_per_s in 0.3_f64..50.0,
        demand in 0.05_f64..1.0,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(size, limit_per_s);
        let (mut member_count, mut change_at) = (size, at_ms(2_000));
        for index in 0..size {
            fleet.entries[index].members_read_at = at_ms(rng.random_range(0..8_000));
        }
        for step in 0..2_500 {
            let now = STEP * step;
            if now >= change_at {
                change_at = now + at_ms(rng.random_range(500..4_000));
                member_count = fleet.join_or_leave(member_count, now, &mut rng);
                let frozen = rng.random_range(0..member_count);
                fleet.entries[frozen].frozen_until = now + at_ms(rng.random_range(0..2_000));
            }
            fleet.read_members(member_count, now);
            fleet.deliver(now, &mut rng);
            fleet.step(now, demand, &mut rng);
        }
        let (most, allowed) = (fleet.most_in_window(), fleet.allowed());
        prop_assert!(most <= allowed, "{most} requests in a window, {allowed} allowed");
    }
}

#[test]
fn fleets_of_any_size_use_nine_tenths_of_a_limit() {
    for (size, limit_per_s) in [(1, 1.0), (4, 0.5), (4, 1.1), (4, 50.0), (35, 1.0), (35, 50.0)] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet::new(size, limit_per_s);
        let mut warm_up_arrivals = 0;
        for step in 0..6_000 {
            if step == 1_000 {
                warm_up_arrivals = fleet.arrived;
            }
            fleet.step(STEP * step, 0.5, &mut rng);
        }
        let used =
            (fleet.arrived - warm_up_arrivals) as f64 / (STEP * 5_000).as_secs_f64() / limit_per_s;
        assert!((0.9..=1.1).contains(&used), "{size} entries, {limit_per_s}/s: {used}");
    }
}

#[test]
fn thousands_of_entries_stay_within_the_limit() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut fleet = Fleet::new(2_500, 1.0);

    (0..600).for_each(|step| fleet.step(STEP * step, 0.3, &mut rng));

    let (most, allowed) = (fleet.most_in_window(), fleet.allowed());
    assert!(most <= allowed, "{most} requests in a window, {allowed} allowed");
}

#[test]
fn nine_tenths_of_a_large_fleet_learn_within_seconds_that_a_limit_is_lifted() {
    for size in [35, 200] {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut fleet = Fleet::new(size, 1.0);
        for step in 0..1_000 {
            let now = STEP * step;
            fleet.announces_limit = step < 500;
            fleet.deliver(now, &mut rng);
            fleet.step(now, 0.3, &mut rng);
        }

        let still_limited =
            fleet.entries.iter().filter(|entry| entry.limit.limit_per_s().is_some());
        let still_limited = still_limited.count();
        assert!(
            still_limited * 10 <= size,
            "{still_limited} of {size} entries still apply the limit"
        );
    }
}

#[test]
fn a_peers_report_that_is_older_than_the_own_observation_is_ignored() {
    let mut limit = EndpointRateLimit::default();
    limit.on_response(Some(1.0), at_ms(100), at_ms(120), |_| share(1_000));

    let older = limit.on_peer_report(None, at_ms(110), at_ms(500), |_| share(1_000));
    let newer = limit.on_peer_report(None, at_ms(130), at_ms(500), |_| share(1_000));

    assert_eq!(older, None);
    assert_eq!(newer, Some(LimitChange::Lifted));
}

#[test]
fn a_limit_is_lifted_only_by_an_answer_to_a_later_request() {
    let mut limit = EndpointRateLimit::default();
    let announced = limit.on_response(Some(1.0), at_ms(100), at_ms(120), |_| share(1_000));

    let overtaken = limit.on_response(None, at_ms(110), at_ms(130), |_| share(1_000));
    let later = limit.on_response(None, at_ms(140), at_ms(150), |_| share(1_000));

    assert_eq!(announced, Some(LimitChange::Changed));
    assert_eq!(overtaken, None);
    assert_eq!(later, Some(LimitChange::Lifted));
    assert!(limit.try_acquire(at_ms(150)) && limit.try_acquire(at_ms(150)));
}

#[test]
fn a_request_that_was_not_sent_is_refunded_to_the_share() {
    let mut limit = EndpointRateLimit::default();
    limit.on_response(Some(1.0), at_ms(19_000), at_ms(19_000), |_| share(1_000));

    assert!(!limit.try_acquire(at_ms(19_999)));
    assert!(limit.try_acquire(at_ms(20_000)));
    assert_eq!(limit.resumes_at(at_ms(20_000)), Some(at_ms(21_000)));
    limit.refund(at_ms(20_000));

    assert_eq!(limit.resumes_at(at_ms(20_000)), None);
}

#[test]
fn an_entry_that_has_just_started_uses_a_third_of_its_share() {
    let mut limit = EndpointRateLimit::default();

    limit.on_response(Some(1.0), at_ms(0), at_ms(0), |_| share(1_000));

    assert_eq!(limit.resumes_at(at_ms(0)), Some(at_ms(3_000)));
}

/// Guards against entries that share the whole limit as if they were as few as they know.
#[test]
fn an_entry_that_does_not_know_the_others_uses_a_small_part_of_its_share() {
    let since = Duration::ZERO;
    let now = at_ms(20_000);
    let intervals = [
        MembershipEvidence::None,
        MembershipEvidence::Stale { since },
        MembershipEvidence::Current { since: at_ms(19_000) },
        MembershipEvidence::Current { since },
    ]
    .map(|evidence| {
        let mut limit = EndpointRateLimit::default();
        limit.on_response(Some(1.0), now, now, |_| share(100).with_evidence(evidence));
        limit.resumes_at(now).expect("the limit is active") - now
    });

    assert_eq!(intervals, [3_000, 200, 300, 100].map(at_ms));
}

#[test]
fn limits_out_of_range_neither_stop_an_endpoint_nor_overflow() {
    for limit_per_s in [0.0, 1e-9, 1e18, f64::MAX] {
        let share = LimitShare::new(&owners(0, &[0]), ENDPOINT, limit_per_s);

        assert!(share.interval <= Duration::from_secs(20), "{share:?}");
        assert!(share.interval > Duration::ZERO, "{share:?}");
    }
}

#[test]
fn refused_callers_are_assigned_consecutive_retry_times() {
    let mut schedule = RetrySchedule::default();
    let mut assign = |now| schedule.assign(at_ms(1_000), at_ms(200), at_ms(now));

    assert_eq!(assign(0), at_ms(1_000));
    assert_eq!(assign(0), at_ms(1_200));
    assert_eq!(assign(100), at_ms(1_300));
}
