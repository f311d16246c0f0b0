//! What the balancing process remembers from one change of map to the next.

use std::time::{Duration, Instant};

use lynxmount_balance::PassTimeTracker;
use lynxmount_core::{
    Result,
    experts::{GroupStep, MapVersion},
};
use lynxmount_group::{HoldHistory, SwitchOptions};

use crate::{message::OrderAnswer, spec::Spec};

/// How many steps ahead a group is held while answers to orders are lost. Arming
/// then takes 50 to 100 ms, which the group works through instead of standing
/// still. With four, the mean worth of the small sites' heaviest days was 0.73 and
/// 0.70, with two 0.76 and 0.70, with one 0.72 and 0.68 (four seeds each).
const LOSSY_LEAD_STEPS: GroupStep = 2;

/// How long after a lost answer others are expected to be lost.
const LOSS_TIME: Duration = Duration::from_secs(3);

/// What the balancing process remembers from one change to the next.
#[derive(Default)]
pub(crate) struct Memory {
    pub(crate) spec: Option<Spec>,
    pub(crate) pass_time: PassTimeTracker,
    pub(crate) min_version: MapVersion,
    pub(crate) left_behind_since: Option<Instant>,
    pub(crate) was_leading: bool,
    pub(crate) answer_lost_at: Option<Instant>,
    pub(crate) hold_history: HoldHistory,
    pub(crate) read_directly_at: Option<Instant>,
    /// The map that others were asked for, and when.
    pub(crate) map_asked: Option<(MapVersion, Instant)>,
}

impl Memory {
    pub(crate) fn note_loss(&mut self, answered: &Result<OrderAnswer>) {
        if answered.as_ref().is_ok_and(|answer| answer.tries > 1) {
            self.answer_lost_at = Some(Instant::now());
        }
    }

    pub(crate) fn switch_options(&self, has_lossy_lead: bool) -> SwitchOptions {
        let options = SwitchOptions::default();
        let is_lossy =
            has_lossy_lead && self.answer_lost_at.is_some_and(|at| at.elapsed() < LOSS_TIME);
        match is_lossy {
            true => SwitchOptions { lead_steps: LOSSY_LEAD_STEPS, ..options },
            false => options,
        }
    }
}
