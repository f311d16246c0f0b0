//! Ownership of an engine's slots by entries, by rendezvous hashing.
//!
//! With many entries and engines of few slots an entry can't know what the others have just sent:
//! reports are older than calls take to arrive. So each slot has an owner, which all entries derive
//! alike, and an entry uses its own free slots before those of others. Entries whose membership
//! lists differ for a moment share some slots meanwhile, and one that joins or leaves moves only
//! its own.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Makes an entry's precedence at an endpoint independent of its slots there.
const PRECEDENCE_SALT: [u8; 4] = *b"rank";

/// The entries that slots are divided among, by the hashes of their names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotOwners {
    own: u64,
    others: Vec<u64>,
}

/// An entry's share of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnSlots {
    /// Slots that it owns.
    pub count: u32,
    /// Position of the endpoint in the entry's own order, which differs from those of others, so
    /// that entries in the same state don't all begin with the same endpoint.
    pub order: u64,
}

impl SlotOwners {
    /// Creates it from the names of the own entry and of all others.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> SlotOwners {
        let own = xxh3_64(own.as_bytes());
        let others: BTreeSet<u64> =
            others.into_iter().map(|other| xxh3_64(other.as_bytes())).collect();
        SlotOwners { own, others: others.into_iter().filter(|other| *other != own).collect() }
    }

    /// Number of entries, including the own one.
    pub fn entries(&self) -> usize {
        self.others.len() + 1
    }

    /// Number of entries that precede the own one at an endpoint that only few entries call.
    pub fn precedence(&self, endpoint: &str) -> usize {
        let endpoint = xxh3_64(endpoint.as_bytes());
        let weight =
            |entry: u64| xxh3_64_with_seed(&PRECEDENCE_SALT, endpoint ^ entry.rotate_left(1));
        let own = weight(self.own);
        self.others.iter().filter(|other| weight(**other) > own).count()
    }

    /// The own entry's share of an endpoint.
    pub fn own_slots(&self, endpoint: &str, slots: u32) -> OwnSlots {
        let endpoint = xxh3_64(endpoint.as_bytes());
        let weight = |entry: u64, slot: u32| {
            xxh3_64_with_seed(&slot.to_le_bytes(), endpoint ^ entry.rotate_left(1))
        };
        let is_own = |slot: &u32| {
            let own = weight(self.own, *slot);
            self.others.iter().all(|other| weight(*other, *slot) < own)
        };
        let count = (0..slots).filter(is_own).count() as u32;
        OwnSlots { count, order: weight(self.own, slots) }
    }
}
