//! Switching a group to another expert map, through engines that hold, arm and
//! let go by themselves.
//!
//! A map is prepared on every rank, and every rank confirms that it is in reach: one
//! that has frozen since is found while the group still runs. Then the coordinator
//! holds the group at a step, arms every rank for that step, and lets go once all are
//! seen to be armed. If one is not, every rank is settled: disarmed, and given one and
//! the same later map to prepare. Only then is the group let go.
//!
//! Whoever finds a hold that its coordinator has left behind settles all ranks
//! in the same way, under a hold of its own. It never arms, so that several that
//! do this at once can't disagree.
//!
//! What makes this safe is that engines take a map only under a number above all
//! that they have had, and arm only the map that they were given last:
//!
//! - A map that some rank has had before it was settled can never be armed again
//!   on any rank, however late an order to arm or to disarm it arrives.
//! - Whoever lets go the hold of another has settled all ranks after that hold was
//!   placed. A coordinator that was paused and has lost its hold so can neither arm
//!   nor disarm anything that matters: it knows only maps that were settled.
//! - Each coordinator holds the group through ranks that no other uses, and never
//!   twice at one step, so that a late order can't let go a hold that is needed.

mod confirmation;
mod hold_history;
mod options;
mod rank;
mod reports;
mod requests;

use std::{sync::Arc, time::Duration};

use lynxmount_core::experts::{
    EngineOrder, EngineReport, GroupEpoch, GroupMap, GroupStep, MapVersion, OrderResult,
};

pub use self::hold_history::{HoldHistory, HoldPlacement};
pub use self::options::{SwitchOptions, SwitchOutcome};
pub use self::reports::abandoned_step;
use self::{
    rank::{Rank, Wanted},
    reports::{highest_version, next_version},
};
use crate::RankNumber;

/// How often ranks are settled anew because another has given them a later map.
const MAX_SETTLE_RAISES: u32 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Arming { since: Duration },
    Confirming { round: u32, since: Duration },
    Holding { tries: u32 },
    Over(SwitchOutcome),
    Preparing,
    Releasing { end: SwitchOutcome },
    Settling,
}

/// One switch, or the undoing of one that was left behind.
#[derive(Clone, Debug)]
pub struct MapSwitch {
    options: SwitchOptions,
    hold_rank: RankNumber,
    epoch: GroupEpoch,
    started: Duration,
    /// The map to switch to; `None` if another's switch is undone.
    goal: Option<Arc<GroupMap>>,
    /// The map to switch to, or the highest that may have to be undone.
    version: MapVersion,
    /// The map in use, which ranks prepare again as they are settled.
    current: Arc<GroupMap>,
    /// The number under which they do.
    settle_version: MapVersion,
    /// How often that number was raised.
    settle_raises: u32,
    nonce: u64,
    step: GroupStep,
    min_step: GroupStep,
    /// Holds that stood at the beginning, to be let go at the end.
    others_held: Vec<(RankNumber, GroupStep)>,
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
    /// Names the request among those of the switch.
    pub id: RequestId,
    /// The request.
    pub request: RankRequest,
}

/// Names a request of a switch.
pub type RequestId = u64;

/// What a rank is requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RankRequest {
    /// To take an order.
    Order(EngineOrder),
    /// To report its state and change nothing.
    Report {
        /// The group's life.
        epoch: GroupEpoch,
    },
}

/// What a switch starts from.
#[derive(Clone, Debug)]
pub struct SwitchInputs {
    /// Limits.
    pub options: SwitchOptions,
    /// The rank through which the group is held, which is not held now. Nobody else
    /// holds the group through it.
    pub hold_rank: RankNumber,
    /// The first step at which the group may be held: after all at which it was
    /// held through that rank before.
    pub min_step: GroupStep,
    /// The group's life.
    pub epoch: GroupEpoch,
    /// The state of each rank.
    pub reports: Vec<EngineReport>,
    /// The map in use.
    pub current: GroupMap,
    /// A number that no other switch has drawn.
    pub nonce: u64,
    /// The time.
    pub now: Duration,
}

impl MapSwitch {
    /// Starts a switch to a map. Its number is above `min_version`: engines refuse
    /// numbers that they have had, and don't tell those whose copies have not
    /// ended.
    pub fn start(start: SwitchInputs, goal: GroupMap, min_version: MapVersion) -> MapSwitch {
        let nonce = start.nonce;
        let version = next_version(highest_version(&start.reports).max(min_version), nonce);
        let mut switch = MapSwitch::new(start, version);
        switch.goal = Some(Arc::new(goal));
        switch
    }

    /// Starts to undo a switch that was left behind: the group is held, or some
    /// ranks are armed and others are not.
    ///
    /// `None` if there is nothing to undo.
    pub fn roll_back(start: SwitchInputs) -> Option<MapSwitch> {
        let step = abandoned_step(&start.reports)?;
        let held = start.reports.iter().enumerate();
        let others_held = held.filter_map(|(rank, report)| Some((rank, report.held?))).collect();
        let version = highest_version(&start.reports);
        let tries = start.options.max_hold_attempts;
        let mut switch = MapSwitch::new(start, version);
        switch.step = step;
        switch.others_held = others_held;
        switch.phase = Phase::Holding { tries };
        Some(switch)
    }

    fn new(start: SwitchInputs, version: MapVersion) -> MapSwitch {
        MapSwitch {
            options: start.options,
            hold_rank: start.hold_rank,
            epoch: start.epoch,
            started: start.now,
            goal: None,
            version,
            current: Arc::new(start.current),
            settle_version: next_version(version, start.nonce),
            settle_raises: 0,
            nonce: start.nonce,
            step: 0,
            min_step: start.min_step,
            others_held: Vec::new(),
            phase: Phase::Preparing,
            arming_time: None,
            last_request: 0,
            ranks: start.reports.into_iter().map(Rank::new).collect(),
        }
    }

    /// How the switch has ended, once it has.
    pub fn outcome(&self) -> Option<SwitchOutcome> {
        match self.phase {
            Phase::Over(end) => Some(end),
            _ => None,
        }
    }

    /// How long all ranks took to be armed, once they are. A group stands still for
    /// the part of it that is longer than its lead.
    pub fn arming_time(&self) -> Option<Duration> {
        self.arming_time
    }

    /// The number of the map that is switched to, or the highest that is undone.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// The group's life.
    pub fn epoch(&self) -> GroupEpoch {
        self.epoch
    }

    /// The rank through which the group is held.
    pub fn hold_rank(&self) -> RankNumber {
        self.hold_rank
    }

    /// The step at which the group was held last.
    pub fn step(&self) -> GroupStep {
        self.step
    }

    /// Takes the state of a rank. States are to be observed in their order.
    pub fn observe(&mut self, rank: RankNumber, report: EngineReport) {
        let epoch = report.membership.as_ref().map(|membership| membership.epoch);
        match epoch == Some(self.epoch) {
            true => self.ranks[rank].report = report,
            false => self.phase = Phase::Over(SwitchOutcome::GroupReformed),
        }
    }

    /// Takes the answer to a request; the rank's state after it is to be observed
    /// first. An order that is given up without an answer may take effect yet, and
    /// is repeated. Only the last request to a rank counts: a late refusal of an earlier
    /// one says nothing of it.
    pub fn on_answer(&mut self, rank: RankNumber, id: RequestId, result: Option<OrderResult>) {
        let wanted = self.ranks[rank].note_answered(id, result);
        match (result, wanted) {
            (Some(_), Some(Wanted::Report { round })) => self.confirmed(rank, round),
            (Some(OrderResult::Refused), Some(wanted)) => self.refused(rank, wanted),
            _ => {}
        }
    }

    fn refused(&mut self, rank: RankNumber, wanted: Wanted) {
        match (self.phase, wanted) {
            (Phase::Preparing, _) if !self.has_prepared(rank) => {
                self.phase = Phase::Over(SwitchOutcome::PrepareFailed);
            }
            (Phase::Arming { .. }, Wanted::Arm) if !self.is_armed(rank) => {
                self.phase = Phase::Settling;
            }
            (Phase::Holding { tries }, Wanted::Hold(_)) if !self.is_held() => {
                self.hold_refused(tries);
            }
            // The rank has had that number, perhaps for a copy that has not ended. One
            // that an order has armed late refuses any map, and is disarmed first.
            (Phase::Settling, Wanted::Settle(version))
                if version == self.settle_version
                    && !self.is_settled(rank)
                    && self.ranks[rank].report.armed.is_none() =>
            {
                self.raise_settle_version();
            }
            _ => {}
        }
    }

    fn hold_refused(&mut self, tries: u32) {
        match tries < self.options.max_hold_attempts {
            true => {
                self.phase = Phase::Holding { tries: tries + 1 };
                self.step = self.next_hold_step();
            }
            // What was found is over, as its step has begun.
            false if self.goal.is_none() => self.phase = Phase::Over(SwitchOutcome::RolledBack),
            false => self.phase = Phase::Over(SwitchOutcome::HoldFailed),
        }
    }

    /// Settles all ranks anew under a higher number. Another may do the same, so
    /// that this ends: what is left then is found left behind again.
    fn raise_settle_version(&mut self) {
        let known = self.ranks.iter().filter_map(|rank| rank.report.prepared).max();
        let above = known.unwrap_or_default().max(self.settle_version);
        self.settle_version = next_version(above, self.nonce);
        self.settle_raises += 1;
        if self.settle_raises > MAX_SETTLE_RAISES {
            self.phase = Phase::Over(SwitchOutcome::Superseded);
        }
    }

    /// Says what is to be sent now; call it after each answer, and regularly.
    pub fn tick(&mut self, now: Duration) -> Vec<OutgoingRequest> {
        self.advance(now);
        (0..self.ranks.len()).filter_map(|rank| self.next_order(rank, now)).collect()
    }

    fn advance(&mut self, now: Duration) {
        while let Some(next) = self.next_phase(now) {
            self.phase = next;
        }
    }

    fn next_phase(&mut self, now: Duration) -> Option<Phase> {
        match self.phase {
            // Whoever waits for copies would not see that the hold is left behind.
            Phase::Confirming { .. } | Phase::Preparing if self.is_held_by_another() => {
                Some(Phase::Over(SwitchOutcome::PrepareFailed))
            }
            Phase::Preparing if self.all(MapSwitch::has_prepared) => Some(self.confirming(0, now)),
            Phase::Confirming { round, since } if self.all(MapSwitch::is_confirmed) => {
                Some(self.after_confirming(round, since, now))
            }
            Phase::Confirming { .. } | Phase::Preparing
                if now >= self.started + self.options.prepare_timeout =>
            {
                Some(Phase::Over(SwitchOutcome::PrepareFailed))
            }
            Phase::Holding { .. } if !self.is_held() => None,
            Phase::Holding { .. } if self.goal.is_some() => Some(Phase::Arming { since: now }),
            Phase::Holding { .. } => Some(Phase::Settling),
            Phase::Arming { since } if self.all(MapSwitch::is_armed) => {
                self.arming_time = Some(now.saturating_sub(since));
                Some(Phase::Releasing { end: SwitchOutcome::Switched })
            }
            Phase::Arming { since } if now >= since + self.options.arm_timeout => {
                Some(Phase::Settling)
            }
            Phase::Settling if self.all(MapSwitch::is_settled) => {
                Some(Phase::Releasing { end: SwitchOutcome::RolledBack })
            }
            Phase::Settling if !self.all(MapSwitch::may_settle) => {
                Some(Phase::Over(SwitchOutcome::Superseded))
            }
            Phase::Releasing { end } if self.is_released() => Some(Phase::Over(end)),
            _ => None,
        }
    }

    fn all(&self, holds: fn(&MapSwitch, RankNumber) -> bool) -> bool {
        (0..self.ranks.len()).all(|rank| holds(self, rank))
    }

    fn has_prepared(&self, rank: RankNumber) -> bool {
        self.ranks[rank].report.prepared == Some(self.version)
    }

    fn is_armed(&self, rank: RankNumber) -> bool {
        self.ranks[rank].is_armed(self.version, self.step)
    }

    /// Says whether a hold stands while this switch has none.
    fn is_held_by_another(&self) -> bool {
        self.ranks.iter().any(|rank| rank.report.held.is_some())
    }

    fn is_held(&self) -> bool {
        self.ranks[self.hold_rank].report.held == Some(self.step)
    }

    fn is_settled(&self, rank: RankNumber) -> bool {
        self.ranks[rank].is_settled(self.settle_version)
    }

    /// Says whether a rank may be disarmed: only of maps that were known as the
    /// group was held, and of no other than the own one by a switch that fails.
    fn may_settle(&self, rank: RankNumber) -> bool {
        let armed = self.ranks[rank].report.armed;
        armed.is_none_or(|(version, _)| match self.goal {
            Some(_) => version == self.version,
            None => version <= self.version,
        })
    }

    fn is_released(&self) -> bool {
        let others = self.others_held.iter().all(|held| !self.stands(*held));
        others && !self.is_held()
    }

    /// Says whether a hold that stood at the beginning still does.
    fn stands(&self, (rank, step): (RankNumber, GroupStep)) -> bool {
        self.ranks[rank].report.held == Some(step)
    }

    fn next_hold_step(&self) -> GroupStep {
        let newest = self.ranks.iter().map(|rank| rank.report.step).max().unwrap_or_default();
        (newest + self.options.lead_steps).max(self.min_step).max(self.step + 1)
    }
}
