//! Outlier ejection: takes an endpoint out of rotation by a moving average of its failures.

use std::time::Duration;

/// Weight of the newest outcome in the moving average: about the last seven count.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Failure rate from which an endpoint is ejected. Lookups on the reference deployments fail in
/// 14 of 100 cases while endpoints are healthy; two failures in a row after successes give 0.28,
/// three 0.39.
const EJECTION_FAILURE_RATE: f64 = 0.38;

/// Duration of the first ejection. It doubles with each further ejection that no success
/// precedes.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest ejection: an endpoint that has recovered should not idle for long.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// How a call at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The endpoint answered, without a failure of its own.
    Answered,
    /// The endpoint answered with a failure of its own, or with an incomplete answer.
    Failed,
    /// The endpoint can't be reached, or does not answer.
    Unreachable,
}

/// Failure rate and ejections of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failure_rate: f64,
    consecutive_ejections: u32,
    ejected_until: Duration,
}

impl OutlierDetector {
    /// Records the outcome of a call. Returns whether it ejects the endpoint.
    pub fn record(&mut self, outcome: CallOutcome, now: Duration) -> bool {
        let newest = if outcome == CallOutcome::Answered { 0.0 } else { 1.0 };
        self.failure_rate += OUTCOME_WEIGHT * (newest - self.failure_rate);
        let is_outlier =
            outcome == CallOutcome::Unreachable || self.failure_rate >= EJECTION_FAILURE_RATE;
        match outcome {
            CallOutcome::Answered => {
                self.consecutive_ejections = 0;
                false
            }
            _ if now < self.ejected_until || !is_outlier => false,
            _ => {
                self.eject(now);
                true
            }
        }
    }

    /// Whether the endpoint is ejected now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the endpoint was ejected, and has not succeeded since.
    pub fn is_on_trial(&self) -> bool {
        self.consecutive_ejections > 0
    }

    fn eject(&mut self, now: Duration) {
        let factor = 1 << self.consecutive_ejections.min(8);
        self.ejected_until = now + (BASE_EJECTION_TIME * factor).min(MAX_EJECTION_TIME);
        self.consecutive_ejections += 1;
        // The first calls after the ejection are a trial: one more failure ejects the endpoint
        // again, and successes lower its failure rate.
        self.failure_rate = EJECTION_FAILURE_RATE;
    }
}
