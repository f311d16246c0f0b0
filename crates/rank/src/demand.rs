//! Which experts are in demand, from the counts of all ranks.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use lynxmount_balance::DemandWindows;
use lynxmount_core::experts::{Counts, GroupEpoch};

use crate::message::RankState;

/// Demand by set and expert, as it is since the last shift.
#[derive(Default)]
pub(crate) struct Demand {
    last: BTreeMap<SocketAddr, Counts>,
    epoch: GroupEpoch,
    windows: DemandWindows,
}

impl Demand {
    /// Takes the counts of a rank.
    pub(crate) fn take(&mut self, state: &RankState, now: Instant) {
        let Some(counts) = &state.counts else { return };
        if self.epoch != counts.epoch {
            *self = Demand { epoch: counts.epoch, ..Demand::default() };
        }
        let before = self.last.insert(state.engine, counts.clone());
        let Some(before) = before.filter(|before| before.step < counts.step) else { return };
        let pairs = counts.by_set_and_expert.iter().zip(&before.by_set_and_expert);
        let chosen: Vec<u64> = pairs.map(|(now, then)| now.saturating_sub(*then)).collect();
        self.windows.add(&chosen, now);
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub(crate) fn by_set(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        self.windows.by_set(experts)
    }
}
