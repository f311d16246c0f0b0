//! When a message that is not answered is sent again.
//!
//! How long answers take depends on the link, on how many are asked at once and on
//! how busy they are, so that it is measured: the smoothed time and its deviation, as
//! TCP does it (RFC 6298). A message that is sent again too soon joins the crowd that
//! delays the answers: one map for 192 ranks one by one takes up a link of 6 Mbit/s for
//! over half a second, by the play in `crates/rank/tests/link_budget.rs`, and with a
//! constant of 90 ms would be sent again five times meanwhile.

use std::time::Duration;

/// The weight of the newest answer in the smoothed time.
const TIME_WEIGHT: f64 = 0.125;

/// The weight of the newest answer in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// How many deviations above the smoothed time an answer is waited for.
const DEVIATIONS: f64 = 4.0;

/// How long answers of one kind take.
#[derive(Clone, Debug)]
pub struct RttEstimator {
    /// What is waited for before anything was measured.
    first: Duration,
    least: Duration,
    most: Duration,
    /// The smoothed time and its deviation, in seconds.
    measured: Option<(f64, f64)>,
}

impl RttEstimator {
    /// Starts with nothing measured; `least` and `most` bound what is waited for.
    pub fn new(first: Duration, least: Duration, most: Duration) -> RttEstimator {
        RttEstimator { first, least, most, measured: None }
    }

    /// Takes how long an answer took, counted from the first sending: of a message that
    /// was sent twice nobody knows which sending was answered, and of two guesses the
    /// one that sends less is taken.
    pub fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        self.measured = Some(match self.measured {
            None => (took_s, took_s / 2.0),
            Some((time_s, deviation_s)) => {
                let off_s = (time_s - took_s).abs();
                let deviation_s = deviation_s + DEVIATION_WEIGHT * (off_s - deviation_s);
                (time_s + TIME_WEIGHT * (took_s - time_s), deviation_s)
            }
        });
    }

    /// How long an answer is waited for until the message is sent again.
    pub fn timeout(&self) -> Duration {
        let Some((time_s, deviation_s)) = self.measured else { return self.first };
        let timeout = Duration::from_secs_f64(time_s + DEVIATIONS * deviation_s);
        timeout.clamp(self.least, self.most)
    }
}
