//! How long the pauses of a group's streams are now.
//!
//! All ranks of a group wait for its slowest, so that one slow, frozen or held
//! rank makes all its streams late at once. An entry sees that in its own streams
//! within a pass or two; a group that it has no streams in tells its pace.

use std::time::Duration;

use crate::stall::progress_life;

/// The time over which pauses are averaged: one or two passes.
const SPAN: Duration = Duration::from_millis(150);

/// How long a mean or a told pace counts: a group that is slow now may not be so
/// for long.
const LIFE: Duration = Duration::from_secs(1);

/// From how many times the longest pause on time on a stream can't come to its end:
/// with 26 events and three times 120 ms it takes 9.4 s, more than callers have.
const STALLED_FACTOR: f64 = 3.0;

/// The same for a pause that has not ended: one of 0.4 s is that of a pass in which
/// many prompts are read, and ends by itself. With three times, and no regard for a
/// group's first maps, the days that end with a loss of power fell from 0.585 to
/// 0.574 and 0.563 (three seeds each).
const SILENT_FACTOR: f64 = 6.0;

/// The least silence that is a standstill. Passes that read many prompts take up to 0.4 s.
const STANDSTILL: Duration = Duration::from_millis(700);

/// The same in mean pauses, in a slow group.
const STANDSTILL_PAUSES: u32 = 4;

/// Silence that is a standstill in any group.
const MAX_STANDSTILL: Duration = Duration::from_millis(1200);

/// What a stream may expect of a group.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum LatencyClass {
    /// Pauses are on time, or nothing is known of them.
    #[default]
    OnTime,
    /// Streams come to their end, and late.
    Late,
    /// Streams stand still, or nearly so.
    Stalled,
}

#[derive(Clone, Copy, Debug)]
struct Measured {
    pause: Duration,
    at: Duration,
}

impl Measured {
    fn fresh(measured: Option<Measured>, now: Duration) -> Option<Duration> {
        measured.filter(|measured| now < measured.at + LIFE).map(|measured| measured.pause)
    }
}

/// The pace of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterEventLatency {
    sum: Duration,
    count: u32,
    span_began: Duration,
    mean: Option<Measured>,
    told: Option<Measured>,
    last_event_at: Option<Duration>,
    /// When events began that follow each other without a standstill.
    live_since: Duration,
}

impl InterEventLatency {
    /// Takes an event of a stream, and the pause before it if it was not the first.
    pub fn on_event(&mut self, pause: Option<Duration>, now: Duration) {
        let had_stopped = self.silent_for(now).is_none_or(|age| age >= self.standstill());
        if had_stopped {
            self.live_since = now;
        }
        self.last_event_at = Some(now);
        // The pause of a standstill says nothing of how long passes take.
        let Some(pause) = pause.filter(|_| !had_stopped) else { return };
        self.sum += pause;
        self.count += 1;
        if now >= self.span_began + SPAN {
            self.mean = Some(Measured { pause: self.sum / self.count, at: now });
            (self.sum, self.count, self.span_began) = (Duration::ZERO, 0, now);
        }
    }

    /// Takes the time between passes that the group's process tells.
    pub fn on_reported(&mut self, pass: Option<Duration>, now: Duration) {
        self.told = pass.map(|pause| Measured { pause, at: now });
    }

    /// How long ago the last event of any stream was.
    pub fn silent_for(&self, now: Duration) -> Option<Duration> {
        self.last_event_at.map(|at| now.saturating_sub(at))
    }

    /// Says whether an event was seen lately.
    pub fn is_live(&self, now: Duration) -> bool {
        // What is told grows with a standstill.
        let own_mean = Measured::fresh(self.mean, now).unwrap_or_default();
        self.silent_for(now).is_some_and(|age| age <= progress_life(own_mean))
    }

    /// The least silence that is a standstill, and not a long pass.
    fn standstill(&self) -> Duration {
        let mean = self.mean.map_or(Duration::ZERO, |mean| mean.pause);
        STANDSTILL.max(mean * STANDSTILL_PAUSES).min(MAX_STANDSTILL)
    }

    /// For how long events have followed each other without a standstill.
    pub fn live_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.live_since)
    }

    /// The mean pause of late, by the own streams or as told; `None` if neither is fresh.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        Measured::fresh(self.mean, now).or(Measured::fresh(self.told, now))
    }

    /// The mean pause as it was last seen or told, however long ago.
    pub fn last_mean(&self) -> Duration {
        self.mean.or(self.told).map_or(Duration::ZERO, |measured| measured.pause)
    }

    /// What a stream may expect, with the longest pause that is on time.
    pub fn class(&self, goal: Duration, has_streams: bool, now: Duration) -> LatencyClass {
        let silence = self.silent_for(now).filter(|_| has_streams).unwrap_or_default();
        let pause = self.mean(now).unwrap_or_default();
        let is_stalled =
            pause > goal.mul_f64(STALLED_FACTOR) || silence > goal.mul_f64(SILENT_FACTOR);
        match pause.max(silence) {
            _ if is_stalled => LatencyClass::Stalled,
            longest if longest > goal => LatencyClass::Late,
            _ => LatencyClass::OnTime,
        }
    }
}
