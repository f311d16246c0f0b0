//! Which incarnation may run an idempotency key, and whether it has.
//!
//! A key is bound to one incarnation of one endpoint process by a claim in
//! the platform's log: the first claim counts. Entries read claims into a
//! [`ClaimTable`]; endpoint processes remember keys in a [`Ledger`].

#![forbid(unsafe_code)]

mod claim;
mod ledger;
mod placement;

pub use claim::{
    CLAIMS_STREAM, Claim, ClaimBatch, ClaimTable, KeyDigest, RequestDigest, Standing, key_digest,
    request_digest,
};
pub use ledger::{Admission, Ledger, LedgerOptions};
pub use placement::{KeyStep, may_say_not_run, next_step};

use std::time::Duration;

/// How long a key is remembered after its claim.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(3_600);

/// How far the clocks of two VMs may be apart.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
