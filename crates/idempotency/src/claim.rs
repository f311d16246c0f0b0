//! Claims of idempotency keys in the platform's log, and the table of active claims.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use lynxmount_core::{EndpointId, Incarnation, Offset, duration_ms};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use crate::DEDUP_WINDOW;

/// Stream of the platform's log that holds claims.
pub const CLAIMS_STREAM: &str = "claims";

/// Digest of team, service and the caller's key.
pub type KeyDigest = [u8; 32];
/// Digest of method, path and body.
pub type RequestDigest = [u8; 32];

/// Computes the digest under which a request is deduplicated.
pub fn key_digest(team: &str, service: &str, key: &[u8]) -> KeyDigest {
    digest_of(&[team.as_bytes(), service.as_bytes(), key])
}

/// Computes the digest that must be the same in all requests with one key.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    digest_of(&[method.as_bytes(), path.as_bytes(), body])
}

fn digest_of(parts: &[&[u8]]) -> [u8; 32] {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}

/// A claim that binds a key to an endpoint's incarnation, as stored in the log.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Key that is bound.
    #[serde_as(as = "Hex")]
    pub key_digest: KeyDigest,
    /// Request that came with the key.
    #[serde_as(as = "Hex")]
    pub request_digest: RequestDigest,
    /// Endpoint process that may run the request.
    pub endpoint: EndpointId,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// Time of the claim in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// Claim that this one replaces, which is allowed once the endpoint of the replaced claim has
    /// confirmed that it will never run the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<Offset>,
}

/// Claims appended as one record, to stay within the log's rate limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimBatch {
    /// Claims, in the order in which they are applied.
    pub claims: Vec<Claim>,
}

/// The claim that currently binds a key, with its offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveClaim {
    /// Offset of the claim's batch in the log.
    pub offset: Offset,
    /// The claim.
    pub claim: Claim,
}

/// The active claims of all keys, as of the last record that was read.
#[derive(Debug, Default)]
pub struct ClaimTable {
    next: Offset,
    active_claims: HashMap<KeyDigest, ActiveClaim>,
    by_age: VecDeque<(u64, KeyDigest)>,
}

impl ClaimTable {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Applies the record at an offset. Records must arrive in order; one that was applied before
    /// has no effect.
    pub fn apply(&mut self, offset: Offset, batch: ClaimBatch) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        for claim in batch.claims {
            self.apply_claim(offset, claim);
        }
    }

    fn apply_claim(&mut self, offset: Offset, claim: Claim) {
        let current = self.active_claims.get(&claim.key_digest).map(|active| active.offset);
        if current != claim.replaces {
            return;
        }
        self.by_age.push_back((claim.claimed_at_ms, claim.key_digest));
        self.active_claims.insert(claim.key_digest, ActiveClaim { offset, claim });
    }

    /// Skips the records before `first`, which are no longer in the log.
    pub fn skip_to(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// Active claim of a key.
    pub fn get(&self, key: &KeyDigest) -> Option<&ActiveClaim> {
        self.active_claims.get(key)
    }

    /// Number of bound keys.
    pub fn len(&self) -> usize {
        self.active_claims.len()
    }

    /// Whether no key is bound.
    pub fn is_empty(&self) -> bool {
        self.active_claims.is_empty()
    }

    /// Removes claims older than twice the deduplication window, at a wall time in milliseconds.
    ///
    /// An endpoint process refuses a claim after one window, so no endpoint runs a key whose claim
    /// an entry has removed.
    pub fn expire(&mut self, now_ms: u64) {
        let retention_ms = duration_ms(DEDUP_WINDOW.saturating_add(window_margin()));
        while let Some(&(claimed_at_ms, key)) = self.by_age.front() {
            if claimed_at_ms.saturating_add(retention_ms) > now_ms {
                break;
            }
            self.by_age.pop_front();
            let is_unreplaced = self
                .active_claims
                .get(&key)
                .is_some_and(|active| active.claim.claimed_at_ms == claimed_at_ms);
            if is_unreplaced {
                self.active_claims.remove(&key);
            }
        }
    }
}

fn window_margin() -> Duration {
    DEDUP_WINDOW
}
