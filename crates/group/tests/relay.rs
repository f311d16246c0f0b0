//! Planning relays.

use std::{collections::BTreeSet, net::SocketAddr};

use lynxmount_core::FailureDomainId;
use lynxmount_group::{Relay, RelayTarget, plan_relays, should_relay};

/// A link of 6 Mbit/s.
const SMALL_LINK_BYTES_PER_S: f64 = 750_000.0;

fn targets(by_domain: &[usize]) -> Vec<RelayTarget> {
    let of_domain = |(domain, count): (usize, &usize)| {
        let address = move |host| SocketAddr::from(([10, domain as u8, 0, host as u8], 7340));
        let failure_domain: Option<FailureDomainId> = Some(format!("domain-{domain}").into());
        (0..*count).map(move |host| RelayTarget {
            failure_domain: failure_domain.clone(),
            address: address(host),
        })
    };
    by_domain.iter().enumerate().flat_map(of_domain).collect()
}

fn domain_of(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(v4) => v4.ip().octets()[1],
        SocketAddr::V6(_) => unreachable!("targets have IPv4 addresses"),
    }
}

fn reached(relays: &[Relay]) -> Vec<SocketAddr> {
    relays
        .iter()
        .flat_map(|relay| relay.forward_to.iter().copied().chain([relay.address]))
        .collect()
}

#[test]
fn every_target_is_reached_once() {
    for sizes in [vec![1], vec![5, 1, 9], vec![38, 38, 39, 39, 38], vec![500, 3]] {
        let targets = targets(&sizes);

        for turn in 0..20 {
            let reached = reached(&plan_relays(&targets, turn));

            let distinct: BTreeSet<SocketAddr> = reached.iter().copied().collect();
            assert_eq!(reached.len(), targets.len());
            assert_eq!(distinct, targets.iter().map(|target| target.address).collect());
        }
    }
}

#[test]
fn nothing_is_forwarded_to_another_failure_domain() {
    let targets = targets(&[38, 38, 39, 39, 38]);

    for Relay { address, forward_to } in plan_relays(&targets, 7) {
        assert!(forward_to.iter().all(|peer| domain_of(*peer) == domain_of(address)));
    }
}

#[test]
fn no_process_sends_much_more_than_the_square_root_of_all_copies() {
    for sizes in [vec![16], vec![24, 24, 24], vec![38, 38, 39, 39, 38], vec![160, 160, 160]] {
        let targets = targets(&sizes);
        let root = (targets.len() as f64).sqrt().ceil() as usize;

        let relays = plan_relays(&targets, 3);

        // The last part of each failure domain may be smaller.
        assert!(relays.len() <= root + sizes.len(), "{} relays of {sizes:?}", relays.len());
        assert!(relays.iter().all(|relay| relay.forward_to.len() < root));
    }
}

#[test]
fn consecutive_turns_use_different_relays() {
    let targets = targets(&[38, 38, 39, 39, 38]);
    let addresses = |turn| plan_relays(&targets, turn).into_iter().map(|relay| relay.address);

    let both = addresses(4).filter(|relay| addresses(5).any(|other| other == *relay)).count();

    assert_eq!(both, 0);
}

#[test]
fn a_small_message_or_a_fast_link_needs_no_relays() {
    assert!(should_relay(3_000, 192, SMALL_LINK_BYTES_PER_S));
    assert!(!should_relay(60, 192, SMALL_LINK_BYTES_PER_S));
    assert!(!should_relay(1_000, 16, 2_500_000.0));
    assert!(!should_relay(3_000, 192, f64::INFINITY));
}
