//! What the leader keeps from one switch of the expert map to the next.

use std::time::{Duration, Instant};

use lynxmount_balance::PassTimeTracker;
use lynxmount_core::{
    Result,
    experts::{GroupStep, MapVersion},
};
use lynxmount_group::{EngineSearch, HoldHistory, SwitchOptions};

use crate::{balance_spec::BalanceSpec, message::OrderAnswer, obstacle::ObstacleLog};

/// How many steps ahead a group is held while answers to orders get lost. Arming all ranks
/// then takes 50 to 100 ms, and the group works meanwhile instead of being stopped. One step is
/// too short for that, and four delay every switch by too many passes.
const LOSSY_LEAD_STEPS: GroupStep = 2;

/// How long after a lost answer the link counts as lossy.
const LOSSY_TIME: Duration = Duration::from_secs(3);

/// The state of the leader's balancing loop.
#[derive(Default)]
pub(crate) struct LeaderState {
    pub(crate) spec: Option<BalanceSpec>,
    pub(crate) pass_time: PassTimeTracker,
    pub(crate) min_version: MapVersion,
    pub(crate) unfinished_since: Option<Instant>,
    pub(crate) was_leader: bool,
    pub(crate) answer_lost_at: Option<Instant>,
    pub(crate) hold_history: HoldHistory,
    pub(crate) direct_reads_at: Option<Instant>,
    pub(crate) engine_search: EngineSearch,
    pub(crate) obstacle: ObstacleLog,
    /// The map that was requested from other processes, and when.
    pub(crate) requested_map: Option<(MapVersion, Instant)>,
}

impl LeaderState {
    /// The state of a process at its start.
    pub(crate) fn new(is_first_start: bool) -> LeaderState {
        let hold_history =
            if is_first_start { HoldHistory::of_first_life() } else { HoldHistory::default() };
        LeaderState { hold_history, ..LeaderState::default() }
    }

    /// Records whether an engine had to be sent an order more than once.
    pub(crate) fn record_retries(&mut self, answered: &Result<OrderAnswer>) {
        if answered.as_ref().is_ok_and(|answer| answer.tries > 1) {
            self.answer_lost_at = Some(Instant::now());
        }
    }

    pub(crate) fn switch_options(&self, has_lossy_lead: bool) -> SwitchOptions {
        let options = SwitchOptions::default();
        let is_lossy =
            has_lossy_lead && self.answer_lost_at.is_some_and(|at| at.elapsed() < LOSSY_TIME);
        match is_lossy {
            true => SwitchOptions { lead_steps: LOSSY_LEAD_STEPS, ..options },
            false => options,
        }
    }
}
