//! The state of one rank within a switch.

use std::time::Duration;

use lynxmount_core::experts::{EngineReport, GroupStep, MapVersion, OrderResult};

use super::RequestId;

/// The time after which a request is resent that has no answer, or that was refused
/// although it seems to fit the rank's state: the report may be older than the refusal.
const RESEND_DELAY: Duration = Duration::from_millis(25);

/// The time after which a request counts as lost. The sender normally reports earlier that
/// it has given up; this covers requests for which it does not.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The state of the latest request to a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestState {
    Accepted,
    /// The sender has given up waiting; the request may still take effect.
    Unanswered,
    Refused,
    InFlight,
}

/// The kind of a request: its action without the map that it may carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestKind {
    Arm,
    Disarm(MapVersion),
    Go(GroupStep),
    Hold(GroupStep),
    Prepare,
    Report { round: u32 },
    RollBack(MapVersion),
}

/// A request that was sent.
#[derive(Clone, Debug)]
struct SentRequest {
    id: RequestId,
    kind: RequestKind,
    at: Duration,
    state: RequestState,
}

/// The state of one rank within a switch.
#[derive(Clone, Debug)]
pub(super) struct Rank {
    pub(super) report: EngineReport,
    /// Whether it has reported in the current round of confirmation.
    pub(super) is_confirmed: bool,
    sent: Option<SentRequest>,
}

impl Rank {
    pub(super) fn new(report: EngineReport) -> Rank {
        Rank { report, is_confirmed: false, sent: None }
    }

    /// Whether the rank is armed to switch to a version at a step.
    pub(super) fn is_armed(&self, version: MapVersion, step: GroupStep) -> bool {
        self.report.armed == Some((version, step))
    }

    /// Whether the rank is disarmed and has prepared the current map under `version`.
    pub(super) fn is_rolled_back(&self, version: MapVersion) -> bool {
        self.report.armed.is_none() && self.report.prepared == Some(version)
    }

    /// Records the answer to a request; returns the request's kind if it is the latest one.
    pub(super) fn record_answer(
        &mut self,
        id: RequestId,
        result: Option<OrderResult>,
    ) -> Option<RequestKind> {
        let sent = self.sent.as_mut().filter(|sent| sent.id == id)?;
        sent.state = match result {
            Some(OrderResult::Accepted) => RequestState::Accepted,
            Some(OrderResult::Refused) => RequestState::Refused,
            None => RequestState::Unanswered,
        };
        Some(sent.kind)
    }

    /// Marks a request as sent and returns true, unless the same one was sent recently.
    pub(super) fn mark_sent_if_due(
        &mut self,
        kind: RequestKind,
        id: RequestId,
        now: Duration,
        resend_after: Duration,
    ) -> bool {
        let same = self.sent.as_ref().filter(|sent| sent.kind == kind);
        let delay = same.map_or(Duration::ZERO, |sent| match sent.state {
            RequestState::Accepted => resend_after,
            RequestState::Unanswered | RequestState::Refused => RESEND_DELAY,
            RequestState::InFlight => IN_FLIGHT_TIMEOUT,
        });
        if same.is_some_and(|sent| now < sent.at + delay) {
            return false;
        }
        self.sent = Some(SentRequest { id, kind, at: now, state: RequestState::InFlight });
        true
    }
}
