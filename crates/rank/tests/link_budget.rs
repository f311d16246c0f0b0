//! The bytes that a large group sends over its links, and how long they take.
//!
//! A simulation in virtual time: each process has an outgoing and an incoming link of limited
//! bandwidth, with an unbounded queue each.

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
const SLOTS_PER_RANK: usize = 3;
/// The failure domains that the ranks are spread over.
const FAILURE_DOMAINS: usize = 5;
/// A link of 6 Mbit/s.
const LINK_BYTES_PER_S: f64 = 750_000.0;
/// The UDP and IP headers of a datagram.
const UDP_IP_HEADER_BYTES: usize = 28;
/// The one-way latency between failure domains, with the time to process a datagram.
const HOP_LATENCY: Duration = Duration::from_millis(4);

/// The links of all processes, and what each process has sent.
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
    /// Sends a datagram; returns when it arrives.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: usize, at: Duration) -> Duration {
        let bytes = bytes + UDP_IP_HEADER_BYTES;
        *self.sent_bytes.entry(from).or_default() += bytes;
        let sent_at = self.transmit((from, Direction::Out), bytes, at);
        self.transmit((to, Direction::In), bytes, sent_at + HOP_LATENCY)
    }

    fn transmit(&mut self, link: (SocketAddr, Direction), bytes: usize, at: Duration) -> Duration {
        let free_at = self.free_at.entry(link).or_default();
        *free_at = at.max(*free_at) + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        *free_at
    }
}

fn process(rank: usize) -> SocketAddr {
    SocketAddr::from((
        [10, (rank % FAILURE_DOMAINS) as u8, 0, (rank / FAILURE_DOMAINS) as u8],
        7340,
    ))
}

fn targets() -> Vec<RelayTarget> {
    let target = |rank: usize| RelayTarget {
        failure_domain: Some(FailureDomainId::from(format!("domain-{}", rank % FAILURE_DOMAINS))),
        address: process(rank),
    };
    (1..RANKS).map(target).collect()
}

/// The initial map of a group: experts are dealt to ranks round-robin.
fn initial_map() -> GroupMap {
    let of_rank = |rank: usize| (rank..EXPERTS).step_by(RANKS).collect();
    vec![(0..RANKS).map(of_rank).collect(); SETS]
}

/// Skewed demand: a few experts get most of it.
fn demand(rng: &mut SmallRng) -> Vec<Vec<f64>> {
    let popularity = LogNormal::new(0.0, 1.0).expect("valid distribution");
    (0..SETS).map(|_| (0..EXPERTS).map(|_| popularity.sample(rng)).collect()).collect()
}

/// The order that switches the initial map to one planned for a demand, the initial map, and the
/// number of fetches.
fn first_switch(seed: u64) -> (EngineOrder, GroupMap, usize) {
    let current = initial_map();
    let limits = PlanLimits {
        slots_per_rank: SLOTS_PER_RANK,
        fetches_per_set: 2,
        fetches_per_rank: 14,
        min_gain_per_fetch: 0.0005,
    };
    let plan = plan_group(&current, &demand(&mut SmallRng::seed_from_u64(seed)), &[], limits);
    let plan = plan.expect("a plan that gains");
    let action = Action::Prepare { version: 1 << 20, map: Arc::new(plan.maps) };
    (EngineOrder { epoch: 1, action }, current, plan.fetches)
}

/// When the map has arrived at the last rank, if it is sent to each directly.
fn direct_arrival(links: &mut Links, order: &EngineOrder, base: &GroupMap) -> Duration {
    let message = OrderMessage::new(1, order, Some((0, base)));
    let bytes = Datagram::Order(message).encode().expect("encodable datagram").len();
    let arrivals =
        (1..RANKS).map(|rank| links.send(process(0), process(rank), bytes, Duration::ZERO));
    arrivals.max().unwrap_or_default()
}

/// When the map has arrived at the last rank, if it is sent through relays.
fn relayed_arrival(links: &mut Links, order: &EngineOrder, base: &GroupMap) -> Duration {
    let message = OrderMessage::new(1, order, Some((0, base)));
    let order: Arc<[u8]> = Datagram::Order(message).encode().expect("encodable datagram").into();
    let mut last = Duration::ZERO;
    for relay in plan_relays(&targets(), 1) {
        let to_relay = RelayedOrder {
            order: Arc::clone(&order),
            answer_to: process(0),
            forward_to: relay.forward_to.clone(),
        };
        let to_rank = RelayedOrder { forward_to: Vec::new(), ..to_relay.clone() };
        let bytes = |order| Datagram::Relayed(order).encode().expect("encodable datagram").len();
        let at_relay = links.send(process(0), relay.address, bytes(to_relay), Duration::ZERO);
        let forwarded_bytes = bytes(to_rank);
        let arrivals = relay.forward_to.iter();
        let arrivals =
            arrivals.map(|peer| links.send(relay.address, *peer, forwarded_bytes, at_relay));
        last = arrivals.chain([at_relay]).fold(last, Duration::max);
    }
    last
}

#[test]
fn relays_deliver_a_first_switch_within_250_ms_and_direct_sending_takes_over_500_ms() {
    for seed in 0..3 {
        let (order, base, fetches) = first_switch(seed);
        assert!(fetches > 300, "too few fetches for a large switch: {fetches}");

        let direct = direct_arrival(&mut Links::default(), &order, &base);
        let relayed = relayed_arrival(&mut Links::default(), &order, &base);

        assert!(direct > Duration::from_millis(500), "{direct:?}");
        assert!(relayed < Duration::from_millis(250), "{relayed:?}");
    }
}

#[test]
fn a_large_switch_takes_less_than_an_eighth_of_a_second_of_any_outgoing_link() {
    let (order, base, _) = first_switch(7);
    let mut links = Links::default();

    relayed_arrival(&mut links, &order, &base);

    let most = links.sent_bytes.values().max().copied().unwrap_or_default();
    assert!((most as f64) < LINK_BYTES_PER_S / 8.0, "{most} bytes");
}

#[test]
fn a_full_map_of_a_large_group_fits_into_16_kib() {
    let (order, ..) = first_switch(7);

    let full =
        Datagram::Order(OrderMessage::new(1, &order, None)).encode().expect("encodable datagram");

    assert!(full.len() < 16_384, "{} bytes", full.len());
    assert!(should_relay(full.len(), RANKS, LINK_BYTES_PER_S));
}

#[test]
fn maps_and_samples_are_decoded_as_they_were_encoded() {
    let peer = process(3);
    let (order, base, _) = first_switch(11);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut counts: Vec<u64> = (0..(SETS * EXPERTS) as u64).map(|count| count % 90).collect();
    counts.shuffle(&mut rng);
    let small = Datagram::MapRequest { epoch: 1, version: rng.random() };
    let sample = Datagram::Demand(DemandSample::new(("g".to_owned(), 1), &counts));
    let map = Datagram::Order(OrderMessage::new(9, &order, Some((0, &base))));

    for datagram in [small, sample, map] {
        let bytes = datagram.encode().expect("encodable datagram");

        assert_eq!(Datagram::decode(peer, &bytes).expect("decodable datagram"), datagram);
    }
}

#[test]
fn a_sample_keeps_small_counts_exactly_and_rounds_large_ones_to_a_part_of_the_largest() {
    let mut rng = SmallRng::seed_from_u64(9);
    let small: Vec<u64> = (0..500).map(|_| rng.random_range(0..=255)).collect();
    let large: Vec<u64> = (0..500).map(|_| rng.random_range(0..40_000)).collect();
    let decoded = |counts: &[u64]| DemandSample::new(("g".to_owned(), 1), counts).counts();

    assert_eq!(decoded(&small), small);
    let max_error =
        large.iter().zip(decoded(&large)).map(|(count, decoded)| count.abs_diff(decoded)).max();
    assert!(max_error <= Some(40_000 / 255 / 2 + 1), "{max_error:?}");
}

#[test]
fn a_sample_of_many_experts_takes_less_than_a_byte_per_expert() {
    let mut rng = SmallRng::seed_from_u64(9);
    let counts: Vec<u64> = demand(&mut rng).concat().iter().map(|p| (p * 700.0) as u64).collect();

    let sample = Datagram::Demand(DemandSample::new(("g".to_owned(), 1), &counts));

    let bytes = sample.encode().expect("encodable datagram").len();
    assert!(bytes < SETS * EXPERTS, "{bytes} bytes");
}

#[test]
fn a_delta_map_is_decoded_as_the_planned_map() {
    for seed in 0..3 {
        let (order, base, _) = first_switch(seed);
        let base = Arc::new(base);

        let message = OrderMessage::new(1, &order, Some((0, &base)));
        let decoded = message.into_request(|version| (version == 0).then(|| Arc::clone(&base)));

        assert_eq!(decoded, Some(RankRequest::Order(order)));
    }
}

#[test]
fn malformed_datagrams_are_rejected() {
    let mut rng = SmallRng::seed_from_u64(3);
    for length in 0..200 {
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();

        // Random bytes may decode, but must not panic or allocate without bound.
        let _ = Datagram::decode(process(1), &bytes);
    }
    assert!(Datagram::decode(process(1), &[]).is_err());
    assert!(Datagram::decode(process(1), &[1, 0xff, 0xff]).is_err());
}
