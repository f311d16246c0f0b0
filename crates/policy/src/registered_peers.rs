//! The addresses of peers, from a registry that may lack living ones.
//!
//! Registrations are lost while the registry is unavailable, or with its return from an older copy.
//! What is divided by the number of peers would grow for all of them at once, so that a peer counts
//! until it has had the time to register again.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use lynxmount_core::LogEra;

use crate::MEMBERSHIP_CONVERGENCE_TIME;

/// Longest pause between two reads while peers are missing. After a longer one the registry was
/// unavailable, and nobody could register again.
const MAX_READ_PAUSE: Duration = Duration::from_secs(3);

/// The peers that are registered, or were until recently.
#[derive(Debug, Default)]
pub struct RegisteredPeers {
    era: LogEra,
    listed: BTreeSet<SocketAddr>,
    /// Peers that are no longer listed, and since when they had the time to register again.
    missing: BTreeMap<SocketAddr, Duration>,
    read_at: Duration,
}

impl RegisteredPeers {
    /// Applies all addresses that were just read from the registry in an era. Ignores those of an
    /// earlier era than known.
    pub fn update(&mut self, era: LogEra, addresses: Vec<SocketAddr>, now: Duration) {
        if era < self.era {
            return;
        }
        if now > self.read_at + MAX_READ_PAUSE {
            self.missing.values_mut().for_each(|since| *since = now);
        }
        self.era = era;
        self.read_at = now;
        let before = std::mem::replace(&mut self.listed, addresses.into_iter().collect());
        for peer in before {
            self.missing.entry(peer).or_insert(now);
        }
        let listed = &self.listed;
        self.missing.retain(|peer, since| {
            !listed.contains(peer) && now < *since + MEMBERSHIP_CONVERGENCE_TIME
        });
    }

    /// All addresses.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.listed.iter().chain(self.missing.keys()).copied().collect()
    }

    /// Whether no peer is missing that may register again.
    pub fn is_settled(&self) -> bool {
        self.missing.is_empty()
    }
}
