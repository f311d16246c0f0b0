//! Failure detection for lock-step groups: finds endpoints that stall while the rest of their group
//! makes progress.
//!
//! All ranks of a group complete each pass together, so that a live rank sends an event of each
//! running stream whenever the others do, and reads its next prompt within a few passes.
//! Connections do not show a stall: the kernel of a frozen machine still accepts them.

use std::time::Duration;

/// Least silence after which an endpoint is suspected, and gets no new calls.
const MIN_SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// Passes of its group that an endpoint must have missed to be suspected.
const SUSPECT_PASSES: u32 = 4;

/// Silence after which an endpoint is suspected however slow its group is: callers wait for
/// little longer.
const MAX_SUSPECT_AFTER: Duration = Duration::from_millis(1200);

/// Least silence after which calls are rerouted from an endpoint.
const MIN_REROUTE_AFTER: Duration = Duration::from_millis(900);

/// Passes of its group that an endpoint must have missed before its calls are rerouted.
const REROUTE_PASSES: u32 = 5;

/// Silence after which calls are rerouted from a whole group. Longer than most orphaned holds
/// of a map switch, which end by themselves.
const GROUP_REROUTE_AFTER: Duration = Duration::from_millis(1200);

/// Least age up to which an event shows that a group makes progress.
const MIN_PROGRESS_TIMEOUT: Duration = Duration::from_millis(250);

/// The same as a multiple of the mean gap between events, for a slow group.
const PROGRESS_TIMEOUT_GAPS: f64 = 1.5;

/// Age beyond which no event shows progress, however slow the group is.
const MAX_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1000);

/// The progress of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupProgress {
    /// Age of the last event in the group; `None` before the first.
    pub silent_for: Option<Duration>,
    /// Recent mean gap between events; zero if it is not known.
    pub mean_gap: Duration,
    /// For how long the group has made progress without a stall.
    pub live_for: Duration,
}

impl GroupProgress {
    /// Whether a recent event shows that the group makes progress.
    pub fn is_live(&self) -> bool {
        self.silent_for.is_some_and(|age| age <= progress_timeout(self.mean_gap))
    }

    /// Whether the group has completed a pass since an endpoint fell silent.
    fn is_ahead_of(&self, silence: Duration) -> bool {
        self.silent_for.is_some_and(|age| silence >= age + self.mean_gap)
    }
}

/// Age up to which an event shows that a group makes progress, by the mean gap between events.
pub(crate) fn progress_timeout(mean_gap: Duration) -> Duration {
    MIN_PROGRESS_TIMEOUT.max(mean_gap.mul_f64(PROGRESS_TIMEOUT_GAPS)).min(MAX_PROGRESS_TIMEOUT)
}

/// What has stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stall {
    /// The endpoint, while its group makes progress.
    Endpoint,
    /// The whole group, while another serves.
    Group,
}

impl Stall {
    /// Returns what has stalled if a call should be rerouted after this silence. An endpoint's
    /// silence counts only as far as its group has made progress meanwhile.
    pub fn detect(
        silence: Duration,
        group: GroupProgress,
        is_better_elsewhere: bool,
    ) -> Option<Stall> {
        let reroute_after = MIN_REROUTE_AFTER.max(group.mean_gap * REROUTE_PASSES);
        match group.is_live() {
            true if silence.min(group.live_for) >= reroute_after => Some(Stall::Endpoint),
            false if silence >= GROUP_REROUTE_AFTER && is_better_elsewhere => Some(Stall::Group),
            _ => None,
        }
    }
}

/// Measures how long an endpoint with calls in progress has been silent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    silent_since: Option<Duration>,
}

impl Liveness {
    /// Records that a call was sent.
    pub fn on_sent(&mut self, now: Duration) {
        self.silent_since.get_or_insert(now);
    }

    /// Records that the endpoint sent something.
    pub fn on_received(&mut self, now: Duration) {
        self.silent_since = Some(now);
    }

    /// Records that no call is in progress any more.
    pub fn on_idle(&mut self) {
        self.silent_since = None;
    }

    /// How long the endpoint has been silent; zero while it is idle.
    pub fn silent_for(&self, now: Duration) -> Duration {
        self.silent_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether the endpoint seems to have stalled while its group makes progress.
    pub fn is_suspect(&self, group: GroupProgress, now: Duration) -> bool {
        let suspect_after =
            MIN_SUSPECT_AFTER.max(group.mean_gap * SUSPECT_PASSES).min(MAX_SUSPECT_AFTER);
        let silence = self.silent_for(now).min(group.live_for);
        group.is_live() && group.is_ahead_of(silence) && silence >= suspect_after
    }
}
