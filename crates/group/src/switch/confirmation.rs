//! Asking all ranks for their state before the group is held.
//!
//! A rank that froze after it had prepared the map would keep the group held until it
//! wakes, as nobody could know whether it is armed.

use std::time::Duration;

use super::{MapSwitch, Phase, SwitchOutcome};
use crate::RankNumber;

/// How often all ranks are asked at most if some answer late.
const MAX_ROUNDS: u32 = 3;

impl MapSwitch {
    /// Begins a round in which all ranks are asked.
    pub(super) fn confirming(&mut self, round: u32, now: Duration) -> Phase {
        self.ranks.iter_mut().for_each(|rank| rank.is_confirmed = false);
        Phase::Confirming { round, since: now }
    }

    /// Takes the answer of a rank that was asked in a round.
    pub(super) fn confirmed(&mut self, rank: RankNumber, asked_in: u32) {
        if matches!(self.phase, Phase::Confirming { round, .. } if round == asked_in) {
            self.ranks[rank].is_confirmed = true;
        }
    }

    pub(super) fn is_confirmed(&self, rank: RankNumber) -> bool {
        self.ranks[rank].is_confirmed
    }

    /// What follows once all have answered. If the last was late, the others may have
    /// frozen meanwhile and are asked again.
    pub(super) fn after_confirming(&mut self, round: u32, since: Duration, now: Duration) -> Phase {
        if !self.all(MapSwitch::has_prepared) {
            return Phase::Over(SwitchOutcome::PrepareFailed);
        }
        let is_late = now > since + self.options.max_confirm_time;
        if is_late && round + 1 < MAX_ROUNDS {
            return self.confirming(round + 1, now);
        }
        self.step = self.next_hold_step();
        Phase::Holding { tries: 0 }
    }
}
