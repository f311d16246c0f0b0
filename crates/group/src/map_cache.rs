//! Maps that this process knows by their number.
//!
//! Every process of a group is given every map that its group may come to use, so
//! that a number says what all ranks hold: nobody has to tell it. A number is given
//! to one map only, see [`crate::Switch`]. Where all processes have ended and begun anew
//! beside engines that went on, nobody knows the map any more, and it is put together
//! from what each engine holds.

use std::{collections::BTreeMap, sync::Arc};

use lynxmount_core::experts::{Action, EngineOrder, GroupEpoch, GroupMap, MapVersion};
use serde::{Deserialize, Serialize};

use crate::RankNumber;

/// Maps that are kept beside the one in use: the one that is prepared, and two
/// numbers under which ranks may be settled on the one in use.
const MAX_OTHERS: usize = 3;

/// What one rank holds of a map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankRow {
    /// The group's life.
    pub epoch: GroupEpoch,
    /// The map.
    pub version: MapVersion,
    /// The rank.
    pub rank: RankNumber,
    /// How many ranks the group has.
    pub ranks: usize,
    /// The rank's experts of each set.
    pub experts: Vec<Vec<usize>>,
}

/// Maps of one life of the own group.
#[derive(Debug, Default)]
pub struct MapCache {
    epoch: GroupEpoch,
    in_use: MapVersion,
    by_version: BTreeMap<MapVersion, Arc<GroupMap>>,
    /// What ranks hold of the map in use, as far as they were asked.
    rows: BTreeMap<RankNumber, Vec<Vec<usize>>>,
}

impl MapCache {
    /// Takes what the own engine tells: maps of another life are forgotten, and the
    /// one in use is kept, however many are tried in vain meanwhile.
    pub fn set_in_use(&mut self, epoch: GroupEpoch, version: MapVersion) {
        if self.epoch != epoch {
            *self = MapCache { epoch, ..MapCache::default() };
        }
        if self.in_use != version {
            self.rows.clear();
        }
        self.in_use = version;
        self.prune();
    }

    /// Takes the map of an order that an engine is given.
    pub fn insert_from_order(&mut self, order: &EngineOrder) {
        if let Action::Prepare { version, map } = &order.action {
            self.insert(order.epoch, *version, Arc::clone(map));
        }
    }

    /// Takes a map; one of another life is of no use.
    pub fn insert(&mut self, epoch: GroupEpoch, version: MapVersion, map: Arc<GroupMap>) {
        if epoch == self.epoch {
            self.by_version.insert(version, map);
            self.prune();
        }
    }

    /// Takes what a rank holds of the map in use, which is known as a whole once all
    /// ranks have told.
    pub fn insert_row(&mut self, row: RankRow) {
        let RankRow { epoch, version, rank, ranks, experts } = row;
        if epoch != self.epoch || version != self.in_use || rank >= ranks {
            return;
        }
        self.rows.insert(rank, experts);
        if self.rows.len() != ranks {
            return;
        }
        let sets = self.rows.values().map(Vec::len).min().unwrap_or_default();
        let of_set = |set: usize| self.rows.values().map(|row| row[set].clone()).collect();
        let map: GroupMap = (0..sets).map(of_set).collect();
        self.rows.clear();
        self.insert(epoch, version, Arc::new(map));
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
