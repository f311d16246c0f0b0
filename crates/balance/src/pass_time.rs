//! How long the passes of a group take at their longest, from its count of them.

use std::time::Duration;

use lynxmount_core::experts::{GroupEpoch, GroupStep};

/// The least time that passes are counted over: passes of the reference deployments
/// take 30 to 160 ms, and the count is read each 100 ms.
const SPAN: Duration = Duration::from_millis(200);

/// How long a peak takes to fall by half: demand shifts each two to four seconds,
/// and passes are longest after a shift.
const HALF_LIFE: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Seen {
    epoch: GroupEpoch,
    step: GroupStep,
    at: Duration,
}

/// The time between passes while a group works.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTimeTracker {
    from: Option<Seen>,
    /// The last pass that was seen to begin, while the group works.
    latest: Option<Seen>,
    newest: Option<Duration>,
    peak: Option<Duration>,
}

impl PassTimeTracker {
    /// Takes a count of passes. An idle group makes none, so that a span in which
    /// it ran nothing says nothing.
    pub fn record(&mut self, epoch: GroupEpoch, step: GroupStep, is_working: bool, now: Duration) {
        let seen = Seen { epoch, step, at: now };
        let is_same = |latest: &Seen| (latest.epoch, latest.step) == (epoch, step);
        if !is_working || !self.latest.as_ref().is_some_and(is_same) {
            self.latest = is_working.then_some(seen);
        }
        let Some(from) = self.from.filter(|from| is_working && from.epoch == epoch) else {
            self.from = is_working.then_some(seen);
            return;
        };
        let span = now.saturating_sub(from.at);
        let Some(passes) = step.checked_sub(from.step).filter(|passes| *passes > 0) else { return };
        if span < SPAN {
            return;
        }
        let newest = span.div_f64(passes as f64);
        let faded = self
            .peak
            .map(|peak| peak.mul_f64(0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64())));
        self.newest = Some(newest);
        self.peak = Some(faded.map_or(newest, |faded| faded.max(newest)));
        self.from = Some(seen);
    }

    /// The time between the newest passes; `None` before any was seen.
    pub fn latest(&self) -> Option<Duration> {
        self.newest
    }

    /// For how long a group that works has begun no pass.
    pub fn stalled_for(&self, now: Duration) -> Duration {
        self.latest.map_or(Duration::ZERO, |latest| now.saturating_sub(latest.at))
    }

    /// The time between the newest passes, or since the last one if that is longer;
    /// `None` while the group is idle.
    pub fn current(&self, now: Duration) -> Option<Duration> {
        let since_last = now.saturating_sub(self.latest?.at);
        Some(self.newest.unwrap_or_default().max(since_last))
    }

    /// The longest of late; `None` before any was seen.
    pub fn peak(&self) -> Option<Duration> {
        self.peak
    }
}
