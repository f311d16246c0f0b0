//! Expert demand of the own group, from the samples that its ranks send.

use std::time::Instant;

use lynxmount_balance::DemandWindows;
use lynxmount_core::experts::{ExpertCounts, GroupEpoch};

use crate::message::DemandSample;

/// A group's name and epoch. A group that forms again gets another epoch.
pub type GroupIncarnation = (String, GroupEpoch);

/// Demand by set and expert since the last shift.
pub(crate) struct Demand {
    /// The incarnation that the windows belong to.
    incarnation: Option<GroupIncarnation>,
    windows: DemandWindows,
    detects_shifts: bool,
}

impl Demand {
    pub(crate) fn new(detects_shifts: bool) -> Demand {
        Demand { incarnation: None, windows: DemandWindows::new(detects_shifts), detects_shifts }
    }

    /// Sets the group's name and epoch. If either has changed, all samples are discarded.
    pub(crate) fn set_incarnation(&mut self, incarnation: &GroupIncarnation) {
        if self.incarnation.as_ref() != Some(incarnation) {
            *self = Demand {
                incarnation: Some(incarnation.clone()),
                ..Demand::new(self.detects_shifts)
            };
        }
    }

    /// Adds a sample; one of another incarnation is ignored.
    pub(crate) fn add_sample(&mut self, sample: &DemandSample, now: Instant) {
        if self.incarnation.as_ref() == Some(&sample.incarnation) {
            self.windows.record(&sample.counts(), now);
        }
    }

    /// Demand by set and expert; `None` without any.
    pub(crate) fn by_set(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        self.windows.demand_by_set(experts)
    }
}

/// Turns an engine's cumulative counts into counts per reading.
#[derive(Default)]
pub(crate) struct CountDeltas {
    last: Option<ExpertCounts>,
}

impl CountDeltas {
    /// The counts since the last reading; `None` for the first reading of an epoch, and if
    /// the group has made no step since the last one.
    pub(crate) fn delta(&mut self, counts: ExpertCounts) -> Option<Vec<u64>> {
        let before = self.last.take().filter(|before| before.epoch == counts.epoch);
        let delta = before.filter(|before| before.step < counts.step).map(|before| {
            let pairs = counts.by_set_and_expert.iter().zip(&before.by_set_and_expert);
            pairs.map(|(now, then)| now.saturating_sub(*then)).collect()
        });
        self.last = Some(counts);
        delta
    }
}
