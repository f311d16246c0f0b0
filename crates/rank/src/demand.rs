//! Which experts are in demand, from the counts of all ranks.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use lynxmount_balance::DemandWindows;
use lynxmount_core::experts::{Counts, GroupEpoch};

use crate::message::RankState;

/// A life of a group, by the group's name.
pub(crate) type GroupLife = (String, GroupEpoch);

/// Demand by set and expert, as it is since the last shift.
pub(crate) struct Demand {
    last: BTreeMap<SocketAddr, Counts>,
    /// The group whose demand it is, and the group's life.
    life: Option<GroupLife>,
    windows: DemandWindows,
    detects_shifts: bool,
}

impl Demand {
    pub(crate) fn new(detects_shifts: bool) -> Demand {
        Demand {
            last: BTreeMap::new(),
            life: None,
            windows: DemandWindows::new(detects_shifts),
            detects_shifts,
        }
    }

    /// Begins anew if the group is another one or has formed anew.
    pub(crate) fn begin(&mut self, life: &GroupLife) {
        if self.life.as_ref() != Some(life) {
            *self = Demand { life: Some(life.clone()), ..Demand::new(self.detects_shifts) };
        }
    }

    /// Takes the counts of a rank in a life of its group.
    pub(crate) fn take(&mut self, state: &RankState, life: Option<&GroupLife>, now: Instant) {
        let is_of_life = life.is_some() && life == self.life.as_ref();
        let Some(counts) = state.counts.as_ref().filter(|_| is_of_life) else { return };
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
