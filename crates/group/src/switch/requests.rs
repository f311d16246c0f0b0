//! Which order each rank needs in each phase of a switch.

use std::{sync::Arc, time::Duration};

use lynxmount_core::experts::{Action, EngineOrder};

use super::{MapSwitch, OutgoingRequest, Phase, RankRequest, rank::Wanted};
use crate::RankNumber;

impl MapSwitch {
    /// The request that a rank needs, unless it was made just now.
    pub(super) fn next_order(
        &mut self,
        rank: RankNumber,
        now: Duration,
    ) -> Option<OutgoingRequest> {
        let wanted = self.wanted(rank)?;
        let id = self.last_request + 1;
        let is_to_ask = self.ranks[rank].is_to_ask(wanted, id, now, self.options.resend_after);
        if !is_to_ask {
            return None;
        }
        self.last_request = id;
        Some(OutgoingRequest { rank, id, request: self.request(wanted) })
    }

    fn request(&self, wanted: Wanted) -> RankRequest {
        let epoch = self.epoch;
        let action = match wanted {
            Wanted::Arm => Action::Arm { version: self.version, step: self.step },
            Wanted::Disarm(version) => Action::Disarm { version },
            Wanted::Go(step) => Action::Go { step },
            Wanted::Hold(step) => Action::Hold { step },
            Wanted::Prepare => {
                let map = Arc::clone(self.goal.as_ref().unwrap_or(&self.current));
                Action::Prepare { version: self.version, map }
            }
            Wanted::Report { .. } => return RankRequest::Report { epoch },
            Wanted::Settle(version) => Action::Prepare { version, map: Arc::clone(&self.current) },
        };
        RankRequest::Order(EngineOrder { epoch, action })
    }

    fn wanted(&self, rank: RankNumber) -> Option<Wanted> {
        match self.phase {
            Phase::Preparing if !self.has_prepared(rank) => Some(Wanted::Prepare),
            Phase::Confirming { round, .. } if !self.is_confirmed(rank) => {
                Some(Wanted::Report { round })
            }
            Phase::Holding { .. } if rank == self.hold_rank => Some(Wanted::Hold(self.step)),
            Phase::Arming { .. } if !self.is_armed(rank) => Some(Wanted::Arm),
            Phase::Settling if !self.is_settled(rank) => Some(self.settling_order(rank)),
            Phase::Releasing { .. } => self.release_order(rank),
            _ => None,
        }
    }

    fn settling_order(&self, rank: RankNumber) -> Wanted {
        match self.ranks[rank].report.armed {
            Some((version, _)) => Wanted::Disarm(version),
            None => Wanted::Settle(self.settle_version),
        }
    }

    /// Others' holds go first, so that the own one guards to the last.
    fn release_order(&self, rank: RankNumber) -> Option<Wanted> {
        let of_rank = self.others_held.iter().find(|held| held.0 == rank && self.stands(**held));
        let are_others_open = self.others_held.iter().all(|held| !self.stands(*held));
        match of_rank {
            Some((_, step)) => Some(Wanted::Go(*step)),
            None if rank == self.hold_rank && are_others_open && self.is_held() => {
                Some(Wanted::Go(self.step))
            }
            None => None,
        }
    }
}
