//! Whether the groups of a service take work, from what their processes tell and
//! from what their endpoints answer.
//!
//! A group is a failure domain: all ranks of it work or none does, and all are as
//! slow as the slowest. One that is down or blocked takes no calls, one that is late is
//! taken last, and the others go on.

use std::{collections::BTreeMap, time::Duration};

use lynxmount_core::experts::GroupState;

use crate::{
    AdaptiveConcurrencyLimit, GroupProgress, InterEventLatency, LatencyClass, Liveness,
    OutageDetector, adaptive_concurrency_limit::FIRST_MAPS,
};

/// How long what a group's process has told counts: five of its periods.
const TOLD_LIFE: Duration = Duration::from_secs(1);

/// How much longer than usual a group may take to open again before calls stop
/// waiting for it: it stalls, is found broken and forms, and is told to be open
/// 0.1 to 0.3 s later.
pub const REOPEN_GRACE: Duration = Duration::from_millis(500);

/// Least silence under calls in progress after which a group is blocked, if its process tells
/// nothing. Passes that read many prompts take up to 0.4 s.
const BLOCKED_AFTER: Duration = Duration::from_millis(700);

/// The same in mean pauses between events, in a slow group.
const BLOCKED_PAUSES: u32 = 4;

/// Silence after which a group with one call in progress is blocked: a long prompt, or a place in
/// an engine's queue, keeps one call waiting.
const BLOCKED_AFTER_ONE: Duration = Duration::from_millis(1200);

/// A group's name. Endpoints whose group is not known are one group without name.
pub type GroupName = String;

#[derive(Clone, Copy, Debug)]
struct Told {
    state: GroupState,
    at: Duration,
    /// When the state was first told.
    since: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Watched {
    outage: OutageDetector,
    /// Whether the outage began with silence under calls, and not with refusals.
    is_silent: bool,
    liveness: Liveness,
    told: Option<Told>,
    /// Whether it was told to be down and has not been told to serve since.
    was_down: bool,
    opened_at: Option<Duration>,
    pace: InterEventLatency,
    limit: AdaptiveConcurrencyLimit,
    /// Calls of this entry in progress.
    running: u32,
}

/// An event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamEvent {
    /// The pause before it; `None` for the first one of a run.
    pub gap: Option<Duration>,
    /// The longest pause that is on time, if the route says so.
    pub gap_goal: Option<Duration>,
    /// This entry's share of what the group may run.
    pub group_share: f64,
}

impl Watched {
    fn told(&self, now: Duration) -> Option<Told> {
        // An event that the entry has seen is newer than what was told.
        let is_refuted = |told: &Told| told.state == GroupState::Blocked && self.pace.is_live(now);
        self.told.filter(|told| now < told.at + TOLD_LIFE && !is_refuted(told))
    }

    /// Says whether there was an event after a moment.
    fn is_heard_since(&self, moment: Duration, now: Duration) -> bool {
        self.pace.silent_for(now).is_some_and(|age| moment + age < now)
    }

    fn may_send(&self, now: Duration) -> bool {
        // Endpoints of a group that is told to serve refuse because they are full.
        match self.told(now) {
            Some(told) => told.state == GroupState::Serving,
            None => self.outage.may_send(now),
        }
    }

    fn is_blocked(&self, now: Duration) -> bool {
        match self.told(now) {
            Some(told) => told.state == GroupState::Blocked,
            None => self.is_silent && self.outage.since().is_some(),
        }
    }

    fn end_outage(&mut self) {
        self.outage.on_response();
        self.is_silent = false;
    }

    fn note_opening(&mut self, now: Duration) {
        self.end_outage();
        self.was_down = false;
        self.limit.on_group_opened(now);
        self.opened_at = Some(now);
    }

    /// Since when the group has been down; `None` while it is blocked, as nobody knows for how long.
    fn down_since(&self, now: Duration) -> Option<Duration> {
        match self.told(now) {
            Some(told) => Some(told.since).filter(|_| told.state == GroupState::Down),
            None => self.outage.since().filter(|_| !self.is_silent),
        }
    }

    fn is_silent_for_long(&self, now: Duration) -> bool {
        let least = if self.running < 2 { BLOCKED_AFTER_ONE } else { BLOCKED_AFTER };
        self.liveness.silent_for(now) >= least.max(self.pace.last_mean() * BLOCKED_PAUSES)
    }
}

/// What is known of a service's groups.
#[derive(Clone, Debug, Default)]
pub struct GroupMonitor {
    groups: BTreeMap<GroupName, Watched>,
    /// How long a group usually is closed; `None` for a service without groups.
    usual_outage: Option<Duration>,
    /// The longest pause that is on time, as the last event's route says.
    goal: Option<Duration>,
}

impl GroupMonitor {
    /// Sets how long a group that has lost a rank usually is closed.
    pub fn set_usual_outage(&mut self, usual: Option<Duration>) {
        self.usual_outage = usual;
    }

    /// Takes what a group's process has told. Returns whether that has changed; a group whose
    /// process has told nothing is taken to serve.
    pub fn on_state_reported(&mut self, group: &str, state: GroupState, now: Duration) -> bool {
        let watched = self.watched(group);
        let last = watched.told.filter(|told| !watched.is_heard_since(told.at + TOLD_LIFE, now));
        let has_changed = state != last.map_or(GroupState::Serving, |told| told.state);
        let is_same = |told: &Told| !has_changed && now < told.at + TOLD_LIFE;
        let since = last.filter(is_same).map_or(now, |told| told.since);
        watched.told = Some(Told { state, at: now, since });
        match state {
            GroupState::Blocked => {}
            GroupState::Down => watched.was_down = true,
            GroupState::Serving if has_changed && watched.was_down => watched.note_opening(now),
            GroupState::Serving if has_changed => watched.end_outage(),
            GroupState::Serving => watched.was_down = false,
        }
        has_changed
    }

    /// Finds groups that are silent under all calls of this entry, and whose processes tell
    /// nothing. They are sent one call at a time from then on.
    pub fn detect_blocked(&mut self, now: Duration) -> Vec<GroupName> {
        if self.usual_outage.is_none() {
            return Vec::new();
        }
        let mut blocked = Vec::new();
        for (group, watched) in &mut self.groups {
            let is_known = watched.told(now).is_some() || watched.outage.since().is_some();
            if !is_known && watched.is_silent_for_long(now) {
                watched.outage.begin(now);
                watched.is_silent = true;
                blocked.push(group.clone());
            }
        }
        blocked
    }

    /// Takes that an endpoint of a group has refused because it runs nothing.
    /// Returns when a call may be sent there again if an outage begins with it.
    pub fn on_refusal(&mut self, group: &str, now: Duration) -> Option<Duration> {
        let outage = &mut self.watched(group).outage;
        outage.on_refusal(now).then(|| outage.probe_at())
    }

    /// Takes that an endpoint of a group has answered. Returns whether an outage
    /// ends with it.
    pub fn on_response(&mut self, group: &str, now: Duration) -> bool {
        let watched = self.watched(group);
        watched.liveness.on_received(now);
        let was_out = watched.outage.since().is_some();
        match was_out {
            true if !watched.is_silent => watched.note_opening(now),
            _ => watched.end_outage(),
        }
        was_out
    }

    /// Takes that a call is sent to a group. Returns when the next one may be, in
    /// an outage.
    pub fn on_sent(&mut self, group: &str, now: Duration) -> Option<Duration> {
        let watched = self.watched(group);
        watched.running += 1;
        watched.liveness.on_sent(now);
        watched.outage.on_sent(now)
    }

    /// Takes that a call that was sent to a group has ended.
    pub fn on_call_ended(&mut self, group: &str) {
        let watched = self.watched(group);
        watched.running = watched.running.saturating_sub(1);
        if watched.running == 0 {
            watched.liveness.on_idle();
        }
    }

    /// Takes an event of a stream in a group. Returns whether a standstill of the group ends with
    /// it.
    pub fn on_event(&mut self, group: &str, event: StreamEvent, now: Duration) -> bool {
        self.goal = event.gap_goal.or(self.goal);
        let watched = self.watched(group);
        let was_blocked = watched.is_blocked(now);
        if was_blocked {
            watched.end_outage();
        }
        watched.liveness.on_received(now);
        watched.pace.on_event(event.gap, now);
        // The pause of a standstill says nothing of load.
        let pause = event.gap.filter(|_| !was_blocked);
        if let (Some(pause), Some(goal)) = (pause, event.gap_goal) {
            let taken = f64::from(watched.running) / event.group_share.max(1.0);
            watched.limit.record_gap(pause, goal, taken, now);
        }
        was_blocked
    }

    /// Takes the time between passes that a group's process tells.
    pub fn on_pass_time(&mut self, group: &str, pass: Option<Duration>, now: Duration) {
        self.watched(group).pace.on_reported(pass, now);
    }

    /// What a stream may expect of a group.
    pub fn latency_class(&self, group: &str, now: Duration) -> LatencyClass {
        let (Some(watched), Some(goal)) = (self.groups.get(group), self.goal) else {
            return LatencyClass::OnTime;
        };
        let is_first_maps = watched.opened_at.is_some_and(|at| now < at + FIRST_MAPS);
        match watched.pace.class(goal, watched.running > 0, now) {
            // It gets faster by itself.
            LatencyClass::Stalled if is_first_maps => LatencyClass::Late,
            class => class,
        }
    }

    /// How long ago the last event of any stream in a group was.
    pub fn silent_for(&self, group: &str, now: Duration) -> Option<Duration> {
        self.groups.get(group)?.pace.silent_for(now)
    }

    /// What is known of a group's progress.
    pub fn progress(&self, group: &str, now: Duration) -> GroupProgress {
        let pace = self.groups.get(group).map(|watched| watched.pace).unwrap_or_default();
        GroupProgress {
            silent_for: pace.silent_for(now),
            mean_gap: pace.mean(now).unwrap_or_default(),
            live_for: pace.live_for(now),
        }
    }

    /// Says whether streams of a group would be better off in another.
    pub fn is_better_elsewhere(&self, group: &str, now: Duration) -> bool {
        let own = self.latency_class(group, now);
        let mut others = self.groups.keys().filter(|other| *other != group);
        others.any(|other| self.may_send(other, now) && self.latency_class(other, now) < own)
    }

    /// Says whether this entry runs as much in a group as the pauses there allow, of
    /// its share of what the group may run.
    pub fn is_at_limit(&self, group: &str, share: f64) -> bool {
        let Some(watched) = self.groups.get(group) else { return false };
        f64::from(watched.running) >= share * watched.limit.fraction()
    }

    /// Says whether a call may be sent to a group.
    pub fn may_send(&self, group: &str, now: Duration) -> bool {
        self.groups.get(group).is_none_or(|watched| watched.may_send(now))
    }

    /// Until when a call may wait for one of these groups to open, all of which
    /// take no calls; `None` if none of them is expected to, or is late already.
    pub fn expected_open_by<'a>(
        &self,
        groups: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> Option<Duration> {
        let usual = self.usual_outage? + REOPEN_GRACE;
        let down_since = |group| self.groups.get(group)?.down_since(now);
        let first = groups.filter_map(down_since).map(|since| since + usual);
        first.filter(|by| *by > now).min()
    }

    fn watched(&mut self, group: &str) -> &mut Watched {
        self.groups.entry(group.to_owned()).or_default()
    }
}
