//! The request that each rank needs in each phase of a switch.

use std::{sync::Arc, time::Duration};

use lynxmount_core::experts::{Action, EngineOrder};

use super::{MapSwitch, OutgoingRequest, Phase, RankRequest, rank::RequestKind};
use crate::RankNumber;

impl MapSwitch {
    /// The request that a rank needs, unless it was sent recently.
    pub(super) fn next_request(
        &mut self,
        rank: RankNumber,
        now: Duration,
    ) -> Option<OutgoingRequest> {
        let kind = self.needed_request(rank)?;
        let id = self.last_request + 1;
        let is_due = self.ranks[rank].mark_sent_if_due(kind, id, now, self.options.resend_after);
        if !is_due {
            return None;
        }
        self.last_request = id;
        Some(OutgoingRequest { rank, id, request: self.request(kind) })
    }

    fn request(&self, kind: RequestKind) -> RankRequest {
        let epoch = self.epoch;
        let action = match kind {
            RequestKind::Arm => Action::Arm { version: self.version, step: self.hold_step },
            RequestKind::Disarm(version) => Action::Disarm { version },
            RequestKind::Go(step) => Action::Go { step },
            RequestKind::Hold(step) => Action::Hold { step },
            RequestKind::Prepare => {
                let map = Arc::clone(self.target.as_ref().unwrap_or(&self.current));
                Action::Prepare { version: self.version, map }
            }
            RequestKind::Report { .. } => return RankRequest::Report { epoch },
            RequestKind::RollBack(version) => {
                Action::Prepare { version, map: Arc::clone(&self.current) }
            }
        };
        RankRequest::Order(EngineOrder { epoch, action })
    }

    fn needed_request(&self, rank: RankNumber) -> Option<RequestKind> {
        match self.phase {
            Phase::Preparing if !self.has_prepared(rank) => Some(RequestKind::Prepare),
            Phase::Confirming { round, .. } if !self.is_confirmed(rank) => {
                Some(RequestKind::Report { round })
            }
            Phase::Holding { .. } if rank == self.hold_rank => {
                Some(RequestKind::Hold(self.hold_step))
            }
            Phase::Arming { .. } if !self.is_armed(rank) => Some(RequestKind::Arm),
            Phase::RollingBack if !self.is_rolled_back(rank) => Some(self.rollback_request(rank)),
            Phase::Releasing { .. } => self.release_request(rank),
            Phase::WithdrawingHold if rank == self.hold_rank => {
                Some(RequestKind::Go(self.hold_step))
            }
            _ => None,
        }
    }

    fn rollback_request(&self, rank: RankNumber) -> RequestKind {
        match self.ranks[rank].report.armed {
            Some((version, _)) => RequestKind::Disarm(version),
            None => RequestKind::RollBack(self.rollback_version),
        }
    }

    /// Abandoned holds are released first, so that this switch's own hold keeps the group
    /// held until the end.
    fn release_request(&self, rank: RankNumber) -> Option<RequestKind> {
        let of_rank =
            self.abandoned_holds.iter().find(|held| held.0 == rank && self.is_still_held(**held));
        let are_abandoned_released =
            self.abandoned_holds.iter().all(|held| !self.is_still_held(*held));
        match of_rank {
            Some((_, step)) => Some(RequestKind::Go(*step)),
            None if rank == self.hold_rank && are_abandoned_released && self.is_held() => {
                Some(RequestKind::Go(self.hold_step))
            }
            None => None,
        }
    }
}
