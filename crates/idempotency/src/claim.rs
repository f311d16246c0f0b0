//! Claims in the platform's log.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use lynxmount_core::{EndpointId, Incarnation, Offset, duration_ms};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use crate::DEDUP_WINDOW;

/// The stream of the platform's log that holds claims.
pub const CLAIMS_STREAM: &str = "claims";

/// Digest over team, service and the caller's key.
pub type KeyDigest = [u8; 32];
/// Digest over method, path and body.
pub type RequestDigest = [u8; 32];

/// Digests the key under which a request is remembered.
pub fn key_digest(team: &str, service: &str, key: &[u8]) -> KeyDigest {
    digest_of(&[team.as_bytes(), service.as_bytes(), key])
}

/// Digests what must be the same when a key is repeated.
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

/// A claim, as it stands in the log.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The key that is bound.
    #[serde_as(as = "Hex")]
    pub key_digest: KeyDigest,
    /// The request that came with the key.
    #[serde_as(as = "Hex")]
    pub request_digest: RequestDigest,
    /// The endpoint process that may run it.
    pub endpoint: EndpointId,
    /// The life of that process.
    pub incarnation: Incarnation,
    /// When the claim was made, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// The claim that this one replaces, once its endpoint has confirmed that
    /// it will never run the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<Offset>,
}

/// Several claims in one append, to stay within the log's rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimBatch {
    /// The claims, in the order in which they count.
    pub claims: Vec<Claim>,
}

/// A claim that counts, with its offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveClaim {
    /// The claim's position in the log.
    pub offset: Offset,
    /// The claim.
    pub claim: Claim,
}

/// All claims that count, as far as the log was read.
#[derive(Debug, Default)]
pub struct ClaimTable {
    next: Offset,
    standing: HashMap<KeyDigest, ActiveClaim>,
    by_age: VecDeque<(u64, KeyDigest)>,
}

impl ClaimTable {
    /// The offset of the next record that the table needs.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Takes the record at an offset. Records must come in order; one that
    /// was taken before has no effect.
    pub fn apply(&mut self, offset: Offset, batch: ClaimBatch) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        for claim in batch.claims {
            self.take_claim(offset, claim);
        }
    }

    fn take_claim(&mut self, offset: Offset, claim: Claim) {
        let current = self.standing.get(&claim.key_digest).map(|standing| standing.offset);
        if current != claim.replaces {
            return;
        }
        self.by_age.push_back((claim.claimed_at_ms, claim.key_digest));
        self.standing.insert(claim.key_digest, ActiveClaim { offset, claim });
    }

    /// Notes that the records before an offset are gone.
    pub fn skip_to(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// The claim that counts for a key.
    pub fn get(&self, key: &KeyDigest) -> Option<&ActiveClaim> {
        self.standing.get(key)
    }

    /// How many keys are bound.
    pub fn len(&self) -> usize {
        self.standing.len()
    }

    /// Says whether no key is bound.
    pub fn is_empty(&self) -> bool {
        self.standing.is_empty()
    }

    /// Forgets claims whose window is over at the given wall time.
    ///
    /// Entries keep a claim for twice the window: an endpoint process refuses
    /// it after one, so none runs a key that an entry has forgotten.
    pub fn expire(&mut self, now_ms: u64) {
        let kept_ms = duration_ms(DEDUP_WINDOW.saturating_add(window_margin()));
        while let Some(&(claimed_at_ms, key)) = self.by_age.front() {
            if claimed_at_ms.saturating_add(kept_ms) > now_ms {
                break;
            }
            self.by_age.pop_front();
            let is_oldest =
                self.standing.get(&key).is_some_and(|s| s.claim.claimed_at_ms == claimed_at_ms);
            if is_oldest {
                self.standing.remove(&key);
            }
        }
    }
}

fn window_margin() -> Duration {
    DEDUP_WINDOW
}
