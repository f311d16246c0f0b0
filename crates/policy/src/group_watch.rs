//! Whether the groups of a service take work, from what their processes tell and
//! from what their endpoints answer.
//!
//! A group is a failure domain: all ranks of it work or none does, and all are as
//! slow as the slowest. One that is closed takes no calls, one that is late is
//! taken last, and the others go on.

use std::{collections::BTreeMap, time::Duration};

use crate::{GroupProgress, OutageWatch, Pace, PaceClass, PaceLimit, pace_limit::FIRST_MAPS};

/// How long what a group's process has told counts: five of its periods.
const TOLD_LIFE: Duration = Duration::from_secs(1);

/// How much longer than usual a group may take to open again before calls stop
/// waiting for it: it stalls, is found broken and forms, and is told to be open
/// 0.1 to 0.3 s later.
const LATE_OPENING: Duration = Duration::from_millis(500);

/// A group's name. Endpoints whose group is not known are one group without name.
pub type GroupName = String;

/// What has become of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupChange {
    /// It takes no calls any more.
    Closed,
    /// It takes calls again.
    Opened,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    is_open: bool,
    at: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Watched {
    outage: OutageWatch,
    told: Option<Told>,
    closed_since: Option<Duration>,
    opened_at: Option<Duration>,
    pace: Pace,
    limit: PaceLimit,
    /// Calls of this entry in progress.
    running: u32,
}

/// An event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamEvent {
    /// The pause before it; `None` for the first one of a run.
    pub pause: Option<Duration>,
    /// The longest pause that is on time, if the route says so.
    pub goal: Option<Duration>,
    /// This entry's share of what the group may run.
    pub share: f64,
}

impl Watched {
    fn told_open(&self, now: Duration) -> Option<bool> {
        let told = self.told.filter(|told| now < told.at + TOLD_LIFE);
        told.map(|told| told.is_open)
    }

    fn may_send(&self, now: Duration) -> bool {
        // Endpoints of a group that is told to be open refuse because they are full.
        self.told_open(now).unwrap_or_else(|| self.outage.may_send(now))
    }

    fn note_opening(&mut self, now: Duration) {
        self.outage.note_answer();
        self.limit.note_opening(now);
        self.opened_at = Some(now);
    }

    fn out_since(&self, now: Duration) -> Option<Duration> {
        match self.told_open(now) {
            Some(false) => self.closed_since,
            Some(true) => None,
            None => self.outage.since(),
        }
    }
}

/// What is known of a service's groups.
#[derive(Clone, Debug, Default)]
pub struct GroupWatch {
    groups: BTreeMap<GroupName, Watched>,
    /// How long a group usually is closed; `None` for a service without groups.
    usual_outage: Option<Duration>,
    /// The longest pause that is on time, as the last event's route says.
    goal: Option<Duration>,
}

impl GroupWatch {
    /// Sets how long a group that has lost a rank usually is closed.
    pub fn set_usual_outage(&mut self, usual: Option<Duration>) {
        self.usual_outage = usual;
    }

    /// Takes what a group's process has told, and returns what has changed with it.
    pub fn note_told(&mut self, group: &str, is_open: bool, now: Duration) -> Option<GroupChange> {
        let watched = self.watched(group);
        watched.told = Some(Told { is_open, at: now });
        match (is_open, watched.closed_since) {
            (true, Some(_)) => {
                watched.closed_since = None;
                watched.note_opening(now);
                Some(GroupChange::Opened)
            }
            (false, None) => {
                watched.closed_since = Some(now);
                Some(GroupChange::Closed)
            }
            (true, None) | (false, Some(_)) => None,
        }
    }

    /// Takes that an endpoint of a group has refused because it runs nothing.
    /// Returns when a call may be sent there again if an outage begins with it.
    pub fn note_refusal(&mut self, group: &str, now: Duration) -> Option<Duration> {
        let outage = &mut self.watched(group).outage;
        outage.note_refusal(now).then(|| outage.probe_at())
    }

    /// Takes that an endpoint of a group has answered. Returns whether an outage
    /// ends with it.
    pub fn note_answer(&mut self, group: &str, now: Duration) -> bool {
        let watched = self.watched(group);
        let was_out = watched.outage.since().is_some();
        match was_out {
            true => watched.note_opening(now),
            false => watched.outage.note_answer(),
        }
        was_out
    }

    /// Takes that a call is sent to a group. Returns when the next one may be, in
    /// an outage.
    pub fn note_sent(&mut self, group: &str, now: Duration) -> Option<Duration> {
        let watched = self.watched(group);
        watched.running += 1;
        watched.outage.note_sent(now)
    }

    /// Takes that a call that was sent to a group has ended.
    pub fn note_ended(&mut self, group: &str) {
        let watched = self.watched(group);
        watched.running = watched.running.saturating_sub(1);
    }

    /// Takes an event of a stream in a group.
    pub fn note_event(&mut self, group: &str, event: StreamEvent, now: Duration) {
        self.goal = event.goal.or(self.goal);
        let watched = self.watched(group);
        watched.pace.note_event(event.pause, now);
        if let (Some(pause), Some(goal)) = (event.pause, event.goal) {
            let taken = f64::from(watched.running) / event.share.max(1.0);
            watched.limit.note_pause(pause, goal, taken, now);
        }
    }

    /// Takes the time between passes that a group's process tells.
    pub fn note_pass(&mut self, group: &str, pass: Option<Duration>, now: Duration) {
        self.watched(group).pace.note_told(pass, now);
    }

    /// What a stream may expect of a group.
    pub fn pace(&self, group: &str, now: Duration) -> PaceClass {
        let (Some(watched), Some(goal)) = (self.groups.get(group), self.goal) else {
            return PaceClass::OnTime;
        };
        let is_first_maps = watched.opened_at.is_some_and(|at| now < at + FIRST_MAPS);
        match watched.pace.class(goal, watched.running > 0, now) {
            // It gets faster by itself.
            PaceClass::Stalled if is_first_maps => PaceClass::Late,
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
            pause: pace.mean(now).unwrap_or_default(),
            live_for: pace.live_for(now),
        }
    }

    /// Says whether streams of a group would be better off in another.
    pub fn is_better_elsewhere(&self, group: &str, now: Duration) -> bool {
        let own = self.pace(group, now);
        let mut others = self.groups.keys().filter(|other| *other != group);
        others.any(|other| self.may_send(other, now) && self.pace(other, now) < own)
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
    /// are closed; `None` if none of them is expected to, or is late already.
    pub fn opening_by<'a>(
        &self,
        groups: impl Iterator<Item = &'a str>,
        now: Duration,
    ) -> Option<Duration> {
        let usual = self.usual_outage? + LATE_OPENING;
        let out_since = |group| self.groups.get(group)?.out_since(now);
        let first = groups.filter_map(out_since).map(|since| since + usual);
        first.filter(|by| *by > now).min()
    }

    fn watched(&mut self, group: &str) -> &mut Watched {
        self.groups.entry(group.to_owned()).or_default()
    }
}
