//! What was known of endpoints before their registry was restored from an older copy.
//!
//! A registration that comes from the copy may be outdated: its endpoint drains or has left since.
//! What was known holds until the registration is written again, or until it would have expired if
//! its endpoint did not live.

use std::{collections::BTreeMap, time::Duration};

use lynxmount_core::{EndpointId, EndpointRecord, EndpointState, LogPosition};

/// What was known of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LastKnown {
    /// It was registered as draining.
    Draining,
    /// It was registered no more.
    Left,
}

/// An incarnation, and what was known of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownIncarnation {
    pub(crate) started_ms: Option<u64>,
    pub(crate) last_known: LastKnown,
}

/// Overrides of registrations that may come from a copy.
#[derive(Debug, Default)]
pub(crate) struct RestoredRegistrations {
    known: BTreeMap<EndpointId, KnownIncarnation>,
    /// Registrations that were written from here on do not come from the copy.
    copy_end: LogPosition,
    valid_until: Duration,
}

impl RestoredRegistrations {
    /// Starts with what was known when the first list after the restore, up to `copy_end`, was
    /// read. Registrations of endpoints that do not live expire by `valid_until`.
    pub(crate) fn new(
        known: BTreeMap<EndpointId, KnownIncarnation>,
        copy_end: LogPosition,
        valid_until: Duration,
    ) -> RestoredRegistrations {
        RestoredRegistrations { known, copy_end, valid_until }
    }

    /// The registration as far as it may be believed; `None` if its endpoint has left.
    pub(crate) fn correct(&self, record: &EndpointRecord, now: Duration) -> Option<EndpointRecord> {
        let is_outdated = now < self.valid_until && record.written_at < self.copy_end;
        let known = self
            .known
            .get(&record.id)
            .filter(|known| is_outdated && known.started_ms == record.started_ms);
        match known.map(|known| known.last_known) {
            Some(LastKnown::Left) => None,
            Some(LastKnown::Draining) => {
                Some(EndpointRecord { state: EndpointState::Draining, ..record.clone() })
            }
            None => Some(record.clone()),
        }
    }
}
