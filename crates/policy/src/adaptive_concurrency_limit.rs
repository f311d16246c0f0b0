//! How much a model service may run at once so that its streams stay on time.
//!
//! Ranks run in lock-step: each further request makes every stream's pauses longer.
//! Beyond the longest pause that meets the objective all streams are late at once,
//! and stay so, as late requests pile up. So what runs is held where pauses stay
//! below it, and what does not fit is told to come back. If pauses are too long
//! with little running, too, limiting helps nobody, and all that fits is run.

use std::time::Duration;

/// How often the limit is set, from the pauses since the last time: one or two
/// passes at least.
const PERIOD: Duration = Duration::from_millis(150);

/// The part of the longest pause that is aimed for. The rest is what passes get
/// longer when demand for experts shifts, before maps have followed.
const AIM_PART: f64 = 0.66;

/// The part of it from which on less is to run. With 0.85, and 0.75 and 0.68 for the
/// others, the mean worth on the heaviest days of the large sites was 0.61 and 0.42,
/// against 0.64 and 0.49; with 0.65, 0.57 and 0.5 it was 0.60 and 0.53, against 0.66
/// and 0.49 (two and three seeds each).
const HIGH_PART: f64 = 0.75;

/// The part of it below which more may run.
const LOW_PART: f64 = 0.6;

/// The least that the limit falls to at one time, as a part of what it was.
const MAX_CUT: f64 = 0.8;

/// How fast the limit grows. With 1.12 the group of 72 ranks swung between too much
/// and too little: 0.62 of what was due on the heaviest day, against 0.77.
const GROWTH: f64 = 1.05;

/// The least part of its slots that a service runs.
const FLOOR: f64 = 0.35;

/// How long after a group has opened pauses say nothing of load: it runs its first
/// map, under which the most loaded rank has three times the mean, until maps have
/// followed demand. Whoever was cut off or waited is late in any case, and is served
/// sooner with all slots taken.
pub(crate) const FIRST_MAPS: Duration = Duration::from_millis(1500);

/// How long pauses may be too long at the floor before the limit is given up.
const HOPELESS_AFTER: Duration = Duration::from_millis(900);

/// For how long it is given up.
const GIVEN_UP_FOR: Duration = Duration::from_secs(4);

/// A limit by the pace that streams show.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveConcurrencyLimit {
    fraction: f64,
    pauses: Duration,
    count: u32,
    set_at: Duration,
    at_floor_since: Option<Duration>,
    given_up_until: Duration,
}

impl Default for AdaptiveConcurrencyLimit {
    /// Starts with no limit.
    fn default() -> AdaptiveConcurrencyLimit {
        AdaptiveConcurrencyLimit {
            fraction: 1.0,
            pauses: Duration::ZERO,
            count: 0,
            set_at: Duration::ZERO,
            at_floor_since: None,
            given_up_until: Duration::ZERO,
        }
    }
}

impl AdaptiveConcurrencyLimit {
    /// The part of a service's slots that may be taken.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Takes that a group has opened.
    pub fn on_group_opened(&mut self, now: Duration) {
        *self = AdaptiveConcurrencyLimit {
            given_up_until: now + FIRST_MAPS,
            set_at: now,
            ..AdaptiveConcurrencyLimit::default()
        };
    }

    /// Takes the pause before an event of a stream, with the longest that is on
    /// time and the part of the service's slots that is taken.
    pub fn record_gap(&mut self, pause: Duration, goal: Duration, taken: f64, now: Duration) {
        self.pauses += pause;
        self.count += 1;
        if now < self.set_at + PERIOD {
            return;
        }
        let mean = self.pauses.as_secs_f64() / f64::from(self.count);
        let part = mean / goal.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.pauses, self.count, self.set_at) = (Duration::ZERO, 0, now);
        self.set(part, taken, now);
    }

    fn set(&mut self, part: f64, taken: f64, now: Duration) {
        if now < self.given_up_until {
            return;
        }
        if part > HIGH_PART {
            let cut = (AIM_PART / part).max(MAX_CUT);
            self.fraction = (self.fraction.min(taken) * cut).max(FLOOR);
        } else if part < LOW_PART {
            self.fraction = (self.fraction * GROWTH).min(1.0);
        }
        self.give_up_if_hopeless(part, now);
    }

    fn give_up_if_hopeless(&mut self, part: f64, now: Duration) {
        let is_hopeless = part > 1.0 && self.fraction <= FLOOR;
        self.at_floor_since = is_hopeless.then(|| self.at_floor_since.unwrap_or(now));
        if self.at_floor_since.is_some_and(|since| now >= since + HOPELESS_AFTER) {
            *self = AdaptiveConcurrencyLimit {
                given_up_until: now + GIVEN_UP_FOR,
                set_at: now,
                ..AdaptiveConcurrencyLimit::default()
            };
        }
    }
}
