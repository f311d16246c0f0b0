//! A cache of expert maps by version.
//!
//! Each process of a group receives every map that its group may come to use, so that
//! messages need to carry only a version. A version belongs to one map only, see
//! [`crate::MapSwitch`]. If all processes restart while the engines keep running, no process
//! has the map in use, and it is reassembled from the experts that each engine holds.

use std::{collections::BTreeMap, sync::Arc};

use lynxmount_core::experts::{Action, EngineOrder, GroupEpoch, GroupMap, MapVersion};
use serde::{Deserialize, Serialize};

use crate::RankNumber;

/// Maps that are kept besides the one in use: the one being prepared, and two
/// versions to which ranks may be rolled back.
const MAX_UNUSED_MAPS: usize = 3;

/// The experts that one rank holds: its row of a map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankRow {
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The version of the map.
    pub version: MapVersion,
    /// The rank.
    pub rank: RankNumber,
    /// How many ranks the group has.
    pub ranks: usize,
    /// The rank's experts of each set.
    pub experts: Vec<Vec<usize>>,
}

/// The maps of one epoch of this process's group.
#[derive(Debug, Default)]
pub struct MapCache {
    epoch: GroupEpoch,
    in_use: MapVersion,
    by_version: BTreeMap<MapVersion, Arc<GroupMap>>,
    /// The rows of the map in use that were received so far.
    rows: BTreeMap<RankNumber, Vec<Vec<usize>>>,
}

impl MapCache {
    /// Sets the map in use, as this process's engine reports it. Drops all maps of another
    /// epoch. The map in use is never evicted, however many prepared maps go unused.
    pub fn set_in_use(&mut self, epoch: GroupEpoch, version: MapVersion) {
        if self.epoch != epoch {
            *self = MapCache { epoch, ..MapCache::default() };
        }
        if self.in_use != version {
            self.rows.clear();
        }
        self.in_use = version;
        self.evict();
    }

    /// Inserts the map that an order to an engine carries, if any.
    pub fn insert_from_order(&mut self, order: &EngineOrder) {
        if let Action::Prepare { version, map } = &order.action {
            self.insert(order.epoch, *version, Arc::clone(map));
        }
    }

    /// Inserts a map; ignores one of another epoch.
    pub fn insert(&mut self, epoch: GroupEpoch, version: MapVersion, map: Arc<GroupMap>) {
        if epoch == self.epoch {
            self.by_version.insert(version, map);
            self.evict();
        }
    }

    /// Inserts a rank's row of the map in use. The map is inserted once the rows of all
    /// ranks are there.
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
        let rows_of_set = |set: usize| self.rows.values().map(|row| row[set].clone()).collect();
        let map: GroupMap = (0..sets).map(rows_of_set).collect();
        self.rows.clear();
        self.insert(epoch, version, Arc::new(map));
    }

    /// The map with a version in an epoch of the group.
    pub fn get(&self, epoch: GroupEpoch, version: MapVersion) -> Option<Arc<GroupMap>> {
        self.by_version.get(&version).filter(|_| self.epoch == epoch).cloned()
    }

    fn evict(&mut self) {
        let mut unused: Vec<MapVersion> =
            self.by_version.keys().copied().filter(|version| *version != self.in_use).collect();
        let excess = unused.len().saturating_sub(MAX_UNUSED_MAPS);
        unused.truncate(excess);
        unused.iter().for_each(|version| {
            self.by_version.remove(version);
        });
    }
}
