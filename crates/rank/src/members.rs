//! Finding the processes of the own group, and helping others to find theirs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{Clock, experts::Membership};
use lynxmount_group::{Announcement, GroupDirectory, GroupMembers, MembershipView};
use parking_lot::Mutex;

use crate::{mailbox::Mailbox, message::Datagram, roster::Roster};

/// What a process knows of groups.
pub(crate) struct Members {
    /// The own engine.
    own: SocketAddr,
    clock: Clock,
    roster: Arc<Roster>,
    mailbox: Mailbox,
    own_group: Mutex<MembershipView>,
    directory: Mutex<GroupDirectory>,
}

impl Members {
    pub(crate) fn new(
        own: SocketAddr,
        clock: Clock,
        roster: Arc<Roster>,
        mailbox: Mailbox,
    ) -> Members {
        let (own_group, directory) = Default::default();
        Members { own, clock, roster, mailbox, own_group, directory }
    }

    /// The engines beside which processes listen to reports of the own group,
    /// first ones first.
    pub(crate) fn listeners(&self) -> Vec<SocketAddr> {
        self.own_group.lock().leader_candidates()
    }

    /// The engines of all ranks of the own group that are known: to a process that
    /// does not listen, a few of them.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.own_group.lock().engines()
    }

    /// Says whether ranks of the own group are missing that are expected to be found
    /// soon.
    pub(crate) fn is_searching(&self) -> bool {
        self.own_group.lock().is_discovering(self.clock.now())
    }

    /// For how long the own engine has been in its group.
    pub(crate) fn own_age(&self) -> Duration {
        self.clock.now().saturating_sub(self.own_group.lock().joined_at())
    }

    /// Takes what the own engine tells of its rank, and announces it from time to
    /// time.
    pub(crate) async fn note_own(&self, membership: &Membership) {
        let own = Announcement {
            group: membership.group.clone(),
            rank: membership.rank,
            ranks: membership.ranks,
            engine: self.own,
        };
        let directories = self.roster.directories(&own.group);
        if directories.is_empty() || !self.own_group.lock().set_own(own.clone(), self.clock.now()) {
            return;
        }
        for directory in self.asked(directories) {
            match directory == self.own {
                true => self.told(self.answer(own.clone())),
                false => {
                    let peer = self.mailbox.peer(directory);
                    self.mailbox.send(peer, &Datagram::Announcement(own.clone())).await;
                }
            }
        }
    }

    /// Who is told of the own rank: the directories, and as long as ranks are missing
    /// those that listen too, which know all of them when directories have ended.
    fn asked(&self, directories: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut asked = directories;
        if self.is_searching() {
            asked.extend(self.listeners());
        }
        asked.sort();
        asked.dedup();
        asked
    }

    /// Answers an announcement of another process.
    pub(crate) async fn announced(&self, peer: SocketAddr, announcement: Announcement) {
        let members = self.answer(announcement);
        self.mailbox.send(peer, &Datagram::Members(members)).await;
    }

    fn answer(&self, announcement: Announcement) -> GroupMembers {
        let now = self.clock.now();
        let (own, mut directory) = (self.own_group.lock(), self.directory.lock());
        directory.fill_missing(&own, now);
        directory.register(announcement, now)
    }

    /// Takes which rank an engine is, as the process beside it tells.
    pub(crate) fn heard(&self, engine: SocketAddr, membership: &Membership) {
        self.own_group.lock().on_report(engine, membership);
    }

    /// Takes a directory's answer.
    pub(crate) fn told(&self, members: GroupMembers) {
        self.own_group.lock().merge(members);
    }
}
