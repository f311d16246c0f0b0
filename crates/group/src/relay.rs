//! Passing one message to all ranks of a group through some of them.
//!
//! A process that sends a map to each rank by itself is limited by its own link: a large
//! change for 192 ranks takes up a link of 6 Mbit/s for over half a second, and through
//! relays it is there in under a quarter (a play in `crates/rank/tests/link_budget.rs`).
//! Through relays it sends as many copies as there are relays, and each relay as many
//! as it has ranks behind it. A relay decides nothing and answers for nobody: every
//! rank answers the sender itself, which sends to those again that have not answered.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lynxmount_core::FailureDomainId;

/// How long the direct sending of a message to all ranks may take up the sender's
/// link. Relays cost a hop, a few milliseconds between failure domains, and the processor
/// time of whoever passes the message on, so that they pay only from a few times that on.
const DIRECT_TIME: Duration = Duration::from_millis(20);

/// A process that a message is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RelayTarget {
    /// Where it stands, as far as it is known.
    pub failure_domain: Option<FailureDomainId>,
    /// Its address.
    pub address: SocketAddr,
}

/// A process that passes a message on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relay {
    /// The process, which is also one that the message is for.
    pub address: SocketAddr,
    /// The processes that it passes the message on to.
    pub forward_to: Vec<SocketAddr>,
}

/// Says whether relays save time: whether a message of so many bytes to so many
/// processes takes up the sender's link for long.
pub fn should_relay(message_bytes: usize, targets: usize, link_bytes_per_s: f64) -> bool {
    (message_bytes * targets) as f64 > link_bytes_per_s * DIRECT_TIME.as_secs_f64()
}

/// Divides processes into relays and those behind them, about as many relays as each
/// has behind it, so that the slowest of all links has least to send. Nobody passes a
/// message on to another failure domain: bytes between them are dear.
///
/// `turn` says which process of each part is its relay, so that one that is slow or
/// gone without notice is not the relay again the next time.
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
    let place = (turn % part.len() as u64) as usize;
    let mut forward_to = part.to_vec();
    let address = forward_to.remove(place);
    Relay { address, forward_to }
}
