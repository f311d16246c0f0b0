//! Who the ranks of a group are.
//!
//! Registrations name the endpoints of a service and say nothing of groups; only
//! an engine knows its own rank. So each process announces it to a directory, one
//! or two processes that hashing names from the group's name, and is told the
//! others. It then tells the state of its rank to the first ones of its own group
//! and to nobody else.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lynxmount_core::experts::Membership;
use serde::{Deserialize, Serialize};

use crate::RankNumber;

/// How many ranks listen to the reports of all: one balances, the next ones take over.
/// Only they are told all ranks. By arithmetic, answers with all of 192 are 1.7 kB, of
/// which a directory would send 0.16 MB/s, and 2 MB/s while the group is being found,
/// where its link carries 0.75.
const LISTENERS: usize = 3;

/// How often a process announces itself when it knows whom it needs: an announcement
/// and its answer take some 60 bytes each, with their headers, by arithmetic.
const KNOWN_PERIOD: Duration = Duration::from_secs(2);

/// How often it does as long as some rank is not known. Balancing waits for this
/// after a start, and processes start within 0.3 s of each other.
const UNKNOWN_PERIOD: Duration = Duration::from_millis(150);

/// How long a rank may be unknown until the pace of announcements falls: a group
/// that lacks a rank for so long has lost it.
const SEARCH_TIME: Duration = Duration::from_secs(10);

/// How long a directory remembers a group that announces nothing: far longer than
/// a group needs to form again.
const GROUP_LIFE: Duration = Duration::from_secs(60);

/// What a process says of its own rank.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The group's name.
    pub group: String,
    /// The rank.
    pub rank: RankNumber,
    /// How many ranks the group has.
    pub ranks: usize,
    /// The engine's address, which names the rank's process.
    pub engine: SocketAddr,
}

/// The engines of a group's ranks, as a directory knows them: for those that listen all
/// of them, for others those of the first ranks, as far as these include the listeners.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembers {
    /// The group's name.
    pub group: String,
    /// By rank, from the first one on; `None` for a rank that has announced nothing.
    pub engines: Vec<Option<SocketAddr>>,
}

#[derive(Debug)]
struct Entry {
    engines: Vec<Option<SocketAddr>>,
    announced_at: Duration,
}

/// What a process knows of groups for which it is a directory.
#[derive(Debug, Default)]
pub struct GroupDirectory {
    groups: BTreeMap<String, Entry>,
}

impl GroupDirectory {
    /// Takes an announcement and answers with the ranks that its sender needs. Of two
    /// engines that are the same rank the later one holds: engines that are gone
    /// can't be read, so that nobody announces them.
    pub fn register(&mut self, announcement: Announcement, now: Duration) -> GroupMembers {
        self.groups.retain(|_, entry| now < entry.announced_at + GROUP_LIFE);
        let Announcement { group, rank, ranks, engine } = announcement;
        let entry = self.entry(&group, ranks, now);
        entry.announced_at = now;
        // An engine is one rank only.
        entry.engines.iter_mut().for_each(|known| {
            known.take_if(|address| *address == engine);
        });
        if let Some(place) = entry.engines.get_mut(rank) {
            *place = Some(engine);
        }
        GroupMembers { group, engines: needed_by(engine, &entry.engines).to_vec() }
    }

    /// Takes what the own process knows of its group, for ranks that have announced
    /// nothing here: where directories have ended, those that listen still know all.
    pub fn fill_missing(&mut self, own: &MembershipView, now: Duration) {
        let Some(announced) = &own.own else { return };
        let entry = self.entry(&announced.group, own.engines.len(), now);
        for (rank, engine) in own.engines.iter().enumerate() {
            if entry.engines[rank].is_none() && !entry.engines.contains(engine) {
                entry.engines[rank] = *engine;
            }
        }
    }

    fn entry(&mut self, group: &str, ranks: usize, now: Duration) -> &mut Entry {
        let new = || Entry { engines: Vec::new(), announced_at: now };
        let entry = self.groups.entry(group.to_owned()).or_insert_with(new);
        entry.engines.resize(ranks, None);
        entry
    }
}

/// What a process needs to know of its group's ranks.
fn needed_by(engine: SocketAddr, engines: &[Option<SocketAddr>]) -> &[Option<SocketAddr>] {
    let is_known = |(_, known): &(usize, &Option<SocketAddr>)| known.is_some();
    let last_listener = engines.iter().enumerate().filter(is_known).nth(LISTENERS - 1);
    let first_ranks = last_listener.map_or(engines, |(rank, _)| &engines[..=rank]);
    match first_ranks.contains(&Some(engine)) {
        true => engines,
        false => first_ranks,
    }
}

/// What a process knows of its own group.
#[derive(Debug, Default)]
pub struct MembershipView {
    own: Option<Announcement>,
    engines: Vec<Option<SocketAddr>>,
    /// Since when the own engine is this rank of this group.
    joined_at: Duration,
    announced_at: Option<Duration>,
}

impl MembershipView {
    /// Takes what the own engine tells of its rank. Returns whether that is to be
    /// announced now.
    pub fn set_own(&mut self, own: Announcement, now: Duration) -> bool {
        if self.own.as_ref() != Some(&own) {
            let mut engines = vec![None; own.ranks];
            if let Some(place) = engines.get_mut(own.rank) {
                *place = Some(own.engine);
            }
            *self = MembershipView { own: Some(own), engines, joined_at: now, announced_at: None };
        }
        let is_due = self.announced_at.is_none_or(|at| now >= at + self.period(now));
        if is_due {
            self.announced_at = Some(now);
        }
        is_due
    }

    /// Takes what a directory knows; ranks that it does not know stay.
    pub fn merge(&mut self, members: GroupMembers) {
        let Some(own) = &self.own else { return };
        if members.group != own.group || members.engines.len() > self.engines.len() {
            return;
        }
        let told = self.engines.iter_mut().zip(members.engines).enumerate();
        for (_, (known, engine)) in told.filter(|(rank, _)| *rank != own.rank) {
            *known = engine.or(*known);
        }
    }

    /// Takes which rank an engine says it is in a report to those that listen: they know
    /// a rank by it before any directory has told them.
    pub fn on_report(&mut self, engine: SocketAddr, membership: &Membership) {
        let Some(own) = &self.own else { return };
        let is_other = membership.group == own.group && membership.rank != own.rank;
        if let Some(known) = self.engines.get_mut(membership.rank).filter(|_| is_other) {
            *known = Some(engine);
        }
    }

    /// The engines of the first ranks that are known, whose processes listen.
    pub fn leader_candidates(&self) -> Vec<SocketAddr> {
        self.engines.iter().flatten().take(LISTENERS).copied().collect()
    }

    /// The engines of the ranks that are known, in the order of ranks.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.engines.iter().flatten().copied().collect()
    }

    /// Since when the own engine is the rank that it is.
    pub fn joined_at(&self) -> Duration {
        self.joined_at
    }

    /// Says whether ranks are missing that are expected to be found soon. Processes
    /// that believe in different lists of endpoints have different directories, so
    /// that the list is to be read again meanwhile.
    pub fn is_discovering(&self, now: Duration) -> bool {
        !self.is_complete() && now < self.joined_at.saturating_add(SEARCH_TIME)
    }

    /// Says whether all ranks are known that the own process needs.
    fn is_complete(&self) -> bool {
        let needed = |own: &Announcement| needed_by(own.engine, &self.engines);
        self.own.as_ref().is_some_and(|own| !needed(own).contains(&None))
    }

    fn period(&self, now: Duration) -> Duration {
        if self.is_discovering(now) { UNKNOWN_PERIOD } else { KNOWN_PERIOD }
    }
}
