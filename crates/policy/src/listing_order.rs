//! The order in which endpoints were first listed by a registry that may be restored from copies.
//!
//! Positions of different eras are no order in time: an old registration of the copy has a position
//! of the new era, and a newer one that was listed before keeps its position of the former era. Two
//! endpoints are therefore ordered by the first era in which both were listed.

use std::collections::BTreeMap;

use lynxmount_core::{LogEra, LogPosition, Offset};

/// Where an endpoint was first listed in each era.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstListings {
    offsets: BTreeMap<LogEra, Offset>,
}

impl FirstListings {
    /// Records a position, unless one of its era is known.
    pub(crate) fn record(&mut self, position: LogPosition) {
        self.offsets.entry(position.era).or_insert(position.offset);
    }

    /// Whether the endpoint was first listed after another one; in a later era, if they share none.
    pub(crate) fn are_after(&self, other: &FirstListings) -> bool {
        let shared = |(era, offset)| Some((offset, other.offsets.get(era)?));
        let in_shared_eras = self.offsets.iter().filter_map(shared);
        let mut orders = in_shared_eras.map(|(own, other)| own.cmp(other)).filter(|o| o.is_ne());
        match orders.next() {
            Some(order) => order.is_gt(),
            None => self.offsets.last_key_value() > other.offsets.last_key_value(),
        }
    }
}
