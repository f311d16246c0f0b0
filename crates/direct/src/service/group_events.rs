//! Events of the groups of a service's endpoints: notices, stream events, responses and refusals.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{Mechanism, experts::GroupState};
use lynxmount_link::{GroupMembersNotice, GroupNotice, MembersFingerprint, SlowRanksNotice};
use lynxmount_policy::{GroupProgress, StreamEvent};

use super::{
    Service,
    inner::{GroupMembers, Inner},
};
use crate::endpoint::Endpoint;

impl Service {
    /// Fingerprint of the known members of a group, if the group belongs to this service.
    pub(crate) fn members_fingerprint(&self, group: &str) -> Option<MembersFingerprint> {
        self.inner.lock().members.get(group).map(|members| members.fingerprint)
    }

    /// Records the members of a group, if they are endpoints of this service.
    pub(crate) fn on_group_members(&self, notice: &GroupMembersNotice) {
        let mut inner = self.inner.lock();
        let is_own = |endpoint: &Arc<Endpoint>| notice.engines.contains(&endpoint.record.address);
        if !inner.endpoints.iter().any(is_own) || !self.mechanisms.has(Mechanism::GroupNotices) {
            return;
        }
        let engines = notice.engines.iter().copied().collect();
        let members = GroupMembers { fingerprint: notice.fingerprint(), engines };
        inner.members.insert(notice.group.as_str().into(), members);
        inner.update_groups();
    }

    /// Applies a notice of a group's state, if the group belongs to this service.
    pub(crate) fn on_group_notice(self: &Arc<Service>, notice: &GroupNotice) {
        let group: Arc<str> = notice.group.as_str().into();
        let mut inner = self.inner.lock();
        let is_own = inner.endpoints.iter().any(|endpoint| endpoint.group() == group);
        if !is_own || !self.mechanisms.has(Mechanism::GroupNotices) {
            return;
        }
        let now = self.now();
        inner.groups.on_pass_time(&group, notice.pass_time, now);
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

    /// Applies a notice of a group's slow ranks, if the group belongs to this service.
    pub(crate) fn on_slow_ranks(&self, notice: &SlowRanksNotice) {
        if !self.mechanisms.has(Mechanism::SlowRanks) {
            return;
        }
        let inner = self.inner.lock();
        let is_slow = |endpoint: &&Arc<Endpoint>| {
            *endpoint.group() == *notice.group && notice.engines.contains(&endpoint.record.address)
        };
        let now = self.now();
        inner.endpoints.iter().filter(is_slow).for_each(|endpoint| endpoint.on_slow(now));
    }

    /// Detects groups that have stalled.
    pub(super) fn detect_blocked(self: &Arc<Service>, inner: &mut Inner, now: Duration) {
        if !self.mechanisms.has(Mechanism::OutageWatch) {
            return;
        }
        for group in inner.groups.detect_blocked(now) {
            log::info!(group; "group blocked");
            self.metrics.count("groups.blocked");
        }
    }

    /// Records an event of a stream in a group, its gap to the previous event, and the longest gap
    /// that meets the objective.
    pub(crate) fn on_stream_event(
        self: &Arc<Service>,
        group: &str,
        gap: Option<Duration>,
        gap_goal: Option<Duration>,
    ) {
        let mut inner = self.inner.lock();
        let group_share = inner.group_share(group).unwrap_or(f64::INFINITY);
        let now = self.now();
        if inner.groups.on_event(group, StreamEvent { gap, gap_goal, group_share }, now) {
            inner.queue.on_service_resumed(now);
            drop(inner);
            log::info!(group; "group resumed");
            self.wake();
        }
    }

    /// The progress of a group.
    pub(crate) fn group_progress(&self, group: &str) -> GroupProgress {
        self.inner.lock().groups.progress(group, self.now())
    }

    /// Whether a group is late and another group is not.
    pub(crate) fn is_better_elsewhere(&self, group: &str) -> bool {
        self.mechanisms.has(Mechanism::GroupChoice)
            && self.inner.lock().groups.is_better_elsewhere(group, self.now())
    }

    /// Records that an endpoint of a group refused a call, which has not run.
    pub(crate) fn on_group_refusal(self: &Arc<Service>, group: &str) {
        if !self.mechanisms.has(Mechanism::OutageWatch) {
            return;
        }
        let probe_at = self.inner.lock().groups.on_refusal(group, self.now());
        if let Some(probe_at) = probe_at {
            log::info!(group; "group paused");
            self.wake_at(probe_at);
        }
    }

    /// Records that an endpoint of a group has responded.
    pub(crate) fn on_group_response(self: &Arc<Service>, group: &str) {
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
