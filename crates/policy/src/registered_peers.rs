//! The addresses of peers, from a registry that may lack living ones and keeps dead ones.
//!
//! Registrations are lost while the registry is unavailable, or with its return from an older copy.
//! What is divided by the number of peers would grow for all of them at once, so that a peer counts
//! until it has had the time to register again. Registrations of peers that are gone stay, so that
//! one that is not renewed expires, or the others would be held to small shares for good.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use lynxmount_core::{LogEra, LogPosition, Offset, PeerRegistration};

use crate::MEMBERSHIP_CONVERGENCE_TIME;

/// How often a process renews its registration.
pub const PEER_RENEWAL_PERIOD: Duration = Duration::from_secs(24);

/// Time after which a registration that is not renewed expires: two renewals may fail.
const PEER_LEASE: Duration = Duration::from_secs(75);

/// Longest pause between two reads while the registry is available. After a longer one it was not,
/// and nobody could renew a registration.
const MAX_READ_PAUSE: Duration = Duration::from_secs(10);

/// The same while peers are missing, as the registry is then read more often.
const MAX_READ_PAUSE_UNSETTLED: Duration = Duration::from_secs(3);

/// Most processes that are taken to start together, so that few have to be asked.
const MAX_STARTING_TOGETHER: usize = 64;

/// Whether a registry, by its addresses and its end, shows that the whole system starts for the first time:
/// it was never restored from a copy, each address has registered once, and the own one has not. A process
/// then has no predecessor if none of the others has ended.
pub fn shows_first_start(
    end: LogPosition,
    addresses: impl Iterator<Item = SocketAddr>,
    own: SocketAddr,
) -> bool {
    let mut records = 0;
    let distinct: BTreeSet<SocketAddr> = addresses.inspect(|_| records += 1).collect();
    let is_complete = end == LogPosition { era: LogEra::default(), offset: records as Offset };
    is_complete
        && distinct.len() == records
        && records <= MAX_STARTING_TOGETHER
        && !distinct.contains(&own)
}

/// A registration in the newest list.
#[derive(Clone, Copy, Debug)]
struct Listed {
    registration: PeerRegistration,
    renewed_at: Duration,
}

/// The peers that are registered, or were until recently.
#[derive(Debug, Default)]
pub struct RegisteredPeers {
    era: LogEra,
    listed: BTreeMap<SocketAddr, Listed>,
    /// Peers that are no longer listed, and since when they had the time to register again.
    missing: BTreeMap<SocketAddr, Duration>,
    read_at: Duration,
}

impl RegisteredPeers {
    /// Applies all registrations that were just read from the registry in an era. Ignores those of
    /// an earlier era than known.
    pub fn update(&mut self, era: LogEra, registrations: &[PeerRegistration], now: Duration) {
        if era < self.era {
            return;
        }
        self.extend_after_pause(now);
        self.era = era;
        self.read_at = now;
        let mut listed: BTreeMap<SocketAddr, Listed> = BTreeMap::new();
        for registration in registrations {
            // A former process at the address may have had another name.
            let newest = listed.get(&registration.address);
            if newest.is_some_and(|newest| newest.registration.written_at > registration.written_at)
            {
                continue;
            }
            let known = self.listed.get(&registration.address);
            let known = known.filter(|known| known.registration == *registration);
            let renewed_at = known.map_or(now, |known| known.renewed_at);
            let peer = Listed { registration: *registration, renewed_at };
            listed.insert(registration.address, peer);
        }
        let before = std::mem::replace(&mut self.listed, listed);
        let lasting = before.into_iter().filter(|(_, peer)| now < peer.renewed_at + PEER_LEASE);
        lasting.for_each(|(peer, _)| {
            self.missing.entry(peer).or_insert(now);
        });
        let listed = &self.listed;
        self.missing.retain(|peer, since| {
            !listed.contains_key(peer) && now < *since + MEMBERSHIP_CONVERGENCE_TIME
        });
    }

    /// All addresses.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let is_valid = |peer: &&Listed| self.read_at < peer.renewed_at + PEER_LEASE;
        let listed = self.listed.values().filter(is_valid).map(|peer| peer.registration.address);
        listed.chain(self.missing.keys().copied()).collect()
    }

    /// Whether no peer is missing that may register again.
    pub fn is_settled(&self) -> bool {
        self.missing.is_empty()
    }

    /// Time in which nobody could write to the registry does not count.
    fn extend_after_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.read_at);
        let max_pause = match self.is_settled() {
            true => MAX_READ_PAUSE,
            false => MAX_READ_PAUSE_UNSETTLED,
        };
        if pause <= max_pause {
            return;
        }
        self.missing.values_mut().for_each(|since| *since = now);
        self.listed.values_mut().for_each(|peer| peer.renewed_at += pause);
    }
}
