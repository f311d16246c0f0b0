//! How long the passes of a group take, from its count of them.

use std::time::Duration;

use lynxmount_core::experts::{GroupEpoch, GroupStep};

/// The least time that passes are counted over: passes of the reference deployments
/// take 30 to 160 ms, and the count is read each 100 ms.
const SPAN: Duration = Duration::from_millis(400);

/// How strongly the newest span counts: about the last two seconds do, in which
/// demand shifts once or not at all.
const SPAN_WEIGHT: f64 = 0.3;

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
    mean: Option<Duration>,
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
        let newest = span.as_secs_f64() / passes as f64;
        let before = self.mean.map_or(newest, |mean| mean.as_secs_f64());
        self.mean = Some(Duration::from_secs_f64(before + SPAN_WEIGHT * (newest - before)));
        self.from = Some(seen);
    }

    /// The mean of late; `None` before any was seen.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }
}
