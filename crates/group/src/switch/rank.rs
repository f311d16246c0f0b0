//! What a switch knows of one rank.

use std::time::Duration;

use lynxmount_core::experts::{
    Action, EngineOrder, EngineReport, GroupEpoch, GroupStep, MapVersion,
};

/// How soon an order is repeated that was refused, though it still seems to fit:
/// the report may be older than the refusal.
const REPEAT_REFUSED_AFTER: Duration = Duration::from_millis(25);

/// An order that was given.
#[derive(Clone, Debug)]
struct Sent {
    action: Action,
    at: Duration,
    is_refused: bool,
}

/// What a switch knows of one rank.
#[derive(Clone, Debug)]
pub(super) struct Rank {
    pub(super) report: EngineReport,
    sent: Option<Sent>,
}

impl Rank {
    pub(super) fn new(report: EngineReport) -> Rank {
        Rank { report, sent: None }
    }

    /// Says whether the rank is armed for a step.
    pub(super) fn is_armed(&self, version: MapVersion, step: GroupStep) -> bool {
        self.report.armed == Some((version, step))
    }

    /// Says whether the rank is not armed, and has just this map to prepare.
    pub(super) fn is_settled(&self, version: MapVersion) -> bool {
        self.report.armed.is_none() && self.report.prepared == Some(version)
    }

    /// Notes that the last order was refused, and returns it.
    pub(super) fn note_refused(&mut self) -> Option<Action> {
        let sent = self.sent.as_mut()?;
        sent.is_refused = true;
        Some(sent.action.clone())
    }

    /// Makes an order, unless the same was given just now.
    pub(super) fn give(
        &mut self,
        epoch: GroupEpoch,
        action: Action,
        now: Duration,
        repeat_after: Duration,
    ) -> Option<EngineOrder> {
        let same = self.sent.as_ref().filter(|sent| sent.action == action);
        let pause = same.map_or(Duration::ZERO, |sent| match sent.is_refused {
            true => REPEAT_REFUSED_AFTER,
            false => repeat_after,
        });
        if same.is_some_and(|sent| now < sent.at + pause) {
            return None;
        }
        self.sent = Some(Sent { action: action.clone(), at: now, is_refused: false });
        Some(EngineOrder { epoch, action })
    }
}
