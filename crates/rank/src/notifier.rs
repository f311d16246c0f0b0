//! Telling entries the state of the own group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::PassTime;
use lynxmount_core::Clock;
use lynxmount_link::{ASKED_FOR, GroupMessage, GroupNotice, receive};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

use crate::{beliefs::Beliefs, duty::Duty, members::Members};

/// How often it is looked whether the group has opened or closed: as often as the
/// own engine is read.
const PERIOD: Duration = Duration::from_millis(100);

/// How often a state that has not changed is told: entries believe it for a second.
const REPEAT_PERIOD: Duration = Duration::from_millis(250);

/// The largest asking, in bytes.
const MAX_ASKING_BYTES: usize = 64;

/// Tells entries of the own group as long as this process balances it.
pub(crate) struct Notifier {
    pub(crate) socket: UdpSocket,
    pub(crate) duty: Arc<Duty>,
    pub(crate) members: Arc<Members>,
    pub(crate) beliefs: Arc<Mutex<Beliefs>>,
    pub(crate) clock: Clock,
    /// Entries that have asked, and when.
    pub(crate) asked: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Notifier {
    /// Takes askings until the task is dropped.
    pub(crate) async fn listen(self: Arc<Notifier>) {
        receive(&self.socket, MAX_ASKING_BYTES, GroupMessage::decode, |peer, message| {
            if let Ok(GroupMessage::Ask) = message {
                self.asked.lock().insert(peer, Instant::now());
            }
        })
        .await;
    }

    /// Tells until the task is dropped.
    pub(crate) async fn run(self: Arc<Notifier>) {
        let mut told: Option<(GroupNotice, Instant)> = None;
        let mut pass_time = PassTime::default();
        loop {
            tokio::time::sleep(PERIOD).await;
            let Some(notice) = self.notice(&mut pass_time) else {
                told = None;
                continue;
            };
            let is_told = told.as_ref().is_some_and(|(last, at)| {
                last.is_open == notice.is_open && at.elapsed() < REPEAT_PERIOD
            });
            if !is_told {
                self.tell(&notice).await;
                told = Some((notice, Instant::now()));
            }
        }
    }

    /// The state of the own group, if this process is to tell it.
    fn notice(&self, pass_time: &mut PassTime) -> Option<GroupNotice> {
        if !self.duty.is_leading() {
            return None;
        }
        let now = self.clock.now();
        let (membership, progress) = {
            let beliefs = self.beliefs.lock();
            (beliefs.own_membership()?, beliefs.progress()?)
        };
        pass_time.note(progress.epoch, progress.step, progress.is_working, now);
        Some(GroupNotice {
            group: membership.group,
            is_open: membership.is_open,
            pass: pass_time.current(now),
            engines: self.members.engines(),
        })
    }

    async fn tell(&self, notice: &GroupNotice) {
        let datagram = match GroupMessage::Notice(notice.clone()).encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(error:% = error; "a notice can't be written");
                return;
            }
        };
        for entry in self.entries() {
            if let Err(error) = self.socket.send_to(&datagram, entry).await {
                log::debug!(peer:% = entry, error:% = error; "a notice was not sent");
            }
        }
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let mut asked = self.asked.lock();
        asked.retain(|_, at| at.elapsed() < ASKED_FOR);
        asked.keys().copied().collect()
    }
}
