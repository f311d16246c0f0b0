//! Liveness check of all ranks before the group is held.
//!
//! A rank that freezes after it has prepared the map would keep the group held until it
//! resumes, as the coordinator could not know whether it is armed.

use std::time::Duration;

use super::{MapSwitch, Phase, SwitchOutcome};
use crate::RankNumber;

/// The maximum number of rounds if some rank answers late.
const MAX_ROUNDS: u32 = 3;

impl MapSwitch {
    /// Starts a round in which all ranks have to report their state.
    pub(super) fn start_confirmation(&mut self, round: u32, now: Duration) -> Phase {
        self.ranks.iter_mut().for_each(|rank| rank.is_confirmed = false);
        Phase::Confirming { round, since: now }
    }

    /// Records the report of a rank that was requested in a round.
    pub(super) fn record_confirmation(&mut self, rank: RankNumber, requested_in: u32) {
        if matches!(self.phase, Phase::Confirming { round, .. } if round == requested_in) {
            self.ranks[rank].is_confirmed = true;
        }
    }

    pub(super) fn is_confirmed(&self, rank: RankNumber) -> bool {
        self.ranks[rank].is_confirmed
    }

    /// The phase that follows once all ranks have reported. If the last report was late,
    /// other ranks may have frozen meanwhile, and a further round starts.
    pub(super) fn after_confirmation(
        &mut self,
        round: u32,
        since: Duration,
        now: Duration,
    ) -> Phase {
        if !self.all(MapSwitch::has_prepared) {
            return Phase::Over(SwitchOutcome::PrepareFailed);
        }
        let is_late = now > since + self.options.max_confirm_time;
        if is_late && round + 1 < MAX_ROUNDS {
            return self.start_confirmation(round + 1, now);
        }
        self.hold_step = self.next_hold_step();
        Phase::Holding { attempts: 0 }
    }
}
