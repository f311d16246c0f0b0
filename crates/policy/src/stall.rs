//! Detects endpoints that stall while the rest of their lock-step group makes progress.
//!
//! All ranks of a group complete each pass together, so that a live rank has an event of each
//! running stream whenever the others have one, and reads its next prompt within a few passes.
//! Connections do not show a stall: the kernel of a frozen machine still accepts them.

use std::time::Duration;

/// Least silence after which an endpoint is suspected, and gets no new calls.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// Passes of its group that an endpoint must have missed to be suspected.
const SUSPECT_PASSES: u32 = 4;

/// Silence after which an endpoint is suspected however slow its group is: callers wait for
/// little longer.
const MAX_SUSPECT_AFTER: Duration = Duration::from_millis(1200);

/// Least silence after which calls are rerouted from an endpoint.
const REROUTE_AFTER: Duration = Duration::from_millis(900);

/// Passes of its group that an endpoint must have missed before its calls are rerouted.
const REROUTE_PASSES: u32 = 5;

/// Silence after which calls are rerouted from a whole group. Longer than most orphaned holds
/// of a map switch, which end by themselves.
const GROUP_REROUTE_AFTER: Duration = Duration::from_millis(1200);

/// Least age up to which an event shows that a group makes progress.
const PROGRESS_LIFE: Duration = Duration::from_millis(250);

/// The same in mean pauses between events, in a slow group.
const PROGRESS_LIFE_PAUSES: f64 = 1.5;

/// Age beyond which no event shows progress, however slow the group is.
const MAX_PROGRESS_LIFE: Duration = Duration::from_millis(1000);

/// What is known of the progress of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupProgress {
    /// The age of the last event in the group; `None` before the first.
    pub silent_for: Option<Duration>,
    /// The mean pause between events of late; zero if it is not known.
    pub mean_gap: Duration,
    /// For how long the group has made progress without a standstill.
    pub live_for: Duration,
}

impl GroupProgress {
    /// Says whether an event shows that the group makes progress.
    pub fn is_live(&self) -> bool {
        self.silent_for.is_some_and(|age| age <= progress_life(self.mean_gap))
    }

    /// Says whether the group has completed a pass since an endpoint was heard.
    fn is_ahead_of(&self, silence: Duration) -> bool {
        self.silent_for.is_some_and(|age| silence >= age + self.mean_gap)
    }
}

/// The age up to which an event shows that a group makes progress, by the mean pause between events.
pub(crate) fn progress_life(pause: Duration) -> Duration {
    PROGRESS_LIFE.max(pause.mul_f64(PROGRESS_LIFE_PAUSES)).min(MAX_PROGRESS_LIFE)
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
    /// Says what has stalled under a call that has met silence for so long, if it should be
    /// rerouted. An endpoint is measured by the time for which its group has made progress.
    pub fn detect(
        silence: Duration,
        group: GroupProgress,
        is_better_elsewhere: bool,
    ) -> Option<Stall> {
        let reroute_after = REROUTE_AFTER.max(group.mean_gap * REROUTE_PASSES);
        match group.is_live() {
            true if silence.min(group.live_for) >= reroute_after => Some(Stall::Endpoint),
            false if silence >= GROUP_REROUTE_AFTER && is_better_elsewhere => Some(Stall::Group),
            _ => None,
        }
    }
}

/// Since when an endpoint with calls in progress has been silent.
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

    /// Says whether the endpoint seems to have stalled while its group makes progress.
    pub fn is_suspect(&self, group: GroupProgress, now: Duration) -> bool {
        let suspect_after =
            SUSPECT_AFTER.max(group.mean_gap * SUSPECT_PASSES).min(MAX_SUSPECT_AFTER);
        let silence = self.silent_for(now).min(group.live_for);
        group.is_live() && group.is_ahead_of(silence) && silence >= suspect_after
    }
}
