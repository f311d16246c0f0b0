//! Through which rank a coordinator holds its group.
//!
//! An order to let a rank go may come seconds late, when its coordinator is dead
//! and the group is held anew at the same step. So each hold goes through another
//! rank than those before it: numbers of maps, which all ranks tell and which only
//! grow, say whose turn it is.

use std::collections::BTreeMap;

use lynxmount_core::experts::{EngineReport, GroupEpoch, GroupStep};

use super::reports::{VERSION_STEP, abandoned_step, highest_version};
use crate::RankNumber;

/// A rank to hold a group through, and from which step on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HoldPlacement {
    /// The rank.
    pub rank: RankNumber,
    /// The first step at which the group may be held for a switch.
    pub min_step: GroupStep,
}

/// Where a coordinator has held its group before.
#[derive(Clone, Debug, Default)]
pub struct HoldHistory {
    epoch: GroupEpoch,
    last_by_rank: BTreeMap<RankNumber, GroupStep>,
}

impl HoldHistory {
    /// Chooses a rank that is not held and, to undo what was left behind, was not
    /// held at that step before. Ranks of the coordinator's own go first; deaths
    /// may have left holds at all of them.
    pub fn choose(
        &self,
        epoch: GroupEpoch,
        reports: &[EngineReport],
        is_own: impl Fn(RankNumber) -> bool,
    ) -> Option<HoldPlacement> {
        let left = abandoned_step(reports);
        let last = |rank: RankNumber| match self.epoch == epoch {
            true => self.last_by_rank.get(&rank).copied().unwrap_or_default(),
            false => 0,
        };
        let is_free = |rank: &RankNumber| {
            reports[*rank].held.is_none() && left.is_none_or(|step| last(*rank) < step)
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

    /// Notes at which step the group was held through a rank.
    pub fn record(&mut self, epoch: GroupEpoch, rank: RankNumber, step: GroupStep) {
        if self.epoch != epoch {
            *self = HoldHistory { epoch, ..HoldHistory::default() };
        }
        let last = self.last_by_rank.entry(rank).or_default();
        *last = step.max(*last);
    }
}
