//! Inter-event (inter-token) latency of the streams of one group, as a short moving average.
//!
//! All ranks of a group wait for its slowest, so that one slow, frozen or held rank makes all its
//! streams late at once. An entry sees that in its own streams within a pass or two; for a group
//! in which it has no streams it uses the latency that the group reports.

use std::time::Duration;

use crate::stall::progress_timeout;

/// Time over which gaps are averaged: one or two passes.
const AVERAGING_TIME: Duration = Duration::from_millis(150);

/// How long a measured or reported mean is used: a group that is slow now may not be so for long.
const MEAN_VALIDITY: Duration = Duration::from_secs(1);

/// Multiple of the gap objective from which a stream can't complete: with 26 events and three
/// times 120 ms it takes 9.4 s, more than callers have.
const STALLED_FACTOR: f64 = 3.0;

/// The same for a gap that has not ended: one of 0.4 s comes from a pass in which many prompts
/// are read, and ends by itself. With a factor of 3 such a group would count as stalled.
const SILENT_FACTOR: f64 = 6.0;

/// Least silence that is a stall. Passes that read many prompts take up to 0.4 s.
const MIN_STALL: Duration = Duration::from_millis(700);

/// The same as a multiple of the mean gap, for a slow group.
const STALL_GAPS: u32 = 4;

/// Silence that is a stall in any group.
const MAX_STALL: Duration = Duration::from_millis(1200);

/// Service level that a stream can expect of a group.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum LatencyClass {
    /// Gaps meet the objective, or nothing is known of them.
    #[default]
    OnTime,
    /// Gaps exceed the objective, and streams complete late.
    Late,
    /// Streams make no or hardly any progress.
    Stalled,
}

#[derive(Clone, Copy, Debug)]
struct MeanGap {
    gap: Duration,
    at: Duration,
}

impl MeanGap {
    fn if_valid(mean: Option<MeanGap>, now: Duration) -> Option<Duration> {
        mean.filter(|mean| now < mean.at + MEAN_VALIDITY).map(|mean| mean.gap)
    }
}

/// Gaps between the stream events of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterEventLatency {
    gap_sum: Duration,
    gap_count: u32,
    averaging_since: Duration,
    measured: Option<MeanGap>,
    reported: Option<MeanGap>,
    last_event_at: Option<Duration>,
    /// Start of the current run of events without a stall.
    live_since: Duration,
}

impl InterEventLatency {
    /// Records an event of a stream, and the gap before it unless it was the first.
    pub fn on_event(&mut self, gap: Option<Duration>, now: Duration) {
        let was_stalled = self.silent_for(now).is_none_or(|age| age >= self.stall_threshold());
        if was_stalled {
            self.live_since = now;
        }
        self.last_event_at = Some(now);
        // The gap of a stall does not show how long passes take.
        let Some(gap) = gap.filter(|_| !was_stalled) else { return };
        self.gap_sum += gap;
        self.gap_count += 1;
        if now >= self.averaging_since + AVERAGING_TIME {
            self.measured = Some(MeanGap { gap: self.gap_sum / self.gap_count, at: now });
            (self.gap_sum, self.gap_count, self.averaging_since) = (Duration::ZERO, 0, now);
        }
    }

    /// Records the time between passes that the group's process reports.
    pub fn on_reported(&mut self, pass: Option<Duration>, now: Duration) {
        self.reported = pass.map(|gap| MeanGap { gap, at: now });
    }

    /// Time since the last event of any stream.
    pub fn silent_for(&self, now: Duration) -> Option<Duration> {
        self.last_event_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a recent event shows progress.
    pub fn is_live(&self, now: Duration) -> bool {
        // The reported mean grows during a stall.
        let measured_mean = MeanGap::if_valid(self.measured, now).unwrap_or_default();
        self.silent_for(now).is_some_and(|age| age <= progress_timeout(measured_mean))
    }

    /// The least silence that is a stall, and not a long pass.
    fn stall_threshold(&self) -> Duration {
        let mean = self.measured.map_or(Duration::ZERO, |mean| mean.gap);
        MIN_STALL.max(mean * STALL_GAPS).min(MAX_STALL)
    }

    /// For how long there have been events without a stall.
    pub fn live_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.live_since)
    }

    /// The recent mean gap, measured in this entry's streams or else reported; `None` if neither is
    /// recent.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        MeanGap::if_valid(self.measured, now).or(MeanGap::if_valid(self.reported, now))
    }

    /// The last mean gap that was measured or else reported, however old.
    pub fn last_mean(&self) -> Duration {
        self.measured.or(self.reported).map_or(Duration::ZERO, |mean| mean.gap)
    }

    /// The latency class of the group under an objective for the longest gap.
    pub fn class(&self, goal: Duration, has_streams: bool, now: Duration) -> LatencyClass {
        let silence = self.silent_for(now).filter(|_| has_streams).unwrap_or_default();
        let gap = self.mean(now).unwrap_or_default();
        let is_stalled =
            gap > goal.mul_f64(STALLED_FACTOR) || silence > goal.mul_f64(SILENT_FACTOR);
        match gap.max(silence) {
            _ if is_stalled => LatencyClass::Stalled,
            longest if longest > goal => LatencyClass::Late,
            _ => LatencyClass::OnTime,
        }
    }
}
