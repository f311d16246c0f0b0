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

/// Least silence after which calls are rerouted from an endpoint.
const REROUTE_AFTER: Duration = Duration::from_millis(900);

/// Passes of its group that an endpoint must have missed before its calls are rerouted.
const REROUTE_PASSES: u32 = 5;

/// Silence after which calls are rerouted from a whole group. Longer than most orphaned holds
/// of a map switch, which end by themselves.
const GROUP_REROUTE_AFTER: Duration = Duration::from_millis(1200);

/// Age up to which an event shows that a group makes progress.
const PROGRESS_LIFE: Duration = Duration::from_millis(250);

/// What is known of the progress of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupProgress {
    /// The age of the last event in the group; `None` before the first.
    pub silent_for: Option<Duration>,
    /// The mean pause between events of late; zero if it is not known.
    pub pause: Duration,
}

impl GroupProgress {
    /// Says whether an event shows that the group makes progress.
    pub fn is_live(&self) -> bool {
        self.silent_for.is_some_and(|age| age <= PROGRESS_LIFE)
    }
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
    /// rerouted.
    pub fn detect(
        silence: Duration,
        group: GroupProgress,
        is_better_elsewhere: bool,
    ) -> Option<Stall> {
        let reroute_after = REROUTE_AFTER.max(group.pause * REROUTE_PASSES);
        match group.is_live() {
            true if silence >= reroute_after => Some(Stall::Endpoint),
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
    pub fn on_heard(&mut self, now: Duration) {
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
        let suspect_after = SUSPECT_AFTER.max(group.pause * SUSPECT_PASSES);
        group.is_live() && self.silent_for(now) >= suspect_after
    }
}
