//! Deduplication of requests by idempotency key.
//!
//! A claim in the platform's log binds a key to one incarnation of one endpoint process; the first
//! claim wins. Entries read the claims into a [`ClaimTable`], and each endpoint process records the
//! keys that it has run in a [`DedupTable`].

#![forbid(unsafe_code)]

mod claim;
mod dedup_table;
mod key_decision;

pub use claim::{
    ActiveClaim, CLAIMS_STREAM, Claim, ClaimBatch, ClaimTable, KeyDigest, RequestDigest,
    key_digest, request_digest,
};
pub use dedup_table::{Admission, DedupOptions, DedupTable};
pub use key_decision::{KeyDecision, decide_key, may_report_not_run};

use std::time::Duration;

/// Deduplication window of a key, counted from its claim.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(3_600);

/// Maximum clock skew between two VMs.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
