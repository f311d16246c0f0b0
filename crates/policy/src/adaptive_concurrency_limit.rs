//! Adaptive concurrency limit of a model service, by multiplicative increase and decrease.
//!
//! Ranks run in lock-step: each further request makes every stream's gaps longer. Beyond the
//! longest gap that meets the objective all streams are late at once, and stay so, as late requests
//! pile up. So concurrency is limited to keep gaps below it, and the excess is refused with a time
//! to retry. If gaps are too long even with little running, a limit does not help and is lifted.

use std::time::Duration;

/// Interval of adjustments, from the gaps since the last one: one or two passes at least.
const ADJUSTMENT_PERIOD: Duration = Duration::from_millis(150);

/// Target of the mean gap, as a fraction of the objective. The rest is for passes that get longer
/// when demand for experts shifts, until maps have followed.
const TARGET_FRACTION: f64 = 0.66;

/// Fraction of the objective above which the limit is cut. A higher one lets gaps exceed the
/// objective before the limit follows; a lower one refuses requests that would be on time.
const HIGH_FRACTION: f64 = 0.75;

/// Fraction of the objective below which the limit grows.
const LOW_FRACTION: f64 = 0.6;

/// Smallest factor of a single cut.
const MIN_CUT_FACTOR: f64 = 0.8;

/// Factor of growth. With 1.12 a group of 72 ranks oscillates between too much and too little load.
const GROWTH_FACTOR: f64 = 1.05;

/// Lower bound of the limit, as a fraction of the service's slots.
const MIN_LIMIT: f64 = 0.35;

/// How long after a group has opened gaps do not show its load: it runs its first map, under which
/// the most loaded rank has three times the mean, until maps have followed demand. Requests that
/// were cut off or waited are late in any case, and are served sooner with all slots in use.
pub(crate) const FIRST_MAPS: Duration = Duration::from_millis(1500);

/// How long gaps may be too long at the lower bound before the limit is suspended.
const MAX_INEFFECTIVE_TIME: Duration = Duration::from_millis(900);

/// How long the limit is suspended.
const SUSPENSION: Duration = Duration::from_secs(4);

/// Concurrency limit that follows the gaps between stream events.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveConcurrencyLimit {
    /// The limit, as a fraction of the service's slots.
    fraction: f64,
    gap_sum: Duration,
    gap_count: u32,
    adjusted_at: Duration,
    ineffective_since: Option<Duration>,
    suspended_until: Duration,
}

impl Default for AdaptiveConcurrencyLimit {
    /// Starts without a limit.
    fn default() -> AdaptiveConcurrencyLimit {
        AdaptiveConcurrencyLimit {
            fraction: 1.0,
            gap_sum: Duration::ZERO,
            gap_count: 0,
            adjusted_at: Duration::ZERO,
            ineffective_since: None,
            suspended_until: Duration::ZERO,
        }
    }
}

impl AdaptiveConcurrencyLimit {
    /// Fraction of a service's slots that may be in use.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Records that the group has opened.
    pub fn on_group_opened(&mut self, now: Duration) {
        *self = AdaptiveConcurrencyLimit {
            suspended_until: now + FIRST_MAPS,
            adjusted_at: now,
            ..AdaptiveConcurrencyLimit::default()
        };
    }

    /// Records the gap before an event of a stream, with the objective for gaps and the fraction of
    /// the service's slots in use.
    pub fn record_gap(&mut self, gap: Duration, goal: Duration, in_use: f64, now: Duration) {
        self.gap_sum += gap;
        self.gap_count += 1;
        if now < self.adjusted_at + ADJUSTMENT_PERIOD {
            return;
        }
        let mean_s = self.gap_sum.as_secs_f64() / f64::from(self.gap_count);
        let ratio = mean_s / goal.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.gap_sum, self.gap_count, self.adjusted_at) = (Duration::ZERO, 0, now);
        self.adjust(ratio, in_use, now);
    }

    /// Adjusts the limit by the ratio of the mean gap to the objective.
    fn adjust(&mut self, ratio: f64, in_use: f64, now: Duration) {
        if now < self.suspended_until {
            return;
        }
        if ratio > HIGH_FRACTION {
            let cut = (TARGET_FRACTION / ratio).max(MIN_CUT_FACTOR);
            self.fraction = (self.fraction.min(in_use) * cut).max(MIN_LIMIT);
        } else if ratio < LOW_FRACTION {
            self.fraction = (self.fraction * GROWTH_FACTOR).min(1.0);
        }
        self.suspend_if_ineffective(ratio, now);
    }

    fn suspend_if_ineffective(&mut self, ratio: f64, now: Duration) {
        let is_ineffective = ratio > 1.0 && self.fraction <= MIN_LIMIT;
        self.ineffective_since = is_ineffective.then(|| self.ineffective_since.unwrap_or(now));
        if self.ineffective_since.is_some_and(|since| now >= since + MAX_INEFFECTIVE_TIME) {
            *self = AdaptiveConcurrencyLimit {
                suspended_until: now + SUSPENSION,
                adjusted_at: now,
                ..AdaptiveConcurrencyLimit::default()
            };
        }
    }
}
