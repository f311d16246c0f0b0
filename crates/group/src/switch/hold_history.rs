//! The rank on which a coordinator places a hold, chosen in rotation.
//!
//! A release may arrive seconds late, after its coordinator has crashed and another hold
//! was placed at the same step. So each hold is placed on another rank than the ones
//! before. The rotation follows the map versions, which all ranks report and which only
//! grow.

use std::collections::BTreeMap;

use lynxmount_core::experts::{EngineReport, GroupEpoch, GroupStep};

use super::reports::{VERSION_STEP, abandoned_step, highest_version};
use crate::RankNumber;

/// The rank on which to place a hold, and from which step on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HoldPlacement {
    /// The rank.
    pub rank: RankNumber,
    /// The first step at which the group may be held for a switch.
    pub min_step: GroupStep,
}

/// The holds that a coordinator has placed in the current epoch of its group.
#[derive(Clone, Debug, Default)]
pub struct HoldHistory {
    epoch: GroupEpoch,
    last_by_rank: BTreeMap<RankNumber, GroupStep>,
}

impl HoldHistory {
    /// Chooses a rank without a hold; for the rollback of an abandoned switch, one that this
    /// coordinator has not held at that step or later. Prefers the coordinator's own ranks, but
    /// crashes may have left holds on all of them.
    pub fn choose(
        &self,
        epoch: GroupEpoch,
        reports: &[EngineReport],
        is_own: impl Fn(RankNumber) -> bool,
    ) -> Option<HoldPlacement> {
        let abandoned = abandoned_step(reports);
        let last = |rank: RankNumber| match self.epoch == epoch {
            true => self.last_by_rank.get(&rank).copied().unwrap_or_default(),
            false => 0,
        };
        let is_free = |rank: &RankNumber| {
            reports[*rank].held.is_none() && abandoned.is_none_or(|step| last(*rank) < step)
        };
        let (own, others): (Vec<RankNumber>, Vec<RankNumber>) =
            (0..reports.len()).partition(|rank| is_own(*rank));
        let turn = usize::try_from(highest_version(reports) / VERSION_STEP).unwrap_or_default();
        let in_turn = |ranks: &[RankNumber]| {
            let order = (0..ranks.len()).map(|index| ranks[(turn + index) % ranks.len()]);
            order.into_iter().find(is_free)
        };
        let rank = in_turn(&own).or_else(|| in_turn(&others))?;
        Some(HoldPlacement { rank, min_step: last(rank) + 1 })
    }

    /// Records the step of a hold that was placed on a rank.
    pub fn record(&mut self, epoch: GroupEpoch, rank: RankNumber, step: GroupStep) {
        if self.epoch != epoch {
            *self = HoldHistory { epoch, ..HoldHistory::default() };
        }
        let last = self.last_by_rank.entry(rank).or_default();
        *last = step.max(*last);
    }
}
