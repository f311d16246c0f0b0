//! What a service hears of the groups of its endpoints.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{Mechanism, experts::GroupState};
use lynxmount_link::{GroupMembersNotice, GroupNotice, MembersFingerprint};
use lynxmount_policy::{GroupProgress, StreamEvent};

use super::{
    Service,
    inner::{Inner, Members},
};
use crate::endpoint::Endpoint;

impl Service {
    /// Which members of a group are known, if it is of this service.
    pub(crate) fn known_members(&self, group: &str) -> Option<MembersFingerprint> {
        self.inner.lock().members.get(group).map(|members| members.fingerprint)
    }

    /// Takes who the ranks of a group are, if they are endpoints of this service.
    pub(crate) fn note_members(&self, told: &GroupMembersNotice) {
        let mut inner = self.inner.lock();
        let is_own = |endpoint: &Arc<Endpoint>| told.engines.contains(&endpoint.record.address);
        if !inner.endpoints.iter().any(is_own) || !self.mechanisms.has(Mechanism::GroupNotices) {
            return;
        }
        let engines = told.engines.iter().copied().collect();
        let members = Members { fingerprint: told.fingerprint(), engines };
        inner.members.insert(told.group.as_str().into(), members);
        inner.note_groups();
    }

    /// Takes what a group's process tells, if the group is of this service.
    pub(crate) fn note_notice(self: &Arc<Service>, notice: &GroupNotice) {
        let group: Arc<str> = notice.group.as_str().into();
        let mut inner = self.inner.lock();
        let is_own = inner.endpoints.iter().any(|endpoint| endpoint.group() == group);
        if !is_own || !self.mechanisms.has(Mechanism::GroupNotices) {
            return;
        }
        let now = self.now();
        inner.groups.on_pass_time(&group, notice.pass, now);
        if !inner.groups.on_state_reported(&group, notice.state, now) {
            return;
        }
        log::info!(group = &*group, state:? = notice.state; "group state received");
        if notice.state == GroupState::Serving {
            inner.queue.on_service_resumed(now);
            drop(inner);
            self.wake();
        }
    }

    /// Looks for groups that stand still.
    pub(super) fn detect_blocked(self: &Arc<Service>, inner: &mut Inner, now: Duration) {
        if !self.mechanisms.has(Mechanism::OutageWatch) {
            return;
        }
        for group in inner.groups.detect_blocked(now) {
            log::info!(group; "group blocked");
            self.metrics.count("groups.blocked");
        }
    }

    /// Takes an event of a stream in a group, how long after the one before, and the
    /// longest pause that is on time.
    pub(crate) fn note_event(
        self: &Arc<Service>,
        group: &str,
        pause: Option<Duration>,
        goal: Option<Duration>,
    ) {
        let mut inner = self.inner.lock();
        let share = inner.group_share(group).unwrap_or(f64::INFINITY);
        let now = self.now();
        if inner.groups.on_event(
            group,
            StreamEvent { gap: pause, gap_goal: goal, group_share: share },
            now,
        ) {
            inner.queue.on_service_resumed(now);
            drop(inner);
            log::info!(group; "group resumed");
            self.wake();
        }
    }

    /// What is known of a group's progress.
    pub(crate) fn group_progress(&self, group: &str) -> GroupProgress {
        self.inner.lock().groups.progress(group, self.now())
    }

    /// Says whether a group is late and another is not.
    pub(crate) fn is_better_elsewhere(&self, group: &str) -> bool {
        self.mechanisms.has(Mechanism::GroupChoice)
            && self.inner.lock().groups.is_better_elsewhere(group, self.now())
    }

    /// Notes that an endpoint of a group has refused because it runs nothing.
    pub(crate) fn note_refusal(self: &Arc<Service>, group: &str) {
        if !self.mechanisms.has(Mechanism::OutageWatch) {
            return;
        }
        let begins = self.inner.lock().groups.on_refusal(group, self.now());
        if let Some(probe_at) = begins {
            log::info!(group; "group paused");
            self.wake_at(probe_at);
        }
    }

    /// Notes that an endpoint of a group has answered.
    pub(crate) fn note_answer(self: &Arc<Service>, group: &str) {
        let mut inner = self.inner.lock();
        let now = self.now();
        if inner.groups.on_response(group, now) {
            inner.queue.on_service_resumed(now);
            drop(inner);
            log::info!(group; "group resumed");
            self.wake();
        }
    }
}
