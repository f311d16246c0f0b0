//! Switching a group to another expert map, through engines that hold, arm and
//! let go by themselves.
//!
//! A map is prepared on every rank; then the coordinator holds the group at a
//! step through its own rank, arms every rank for that step, and lets go once
//! all are seen to be armed. If one is not, every rank is settled: disarmed, and
//! given a later map to prepare, after which the first map can never be armed
//! there, however late an order arrives. Only then is the group let go.
//!
//! Whoever finds a hold that its coordinator has left behind settles all ranks
//! in the same way, under a hold of its own. It never arms, so that several
//! that do this at once can't disagree. A coordinator arms only in the course
//! of its own switch, under a hold that it has placed itself.

use std::time::Duration;

use lynxmount_core::experts::{
    Action, EngineOrder, EngineReport, GroupEpoch, GroupMap, GroupStep, MapVersion, OrderResult,
};

use crate::RankNumber;

/// Limits of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwitchOptions {
    /// How long the copies of experts may take. A rank copies an expert in about
    /// 0.11 s on the reference deployments, and eight at most.
    pub prepare_timeout: Duration,
    /// How long a group may be kept with some ranks armed. Orders are answered
    /// in a few milliseconds, and a held group serves nobody.
    pub arm_timeout: Duration,
    /// How long an order without an answer is waited for before it is repeated.
    pub repeat_after: Duration,
    /// How many steps ahead the group is held. One is enough: the hold takes a
    /// millisecond and arming about ten, and passes take 20 ms or more.
    pub lead_steps: GroupStep,
    /// How often a hold that came too late is tried at a later step.
    pub max_holds: u32,
}

impl Default for SwitchOptions {
    /// Three seconds to prepare, 0.4 s to arm, one step ahead.
    fn default() -> SwitchOptions {
        SwitchOptions {
            prepare_timeout: Duration::from_secs(3),
            arm_timeout: Duration::from_millis(400),
            repeat_after: Duration::from_millis(350),
            lead_steps: 1,
            max_holds: 6,
        }
    }
}

/// By how much the number of a map is raised that a rank has refused. Several
/// coordinators in a row may have used numbers that no report shows.
const VERSION_LEAP: MapVersion = 16;

/// What came of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchEnd {
    /// The group formed anew; nothing of the switch is left.
    GroupFormedAnew,
    /// The group could not be held in time; no rank was armed.
    NotHeld,
    /// Not every rank has prepared the map; no rank was armed.
    NotPrepared,
    /// All ranks switch.
    Switched,
    /// No rank switches.
    Undone,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Arming { since: Duration },
    Holding { tries: u32 },
    Over(SwitchEnd),
    Preparing,
    Releasing { end: SwitchEnd },
    Settling,
}

/// An order that is on its way.
#[derive(Clone, Debug)]
struct Sent {
    order: EngineOrder,
    at: Duration,
}

/// What is known of one rank.
#[derive(Clone, Debug)]
struct Rank {
    report: EngineReport,
    sent: Option<Sent>,
}

/// One switch, or the undoing of one that was left behind.
#[derive(Clone, Debug)]
pub struct Switch {
    options: SwitchOptions,
    own: RankNumber,
    epoch: GroupEpoch,
    started: Duration,
    /// The map to switch to; `None` if another's switch is undone.
    goal: Option<GroupMap>,
    version: MapVersion,
    /// The map in use, which ranks prepare again as they are settled.
    current: GroupMap,
    settle_version: MapVersion,
    step: GroupStep,
    /// Ranks that others have held, to be let go at the end.
    others_held: Vec<RankNumber>,
    phase: Phase,
    ranks: Vec<Rank>,
}

/// An order for one rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RankOrder {
    /// The rank.
    pub rank: RankNumber,
    /// The order.
    pub order: EngineOrder,
}

impl Switch {
    /// Starts a switch to a map, coordinated beside the rank `own`. Its number is
    /// `min_version` or above: engines refuse numbers that they have had, and
    /// don't tell those whose copies have not ended.
    #[expect(clippy::too_many_arguments, reason = "all are given once, by one caller")]
    pub fn start(
        options: SwitchOptions,
        own: RankNumber,
        epoch: GroupEpoch,
        reports: Vec<EngineReport>,
        current: GroupMap,
        goal: GroupMap,
        min_version: MapVersion,
        now: Duration,
    ) -> Switch {
        let version = (highest_version(&reports) + 1).max(min_version);
        let mut switch = Switch::new(options, own, epoch, reports, current, now);
        switch.goal = Some(goal);
        switch.version = version;
        switch.settle_version = version + 1;
        switch.phase = Phase::Preparing;
        switch
    }

    /// Starts to undo a switch that was left behind: the group is held, or some
    /// ranks are armed and others are not.
    ///
    /// `None` if there is nothing to undo.
    pub fn undo(
        options: SwitchOptions,
        own: RankNumber,
        epoch: GroupEpoch,
        reports: Vec<EngineReport>,
        current: GroupMap,
        now: Duration,
    ) -> Option<Switch> {
        let step = left_behind(&reports)?;
        let version = highest_version(&reports);
        let own = guard(&reports, own, step)?;
        let is_held_here = reports[own].held == Some(step);
        let held = |rank: &RankNumber| *rank != own && reports[*rank].held.is_some();
        let others_held = (0..reports.len()).filter(held).collect();
        let mut switch = Switch::new(options, own, epoch, reports, current, now);
        switch.version = version;
        switch.settle_version = version + 1;
        switch.step = step;
        switch.others_held = others_held;
        switch.phase = match is_held_here {
            true => Phase::Settling,
            false => Phase::Holding { tries: options.max_holds },
        };
        Some(switch)
    }

    fn new(
        options: SwitchOptions,
        own: RankNumber,
        epoch: GroupEpoch,
        reports: Vec<EngineReport>,
        current: GroupMap,
        now: Duration,
    ) -> Switch {
        let ranks = reports.into_iter().map(|report| Rank { report, sent: None }).collect();
        Switch {
            options,
            own,
            epoch,
            started: now,
            goal: None,
            version: 0,
            current,
            settle_version: 0,
            step: 0,
            others_held: Vec::new(),
            phase: Phase::Preparing,
            ranks,
        }
    }

    /// How the switch has ended, once it has.
    pub fn end(&self) -> Option<SwitchEnd> {
        match self.phase {
            Phase::Over(end) => Some(end),
            _ => None,
        }
    }

    /// The number of the map that is switched to.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Takes the state of a rank, as its engine has told it after the last order
    /// to it was answered.
    pub fn observe(&mut self, rank: RankNumber, report: EngineReport) {
        let epoch = report.membership.as_ref().map(|membership| membership.epoch);
        if epoch != Some(self.epoch) {
            self.phase = Phase::Over(SwitchEnd::GroupFormedAnew);
            return;
        }
        let known = &mut self.ranks[rank];
        // A report that is older than the last one tells nothing.
        if report.orders >= known.report.orders {
            known.report = report;
        }
    }

    /// Takes the answer to an order; the rank's state is to be observed first.
    pub fn answered(&mut self, rank: RankNumber, result: Option<OrderResult>) {
        let known = &mut self.ranks[rank];
        match (result, &known.sent) {
            // It may take effect yet, and is repeated under the same number.
            (None, _) | (_, None) => {}
            (Some(OrderResult::Accepted), Some(_)) => known.sent = None,
            (Some(OrderResult::Refused), Some(sent)) => {
                let refused = sent.order.action.clone();
                known.sent = None;
                self.refused(rank, &refused);
            }
        }
    }

    fn refused(&mut self, rank: RankNumber, action: &Action) {
        match (self.phase, action) {
            (Phase::Preparing, _) if !self.has_prepared(rank) => {
                self.phase = Phase::Over(SwitchEnd::NotPrepared);
            }
            (Phase::Arming { .. }, Action::Arm { .. }) if !self.is_armed(rank) => {
                self.phase = Phase::Settling;
            }
            (Phase::Holding { tries }, Action::Hold { .. }) if !self.is_held() => {
                self.hold_refused(tries);
            }
            // The rank has had that number, perhaps for a copy that has not ended.
            (Phase::Settling, Action::Prepare { .. }) if !self.is_settled(rank) => {
                self.settle_version += VERSION_LEAP;
            }
            _ => {}
        }
    }

    fn hold_refused(&mut self, tries: u32) {
        match tries < self.options.max_holds {
            true => {
                self.phase = Phase::Holding { tries: tries + 1 };
                self.step = self.next_hold_step();
            }
            // What was found is over, as its step has begun.
            false if self.goal.is_none() => self.phase = Phase::Over(SwitchEnd::Undone),
            false => self.phase = Phase::Over(SwitchEnd::NotHeld),
        }
    }

    /// Says what is to be sent now; call it after each answer, and regularly.
    pub fn tick(&mut self, now: Duration) -> Vec<RankOrder> {
        self.advance(now);
        (0..self.ranks.len()).filter_map(|rank| self.next_order(rank, now)).collect()
    }

    fn advance(&mut self, now: Duration) {
        loop {
            let next = match self.phase {
                Phase::Preparing if self.all(Switch::has_prepared) => {
                    self.step = self.next_hold_step();
                    Phase::Holding { tries: 0 }
                }
                Phase::Preparing if now >= self.started + self.options.prepare_timeout => {
                    Phase::Over(SwitchEnd::NotPrepared)
                }
                Phase::Holding { .. } if self.is_held() && self.goal.is_some() => {
                    Phase::Arming { since: now }
                }
                Phase::Holding { .. } if self.is_held() => Phase::Settling,
                Phase::Arming { .. } if self.all(Switch::is_armed) => {
                    Phase::Releasing { end: SwitchEnd::Switched }
                }
                Phase::Arming { since } if now >= since + self.options.arm_timeout => {
                    Phase::Settling
                }
                Phase::Settling if self.all(Switch::is_settled) => {
                    Phase::Releasing { end: SwitchEnd::Undone }
                }
                Phase::Releasing { end } if self.is_released() => Phase::Over(end),
                _ => return,
            };
            self.phase = next;
        }
    }

    fn all(&self, holds: fn(&Switch, RankNumber) -> bool) -> bool {
        (0..self.ranks.len()).all(|rank| holds(self, rank))
    }

    fn has_prepared(&self, rank: RankNumber) -> bool {
        self.ranks[rank].report.prepared == Some(self.version)
    }

    fn is_armed(&self, rank: RankNumber) -> bool {
        self.ranks[rank].report.armed == Some((self.version, self.step))
    }

    fn is_held(&self) -> bool {
        self.ranks[self.own].report.held == Some(self.step)
    }

    /// A rank is settled once it is not armed and has a later map to prepare, so
    /// that no late order can arm it.
    fn is_settled(&self, rank: RankNumber) -> bool {
        let report = &self.ranks[rank].report;
        report.armed.is_none() && report.prepared.is_some_and(|prepared| prepared > self.version)
    }

    /// A hold ends by being let go, or with the step having begun.
    fn is_released(&self) -> bool {
        let others = self.others_held.iter().all(|rank| !self.is_held_at(*rank));
        others && !self.is_held_at(self.own)
    }

    /// Says whether a rank is held at the step or before it. A later hold is not
    /// this switch's.
    fn is_held_at(&self, rank: RankNumber) -> bool {
        self.ranks[rank].report.held.is_some_and(|step| step <= self.step)
    }

    fn next_hold_step(&self) -> GroupStep {
        let newest = self.ranks.iter().map(|rank| rank.report.step).max().unwrap_or_default();
        newest + self.options.lead_steps
    }

    /// The order that a rank needs, unless one is on its way.
    fn next_order(&mut self, rank: RankNumber, now: Duration) -> Option<RankOrder> {
        if let Some(sent) = &mut self.ranks[rank].sent {
            if now < sent.at + self.options.repeat_after {
                return None;
            }
            let is_outdated =
                self.ranks[rank].report.orders > self.ranks[rank].sent.as_ref()?.order.after;
            let sent = self.ranks[rank].sent.as_mut()?;
            sent.at = now;
            if !is_outdated {
                return Some(RankOrder { rank, order: sent.order.clone() });
            }
            // It has taken effect, or never will.
            self.ranks[rank].sent = None;
        }
        let action = self.wanted(rank)?;
        let after = self.ranks[rank].report.orders;
        let order = EngineOrder { epoch: self.epoch, after, action };
        self.ranks[rank].sent = Some(Sent { order: order.clone(), at: now });
        Some(RankOrder { rank, order })
    }

    fn wanted(&self, rank: RankNumber) -> Option<Action> {
        match self.phase {
            Phase::Preparing if !self.has_prepared(rank) => {
                let map = self.goal.clone()?;
                Some(Action::Prepare { version: self.version, map })
            }
            Phase::Holding { .. } if rank == self.own => Some(Action::Hold { step: self.step }),
            Phase::Arming { .. } if !self.is_armed(rank) => {
                Some(Action::Arm { version: self.version, step: self.step })
            }
            Phase::Settling => self.settling_order(rank),
            Phase::Releasing { .. } => self.release_order(rank),
            _ => None,
        }
    }

    fn settling_order(&self, rank: RankNumber) -> Option<Action> {
        // The rank with the hold goes first: a late order of whoever placed that
        // hold can't let the group go then while other ranks are half settled.
        if rank != self.own && !self.is_settled(self.own) {
            return None;
        }
        match self.ranks[rank].report.armed {
            Some((version, _)) => Some(Action::Disarm { version }),
            None if self.is_settled(rank) => None,
            None => {
                Some(Action::Prepare { version: self.settle_version, map: self.current.clone() })
            }
        }
    }

    /// Others' holds go first, so that the own one guards to the last.
    fn release_order(&self, rank: RankNumber) -> Option<Action> {
        let are_others_open = self.others_held.iter().all(|other| !self.is_held_at(*other));
        let is_due = match rank == self.own {
            true => are_others_open,
            false => self.others_held.contains(&rank),
        };
        let step = self.ranks[rank].report.held.filter(|_| is_due && self.is_held_at(rank))?;
        Some(Action::Go { step })
    }
}

/// The step of a switch that was left behind, if there is one.
///
/// All ranks armed alike without a hold are a switch that takes place as soon as
/// the group has work.
pub fn left_behind(reports: &[EngineReport]) -> Option<GroupStep> {
    let held = reports.iter().filter_map(|report| report.held).min();
    let armed: Vec<_> = reports.iter().filter_map(|report| report.armed).collect();
    let is_uniform =
        armed.len() == reports.len() && armed.windows(2).all(|pair| pair[0] == pair[1]);
    match held {
        Some(step) => Some(step),
        None if armed.is_empty() || is_uniform => None,
        None => armed.iter().map(|(_, step)| *step).min(),
    }
}

/// The rank to hold the group through: the own one, unless it is held at another
/// step, as a rank has one hold at a time.
fn guard(reports: &[EngineReport], own: RankNumber, step: GroupStep) -> Option<RankNumber> {
    let is_usable = reports.get(own)?.held.is_none_or(|held| held == step);
    match is_usable {
        true => Some(own),
        false => reports.iter().position(|report| report.held.is_none()),
    }
}

/// The highest version that any rank knows.
fn highest_version(reports: &[EngineReport]) -> MapVersion {
    let versions = reports.iter().flat_map(|report| {
        let armed = report.armed.map(|(version, _)| version);
        [Some(report.map), report.prepared, armed]
    });
    versions.flatten().max().unwrap_or_default()
}
