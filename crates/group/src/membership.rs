//! Group membership: which engine is which rank of which group.
//!
//! Registrations list the endpoints of a service but not their groups; only an engine
//! knows its own rank. So each process announces its rank to a directory, one or two
//! processes that rendezvous hashing picks by the group's name, and receives the other
//! members. It then reports the state of its rank to the first ranks of its group only.
//!
//! Nobody announces a rank whose process is gone. Its engine is found by reading registered engines
//! ([`EngineSearch`]); such a rank is a member, but its process gets no reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use lynxmount_core::experts::GroupMembership;
use serde::{Deserialize, Serialize};

use crate::RankNumber;

/// How many ranks receive the reports of all ranks: the first one leads, the next ones
/// take over. Only they receive the full list of members: with 192 ranks it has 1.7 kB.
/// Sent to all ranks it would cost a directory 0.16 MB/s, and 2 MB/s during discovery,
/// on a link of 0.75 MB/s.
const LEADER_CANDIDATES: usize = 3;

/// The announcement period of a process that knows all members it needs. An announcement
/// and its answer take some 60 bytes each, including headers.
const STEADY_PERIOD: Duration = Duration::from_secs(2);

/// The announcement period during discovery. Balancing waits for discovery after a start,
/// and processes start within 0.3 s of each other.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(150);

/// How long discovery lasts at most: a group that lacks a rank for longer has lost it.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// How many engines are read at a time in the search for missing ranks. A read from another machine
/// is charged as a probe.
const MAX_SEARCH_READS: usize = 4;

/// How long a directory keeps a group without announcements: far longer than a group
/// needs to form again.
const GROUP_TTL: Duration = Duration::from_secs(60);

/// A process's announcement of its own rank.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The group's name.
    pub group: String,
    /// The rank.
    pub rank: RankNumber,
    /// How many ranks the group has.
    pub ranks: usize,
    /// The engine's address, which identifies the rank's process.
    pub engine: SocketAddr,
}

/// The engines of a group's ranks, as a directory knows them. Leader candidates receive all
/// of them, other ranks only the first ones up to the last leader candidate.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembers {
    /// The group's name.
    pub group: String,
    /// By rank, from rank 0 on; `None` for a rank without an announcement.
    pub engines: Vec<Option<SocketAddr>>,
}

#[derive(Debug)]
struct Entry {
    engines: Vec<Option<SocketAddr>>,
    announced_at: Duration,
}

/// The groups for which a process is a directory.
#[derive(Debug, Default)]
pub struct GroupDirectory {
    groups: BTreeMap<String, Entry>,
}

impl GroupDirectory {
    /// Registers an announcement and returns the members that its sender needs. Of two
    /// engines with the same rank the later one wins: engines that are gone
    /// can't be read, so that no process announces them.
    pub fn register(&mut self, announcement: Announcement, now: Duration) -> GroupMembers {
        self.groups.retain(|_, entry| now < entry.announced_at + GROUP_TTL);
        let Announcement { group, rank, ranks, engine } = announcement;
        let entry = self.entry(&group, ranks, now);
        entry.announced_at = now;
        // An engine has one rank only.
        entry.engines.iter_mut().for_each(|known| {
            known.take_if(|address| *address == engine);
        });
        if let Some(slot) = entry.engines.get_mut(rank) {
            *slot = Some(engine);
        }
        GroupMembers { group, engines: needed_by(engine, &entry.engines).to_vec() }
    }

    /// Fills in ranks without an announcement from this process's own view of its group:
    /// when directories are gone, the leader candidates still know all members.
    pub fn fill_missing(&mut self, view: &MembershipView, now: Duration) {
        let Some(announced) = &view.own else { return };
        let entry = self.entry(&announced.group, view.ranks.len(), now);
        for (rank, engine) in view.engines_with_process().into_iter().enumerate() {
            if entry.engines[rank].is_none() && !entry.engines.contains(&engine) {
                entry.engines[rank] = engine;
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

/// The members of its group that a process needs to know.
fn needed_by(engine: SocketAddr, engines: &[Option<SocketAddr>]) -> &[Option<SocketAddr>] {
    let is_known = |(_, known): &(usize, &Option<SocketAddr>)| known.is_some();
    let last_candidate = engines.iter().enumerate().filter(is_known).nth(LEADER_CANDIDATES - 1);
    let first_ranks = last_candidate.map_or(engines, |(rank, _)| &engines[..=rank]);
    match first_ranks.contains(&Some(engine)) {
        true => engines,
        false => first_ranks,
    }
}

/// A member of the own group: the engine of a rank.
#[derive(Clone, Copy, Debug)]
struct Member {
    engine: SocketAddr,
    /// Whether a process beside the engine has announced or reported the rank.
    has_process: bool,
}

/// A process's view of the members of its own group.
#[derive(Debug, Default)]
pub struct MembershipView {
    own: Option<Announcement>,
    ranks: Vec<Option<Member>>,
    /// When this process's engine became this rank of this group.
    joined_at: Duration,
    announced_at: Option<Duration>,
}

impl MembershipView {
    /// Sets the rank of this process's engine, and drops the view if it has changed. Returns
    /// whether to announce the rank now.
    pub fn set_own(&mut self, own: Announcement, now: Duration) -> bool {
        if self.own.as_ref() != Some(&own) {
            let mut ranks = vec![None; own.ranks];
            if let Some(slot) = ranks.get_mut(own.rank) {
                *slot = Some(Member { engine: own.engine, has_process: true });
            }
            *self = MembershipView { own: Some(own), ranks, joined_at: now, announced_at: None };
        }
        let is_due = self.announced_at.is_none_or(|at| now >= at + self.announcement_period(now));
        if is_due {
            self.announced_at = Some(now);
        }
        is_due
    }

    /// Merges a directory's answer; keeps ranks that the directory does not know.
    pub fn merge(&mut self, members: GroupMembers) {
        let Some(own) = &self.own else { return };
        if members.group != own.group || members.engines.len() > self.ranks.len() {
            return;
        }
        let pairs = self.ranks.iter_mut().zip(members.engines).enumerate();
        for (_, (known, engine)) in pairs.filter(|(rank, _)| *rank != own.rank) {
            *known = engine.map(|engine| Member { engine, has_process: true }).or(*known);
        }
    }

    /// Adds the rank that a process has announced or reported. Leader candidates may receive a
    /// rank's report before a directory's answer that has the rank.
    pub fn on_process(&mut self, engine: SocketAddr, group: &str, rank: RankNumber) {
        if let Some(known) = self.other_rank(group, rank) {
            *known = Some(Member { engine, has_process: true });
        }
    }

    /// Adds the rank that an engine states itself, unless a process has announced that rank.
    /// Returns whether the engine belongs to the own group.
    pub fn on_engine_found(&mut self, engine: SocketAddr, membership: &GroupMembership) -> bool {
        let Some(known) = self.other_rank(&membership.group, membership.rank) else { return false };
        if known.is_none_or(|known| !known.has_process) {
            *known = Some(Member { engine, has_process: false });
        }
        true
    }

    fn other_rank(&mut self, group: &str, rank: RankNumber) -> Option<&mut Option<Member>> {
        let own = self.own.as_ref()?;
        let is_other = group == own.group && rank != own.rank;
        self.ranks.get_mut(rank).filter(|_| is_other)
    }

    /// The engines of the first known ranks with a process. These receive all reports.
    pub fn leader_candidates(&self) -> Vec<SocketAddr> {
        self.engines_with_process().into_iter().flatten().take(LEADER_CANDIDATES).collect()
    }

    /// The engines of all known ranks, ordered by rank.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.ranks.iter().flatten().map(|known| known.engine).collect()
    }

    /// The engines to whose processes an announcement goes: the directories, those whose process is
    /// not known, and while ranks are missing the leader candidates too, which still know all ranks
    /// after the directories have terminated.
    pub fn announcement_receivers(&self, directories: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut receivers = directories;
        let without_process = self.ranks.iter().flatten().filter(|known| !known.has_process);
        receivers.extend(without_process.map(|known| known.engine));
        if !self.is_complete() {
            receivers.extend(self.leader_candidates());
        }
        receivers.sort();
        receivers.dedup();
        receivers
    }

    /// When this process's engine became its current rank.
    pub fn joined_at(&self) -> Duration {
        self.joined_at
    }

    /// Whether ranks are missing that are expected to appear soon. Processes with
    /// different lists of endpoints pick different directories, so that the list has to be
    /// read again meanwhile.
    pub fn is_discovering(&self, now: Duration) -> bool {
        !self.is_complete() && now < self.joined_at.saturating_add(DISCOVERY_TIMEOUT)
    }

    /// Whether all members are known that this process needs.
    fn is_complete(&self) -> bool {
        let engines = self.engines_with_process();
        self.own.as_ref().is_some_and(|own| !needed_by(own.engine, &engines).contains(&None))
    }

    fn engines_with_process(&self) -> Vec<Option<SocketAddr>> {
        let with_process = |known: &Member| known.has_process.then_some(known.engine);
        self.ranks.iter().map(|known| known.as_ref().and_then(with_process)).collect()
    }

    fn announcement_period(&self, now: Duration) -> Duration {
        if self.is_discovering(now) { DISCOVERY_PERIOD } else { STEADY_PERIOD }
    }
}

/// Round-robin search for ranks without a process, among the registered engines.
#[derive(Debug, Default)]
pub struct EngineSearch {
    last: Option<SocketAddr>,
}

impl EngineSearch {
    /// The next engines to read, of these in the order of their addresses.
    pub fn next(&mut self, candidates: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let candidates: BTreeSet<SocketAddr> = candidates.collect();
        let is_later = |engine: &&SocketAddr| self.last.is_none_or(|last| **engine > last);
        let (later, earlier): (Vec<&SocketAddr>, Vec<&SocketAddr>) =
            candidates.iter().partition(is_later);
        let turn = later.into_iter().chain(earlier).take(MAX_SEARCH_READS);
        let engines: Vec<SocketAddr> = turn.copied().collect();
        self.last = engines.last().copied().or(self.last);
        engines
    }
}

/// The rank whose process may place holds on this rank. It does not depend on which members a process
/// knows, so that no two leaders hold a group through the same rank.
pub fn hold_owner(rank: RankNumber) -> RankNumber {
    match rank < LEADER_CANDIDATES {
        true => rank,
        false => rank % LEADER_CANDIDATES,
    }
}

/// Whether the process of a rank may start map switches when it leads. A later one leads while the
/// processes of the first ranks are gone. It owns no ranks to hold the group through, and only
/// settles what they have left.
pub fn may_start_switches(rank: RankNumber) -> bool {
    rank < LEADER_CANDIDATES
}
