//! Telling entries the state of the own group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::PassTimeTracker;
use lynxmount_core::{
    Clock,
    experts::{GroupState, GroupStep, Membership},
};
use lynxmount_link::{
    ASKED_FOR, GroupMembersNotice, GroupMessage, GroupNotice, MembersFingerprint, receive,
};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

use crate::{beliefs::Beliefs, duty::Duty, members::Members};

/// How often it is looked whether the group has opened or closed: as often as the
/// own engine is read.
const PERIOD: Duration = Duration::from_millis(100);

/// How often a state that has not changed is told: entries believe it for a second.
const REPEAT_PERIOD: Duration = Duration::from_millis(250);

/// How long a group that works must have begun no pass to be blocked. A change of map holds it for
/// some 20 ms, and passes that read many prompts take up to 0.4 s.
const BLOCKED_AFTER: Duration = Duration::from_millis(500);

/// The same in passes, in a slow group.
const BLOCKED_PASSES: u32 = 4;

/// How long a group that looks idle stays blocked at most, if ranks of it are not heard.
const MAX_BLOCKED: Duration = Duration::from_secs(10);

/// The largest asking, in bytes.
const MAX_ASKING_BYTES: usize = 64;

/// Tells entries of the own group as long as this process balances it.
pub(crate) struct Notifier {
    pub(crate) socket: UdpSocket,
    pub(crate) duty: Arc<Duty>,
    pub(crate) members: Arc<Members>,
    pub(crate) beliefs: Arc<Mutex<Beliefs>>,
    pub(crate) clock: Clock,
    /// Entries that have asked.
    pub(crate) asked: Mutex<BTreeMap<SocketAddr, Asking>>,
}

/// What is kept of the group's progress from one look to the next.
#[derive(Default)]
struct GroupProgress {
    pass_time: PassTimeTracker,
    /// The step after which the group stands still, and since when it does.
    blocked: Option<(GroupStep, Duration)>,
}

impl GroupProgress {
    /// Says whether the group was found blocked at a step, not too long ago.
    fn is_blocked_at(&self, step: GroupStep, now: Duration) -> bool {
        self.blocked.is_some_and(|(at, since)| at == step && now < since + MAX_BLOCKED)
    }
}

/// What an entry has asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asking {
    at: Instant,
    /// Which members of the group it knew, or has been told since.
    members: MembersFingerprint,
}

impl Notifier {
    /// Takes askings until the task is dropped.
    pub(crate) async fn listen(self: Arc<Notifier>) {
        receive(&self.socket, MAX_ASKING_BYTES, GroupMessage::decode, |peer, message| {
            if let Ok(GroupMessage::Ask { members }) = message {
                self.asked.lock().insert(peer, Asking { at: Instant::now(), members });
            }
        })
        .await;
    }

    /// Tells until the task is dropped.
    pub(crate) async fn run(self: Arc<Notifier>) {
        let mut told: Option<(GroupNotice, Instant)> = None;
        let mut progress = GroupProgress::default();
        loop {
            tokio::time::sleep(PERIOD).await;
            let Some(notice) = self.notice(&mut progress) else {
                told = None;
                continue;
            };
            let is_told = told.as_ref().is_some_and(|(last, at)| {
                last.state == notice.state && at.elapsed() < REPEAT_PERIOD
            });
            self.tell_members(&notice.group).await;
            if !is_told {
                self.tell(&GroupMessage::Notice(notice.clone()), &self.entries()).await;
                told = Some((notice, Instant::now()));
            }
        }
    }

    /// The state of the own group, if this process is to tell it.
    fn notice(&self, seen: &mut GroupProgress) -> Option<GroupNotice> {
        let now = self.clock.now();
        let (membership, progress, may_go_on) = {
            let beliefs = self.beliefs.lock();
            (beliefs.own_membership()?, beliefs.progress()?, beliefs.may_begin_pass())
        };
        seen.pass_time.record(progress.epoch, progress.step, progress.is_working, now);
        let state = match state(&membership, &seen.pass_time, now) {
            // Entries have taken their calls back, so that it looks idle.
            GroupState::Serving if seen.is_blocked_at(progress.step, now) && !may_go_on => {
                GroupState::Blocked
            }
            state => state,
        };
        let since = seen.blocked.filter(|(step, _)| *step == progress.step);
        let since = since.map_or(now, |(_, since)| since);
        seen.blocked = (state == GroupState::Blocked).then_some((progress.step, since));
        if !self.duty.is_leading() {
            return None;
        }
        let pass = seen.pass_time.current(now);
        Some(GroupNotice { group: membership.group, state, pass })
    }

    /// Tells who the ranks are to entries that know others. One that does not get it
    /// asks again.
    async fn tell_members(&self, group: &str) {
        let engines = self.members.engines();
        let members = GroupMembersNotice { group: group.to_owned(), engines };
        let fingerprint = members.fingerprint();
        let lacking: Vec<SocketAddr> = {
            let mut asked = self.asked.lock();
            let lacking = asked.iter_mut().filter(|(_, asking)| asking.members != fingerprint);
            lacking
                .map(|(entry, asking)| {
                    asking.members = fingerprint;
                    *entry
                })
                .collect()
        };
        if !lacking.is_empty() {
            self.tell(&GroupMessage::Members(members), &lacking).await;
        }
    }

    async fn tell(&self, message: &GroupMessage, entries: &[SocketAddr]) {
        let datagram = match message.encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(error:% = error; "a notice can't be written");
                return;
            }
        };
        for entry in entries {
            if let Err(error) = self.socket.send_to(&datagram, *entry).await {
                log::debug!(peer:% = *entry, error:% = error; "a notice was not sent");
            }
        }
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let mut asked = self.asked.lock();
        asked.retain(|_, asking| asking.at.elapsed() < ASKED_FOR);
        asked.keys().copied().collect()
    }
}

/// What the group does with calls, by its ranks and the passes that it has begun.
fn state(membership: &Membership, pass_time: &PassTimeTracker, now: Duration) -> GroupState {
    let passes = pass_time.latest().unwrap_or_default() * BLOCKED_PASSES;
    match pass_time.stalled_for(now) >= BLOCKED_AFTER.max(passes) {
        _ if !membership.is_open => GroupState::Down,
        true => GroupState::Blocked,
        false => GroupState::Serving,
    }
}
