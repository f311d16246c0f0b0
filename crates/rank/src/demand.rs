//! Which experts are in demand, from the counts of all ranks.

use std::{collections::BTreeMap, net::SocketAddr};

use lynxmount_core::experts::{Counts, GroupEpoch};

use crate::message::RankState;

/// The weight of the newest reading: readings come five times a second, so that
/// about the last second counts.
const NEWEST_WEIGHT: f64 = 0.25;

/// Demand by set and expert, as it was lately.
#[derive(Default)]
pub(crate) struct Demand {
    last: BTreeMap<SocketAddr, Counts>,
    epoch: GroupEpoch,
    experts: usize,
    recent: Vec<f64>,
}

impl Demand {
    /// Takes the counts of all ranks.
    pub(crate) fn take(&mut self, epoch: GroupEpoch, states: &[RankState], experts: usize) {
        if self.epoch != epoch || self.experts != experts {
            *self = Demand { epoch, experts, ..Demand::default() };
        }
        let mut window: Vec<f64> = Vec::new();
        for state in states {
            let counts = &state.counts;
            let before = self.last.insert(state.engine, counts.clone());
            let Some(before) = before.filter(|before| before.epoch == counts.epoch) else {
                continue;
            };
            window.resize(counts.by_set_and_expert.len(), 0.0);
            let pairs = counts.by_set_and_expert.iter().zip(&before.by_set_and_expert);
            for (sum, (now, then)) in window.iter_mut().zip(pairs) {
                *sum += now.saturating_sub(*then) as f64;
            }
        }
        if window.iter().sum::<f64>() > 0.0 {
            self.add(&window);
        }
    }

    fn add(&mut self, window: &[f64]) {
        if self.recent.len() != window.len() {
            self.recent = window.to_vec();
            return;
        }
        for (recent, newest) in self.recent.iter_mut().zip(window) {
            *recent += NEWEST_WEIGHT * (newest - *recent);
        }
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub(crate) fn by_set(&self) -> Option<Vec<Vec<f64>>> {
        let is_known = !self.recent.is_empty() && self.experts > 0;
        is_known.then(|| self.recent.chunks(self.experts).map(<[f64]>::to_vec).collect())
    }
}
