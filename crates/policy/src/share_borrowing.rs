//! How far an entry exceeds its share of a service's capacity while other entries leave theirs
//! unused.
//!
//! Shares are even, as an entry can't know what others have just sent. If most callers come to one
//! entry, its share is used up while most of the capacity is free. It then raises its share step by
//! step, and lowers it as soon as the capacity is nearly used up: a multiplicative increase and
//! decrease on the utilization that endpoints report.

use std::time::Duration;

/// Time between two steps: a step shows in the endpoints' next reports.
const STEP_PERIOD: Duration = Duration::from_millis(200);

/// Factor of an increase: 35 entries' shares are reached in three seconds.
const INCREASE: f64 = 1.3;

/// Factor of a decrease.
const DECREASE: f64 = 0.7;

/// Utilization up to which a share is raised.
const MAX_UTILIZATION_TO_RAISE: f64 = 0.75;

/// Utilization from which on a raised share is lowered.
const MIN_UTILIZATION_TO_LOWER: f64 = 0.9;

/// The factor by which an entry exceeds its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareBorrowing {
    factor: f64,
    stepped_at: Duration,
}

impl Default for ShareBorrowing {
    fn default() -> ShareBorrowing {
        ShareBorrowing { factor: 1.0, stepped_at: Duration::ZERO }
    }
}

impl ShareBorrowing {
    /// The factor of the entry's share, at least 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Records the utilization of all entries together, from 0 to 1, when a call needs capacity.
    ///
    /// `is_share_used_up` tells whether this entry's share has none left; `entries` shares make up
    /// the whole capacity.
    pub fn update(
        &mut self,
        utilization: f64,
        is_share_used_up: bool,
        entries: usize,
        now: Duration,
    ) {
        if now < self.stepped_at + STEP_PERIOD {
            return;
        }
        let next = match is_share_used_up {
            _ if utilization >= MIN_UTILIZATION_TO_LOWER => self.factor * DECREASE,
            true if utilization <= MAX_UTILIZATION_TO_RAISE => self.factor * INCREASE,
            _ => return,
        };
        self.factor = next.clamp(1.0, entries.max(1) as f64);
        self.stepped_at = now;
    }
}
