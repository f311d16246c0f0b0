//! Which incarnation may run an idempotency key, and whether it has.
//!
//! A key is bound to one incarnation of one endpoint process by a claim in
//! the platform's log: the first claim counts. Entries read claims into a
//! [`ClaimTable`]; endpoint processes remember keys in a [`DedupTable`].

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

/// How long a key is remembered after its claim.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(3_600);

/// How far the clocks of two VMs may be apart.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
