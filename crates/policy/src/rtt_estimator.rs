//! Retransmission timeout from a smoothed round-trip time and its deviation, as in TCP (RFC 6298).
//!
//! Response times depend on the link, on how many requests are sent at once and on how busy the
//! receivers are, so that they are measured. A message that is sent again too early adds to the
//! load that delays the responses: sending a map to 192 ranks one by one takes up a link of
//! 6 Mbit/s for over half a second, by the simulation in `crates/rank/tests/link_budget.rs`, and
//! with a constant timeout of 90 ms it would be sent again five times meanwhile.

use std::time::Duration;

/// Weight of the newest sample in the smoothed time.
const TIME_WEIGHT: f64 = 0.125;

/// Weight of the newest sample in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the smoothed time that the timeout allows.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Estimates how long responses of one kind take.
#[derive(Clone, Debug)]
pub struct RttEstimator {
    /// Timeout before the first sample.
    initial: Duration,
    min: Duration,
    max: Duration,
    /// The smoothed time and its deviation, in seconds.
    estimate_s: Option<(f64, f64)>,
}

impl RttEstimator {
    /// Starts without samples; the timeout stays between `min` and `max`.
    pub fn new(initial: Duration, min: Duration, max: Duration) -> RttEstimator {
        RttEstimator { initial, min, max, estimate_s: None }
    }

    /// Records a response time, counted from the first transmission. If the message was sent more
    /// than once it is unknown which transmission was answered, and the longer time leads to fewer
    /// retransmissions.
    pub fn record(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        self.estimate_s = Some(match self.estimate_s {
            None => (sample_s, sample_s / 2.0),
            Some((time_s, deviation_s)) => {
                let error_s = (time_s - sample_s).abs();
                let deviation_s = deviation_s + DEVIATION_WEIGHT * (error_s - deviation_s);
                (time_s + TIME_WEIGHT * (sample_s - time_s), deviation_s)
            }
        });
    }

    /// How long to wait for a response before the message is sent again.
    pub fn timeout(&self) -> Duration {
        let Some((time_s, deviation_s)) = self.estimate_s else { return self.initial };
        let timeout = Duration::from_secs_f64(time_s + TIMEOUT_DEVIATIONS * deviation_s);
        timeout.clamp(self.min, self.max)
    }
}
