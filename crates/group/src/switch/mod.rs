//! Atomic switch of a group to another expert map: two-phase commit under a hold, where the
//! engines are the participants.
//!
//! Every rank prepares the map, and then confirms that it is reachable, so that a rank that
//! has frozen meanwhile is detected while the group still runs. Then the coordinator
//! holds the group at a step (a barrier that no rank passes), arms every rank for that step,
//! and releases the hold once all ranks are known to be armed. No rank is armed before the hold is
//! answered: if it is not, it is withdrawn. If a rank does not arm, all
//! ranks are rolled back: each is disarmed and prepares the current map under a new
//! version, the same one for all. Only then is the hold released.
//!
//! A coordinator that finds a hold abandoned by its owner rolls back all ranks in the same
//! way, under a hold of its own. It never arms, so that concurrent rollbacks can't
//! disagree.
//!
//! This is safe because engines accept a map only under a version above all that they
//! have received, and arm only the map that they received last:
//!
//! - A map that a rank received before its rollback can never be armed again on any
//!   rank, however late an order to arm or disarm it arrives.
//! - A coordinator that releases the hold of another has rolled back all ranks after that
//!   hold was placed. So a coordinator that was paused and has lost its hold can neither
//!   arm nor disarm anything of consequence: it knows only maps that were rolled back.
//! - Each coordinator places holds on ranks that no other coordinator uses, and never
//!   twice at the same step, so that a late release can't hit a hold that is needed.

mod confirmation;
mod hold;
mod hold_history;
mod options;
mod rank;
mod reports;
mod requests;

use std::{sync::Arc, time::Duration};

use lynxmount_core::experts::{
    EngineOrder, EngineReport, GroupEpoch, GroupMap, GroupStep, MapVersion, OrderResult,
};

pub use self::hold::hold_delegate;
pub use self::hold_history::{HoldHistory, HoldPlacement};
pub use self::options::{SwitchOptions, SwitchOutcome};
pub use self::reports::abandoned_step;
use self::{
    rank::{Rank, RequestKind},
    reports::{highest_version, next_version},
};
use crate::RankNumber;

/// How often a rollback restarts because another coordinator has prepared a later version.
const MAX_ROLLBACK_VERSION_RAISES: u32 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Arming {
        since: Duration,
    },
    Confirming {
        round: u32,
        since: Duration,
    },
    Holding {
        attempts: u32,
    },
    Over(SwitchOutcome),
    Preparing,
    Releasing {
        outcome: SwitchOutcome,
    },
    RollingBack,
    /// The hold was not answered, and is released whether it is in place or not.
    WithdrawingHold,
}

/// One switch, or the rollback of an abandoned one.
#[derive(Clone, Debug)]
pub struct MapSwitch {
    options: SwitchOptions,
    hold_rank: RankNumber,
    epoch: GroupEpoch,
    started_at: Duration,
    /// The map to switch to; `None` for the rollback of an abandoned switch.
    target: Option<Arc<GroupMap>>,
    /// The version to switch to, or the highest version that may have to be rolled back.
    version: MapVersion,
    /// The map in use, which ranks prepare again when rolled back.
    current: Arc<GroupMap>,
    /// The version under which ranks prepare it then.
    rollback_version: MapVersion,
    rollback_version_raises: u32,
    nonce: u64,
    hold_step: GroupStep,
    is_hold_answered: bool,
    min_step: GroupStep,
    /// Holds that were found at the start, to be released at the end.
    abandoned_holds: Vec<(RankNumber, GroupStep)>,
    phase: Phase,
    arming_time: Option<Duration>,
    last_request: RequestId,
    ranks: Vec<Rank>,
}

/// A request to one rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingRequest {
    /// The rank.
    pub rank: RankNumber,
    /// Identifies the request within the switch.
    pub id: RequestId,
    /// The request.
    pub request: RankRequest,
}

/// Identifies a request within a switch.
pub type RequestId = u64;

/// The content of a request to a rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RankRequest {
    /// Carry out an order.
    Order(EngineOrder),
    /// Report the rank's state without changing it.
    Report {
        /// The group's epoch.
        epoch: GroupEpoch,
    },
}

/// The inputs of a switch.
#[derive(Clone, Debug)]
pub struct SwitchInputs {
    /// Limits.
    pub options: SwitchOptions,
    /// The rank on which the hold is placed. It has no hold now, and no other
    /// coordinator places one on it.
    pub hold_rank: RankNumber,
    /// The first step at which the group may be held: after all earlier holds on
    /// that rank.
    pub min_step: GroupStep,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The state of each rank.
    pub reports: Vec<EngineReport>,
    /// The map in use.
    pub current: GroupMap,
    /// A random number that makes the versions of this switch unique.
    pub nonce: u64,
    /// The current time.
    pub now: Duration,
}

impl MapSwitch {
    /// Starts a switch to a map. Its version is above `min_version`: engines refuse
    /// versions that they have received before, and don't report one while its experts are
    /// still being copied.
    pub fn start(inputs: SwitchInputs, target: GroupMap, min_version: MapVersion) -> MapSwitch {
        let nonce = inputs.nonce;
        let version = next_version(highest_version(&inputs.reports).max(min_version), nonce);
        let mut switch = MapSwitch::new(inputs, version);
        switch.target = Some(Arc::new(target));
        switch
    }

    /// Starts the rollback of an abandoned switch: the group is held, or some ranks are
    /// armed and others are not.
    ///
    /// `None` if there is nothing to roll back.
    pub fn roll_back(inputs: SwitchInputs) -> Option<MapSwitch> {
        let step = abandoned_step(&inputs.reports)?;
        let held = inputs.reports.iter().enumerate();
        let abandoned_holds =
            held.filter_map(|(rank, report)| Some((rank, report.held?))).collect();
        let version = highest_version(&inputs.reports);
        let attempts = inputs.options.max_hold_attempts;
        let mut switch = MapSwitch::new(inputs, version);
        switch.hold_step = step;
        switch.abandoned_holds = abandoned_holds;
        switch.phase = Phase::Holding { attempts };
        Some(switch)
    }

    fn new(inputs: SwitchInputs, version: MapVersion) -> MapSwitch {
        MapSwitch {
            options: inputs.options,
            hold_rank: inputs.hold_rank,
            epoch: inputs.epoch,
            started_at: inputs.now,
            target: None,
            version,
            current: Arc::new(inputs.current),
            rollback_version: next_version(version, inputs.nonce),
            rollback_version_raises: 0,
            nonce: inputs.nonce,
            hold_step: 0,
            is_hold_answered: false,
            min_step: inputs.min_step,
            abandoned_holds: Vec::new(),
            phase: Phase::Preparing,
            arming_time: None,
            last_request: 0,
            ranks: inputs.reports.into_iter().map(Rank::new).collect(),
        }
    }

    /// The outcome of the switch; `None` while it is in progress.
    pub fn outcome(&self) -> Option<SwitchOutcome> {
        match self.phase {
            Phase::Over(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// How long it took to arm all ranks; `None` before. The group is stalled for the part
    /// of it that exceeds the lead.
    pub fn arming_time(&self) -> Option<Duration> {
        self.arming_time
    }

    /// The version that is switched to, or the highest that is rolled back.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// The group's epoch.
    pub fn epoch(&self) -> GroupEpoch {
        self.epoch
    }

    /// The rank on which the hold is placed.
    pub fn hold_rank(&self) -> RankNumber {
        self.hold_rank
    }

    /// The step of the latest hold.
    pub fn hold_step(&self) -> GroupStep {
        self.hold_step
    }

    /// Records the state of a rank. Reports must be passed in the order in which the rank
    /// sent them.
    pub fn observe(&mut self, rank: RankNumber, report: EngineReport) {
        let epoch = report.membership.as_ref().map(|membership| membership.epoch);
        match epoch == Some(self.epoch) {
            true => self.ranks[rank].report = report,
            false => self.phase = Phase::Over(SwitchOutcome::GroupReformed),
        }
    }

    /// Handles the answer to a request, `None` if the caller has given up waiting. The
    /// rank's state after the request must be passed to [`MapSwitch::observe`] first.
    ///
    /// A request without an answer may still take effect, and is resent. Only the answer
    /// to the latest request to a rank counts: the late refusal of an earlier one has no
    /// bearing on it.
    pub fn on_answer(&mut self, rank: RankNumber, id: RequestId, result: Option<OrderResult>) {
        let kind = self.ranks[rank].record_answer(id, result);
        match (result, kind) {
            (Some(_), Some(RequestKind::Report { round })) => self.record_confirmation(rank, round),
            (result, Some(RequestKind::Hold(_))) => self.on_hold_answer(result),
            (Some(_), Some(RequestKind::Go(_))) => self.on_release_answer(),
            (Some(OrderResult::Refused), Some(kind)) => self.on_refusal(rank, kind),
            _ => {}
        }
    }

    fn on_refusal(&mut self, rank: RankNumber, kind: RequestKind) {
        match (self.phase, kind) {
            (Phase::Preparing, _) if !self.has_prepared(rank) => {
                self.phase = Phase::Over(SwitchOutcome::PrepareFailed);
            }
            (Phase::Arming { .. }, RequestKind::Arm) if !self.is_armed(rank) => {
                self.phase = Phase::RollingBack;
            }
            // The rank has received that version before, perhaps for a copy that is still
            // running. A rank that was armed by a late order refuses any map, and is
            // disarmed first.
            (Phase::RollingBack, RequestKind::RollBack(version))
                if version == self.rollback_version
                    && !self.is_rolled_back(rank)
                    && self.ranks[rank].report.armed.is_none() =>
            {
                self.raise_rollback_version();
            }
            _ => {}
        }
    }

    /// Restarts the rollback under a higher version. The number of restarts is limited, as
    /// another coordinator may do the same; what remains is found abandoned again.
    fn raise_rollback_version(&mut self) {
        let max_prepared = self.ranks.iter().filter_map(|rank| rank.report.prepared).max();
        let above = max_prepared.unwrap_or_default().max(self.rollback_version);
        self.rollback_version = next_version(above, self.nonce);
        self.rollback_version_raises += 1;
        if self.rollback_version_raises > MAX_ROLLBACK_VERSION_RAISES {
            self.phase = Phase::Over(SwitchOutcome::Superseded);
        }
    }

    /// Gives the switch up unless the group may be held already: from then on only the switch itself
    /// leaves nothing behind.
    pub fn cancel(&mut self) {
        if matches!(self.phase, Phase::Confirming { .. } | Phase::Preparing) {
            self.phase = Phase::Over(SwitchOutcome::Cancelled);
        }
    }

    /// Returns the requests to send now; to be called after each answer, and periodically.
    pub fn tick(&mut self, now: Duration) -> Vec<OutgoingRequest> {
        self.advance(now);
        (0..self.ranks.len()).filter_map(|rank| self.next_request(rank, now)).collect()
    }

    fn advance(&mut self, now: Duration) {
        while let Some(next) = self.next_phase(now) {
            self.phase = next;
        }
    }

    fn next_phase(&mut self, now: Duration) -> Option<Phase> {
        match self.phase {
            // A switch that waits for copies would not notice that the hold is abandoned.
            Phase::Confirming { .. } | Phase::Preparing if self.is_held_by_another() => {
                Some(Phase::Over(SwitchOutcome::PrepareFailed))
            }
            Phase::Preparing if self.all(MapSwitch::has_prepared) => {
                Some(self.start_confirmation(0, now))
            }
            Phase::Confirming { round, since } if self.all(MapSwitch::is_confirmed) => {
                Some(self.after_confirmation(round, since, now))
            }
            Phase::Confirming { .. } | Phase::Preparing
                if now >= self.started_at + self.options.prepare_timeout =>
            {
                Some(Phase::Over(SwitchOutcome::PrepareFailed))
            }
            Phase::Holding { .. } if !self.is_held() => None,
            Phase::Holding { .. } if self.target.is_none() => Some(Phase::RollingBack),
            Phase::Holding { .. } if self.is_hold_answered => Some(Phase::Arming { since: now }),
            Phase::Arming { since } if self.all(MapSwitch::is_armed) => {
                self.arming_time = Some(now.saturating_sub(since));
                Some(Phase::Releasing { outcome: SwitchOutcome::Switched })
            }
            Phase::Arming { since } if now >= since + self.options.arm_timeout => {
                Some(Phase::RollingBack)
            }
            Phase::RollingBack if self.all(MapSwitch::is_rolled_back) => {
                Some(Phase::Releasing { outcome: SwitchOutcome::RolledBack })
            }
            Phase::RollingBack if !self.all(MapSwitch::can_roll_back) => {
                Some(Phase::Over(SwitchOutcome::Superseded))
            }
            Phase::Releasing { outcome } if self.is_released() => Some(Phase::Over(outcome)),
            _ => None,
        }
    }

    fn all(&self, condition: fn(&MapSwitch, RankNumber) -> bool) -> bool {
        (0..self.ranks.len()).all(|rank| condition(self, rank))
    }

    fn has_prepared(&self, rank: RankNumber) -> bool {
        self.ranks[rank].report.prepared == Some(self.version)
    }

    fn is_armed(&self, rank: RankNumber) -> bool {
        self.ranks[rank].is_armed(self.version, self.hold_step)
    }

    fn is_rolled_back(&self, rank: RankNumber) -> bool {
        self.ranks[rank].is_rolled_back(self.rollback_version)
    }

    /// Whether a rank may be disarmed. A failed switch disarms only its own version, the
    /// rollback of an abandoned one only versions that were known at its start.
    fn can_roll_back(&self, rank: RankNumber) -> bool {
        let armed = self.ranks[rank].report.armed;
        armed.is_none_or(|(version, _)| match self.target {
            Some(_) => version == self.version,
            None => version <= self.version,
        })
    }

    fn is_released(&self) -> bool {
        let others = self.abandoned_holds.iter().all(|held| !self.is_still_held(*held));
        others && !self.is_held()
    }

    /// Whether a hold that was found at the start is still in place.
    fn is_still_held(&self, (rank, step): (RankNumber, GroupStep)) -> bool {
        self.ranks[rank].report.held == Some(step)
    }
}
