//! Which experts are in demand, from what ranks of the own group tell.

use std::time::Instant;

use lynxmount_balance::DemandWindows;
use lynxmount_core::experts::{Counts, GroupEpoch};

use crate::message::DemandSample;

/// A life of a group, by the group's name.
pub type GroupIncarnation = (String, GroupEpoch);

/// Demand by set and expert, as it is since the last shift.
pub(crate) struct Demand {
    /// The group whose demand it is, and the group's life.
    life: Option<GroupIncarnation>,
    windows: DemandWindows,
    detects_shifts: bool,
}

impl Demand {
    pub(crate) fn new(detects_shifts: bool) -> Demand {
        Demand { life: None, windows: DemandWindows::new(detects_shifts), detects_shifts }
    }

    /// Begins anew if the group is another one or has formed anew.
    pub(crate) fn begin(&mut self, life: &GroupIncarnation) {
        if self.life.as_ref() != Some(life) {
            *self = Demand { life: Some(life.clone()), ..Demand::new(self.detects_shifts) };
        }
    }

    /// Takes a sample; one of another life of the group is left out.
    pub(crate) fn take(&mut self, sample: &DemandSample, now: Instant) {
        if self.life.as_ref() == Some(&sample.incarnation) {
            self.windows.record(&sample.counts(), now);
        }
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub(crate) fn by_set(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        self.windows.demand_by_set(experts)
    }
}

/// The counts of the own engine since they were read last.
#[derive(Default)]
pub(crate) struct CountReader {
    last: Option<Counts>,
}

impl CountReader {
    /// What was chosen since the last reading; `None` at the first one in a life of the
    /// group, and if no pass was made meanwhile.
    pub(crate) fn chosen(&mut self, counts: Counts) -> Option<Vec<u64>> {
        let before = self.last.take().filter(|before| before.epoch == counts.epoch);
        let chosen = before.filter(|before| before.step < counts.step).map(|before| {
            let pairs = counts.by_set_and_expert.iter().zip(&before.by_set_and_expert);
            pairs.map(|(now, then)| now.saturating_sub(*then)).collect()
        });
        self.last = Some(counts);
        chosen
    }
}
