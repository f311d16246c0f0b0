//! Which entry goes first at which slots of an engine.
//!
//! Many entries before many engines of few slots can't know what the others have just
//! sent: reports are older than calls take to arrive. So slots have owners that all
//! entries work out alike, by rendezvous hashing, and an entry takes its own free slots
//! before it tries others'. Entries whose lists of each other differ for a moment share
//! some slots meanwhile, and one that comes or goes moves only its own.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Makes an entry's rank at an endpoint independent of its slots there.
const RANK_SALT: [u8; 4] = *b"rank";

/// The entries that slots are divided among.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotOwners {
    own: u64,
    others: Vec<u64>,
}

/// What an entry has at one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnSlots {
    /// Slots at which it goes first.
    pub count: u32,
    /// Where the endpoint stands in the entry's own order, which differs from those of
    /// others: entries that start alike don't all begin with the same endpoint.
    pub order: u64,
}

impl SlotOwners {
    /// The own entry and all others, by their names.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> SlotOwners {
        let own = xxh3_64(own.as_bytes());
        let others: BTreeSet<u64> =
            others.into_iter().map(|other| xxh3_64(other.as_bytes())).collect();
        SlotOwners { own, others: others.into_iter().filter(|other| *other != own).collect() }
    }

    /// How many entries there are, the own one included.
    pub fn entries(&self) -> usize {
        self.others.len() + 1
    }

    /// How many entries go before the own one at an endpoint, where few entries call it.
    pub fn precedence(&self, endpoint: &str) -> usize {
        let endpoint = xxh3_64(endpoint.as_bytes());
        let weight = |entry: u64| xxh3_64_with_seed(&RANK_SALT, endpoint ^ entry.rotate_left(1));
        let own = weight(self.own);
        self.others.iter().filter(|other| weight(**other) > own).count()
    }

    /// What the own entry has at an endpoint.
    pub fn own_slots(&self, endpoint: &str, slots: u32) -> OwnSlots {
        let endpoint = xxh3_64(endpoint.as_bytes());
        let claim = |entry: u64, slot: u32| {
            xxh3_64_with_seed(&slot.to_le_bytes(), endpoint ^ entry.rotate_left(1))
        };
        let is_own = |slot: &u32| {
            let own = claim(self.own, *slot);
            self.others.iter().all(|other| claim(*other, *slot) < own)
        };
        let count = (0..slots).filter(is_own).count() as u32;
        OwnSlots { count, order: claim(self.own, slots) }
    }
}
