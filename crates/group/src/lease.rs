//! Leases: a pure function of the log.
//!
//! The only clock that counts is the time at which the platform took each
//! record. A holder that is paused may believe in its lease for too long;
//! its fencing number, the offset of its record, then gives it away.

use std::time::Duration;

use lynxmount_core::{Offset, ProcessId, duration_ms};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::FencingToken;

/// By how much earlier than its end a holder stops to act under its lease.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// A request for a lease, as it stands in the log.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Who wants the lease.
    pub holder: ProcessId,
    /// For how long.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lasts_ms: Duration,
    /// The lease that is extended, if it is the holder's own.
    pub renews: Option<FencingToken>,
}

/// The lease that was granted last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Its number: the offset of the first record of an unbroken row.
    pub fencing_token: FencingToken,
    /// Who holds it.
    pub holder: ProcessId,
    /// When it ends, by the platform's clock in milliseconds.
    pub ends_at_ms: u64,
}

/// The leases of one group, as far as the log was read.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    next: Offset,
    lease: Option<Lease>,
}

impl LeaseTable {
    /// Takes the record at an offset, with the platform's time; returns whether
    /// the lease was granted.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, record: &LeaseRecord) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        let ends_at_ms = time_ms.saturating_add(duration_ms(record.lasts_ms));
        let fencing_token = match &self.lease {
            Some(lease) if self.is_renewal(lease, record, time_ms) => lease.fencing_token,
            Some(lease) if time_ms < lease.ends_at_ms => return false,
            _ => offset,
        };
        self.lease = Some(Lease { fencing_token, holder: record.holder.clone(), ends_at_ms });
        true
    }

    /// The lease that was granted last, which may have ended.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// A lease that has ended can't be extended, even by its holder: others
    /// may have acted in between.
    fn is_renewal(&self, lease: &Lease, record: &LeaseRecord, time_ms: u64) -> bool {
        record.renews == Some(lease.fencing_token)
            && record.holder == lease.holder
            && time_ms < lease.ends_at_ms
    }
}
