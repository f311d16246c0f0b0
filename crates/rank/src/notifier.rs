//! Publishing the state of the own group to the entries that subscribe to it.
//!
//! Subscriptions are soft state: an entry renews its own by asking again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::PassTimeTracker;
use lynxmount_core::{
    Clock, Mechanism, Mechanisms,
    experts::{GroupMembership, GroupState, GroupStep},
};
use lynxmount_link::{
    GroupMembersNotice, GroupMessage, GroupNotice, MembersFingerprint, SUBSCRIPTION_TTL,
    SlowRanksNotice, receive_datagrams,
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::net::UdpSocket;

use crate::{discovery::Discovery, leadership::Leadership, rank_states::RankStates};

/// How often the group's state is checked: as often as the own engine is polled.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// How often an unchanged state is published. At the entries it expires after a second.
const REPEAT_PERIOD: Duration = Duration::from_millis(250);

/// A group with work that begins no pass for this long counts as blocked. A switch of the expert
/// map holds it for some 20 ms, and passes with many prompt tokens take up to 0.4 s.
const BLOCKED_AFTER: Duration = Duration::from_millis(500);

/// The same time in passes, for slow groups.
const BLOCKED_AFTER_PASSES: u32 = 4;

/// How long a blocked group that has become idle still counts as blocked at most, while the
/// state of some ranks is unknown.
const MAX_IDLE_BLOCKED_TIME: Duration = Duration::from_secs(10);

/// The largest subscription datagram.
const MAX_SUBSCRIPTION_BYTES: usize = 64;

/// The largest number of subscribed entries.
const MAX_SUBSCRIBERS: usize = 4096;

/// Publishes the group's state while this process is the leader.
pub(crate) struct Notifier {
    pub(crate) socket: UdpSocket,
    pub(crate) leadership: Arc<Leadership>,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) rank_states: Arc<Mutex<RankStates>>,
    pub(crate) clock: Clock,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) metrics: Arc<Metrics>,
    /// The subscribed entries.
    pub(crate) subscribers: Mutex<BTreeMap<SocketAddr, Subscription>>,
}

/// Tracks the group's progress from one check to the next.
#[derive(Default)]
struct ProgressTracker {
    pass_time: PassTimeTracker,
    /// The last step before the group blocked, and since when it is blocked.
    blocked: Option<(GroupStep, Duration)>,
}

impl ProgressTracker {
    /// Whether the group has been blocked at a step for less than [`MAX_IDLE_BLOCKED_TIME`].
    fn is_blocked_at(&self, step: GroupStep, now: Duration) -> bool {
        self.blocked.is_some_and(|(at, since)| at == step && now < since + MAX_IDLE_BLOCKED_TIME)
    }
}

/// An entry's subscription.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subscription {
    /// When it was last renewed.
    at: Instant,
    /// The members that the entry knows: as it said, or as they were sent to it later.
    members: MembersFingerprint,
}

impl Notifier {
    /// Accepts subscriptions until the task is dropped.
    pub(crate) async fn listen(self: Arc<Notifier>) {
        receive_datagrams(
            &self.socket,
            MAX_SUBSCRIPTION_BYTES,
            GroupMessage::decode,
            |peer, message| {
                if let Ok(GroupMessage::Subscribe { members }) = message {
                    self.subscribe(peer, members);
                }
            },
        )
        .await;
    }

    /// Adds or renews a subscription. While [`MAX_SUBSCRIBERS`] are subscribed, others are ignored.
    fn subscribe(&self, entry: SocketAddr, members: MembersFingerprint) {
        let subscription = Subscription { at: Instant::now(), members };
        let mut subscribers = self.subscribers.lock();
        if subscribers.len() >= MAX_SUBSCRIBERS && !subscribers.contains_key(&entry) {
            subscribers.retain(|_, subscription| subscription.at.elapsed() < SUBSCRIPTION_TTL);
            if subscribers.len() >= MAX_SUBSCRIBERS {
                self.metrics.count("subscriptions.ignored");
                log::warn!(entry:% = entry; "subscription ignored");
                return;
            }
        }
        subscribers.insert(entry, subscription);
    }

    /// Publishes until the task is dropped.
    pub(crate) async fn run(self: Arc<Notifier>) {
        let mut last_sent: Option<(GroupNotice, Instant)> = None;
        let mut last_slow: Option<(SlowRanksNotice, Instant)> = None;
        let mut tracker = ProgressTracker::default();
        loop {
            tokio::time::sleep(CHECK_PERIOD).await;
            let Some(notice) = self.notice(&mut tracker) else {
                last_sent = None;
                continue;
            };
            let is_current = last_sent.as_ref().is_some_and(|(last, at)| {
                last.state == notice.state && at.elapsed() < REPEAT_PERIOD
            });
            self.send_members(&notice.group).await;
            self.send_slow_ranks(&notice.group, &mut last_slow).await;
            if !is_current {
                self.send(&GroupMessage::Notice(notice.clone()), &self.live_subscribers()).await;
                last_sent = Some((notice, Instant::now()));
            }
        }
    }

    /// The notice to publish; `None` if this process is not the leader or the state is unknown.
    fn notice(&self, tracker: &mut ProgressTracker) -> Option<GroupNotice> {
        let now = self.clock.now();
        let (membership, progress, may_begin_step) = {
            let rank_states = self.rank_states.lock();
            (rank_states.own_membership()?, rank_states.progress()?, rank_states.may_begin_step())
        };
        tracker.pass_time.record(progress.epoch, progress.step, progress.is_working, now);
        let state = match state(&membership, &tracker.pass_time, now) {
            // The group looks idle only because entries have withdrawn their calls from it.
            GroupState::Serving if tracker.is_blocked_at(progress.step, now) && !may_begin_step => {
                GroupState::Blocked
            }
            state => state,
        };
        let since = tracker.blocked.filter(|(step, _)| *step == progress.step);
        let since = since.map_or(now, |(_, since)| since);
        tracker.blocked = (state == GroupState::Blocked).then_some((progress.step, since));
        if !self.leadership.is_leader() {
            return None;
        }
        let pass_time = tracker.pass_time.current(now);
        Some(GroupNotice { group: membership.group, state, pass_time })
    }

    /// Sends the group's members to subscribers that know others. A subscriber that misses the
    /// datagram says so when it renews its subscription.
    async fn send_members(&self, group: &str) {
        let engines = self.discovery.engines();
        let members = GroupMembersNotice { group: group.to_owned(), engines };
        let fingerprint = members.fingerprint();
        let outdated: Vec<SocketAddr> = {
            let mut subscribers = self.subscribers.lock();
            let outdated = subscribers
                .iter_mut()
                .filter(|(_, subscription)| subscription.members != fingerprint);
            outdated
                .map(|(entry, subscription)| {
                    subscription.members = fingerprint;
                    *entry
                })
                .collect()
        };
        if !outdated.is_empty() {
            self.send(&GroupMessage::Members(members), &outdated).await;
        }
    }

    /// Sends the slow ranks if there are any, when they change and periodically.
    async fn send_slow_ranks(&self, group: &str, last: &mut Option<(SlowRanksNotice, Instant)>) {
        if !self.mechanisms.has(Mechanism::SlowRanks) {
            return;
        }
        let engines = self.rank_states.lock().slow_engines();
        let notice = SlowRanksNotice { group: group.to_owned(), engines };
        let is_current =
            last.as_ref().is_some_and(|(last, at)| *last == notice && at.elapsed() < REPEAT_PERIOD);
        if notice.engines.is_empty() || is_current {
            return;
        }
        *last = Some((notice.clone(), Instant::now()));
        self.send(&GroupMessage::SlowRanks(notice), &self.live_subscribers()).await;
    }

    async fn send(&self, message: &GroupMessage, entries: &[SocketAddr]) {
        let datagram = match message.encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(error:% = error; "group notice encoding failed");
                return;
            }
        };
        for entry in entries {
            if let Err(error) = self.socket.send_to(&datagram, *entry).await {
                log::debug!(peer:% = *entry, error:% = error; "group notice send failed");
            }
        }
    }

    /// The entries whose subscription has not expired. Removes the others.
    fn live_subscribers(&self) -> Vec<SocketAddr> {
        let mut subscribers = self.subscribers.lock();
        subscribers.retain(|_, subscription| subscription.at.elapsed() < SUBSCRIPTION_TTL);
        subscribers.keys().copied().collect()
    }
}

/// The state of a group, by its membership and the time since its last pass.
fn state(membership: &GroupMembership, pass_time: &PassTimeTracker, now: Duration) -> GroupState {
    let passes = pass_time.latest().unwrap_or_default() * BLOCKED_AFTER_PASSES;
    match pass_time.stalled_for(now) >= BLOCKED_AFTER.max(passes) {
        _ if !membership.is_open => GroupState::Down,
        true => GroupState::Blocked,
        false => GroupState::Serving,
    }
}
