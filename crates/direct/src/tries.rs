//! What the attempts of a call have come to.

use crate::attempt::{Ended, WholeAnswer};

/// What the attempts of a call have come to so far.
#[derive(Default)]
pub(crate) struct Tries {
    pub(crate) may_have_run: bool,
    pub(crate) unreachable: u32,
    /// An endpoint's own failure. It is delivered if no later attempt has an
    /// answer: it tells the caller more than that nothing is known.
    pub(crate) failure: Option<WholeAnswer>,
}

impl Tries {
    pub(crate) fn note(&mut self, ended: Ended) {
        self.may_have_run |=
            matches!(ended, Ended::HeldBack | Ended::Lost | Ended::Stalled | Ended::TimedOut);
        self.unreachable += u32::from(matches!(ended, Ended::Unreachable | Ended::OtherEndpoint));
    }
}

/// The counter of attempts that ended so.
pub(crate) fn attempt_counter(ended: Ended) -> &'static str {
    match ended {
        Ended::HeldBack => "attempts.held_back",
        Ended::Lost => "attempts.lost",
        Ended::NotRun => "attempts.not_run",
        Ended::OtherEndpoint => "attempts.other_endpoint",
        Ended::Stalled => "attempts.stalled",
        Ended::TimedOut => "attempts.timed_out",
        Ended::Unreachable => "attempts.unreachable",
    }
}
