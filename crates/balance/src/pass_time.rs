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
pub struct PassTime {
    from: Option<Seen>,
    peak: Option<Duration>,
}

impl PassTime {
    /// Takes a count of passes. An idle group makes none, so that a span in which
    /// it ran nothing says nothing.
    pub fn note(&mut self, epoch: GroupEpoch, step: GroupStep, is_working: bool, now: Duration) {
        let seen = Seen { epoch, step, at: now };
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
        self.peak = Some(faded.map_or(newest, |faded| faded.max(newest)));
        self.from = Some(seen);
    }

    /// The longest of late; `None` before any was seen.
    pub fn peak(&self) -> Option<Duration> {
        self.peak
    }
}
