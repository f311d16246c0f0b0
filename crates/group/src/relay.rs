//! Two-level multicast: relays forward a message to the ranks of their part of a group.
//!
//! A sender that sends a map to each rank itself is limited by its own link: a large
//! change for 192 ranks occupies a link of 6 Mbit/s for over half a second, and arrives
//! through relays in under a quarter (simulated in `crates/rank/tests/link_budget.rs`).
//! The sender sends one copy per relay, and each relay one per rank behind it. Relays
//! only forward: every rank answers the sender itself, which resends to the ranks
//! without an answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lynxmount_core::FailureDomainId;

/// How long a message to all ranks may occupy the sender's link if sent directly. A relay
/// costs a hop of a few milliseconds between failure domains and its processor time,
/// so that relays pay off only above a multiple of that.
const MAX_DIRECT_TIME: Duration = Duration::from_millis(20);

/// A recipient of a message.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RelayTarget {
    /// Its failure domain, if known.
    pub failure_domain: Option<FailureDomainId>,
    /// Its address.
    pub address: SocketAddr,
}

/// A recipient that also forwards the message to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relay {
    /// The relay's address.
    pub address: SocketAddr,
    /// The recipients that it forwards the message to.
    pub forward_to: Vec<SocketAddr>,
}

/// Whether relays save time: whether sending a message of `message_bytes` to all targets
/// directly would occupy the sender's link for too long.
pub fn should_relay(message_bytes: usize, targets: usize, link_bytes_per_s: f64) -> bool {
    (message_bytes * targets) as f64 > link_bytes_per_s * MAX_DIRECT_TIME.as_secs_f64()
}

/// Splits the targets into parts of about the square root of their number, each with
/// one relay: this minimizes what the busiest link has to send. Relays forward only within
/// their failure domain, as traffic between failure domains is expensive.
///
/// `turn` rotates the relay of each part, so that a process that is slow or has crashed is
/// not the relay of two messages in a row.
pub fn plan_relays(targets: &[RelayTarget], turn: u64) -> Vec<Relay> {
    let part_size = (targets.len() as f64).sqrt().ceil().max(1.0) as usize;
    let mut by_domain: BTreeMap<Option<&FailureDomainId>, Vec<SocketAddr>> = BTreeMap::new();
    for target in targets {
        by_domain.entry(target.failure_domain.as_ref()).or_default().push(target.address);
    }
    let mut relays = Vec::new();
    for mut addresses in by_domain.into_values() {
        addresses.sort();
        let parts = addresses.len().div_ceil(part_size);
        let even_size = addresses.len().div_ceil(parts);
        relays.extend(addresses.chunks(even_size).map(|part| relay_of(part, turn)));
    }
    relays
}

fn relay_of(part: &[SocketAddr], turn: u64) -> Relay {
    let index = (turn % part.len() as u64) as usize;
    let mut forward_to = part.to_vec();
    let address = forward_to.remove(index);
    Relay { address, forward_to }
}
