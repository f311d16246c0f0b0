//! Discovery of the ranks of the own group, as a client and as a directory for others.
//!
//! Each process announces its rank to the group's directories, which answer with the engines
//! of the ranks that it has to know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{Clock, experts::GroupMembership};
use lynxmount_group::{Announcement, GroupDirectory, GroupMembers, MembershipView};
use parking_lot::Mutex;

use crate::{message::Datagram, registry::Registry, transport::Transport};

/// The members of the own group, and of the groups that this process is a directory of.
pub(crate) struct Discovery {
    own_engine: SocketAddr,
    clock: Clock,
    registry: Arc<Registry>,
    transport: Transport,
    own_group: Mutex<MembershipView>,
    directory: Mutex<GroupDirectory>,
}

impl Discovery {
    pub(crate) fn new(
        own_engine: SocketAddr,
        clock: Clock,
        registry: Arc<Registry>,
        transport: Transport,
    ) -> Discovery {
        let (own_group, directory) = Default::default();
        Discovery { own_engine, clock, registry, transport, own_group, directory }
    }

    /// The engines of the own group's leader candidates, by rank. Reports go to their processes.
    pub(crate) fn leader_candidates(&self) -> Vec<SocketAddr> {
        self.own_group.lock().leader_candidates()
    }

    /// The engines of all ranks of the own group found so far. A process that is no
    /// candidate finds the first ranks only.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.own_group.lock().engines()
    }

    /// Whether ranks of the own group are missing and likely to be found soon.
    pub(crate) fn is_discovering(&self) -> bool {
        self.own_group.lock().is_discovering(self.clock.now())
    }

    /// How long ago the own engine joined its group.
    pub(crate) fn time_in_group(&self) -> Duration {
        self.clock.now().saturating_sub(self.own_group.lock().joined_at())
    }

    /// Sets the own engine's rank, and announces it if an announcement is due.
    pub(crate) async fn set_own_rank(&self, membership: &GroupMembership) {
        let own = Announcement {
            group: membership.group.clone(),
            rank: membership.rank,
            ranks: membership.ranks,
            engine: self.own_engine,
        };
        let directories = self.registry.directories(&own.group);
        if directories.is_empty() || !self.own_group.lock().set_own(own.clone(), self.clock.now()) {
            return;
        }
        let receivers = self.own_group.lock().announcement_receivers(directories);
        for receiver in receivers {
            match receiver == self.own_engine {
                true => self.on_members(self.handle_announcement(own.clone())),
                false => {
                    let peer = self.transport.peer(receiver);
                    self.transport.send(peer, &Datagram::Announcement(own.clone())).await;
                }
            }
        }
    }

    /// Answers the announcement of another process.
    pub(crate) async fn on_announcement(&self, peer: SocketAddr, announcement: Announcement) {
        let members = self.handle_announcement(announcement);
        self.transport.send(peer, &Datagram::Members(members)).await;
    }

    fn handle_announcement(&self, announcement: Announcement) -> GroupMembers {
        let now = self.clock.now();
        let (mut own, mut directory) = (self.own_group.lock(), self.directory.lock());
        own.on_process(announcement.engine, &announcement.group, announcement.rank);
        directory.fill_missing(&own, now);
        directory.register(announcement, now)
    }

    /// Records the rank of an engine from a report of its process.
    pub(crate) fn on_report(&self, engine: SocketAddr, membership: &GroupMembership) {
        self.own_group.lock().on_process(engine, &membership.group, membership.rank);
    }

    /// Records the rank that an engine states itself. Returns whether it belongs to the own group.
    pub(crate) fn on_engine_found(&self, engine: SocketAddr, membership: &GroupMembership) -> bool {
        self.own_group.lock().on_engine_found(engine, membership)
    }

    /// Records the members that a directory has answered.
    pub(crate) fn on_members(&self, members: GroupMembers) {
        self.own_group.lock().merge(members);
    }
}
