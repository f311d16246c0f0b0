//! Health of the groups of a service, from what their processes report and what their endpoints
//! answer.
//!
//! A group is a failure domain: all of its ranks work or none does, and all are as slow as the
//! slowest. One that is down or blocked takes no calls, one that is late is used last, and the
//! others go on.

use std::{collections::BTreeMap, time::Duration};

use lynxmount_core::experts::GroupState;

use crate::{
    AdaptiveConcurrencyLimit, GroupProgress, InterEventLatency, LatencyClass, Liveness,
    OutageDetector, adaptive_concurrency_limit::FIRST_MAPS,
};

/// How long a report of a group's process is valid: five reporting periods.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);

/// How much longer than usual a group may take to open again before calls stop waiting for it: it
/// stalls, is found broken and forms, and is reported open 0.1 to 0.3 s later.
pub const REOPEN_GRACE: Duration = Duration::from_millis(500);

/// Least silence under calls in progress after which a group is blocked, if its process reports
/// nothing. Passes that read many prompts take up to 0.4 s.
const MIN_BLOCKED_AFTER: Duration = Duration::from_millis(700);

/// The same as a multiple of the mean gap between events, for a slow group.
const BLOCKED_GAPS: u32 = 4;

/// Silence after which a group with one call in progress is blocked: a single call also waits
/// because of a long prompt, or in an engine's queue.
const BLOCKED_AFTER_ONE_CALL: Duration = Duration::from_millis(1200);

/// A group's name. Endpoints whose group is not known form one group without a name.
pub type GroupName = String;

#[derive(Clone, Copy, Debug)]
struct StateReport {
    state: GroupState,
    at: Duration,
    /// When the state was first reported.
    since: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Group {
    outage: OutageDetector,
    /// Whether the outage was detected by silence under calls, and not by refusals.
    is_outage_by_silence: bool,
    liveness: Liveness,
    report: Option<StateReport>,
    /// Whether it was reported down and not as serving since.
    was_down: bool,
    opened_at: Option<Duration>,
    latency: InterEventLatency,
    limit: AdaptiveConcurrencyLimit,
    /// This entry's calls in progress.
    running: u32,
}

/// An event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamEvent {
    /// Gap before the event; `None` for the first one of an attempt.
    pub gap: Option<Duration>,
    /// Objective for the longest gap, if the route has one.
    pub gap_goal: Option<Duration>,
    /// This entry's share of the calls that the group may run.
    pub group_share: f64,
}

impl Group {
    fn valid_report(&self, now: Duration) -> Option<StateReport> {
        // An event that the entry has seen is newer than the report.
        let is_refuted =
            |report: &StateReport| report.state == GroupState::Blocked && self.latency.is_live(now);
        self.report.filter(|report| now < report.at + REPORT_VALIDITY && !is_refuted(report))
    }

    /// Whether there was an event after a moment.
    fn has_event_since(&self, moment: Duration, now: Duration) -> bool {
        self.latency.silent_for(now).is_some_and(|age| moment + age < now)
    }

    fn may_send(&self, now: Duration) -> bool {
        // Endpoints of a group that is reported as serving refuse because they are full.
        match self.valid_report(now) {
            Some(report) => report.state == GroupState::Serving,
            None => self.outage.may_send(now),
        }
    }

    fn is_blocked(&self, now: Duration) -> bool {
        match self.valid_report(now) {
            Some(report) => report.state == GroupState::Blocked,
            None => self.is_outage_by_silence && self.outage.since().is_some(),
        }
    }

    fn end_outage(&mut self) {
        self.outage.on_response();
        self.is_outage_by_silence = false;
    }

    fn on_opened(&mut self, now: Duration) {
        self.end_outage();
        self.was_down = false;
        self.limit.on_group_opened(now);
        self.opened_at = Some(now);
    }

    /// When the group went down; `None` while it is blocked, as the duration of that is unknown.
    fn down_since(&self, now: Duration) -> Option<Duration> {
        match self.valid_report(now) {
            Some(report) => Some(report.since).filter(|_| report.state == GroupState::Down),
            None => self.outage.since().filter(|_| !self.is_outage_by_silence),
        }
    }

    /// Whether the group is silent for so long under this entry's calls that it is blocked.
    fn exceeds_blocked_silence(&self, now: Duration) -> bool {
        let least = if self.running < 2 { BLOCKED_AFTER_ONE_CALL } else { MIN_BLOCKED_AFTER };
        self.liveness.silent_for(now) >= least.max(self.latency.last_mean() * BLOCKED_GAPS)
    }
}

/// Health, latency and concurrency limits of a service's groups.
#[derive(Clone, Debug, Default)]
pub struct GroupMonitor {
    groups: BTreeMap<GroupName, Group>,
    /// How long a group usually is closed; `None` for a service without groups.
    usual_outage: Option<Duration>,
    /// Objective for the longest gap, by the route of the last event.
    gap_goal: Option<Duration>,
}

impl GroupMonitor {
    /// Sets how long a group that has lost a rank usually is closed.
    pub fn set_usual_outage(&mut self, usual: Option<Duration>) {
        self.usual_outage = usual;
    }

    /// Records the state that a group's process reports. Returns whether it has changed; a group
    /// without a report counts as serving.
    pub fn on_state_reported(&mut self, group: &str, state: GroupState, now: Duration) -> bool {
        let group = self.group(group);
        let last =
            group.report.filter(|report| !group.has_event_since(report.at + REPORT_VALIDITY, now));
        let has_changed = state != last.map_or(GroupState::Serving, |report| report.state);
        let is_same = |report: &StateReport| !has_changed && now < report.at + REPORT_VALIDITY;
        let since = last.filter(is_same).map_or(now, |report| report.since);
        group.report = Some(StateReport { state, at: now, since });
        match state {
            GroupState::Blocked => {}
            GroupState::Down => group.was_down = true,
            GroupState::Serving if has_changed && group.was_down => group.on_opened(now),
            GroupState::Serving if has_changed => group.end_outage(),
            GroupState::Serving => group.was_down = false,
        }
        has_changed
    }

    /// Finds groups that are silent under all calls of this entry while their processes report
    /// nothing. From then on only one probe at a time is sent to them.
    pub fn detect_blocked(&mut self, now: Duration) -> Vec<GroupName> {
        if self.usual_outage.is_none() {
            return Vec::new();
        }
        let mut blocked = Vec::new();
        for (name, group) in &mut self.groups {
            let is_known = group.valid_report(now).is_some() || group.outage.since().is_some();
            if !is_known && group.exceeds_blocked_silence(now) {
                group.outage.begin(now);
                group.is_outage_by_silence = true;
                blocked.push(name.clone());
            }
        }
        blocked
    }

    /// Records that an endpoint of a group refused a call, which has not run. If an outage begins,
    /// returns when a call may be sent there again.
    pub fn on_refusal(&mut self, group: &str, now: Duration) -> Option<Duration> {
        let outage = &mut self.group(group).outage;
        outage.on_refusal(now).then(|| outage.probe_at())
    }

    /// Records that an endpoint of a group answered. Returns whether that ends an outage.
    pub fn on_response(&mut self, group: &str, now: Duration) -> bool {
        let group = self.group(group);
        group.liveness.on_received(now);
        let was_out = group.outage.since().is_some();
        match was_out {
            true if !group.is_outage_by_silence => group.on_opened(now),
            _ => group.end_outage(),
        }
        was_out
    }

    /// Records that a call is sent to a group. In an outage, returns when the next one may be.
    pub fn on_sent(&mut self, group: &str, now: Duration) -> Option<Duration> {
        let group = self.group(group);
        group.running += 1;
        group.liveness.on_sent(now);
        group.outage.on_sent(now)
    }

    /// Records that a call that was sent to a group has ended.
    pub fn on_call_ended(&mut self, group: &str) {
        let group = self.group(group);
        group.running = group.running.saturating_sub(1);
        if group.running == 0 {
            group.liveness.on_idle();
        }
    }

    /// Records an event of a stream in a group. Returns whether it ends a stall of the group.
    pub fn on_event(&mut self, group: &str, event: StreamEvent, now: Duration) -> bool {
        self.gap_goal = event.gap_goal.or(self.gap_goal);
        let group = self.group(group);
        let was_blocked = group.is_blocked(now);
        if was_blocked {
            group.end_outage();
        }
        group.liveness.on_received(now);
        group.latency.on_event(event.gap, now);
        // The gap of a stall does not show load.
        let gap = event.gap.filter(|_| !was_blocked);
        if let (Some(gap), Some(gap_goal)) = (gap, event.gap_goal) {
            let in_use = f64::from(group.running) / event.group_share.max(1.0);
            group.limit.record_gap(gap, gap_goal, in_use, now);
        }
        was_blocked
    }

    /// Records the time between passes that a group's process reports.
    pub fn on_pass_time(&mut self, group: &str, pass: Option<Duration>, now: Duration) {
        self.group(group).latency.on_reported(pass, now);
    }

    /// The latency class of a group.
    pub fn latency_class(&self, group: &str, now: Duration) -> LatencyClass {
        let (Some(group), Some(gap_goal)) = (self.groups.get(group), self.gap_goal) else {
            return LatencyClass::OnTime;
        };
        let runs_first_maps = group.opened_at.is_some_and(|at| now < at + FIRST_MAPS);
        match group.latency.class(gap_goal, group.running > 0, now) {
            // It becomes faster by itself.
            LatencyClass::Stalled if runs_first_maps => LatencyClass::Late,
            class => class,
        }
    }

    /// Time since the last event of any stream in a group.
    pub fn silent_for(&self, group: &str, now: Duration) -> Option<Duration> {
        self.groups.get(group)?.latency.silent_for(now)
    }

    /// The progress of a group.
    pub fn progress(&self, group: &str, now: Duration) -> GroupProgress {
        let latency = self.groups.get(group).map(|group| group.latency).unwrap_or_default();
        GroupProgress {
            silent_for: latency.silent_for(now),
            mean_gap: latency.mean(now).unwrap_or_default(),
            live_for: latency.live_for(now),
        }
    }

    /// Whether another open group has a better latency class than this one.
    pub fn is_better_elsewhere(&self, group: &str, now: Duration) -> bool {
        let own = self.latency_class(group, now);
        let mut others = self.groups.keys().filter(|other| *other != group);
        others.any(|other| self.may_send(other, now) && self.latency_class(other, now) < own)
    }

    /// Whether this entry has reached its concurrency limit for a group, by its share of the calls
    /// that the group may run.
    pub fn is_at_limit(&self, group: &str, share: f64) -> bool {
        let Some(group) = self.groups.get(group) else { return false };
        f64::from(group.running) >= share * group.limit.fraction()
    }

    /// The part of a group's capacity that its concurrency limit allows, from 0 to 1.
    pub fn limit_fraction(&self, group: &str) -> f64 {
        self.groups.get(group).map_or(1.0, |group| group.limit.fraction())
    }

    /// Whether a call may be sent to a group.
    pub fn may_send(&self, group: &str, now: Duration) -> bool {
        self.groups.get(group).is_none_or(|group| group.may_send(now))
    }

    /// Until when a call may wait for one of these closed groups to open; `None` if none is
    /// expected to, or all are late already.
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

    fn group(&mut self, name: &str) -> &mut Group {
        self.groups.entry(name.to_owned()).or_default()
    }
}
