//! Placing the hold of a switch, and withdrawing it if it is not answered.
//!
//! The process that places a hold may freeze just after that. Its own rank is silent then, so that a
//! switch that went on to arm it would keep the group held until it resumes.

use lynxmount_core::experts::{GroupStep, OrderResult};

use super::{MapSwitch, Phase, SwitchOutcome};
use crate::RankNumber;

/// The rank through whose process the hold is placed at the engine of `hold_rank`: the next one
/// after it that is available, in rotation; `None` if there is none.
///
/// If a machine freezes just after it has placed the hold, the engine that holds the group is on
/// another one and can still be told to release it.
pub fn hold_delegate(
    ranks: usize,
    hold_rank: RankNumber,
    is_available: impl Fn(RankNumber) -> bool,
) -> Option<RankNumber> {
    (hold_rank + 1..ranks).chain(0..hold_rank).find(|rank| is_available(*rank))
}

impl MapSwitch {
    /// Handles the answer to the hold, `None` if there is none.
    ///
    /// Without a hold of its own, the rollback of an abandoned switch would leave the group held,
    /// so that only a switch to another map withdraws it.
    pub(super) fn on_hold_answer(&mut self, result: Option<OrderResult>) {
        let Phase::Holding { attempts } = self.phase else { return };
        match result {
            Some(OrderResult::Refused) if !self.is_held() => self.on_hold_refusal(attempts),
            Some(_) => self.is_hold_answered = true,
            None if self.target.is_some() => self.phase = Phase::WithdrawingHold,
            None => {}
        }
    }

    fn on_hold_refusal(&mut self, attempts: u32) {
        match attempts < self.options.max_hold_attempts {
            true => {
                self.phase = Phase::Holding { attempts: attempts + 1 };
                self.hold_step = self.next_hold_step();
            }
            // The step of the abandoned switch has begun, so that nothing is left to roll back.
            false if self.target.is_none() => self.phase = Phase::Over(SwitchOutcome::RolledBack),
            false => self.phase = Phase::Over(SwitchOutcome::HoldFailed),
        }
    }

    /// Handles the answer to a release: the rank's state, which was observed first, shows whether
    /// it still holds the group.
    pub(super) fn on_release_answer(&mut self) {
        if self.phase == Phase::WithdrawingHold {
            self.phase = Phase::Releasing { outcome: SwitchOutcome::HoldFailed };
        }
    }

    pub(super) fn is_held(&self) -> bool {
        self.ranks[self.hold_rank].report.held == Some(self.hold_step)
    }

    /// Whether the group is held while this switch has not placed a hold yet.
    pub(super) fn is_held_by_another(&self) -> bool {
        self.ranks.iter().any(|rank| rank.report.held.is_some())
    }

    pub(super) fn next_hold_step(&self) -> GroupStep {
        let newest = self.ranks.iter().map(|rank| rank.report.step).max().unwrap_or_default();
        (newest + self.options.lead_steps).max(self.min_step).max(self.hold_step + 1)
    }
}
