//! Maps that this process knows by their number.
//!
//! Every process of a group is given every map that its group may come to use, so
//! that a number says what all ranks hold: nobody has to tell it. A number is given
//! to one map only, see [`crate::Switch`].

use std::{collections::BTreeMap, sync::Arc};

use lynxmount_core::experts::{Action, EngineOrder, GroupEpoch, GroupMap, MapVersion};

/// Maps that are kept beside the one in use: the one that is prepared, and two
/// numbers under which ranks may be settled on the one in use.
const MAX_OTHERS: usize = 3;

/// Maps of one life of the own group.
#[derive(Debug, Default)]
pub struct KnownMaps {
    epoch: GroupEpoch,
    in_use: MapVersion,
    by_version: BTreeMap<MapVersion, Arc<GroupMap>>,
}

impl KnownMaps {
    /// Takes what the own engine tells: maps of another life are forgotten, and the
    /// one in use is kept, however many are tried in vain meanwhile.
    pub fn note_in_use(&mut self, epoch: GroupEpoch, version: MapVersion) {
        if self.epoch != epoch {
            *self = KnownMaps { epoch, ..KnownMaps::default() };
        }
        self.in_use = version;
        self.prune();
    }

    /// Takes the map of an order that an engine is given.
    pub fn note_order(&mut self, order: &EngineOrder) {
        if let Action::Prepare { version, map } = &order.action {
            self.note(order.epoch, *version, Arc::clone(map));
        }
    }

    /// Takes a map; one of another life is of no use.
    pub fn note(&mut self, epoch: GroupEpoch, version: MapVersion, map: Arc<GroupMap>) {
        if epoch == self.epoch {
            self.by_version.insert(version, map);
            self.prune();
        }
    }

    /// The map with a number in a life of the group.
    pub fn get(&self, epoch: GroupEpoch, version: MapVersion) -> Option<Arc<GroupMap>> {
        self.by_version.get(&version).filter(|_| self.epoch == epoch).cloned()
    }

    fn prune(&mut self) {
        let mut others: Vec<MapVersion> =
            self.by_version.keys().copied().filter(|version| *version != self.in_use).collect();
        let excess = others.len().saturating_sub(MAX_OTHERS);
        others.truncate(excess);
        others.iter().for_each(|version| {
            self.by_version.remove(version);
        });
    }
}
