//! Whether a lock-step service stands still.
//!
//! A rank that is frozen or cut off holds all ranks of its group up, for seconds. A
//! request that is sent then waits in the engine until its caller gives up, and is
//! lost; told to come back, the caller meets a group that has formed anew.

use std::time::Duration;

/// How long no stream of a service must have had an event. Passes of the reference
/// deployments take 60 to 110 ms; at 400 ms a mean answer of 20 events takes all of
/// a caller's 8 s.
const STALL_AFTER: Duration = Duration::from_millis(500);

/// Calls that must be in progress: one or two may be waiting for long prompts to be
/// read.
const MIN_RUNNING: u32 = 3;

/// What is known of a service's progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallWatch {
    /// Since when enough calls have been in progress without a break.
    busy_since: Option<Duration>,
    event_at: Option<Duration>,
}

impl StallWatch {
    /// Notes how many calls are in progress.
    pub fn note_running(&mut self, running: u32, now: Duration) {
        self.busy_since = match running {
            0..MIN_RUNNING => None,
            _ => Some(self.busy_since.unwrap_or(now)),
        };
    }

    /// Notes an event of any stream.
    pub fn note_event(&mut self, now: Duration) {
        self.event_at = Some(now);
    }

    /// How long ago the last event of any stream was.
    pub fn event_age(&self, now: Duration) -> Option<Duration> {
        self.event_at.map(|at| now.saturating_sub(at))
    }

    /// Says whether calls are in progress and none has had an event for long. A
    /// service that has never had one streams nothing.
    pub fn is_stalled(&self, now: Duration) -> bool {
        let since = self.busy_since.zip(self.event_at).map(|(busy, event)| busy.max(event));
        since.is_some_and(|since| now >= since + STALL_AFTER)
    }
}
