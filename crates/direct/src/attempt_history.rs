//! The results of a call's attempts.

use crate::attempt::{AttemptError, WholeAnswer};

/// The results of a call's attempts so far.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    pub(crate) may_have_run: bool,
    pub(crate) unreachable: u32,
    /// An endpoint's own failure. It is delivered if no later attempt has an
    /// answer: it tells the caller more than that nothing is known.
    pub(crate) failure: Option<WholeAnswer>,
}

impl AttemptHistory {
    pub(crate) fn record(&mut self, ended: AttemptError) {
        self.may_have_run |= matches!(
            ended,
            AttemptError::HeldBack
                | AttemptError::Lost
                | AttemptError::Overdue
                | AttemptError::Stalled
                | AttemptError::TimedOut
        );
        self.unreachable += u32::from(matches!(
            ended,
            AttemptError::Unreachable | AttemptError::OtherEndpoint | AttemptError::Paused
        ));
    }
}

/// The counter of attempts that ended so.
pub(crate) fn attempt_counter(ended: AttemptError) -> &'static str {
    match ended {
        AttemptError::HeldBack => "attempts.held_back",
        AttemptError::Lost => "attempts.lost",
        AttemptError::NotRun => "attempts.not_run",
        AttemptError::OtherEndpoint => "attempts.other_endpoint",
        AttemptError::Overdue => "attempts.overdue",
        AttemptError::Paused => "attempts.paused",
        AttemptError::Stalled => "attempts.stalled",
        AttemptError::TimedOut => "attempts.timed_out",
        AttemptError::TooLate => "attempts.too_late",
        AttemptError::Unreachable => "attempts.unreachable",
    }
}
