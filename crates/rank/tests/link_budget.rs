//! What goes over the links of a large group, and how long it takes.
//!
//! A play in virtual time: each process sends over a link of its own that carries so
//! many bytes a second and holds the rest in a queue, and receives over another.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_balance::{PlanLimits, plan_group};
use lynxmount_core::{
    FailureDomainId,
    experts::{Action, EngineOrder, GroupMap},
};
use lynxmount_group::{RankRequest, RelayTarget, plan_relays, should_relay};
use lynxmount_rank::message::{Datagram, DemandSample, OrderMessage, RelayedOrder};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rand_distr::{Distribution, LogNormal};

const RANKS: usize = 192;
const SETS: usize = 10;
const EXPERTS: usize = 384;
const PLACES: usize = 3;
/// Failure domains that the ranks stand in.
const DOMAINS: usize = 5;
/// A link of 6 Mbit/s.
const LINK_BYTES_PER_S: f64 = 750_000.0;
/// What UDP and IP add to a datagram.
const HEADER_BYTES: usize = 28;
/// One way between failure domains, and the time to take a datagram up.
const HOP: Duration = Duration::from_millis(4);

/// The links of all processes.
#[derive(Default)]
struct Links {
    free_at: BTreeMap<(SocketAddr, Direction), Duration>,
    sent_bytes: BTreeMap<SocketAddr, usize>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Direction {
    In,
    Out,
}

impl Links {
    /// Sends a datagram; returns when it is there.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: usize, at: Duration) -> Duration {
        let bytes = bytes + HEADER_BYTES;
        *self.sent_bytes.entry(from).or_default() += bytes;
        let left = self.pass((from, Direction::Out), bytes, at);
        self.pass((to, Direction::In), bytes, left + HOP)
    }

    fn pass(&mut self, link: (SocketAddr, Direction), bytes: usize, at: Duration) -> Duration {
        let free_at = self.free_at.entry(link).or_default();
        *free_at = at.max(*free_at) + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        *free_at
    }
}

fn process(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, (rank % DOMAINS) as u8, 0, (rank / DOMAINS) as u8], 7340))
}

fn targets() -> Vec<RelayTarget> {
    let target = |rank: usize| RelayTarget {
        failure_domain: Some(FailureDomainId::from(format!("domain-{}", rank % DOMAINS))),
        address: process(rank),
    };
    (1..RANKS).map(target).collect()
}

/// The first map of a group: experts are dealt in turn.
fn first_map() -> GroupMap {
    let of_rank = |rank: usize| (rank..EXPERTS).step_by(RANKS).collect();
    vec![(0..RANKS).map(of_rank).collect(); SETS]
}

/// Demand for a few experts above all others.
fn demand(rng: &mut SmallRng) -> Vec<Vec<f64>> {
    let popularity = LogNormal::new(0.0, 1.0).expect("a distribution");
    (0..SETS).map(|_| (0..EXPERTS).map(|_| popularity.sample(rng)).collect()).collect()
}

/// The change from the first map to one that fits a demand.
fn first_change(seed: u64) -> (EngineOrder, GroupMap, usize) {
    let current = first_map();
    let limits = PlanLimits {
        slots_per_rank: PLACES,
        fetches_per_set: 2,
        fetches_per_rank: 14,
        min_gain_per_fetch: 0.0005,
    };
    let plan = plan_group(&current, &demand(&mut SmallRng::seed_from_u64(seed)), limits);
    let plan = plan.expect("a change that gains");
    let action = Action::Prepare { version: 1 << 20, map: Arc::new(plan.maps) };
    (EngineOrder { epoch: 1, action }, current, plan.fetches)
}

/// When the last rank has a map that goes to each directly.
fn directly(links: &mut Links, order: &EngineOrder, base: &GroupMap) -> Duration {
    let message = OrderMessage::new(1, order, Some((0, base)));
    let bytes = Datagram::Order(message).encode().expect("a datagram").len();
    let arrivals =
        (1..RANKS).map(|rank| links.send(process(0), process(rank), bytes, Duration::ZERO));
    arrivals.max().unwrap_or_default()
}

/// When the last rank has a map that goes through relays.
fn through_relays(links: &mut Links, order: &EngineOrder, base: &GroupMap) -> Duration {
    let message = OrderMessage::new(1, order, Some((0, base)));
    let order: Arc<[u8]> = Datagram::Order(message).encode().expect("a datagram").into();
    let mut last = Duration::ZERO;
    for relay in plan_relays(&targets(), 1) {
        let to_relay = RelayedOrder {
            order: Arc::clone(&order),
            answer_to: process(0),
            to: relay.forward_to.clone(),
        };
        let to_rank = RelayedOrder { to: Vec::new(), ..to_relay.clone() };
        let bytes = |order| Datagram::Relayed(order).encode().expect("a datagram").len();
        let there = links.send(process(0), relay.address, bytes(to_relay), Duration::ZERO);
        let passed_bytes = bytes(to_rank);
        let passed = relay.forward_to.iter();
        let passed = passed.map(|peer| links.send(relay.address, *peer, passed_bytes, there));
        last = passed.chain([there]).fold(last, Duration::max);
    }
    last
}

#[test]
fn a_first_map_is_there_within_a_quarter_of_a_second_and_not_within_half_without_relays() {
    for seed in 0..3 {
        let (order, base, fetches) = first_change(seed);
        assert!(fetches > 300, "{fetches} fetches are no large change");

        let direct = directly(&mut Links::default(), &order, &base);
        let relayed = through_relays(&mut Links::default(), &order, &base);

        assert!(direct > Duration::from_millis(500), "{direct:?}");
        assert!(relayed < Duration::from_millis(250), "{relayed:?}");
    }
}

#[test]
fn no_process_sends_more_than_an_eighth_of_a_second_of_its_link_for_a_large_change() {
    let (order, base, _) = first_change(7);
    let mut links = Links::default();

    through_relays(&mut links, &order, &base);

    let most = links.sent_bytes.values().max().copied().unwrap_or_default();
    assert!((most as f64) < LINK_BYTES_PER_S / 8.0, "{most} bytes");
}

#[test]
fn a_whole_map_of_a_large_group_is_no_larger_than_a_datagram_may_be() {
    let (order, ..) = first_change(7);

    let whole = Datagram::Order(OrderMessage::new(1, &order, None)).encode().expect("a datagram");

    assert!(whole.len() < 16_384, "{} bytes", whole.len());
    assert!(should_relay(whole.len(), RANKS, LINK_BYTES_PER_S));
}

#[test]
fn maps_and_samples_are_read_as_they_were_written() {
    let peer = process(3);
    let (order, base, _) = first_change(11);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut chosen: Vec<u64> = (0..(SETS * EXPERTS) as u64).map(|count| count % 90).collect();
    chosen.shuffle(&mut rng);
    let small = Datagram::MapRequest { epoch: 1, version: rng.random() };
    let sample = Datagram::Demand(DemandSample::new(("g".to_owned(), 1), &chosen));
    let map = Datagram::Order(OrderMessage::new(9, &order, Some((0, &base))));

    for datagram in [small, sample, map] {
        let bytes = datagram.encode().expect("a datagram");

        assert_eq!(Datagram::decode(peer, &bytes).expect("a datagram"), datagram);
    }
}

#[test]
fn a_sample_tells_each_count_to_a_part_of_the_largest_and_small_ones_exactly() {
    let mut rng = SmallRng::seed_from_u64(9);
    let small: Vec<u64> = (0..500).map(|_| rng.random_range(0..=255)).collect();
    let large: Vec<u64> = (0..500).map(|_| rng.random_range(0..40_000)).collect();
    let told = |chosen: &[u64]| DemandSample::new(("g".to_owned(), 1), chosen).counts();

    assert_eq!(told(&small), small);
    let off = large.iter().zip(told(&large)).map(|(count, told)| count.abs_diff(told)).max();
    assert!(off <= Some(40_000 / 255 / 2 + 1), "{off:?}");
}

#[test]
fn a_sample_of_many_experts_takes_a_byte_an_expert_at_most() {
    let mut rng = SmallRng::seed_from_u64(9);
    let chosen: Vec<u64> = demand(&mut rng).concat().iter().map(|p| (p * 700.0) as u64).collect();

    let sample = Datagram::Demand(DemandSample::new(("g".to_owned(), 1), &chosen));

    let bytes = sample.encode().expect("a datagram").len();
    assert!(bytes < SETS * EXPERTS, "{bytes} bytes");
}

#[test]
fn a_map_by_rows_is_the_map_that_was_planned() {
    for seed in 0..3 {
        let (order, base, _) = first_change(seed);
        let base = Arc::new(base);

        let message = OrderMessage::new(1, &order, Some((0, &base)));
        let read = message.into_request(|version| (version == 0).then(|| Arc::clone(&base)));

        assert_eq!(read, Some(RankRequest::Order(order)));
    }
}

#[test]
fn bytes_that_are_no_datagram_are_refused() {
    let mut rng = SmallRng::seed_from_u64(3);
    for length in 0..200 {
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();

        // Whatever comes of it, it must not panic or take memory without bound.
        let _ = Datagram::decode(process(1), &bytes);
    }
    assert!(Datagram::decode(process(1), &[]).is_err());
    assert!(Datagram::decode(process(1), &[1, 0xff, 0xff]).is_err());
}
