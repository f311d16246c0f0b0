//! History of a call's failed attempts.

use crate::attempt::{AttemptError, CompleteResponse};

/// What the failed attempts of a call mean for retries and for the caller's response.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    pub(crate) may_have_run: bool,
    /// Attempts that did not reach their endpoint.
    pub(crate) unreachable: u32,
    /// The failure response of an endpoint. It is delivered if no later attempt gets a response,
    /// as it tells the caller more than a refusal with an unknown outcome.
    pub(crate) failure: Option<CompleteResponse>,
}

impl AttemptHistory {
    pub(crate) fn record(&mut self, error: AttemptError) {
        self.may_have_run |= may_have_run(error);
        self.unreachable += u32::from(matches!(
            error,
            AttemptError::Unreachable | AttemptError::OtherEndpoint | AttemptError::Paused
        ));
    }
}

/// Whether an attempt that failed with an error may have run.
pub(crate) fn may_have_run(error: AttemptError) -> bool {
    match error {
        AttemptError::Quarantined
        | AttemptError::Lost
        | AttemptError::Overdue
        | AttemptError::Stalled
        | AttemptError::TimedOut => true,
        AttemptError::NoPermit
        | AttemptError::NotRun
        | AttemptError::OtherEndpoint
        | AttemptError::Paused
        | AttemptError::TooLate
        | AttemptError::Unreachable => false,
    }
}

/// The counter of attempts that failed with an error.
pub(crate) fn attempt_counter(error: AttemptError) -> &'static str {
    match error {
        AttemptError::Quarantined => "attempts.held_back",
        AttemptError::Lost => "attempts.lost",
        AttemptError::NoPermit => "attempts.no_permit",
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
