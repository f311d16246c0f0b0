//! Whether an endpoint is left out, by what its own answers show.

use std::time::Duration;

/// The weight of the newest outcome: about the last seven count.
const OUTCOME_WEIGHT: f64 = 0.15;

/// The part of failures from which on an endpoint is left out. Lookups of the
/// reference deployments fail in 14 of 100 by themselves; two failures in a
/// row after successes give 0.28, three 0.39.
const EJECT_FAILURE_PART: f64 = 0.38;

/// How long the first ejection lasts; each further one without a success
/// between lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// How long an ejection lasts at most: an endpoint that has come back should
/// not idle for long.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// How a call at an endpoint has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// It answered, with no failure of its own.
    Answered,
    /// It answered with a failure of its own, or an answer that is not whole.
    Failed,
    /// It can't be reached, or does not answer.
    Unreachable,
}

/// What is known of one endpoint's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failure_part: f64,
    ejections: u32,
    ejected_until: Duration,
}

impl OutlierDetector {
    /// Takes the end of a call. Returns whether the endpoint is ejected by it.
    pub fn record(&mut self, end: CallOutcome, now: Duration) -> bool {
        let newest = if end == CallOutcome::Answered { 0.0 } else { 1.0 };
        self.failure_part += OUTCOME_WEIGHT * (newest - self.failure_part);
        let is_bad = end == CallOutcome::Unreachable || self.failure_part >= EJECT_FAILURE_PART;
        match end {
            CallOutcome::Answered => {
                self.ejections = 0;
                false
            }
            _ if now < self.ejected_until || !is_bad => false,
            _ => {
                self.eject(now);
                true
            }
        }
    }

    /// Says whether the endpoint is left out now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    fn eject(&mut self, now: Duration) {
        let factor = 1 << self.ejections.min(8);
        self.ejected_until = now + (FIRST_EJECTION * factor).min(MAX_EJECTION);
        self.ejections += 1;
        // Its first calls after the ejection are a trial: one more failure ejects
        // it again, and successes bring it back.
        self.failure_part = EJECT_FAILURE_PART;
    }
}
