//! The keys that one incarnation of an endpoint process has been given.

use std::collections::{HashMap, VecDeque};

use lynxmount_core::{Incarnation, duration_ms};

use crate::{DEDUP_WINDOW, KeyDigest, MAX_CLOCK_SKEW, RequestDigest};

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DedupOptions {
    /// How many keys are remembered; further ones are refused.
    pub max_keys: usize,
}

/// What becomes of a dispatch that carries a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The key is being run, or was; take part in its answer.
    Attach,
    /// There is no room to remember another key.
    Full,
    /// The key came with another request before.
    KeyReused,
    /// The key is bound to another incarnation, or its window is over.
    NotBoundHere,
    /// The key was revoked here.
    Revoked,
    /// Run it; from now on it is remembered as run.
    Run,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Entry {
    Revoked,
    Run(RequestDigest),
}

/// The keys of one incarnation. It never forgets a key within its window:
/// when it is full it refuses.
#[derive(Debug)]
pub struct DedupTable {
    incarnation: Incarnation,
    options: DedupOptions,
    keys: HashMap<KeyDigest, Entry>,
    by_age: VecDeque<(u64, KeyDigest)>,
}

impl DedupTable {
    /// Starts the ledger of a new incarnation, which has run nothing.
    pub fn new(incarnation: Incarnation, options: DedupOptions) -> DedupTable {
        DedupTable { incarnation, options, keys: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Decides about a dispatch, at a wall time in milliseconds.
    pub fn admit(
        &mut self,
        key: KeyDigest,
        request: RequestDigest,
        incarnation: Incarnation,
        claimed_at_ms: u64,
        now_ms: u64,
    ) -> Admission {
        self.expire(now_ms);
        match self.keys.get(&key) {
            _ if incarnation != self.incarnation => Admission::NotBoundHere,
            Some(Entry::Revoked) => Admission::Revoked,
            Some(Entry::Run(known)) if *known == request => Admission::Attach,
            Some(Entry::Run(_)) => Admission::KeyReused,
            None if is_over(claimed_at_ms, now_ms) => Admission::NotBoundHere,
            None if self.keys.len() >= self.options.max_keys => Admission::Full,
            None => {
                self.remember(key, Entry::Run(request), claimed_at_ms);
                Admission::Run
            }
        }
    }

    /// Revokes a key for ever whose run was admitted but has not reached the
    /// back end.
    pub fn revoke_unstarted(&mut self, key: &KeyDigest) {
        if let Some(entry) = self.keys.get_mut(key) {
            *entry = Entry::Revoked;
        }
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Says whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn remember(&mut self, key: KeyDigest, entry: Entry, claimed_at_ms: u64) {
        self.keys.insert(key, entry);
        self.by_age.push_back((claimed_at_ms, key));
    }

    /// Forgets keys whose claims are refused by their age alone. The clocks'
    /// difference is added, as the claim's time is another VM's.
    fn expire(&mut self, now_ms: u64) {
        let kept_ms = duration_ms(DEDUP_WINDOW + MAX_CLOCK_SKEW);
        while let Some(&(claimed_at_ms, key)) = self.by_age.front() {
            if claimed_at_ms.saturating_add(kept_ms) > now_ms {
                break;
            }
            self.by_age.pop_front();
            self.keys.remove(&key);
        }
    }
}

fn is_over(claimed_at_ms: u64, now_ms: u64) -> bool {
    claimed_at_ms.saturating_add(duration_ms(DEDUP_WINDOW)) <= now_ms
}
