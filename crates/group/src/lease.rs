//! Leases with fencing tokens, as a pure function of the log.
//!
//! Expiry is computed only from the time at which the platform accepted each record. A
//! holder that was paused may still act after its lease has expired; its fencing
//! token, the offset of its record, then shows that the lease is outdated.

use std::time::Duration;

use lynxmount_core::{Offset, ProcessId, duration_ms};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::FencingToken;

/// How long before the expiry of its lease a holder stops acting under it.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// A record of the log that requests a lease.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The process that requests the lease.
    pub holder: ProcessId,
    /// The duration of the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lasts_ms: Duration,
    /// The lease of the same holder to renew; `None` for a new lease.
    pub renews: Option<FencingToken>,
}

/// The lease that was granted last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The offset of the lease's first record; renewals keep it.
    pub fencing_token: FencingToken,
    /// The process that holds the lease.
    pub holder: ProcessId,
    /// When the lease expires, by the platform's clock in milliseconds.
    pub expires_at_ms: u64,
}

/// The lease of one group, after the records of the log that were applied.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    next_offset: Offset,
    lease: Option<Lease>,
}

impl LeaseTable {
    /// Applies the record at an offset, which the platform accepted at `time_ms`. Returns
    /// whether the lease was granted.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, record: &LeaseRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        let expires_at_ms = time_ms.saturating_add(duration_ms(record.lasts_ms));
        let fencing_token = match &self.lease {
            Some(lease) if self.is_renewal(lease, record, time_ms) => lease.fencing_token,
            Some(lease) if time_ms < lease.expires_at_ms => return false,
            _ => offset,
        };
        self.lease = Some(Lease { fencing_token, holder: record.holder.clone(), expires_at_ms });
        true
    }

    /// The lease that was granted last, which may have expired.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// A lease that has expired can't be renewed, even by its holder: another process
    /// may have held it in between.
    fn is_renewal(&self, lease: &Lease, record: &LeaseRecord, time_ms: u64) -> bool {
        record.renews == Some(lease.fencing_token)
            && record.holder == lease.holder
            && time_ms < lease.expires_at_ms
    }
}
