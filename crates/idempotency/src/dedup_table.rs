//! Deduplication table: the idempotency keys that one incarnation of an endpoint process has run
//! or revoked.

use std::collections::{HashMap, VecDeque};

use lynxmount_core::{Incarnation, duration_ms};

use crate::{DEDUP_WINDOW, KeyDigest, MAX_CLOCK_SKEW, RequestDigest};

/// Limits of a [`DedupTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DedupOptions {
    /// Maximum number of keys; further ones are refused.
    pub max_keys: usize,
}

/// Decision about a dispatched request with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is running or has run: share its response.
    Attach,
    /// The table is full.
    Full,
    /// The key was used with a different request.
    KeyReused,
    /// The key is bound to another incarnation, or its deduplication window has ended.
    NotBoundHere,
    /// The key was revoked by this incarnation.
    Revoked,
    /// Run the request; the key is now recorded as run.
    Run,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KeyState {
    Revoked,
    Run(RequestDigest),
}

/// The keys of one incarnation. A full table refuses new keys rather than evict one within its
/// deduplication window.
#[derive(Debug)]
pub struct DedupTable {
    incarnation: Incarnation,
    options: DedupOptions,
    keys: HashMap<KeyDigest, KeyState>,
    by_age: VecDeque<(u64, KeyDigest)>,
}

impl DedupTable {
    /// Creates the empty table of a new incarnation.
    pub fn new(incarnation: Incarnation, options: DedupOptions) -> DedupTable {
        DedupTable { incarnation, options, keys: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Decides about a dispatched request, at a wall time in milliseconds.
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
            Some(KeyState::Revoked) => Admission::Revoked,
            Some(KeyState::Run(previous)) if *previous == request => Admission::Attach,
            Some(KeyState::Run(_)) => Admission::KeyReused,
            None if is_expired(claimed_at_ms, now_ms) => Admission::NotBoundHere,
            None if self.keys.len() >= self.options.max_keys => Admission::Full,
            None => {
                self.insert(key, KeyState::Run(request), claimed_at_ms);
                Admission::Run
            }
        }
    }

    /// Revokes a key permanently whose request was admitted but hasn't reached the back end.
    pub fn revoke_unstarted(&mut self, key: &KeyDigest) {
        if let Some(state) = self.keys.get_mut(key) {
            *state = KeyState::Revoked;
        }
    }

    /// Number of recorded keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn insert(&mut self, key: KeyDigest, state: KeyState, claimed_at_ms: u64) {
        self.keys.insert(key, state);
        self.by_age.push_back((claimed_at_ms, key));
    }

    /// Removes keys whose claims would be refused for their age alone. The clock skew is added
    /// because the claim's time comes from another VM.
    fn expire(&mut self, now_ms: u64) {
        let retention_ms = duration_ms(DEDUP_WINDOW + MAX_CLOCK_SKEW);
        while let Some(&(claimed_at_ms, key)) = self.by_age.front() {
            if claimed_at_ms.saturating_add(retention_ms) > now_ms {
                break;
            }
            self.by_age.pop_front();
            self.keys.remove(&key);
        }
    }
}

fn is_expired(claimed_at_ms: u64, now_ms: u64) -> bool {
    claimed_at_ms.saturating_add(duration_ms(DEDUP_WINDOW)) <= now_ms
}
