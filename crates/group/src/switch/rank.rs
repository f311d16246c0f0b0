//! What a switch knows of one rank.

use std::time::Duration;

use lynxmount_core::experts::{EngineReport, GroupStep, MapVersion, OrderResult};

use super::RequestId;

/// How soon an order is repeated that nothing is known of, or that was refused
/// though it still seems to fit: the report may be older than the refusal.
const REPEAT_SOON: Duration = Duration::from_millis(25);

/// How long an order is taken to be on its way. Whoever gives it is to say so when
/// it has given up; this is for what was forgotten.
const UNDER_WAY: Duration = Duration::from_millis(1500);

/// What has become of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Accepted,
    /// Nothing is known of it.
    GivenUp,
    Refused,
    UnderWay,
}

/// What a rank is to be asked for: an action without the map that it may carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Wanted {
    Arm,
    Disarm(MapVersion),
    Go(GroupStep),
    Hold(GroupStep),
    Prepare,
    Report { round: u32 },
    Settle(MapVersion),
}

/// An order that was given.
#[derive(Clone, Debug)]
struct Sent {
    id: RequestId,
    wanted: Wanted,
    at: Duration,
    fate: Fate,
}

/// What a switch knows of one rank.
#[derive(Clone, Debug)]
pub(super) struct Rank {
    pub(super) report: EngineReport,
    /// Whether it has answered in the round in which all are asked.
    pub(super) is_confirmed: bool,
    sent: Option<Sent>,
}

impl Rank {
    pub(super) fn new(report: EngineReport) -> Rank {
        Rank { report, is_confirmed: false, sent: None }
    }

    /// Says whether the rank is armed for a step.
    pub(super) fn is_armed(&self, version: MapVersion, step: GroupStep) -> bool {
        self.report.armed == Some((version, step))
    }

    /// Says whether the rank is not armed, and has just this map to prepare.
    pub(super) fn is_settled(&self, version: MapVersion) -> bool {
        self.report.armed.is_none() && self.report.prepared == Some(version)
    }

    /// Notes what has become of a request, and returns it if it is the last one.
    pub(super) fn note_answered(
        &mut self,
        id: RequestId,
        result: Option<OrderResult>,
    ) -> Option<Wanted> {
        let sent = self.sent.as_mut().filter(|sent| sent.id == id)?;
        sent.fate = match result {
            Some(OrderResult::Accepted) => Fate::Accepted,
            Some(OrderResult::Refused) => Fate::Refused,
            None => Fate::GivenUp,
        };
        Some(sent.wanted)
    }

    /// Says whether to ask for something now, and notes that it is asked for: not
    /// if it was asked for just now.
    pub(super) fn is_to_ask(
        &mut self,
        wanted: Wanted,
        id: RequestId,
        now: Duration,
        resend_after: Duration,
    ) -> bool {
        let same = self.sent.as_ref().filter(|sent| sent.wanted == wanted);
        let pause = same.map_or(Duration::ZERO, |sent| match sent.fate {
            Fate::Accepted => resend_after,
            Fate::GivenUp | Fate::Refused => REPEAT_SOON,
            Fate::UnderWay => UNDER_WAY,
        });
        if same.is_some_and(|sent| now < sent.at + pause) {
            return false;
        }
        self.sent = Some(Sent { id, wanted, at: now, fate: Fate::UnderWay });
        true
    }
}
