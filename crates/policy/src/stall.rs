//! Detects endpoints that stall while the rest of their lock-step group makes progress.
//!
//! All ranks of a group complete each pass together, so that a live rank has an event of each
//! running stream whenever the others have one. Connections do not show a stall: the kernel of
//! a frozen machine still accepts them.

use std::time::Duration;

/// Silence after which an endpoint gets no new calls.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// Silence after which calls are rerouted from an endpoint.
const REROUTE_AFTER: Duration = Duration::from_millis(900);

/// Silence after which calls are rerouted from a whole group. Longer than most orphaned holds
/// of a map switch, which end by themselves.
const GROUP_REROUTE_AFTER: Duration = Duration::from_millis(1200);

/// Age up to which an event shows that a group makes progress.
const PROGRESS_LIFE: Duration = Duration::from_millis(250);

/// What has stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stall {
    /// The endpoint, while its group makes progress.
    Endpoint,
    /// The whole group, while another serves.
    Group,
}

impl Stall {
    /// Says what has stalled, if calls should be rerouted for it. Takes the silence that a call
    /// meets, and the age of the last event in its endpoint's group.
    pub fn detect(
        silence: Duration,
        group_silence: Option<Duration>,
        is_better_elsewhere: bool,
    ) -> Option<Stall> {
        match makes_progress(group_silence) {
            true if silence >= REROUTE_AFTER => Some(Stall::Endpoint),
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

    /// Says whether the endpoint seems to have stalled, by the age of the last event in its group.
    pub fn is_suspect(&self, group_silence: Option<Duration>, now: Duration) -> bool {
        makes_progress(group_silence) && self.silent_for(now) >= SUSPECT_AFTER
    }
}

fn makes_progress(group_silence: Option<Duration>) -> bool {
    group_silence.is_some_and(|age| age <= PROGRESS_LIFE)
}
