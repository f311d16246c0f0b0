//! The recent and the peak time between passes of a group, derived from its step counter.

use std::time::Duration;

use lynxmount_core::experts::{GroupEpoch, GroupStep};

/// The minimum time over which passes are counted: passes of the reference deployments
/// take 30 to 160 ms, and the counter is read every 100 ms.
const MIN_WINDOW: Duration = Duration::from_millis(200);

/// The half-life of the peak: demand shifts every two to four seconds, and passes are
/// longest after a shift.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Reading {
    epoch: GroupEpoch,
    step: GroupStep,
    at: Duration,
}

/// Tracks the time between passes while a group works.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTimeTracker {
    /// The reading at which the current window started.
    window_start: Option<Reading>,
    /// The reading that showed the last pass; `None` while the group is idle.
    last_pass: Option<Reading>,
    latest: Option<Duration>,
    peak: Option<Duration>,
}

impl PassTimeTracker {
    /// Records a reading of the step counter. An idle group begins no passes, so that time
    /// without work does not count.
    pub fn record(&mut self, epoch: GroupEpoch, step: GroupStep, is_working: bool, now: Duration) {
        let reading = Reading { epoch, step, at: now };
        let is_same = |last: &Reading| (last.epoch, last.step) == (epoch, step);
        if !is_working || !self.last_pass.as_ref().is_some_and(is_same) {
            self.last_pass = is_working.then_some(reading);
        }
        let Some(start) = self.window_start.filter(|start| is_working && start.epoch == epoch)
        else {
            self.window_start = is_working.then_some(reading);
            return;
        };
        let elapsed = now.saturating_sub(start.at);
        let Some(passes) = step.checked_sub(start.step).filter(|passes| *passes > 0) else {
            return;
        };
        if elapsed < MIN_WINDOW {
            return;
        }
        let latest = elapsed.div_f64(passes as f64);
        let decayed_peak = self.peak.map(|peak| {
            peak.mul_f64(0.5_f64.powf(elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64()))
        });
        self.latest = Some(latest);
        self.peak = Some(decayed_peak.map_or(latest, |peak| peak.max(latest)));
        self.window_start = Some(reading);
    }

    /// The mean time between passes in the latest window; `None` before the first one.
    pub fn latest(&self) -> Option<Duration> {
        self.latest
    }

    /// For how long a working group has begun no pass.
    pub fn stalled_for(&self, now: Duration) -> Duration {
        self.last_pass.map_or(Duration::ZERO, |last| now.saturating_sub(last.at))
    }

    /// The latest time between passes, or the time since the last pass if that is longer;
    /// `None` while the group is idle.
    pub fn current(&self, now: Duration) -> Option<Duration> {
        let since_last = now.saturating_sub(self.last_pass?.at);
        Some(self.latest.unwrap_or_default().max(since_last))
    }

    /// The decaying maximum of the time between passes; `None` before the first window.
    pub fn peak(&self) -> Option<Duration> {
        self.peak
    }
}
