//! Which change is accepted: a pure function of the log.
//!
//! Every process and every operator's command feeds the records of the
//! configuration stream, in order, to an [`ConfigState`] and comes to the same
//! verdicts. A change names the offset that it was written against; it is
//! accepted if that is still the scope's newest accepted offset.

use std::{collections::BTreeMap, sync::Arc};

use lynxmount_core::{ChangeId, Offset};
use serde::{Deserialize, Serialize};

use crate::{Fleet, FleetChange, FleetDigest};

/// The stream of the platform's log that holds changes.
pub const CONFIG_STREAM: &str = "config";

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// An operator wants a change.
    Change(Box<ChangeRecord>),
    /// A process tells what the log had come to.
    Snapshot(Snapshot),
}

/// A change, as it stands in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The change's id; the same id twice is one change.
    pub change_id: ChangeId,
    /// The scope that is changed.
    pub scope: String,
    /// The accepted offset that the change was written against; without one,
    /// the change starts from an empty fleet.
    pub base: Option<Offset>,
    /// Who made the change.
    pub author: String,
    /// The digest of the whole fleet after the change.
    pub digest: FleetDigest,
    /// What changes.
    pub change: FleetChange,
}

impl ChangeRecord {
    /// Writes the change from the fleet in force, if there is one, to another.
    pub fn new(
        change_id: ChangeId,
        head: Option<&Head>,
        author: String,
        wanted: &Fleet,
    ) -> ChangeRecord {
        let empty = Fleet::empty(&wanted.scope);
        let before = head.map_or(&empty, |head| &*head.fleet);
        ChangeRecord {
            change_id,
            scope: wanted.scope.clone(),
            base: head.map(|head| head.offset),
            author,
            digest: FleetDigest::of(wanted),
            change: FleetChange::between(before, wanted),
        }
    }
}

/// What the log had come to when all records before an offset were read.
///
/// It is true wherever in the log it stands, so it matters neither how late it
/// is appended nor how often. A reader of a log whose beginning is gone starts
/// from one that leaves out nothing that is still there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The scope that it tells of.
    pub scope: String,
    /// The first offset that it does not take in.
    pub as_of: Offset,
    /// What was in force then.
    pub head: Head,
}

/// What is in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The offset of the change that brought it: the configuration's version.
    pub offset: Offset,
    /// That change.
    pub change_id: ChangeId,
    /// Who made it.
    pub author: String,
    /// The fleet's digest.
    pub digest: FleetDigest,
    /// The whole fleet.
    pub fleet: Arc<Fleet>,
}

/// Why a change is not accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeRefusal {
    /// The fleet after the change does not have the digest that it names.
    DigestWrong,
    /// Another change came first.
    Overtaken {
        /// The newest accepted offset when the change arrived.
        by: Option<Offset>,
        /// Who made that change.
        author: Option<String>,
    },
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in force from its offset on.
    Accepted,
    /// The change has no effect.
    Refused(ChangeRefusal),
    /// The change was there before, at that offset.
    Repeated {
        /// The first offset of the change.
        of: Offset,
    },
}

/// The state that decides about changes of one scope.
#[derive(Clone, Debug)]
pub struct ConfigState {
    scope: String,
    head: Option<Head>,
    known: BTreeMap<ChangeId, Offset>,
    next: Offset,
}

impl ConfigState {
    /// Starts before the first record of the log.
    pub fn new(scope: impl Into<String>) -> ConfigState {
        ConfigState { scope: scope.into(), head: None, known: BTreeMap::new(), next: 0 }
    }

    /// What is in force, if any change was accepted.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// The offset of the next record that the state needs.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Takes the record at an offset; `None` if it was taken before, is of
    /// another scope or is no change.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord) -> Option<Verdict> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        match record {
            ConfigRecord::Change(change) if change.scope == self.scope => {
                Some(self.take_change(offset, change))
            }
            ConfigRecord::Change(_) | ConfigRecord::Snapshot(_) => None,
        }
    }

    /// Tells what the log has come to, for readers who start later.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let head = self.head.clone()?;
        Some(Snapshot { scope: self.scope.clone(), as_of: self.next, head })
    }

    /// Starts over with the records of a log that begins at `first`.
    ///
    /// Nothing happens unless one of them is a snapshot that leaves out no
    /// record that is gone.
    pub fn restore<'a>(&mut self, first: Offset, records: impl Iterator<Item = &'a ConfigRecord>) {
        let snapshots = records.filter_map(|record| match record {
            ConfigRecord::Snapshot(snapshot) if snapshot.scope == self.scope => Some(snapshot),
            ConfigRecord::Change(_) | ConfigRecord::Snapshot(_) => None,
        });
        let usable = snapshots.filter(|snapshot| snapshot.as_of >= first);
        let Some(latest) = usable.max_by_key(|snapshot| snapshot.as_of) else { return };
        if latest.as_of > self.next && is_sound(&self.scope, &latest.head) {
            self.known.insert(latest.head.change_id, latest.head.offset);
            self.head = Some(latest.head.clone());
            self.next = latest.as_of;
        }
    }

    /// Takes a head that a peer has in force; says whether it is newer.
    pub fn adopt_head(&mut self, head: Head) -> bool {
        let is_newer = self.head.as_ref().is_none_or(|own| own.offset < head.offset);
        if !is_newer || !is_sound(&self.scope, &head) {
            return false;
        }
        self.next = self.next.max(head.offset + 1);
        self.known.insert(head.change_id, head.offset);
        self.head = Some(head);
        true
    }

    /// Forgets the ids of changes that are no longer in the log.
    pub fn prune_before(&mut self, first: Offset) {
        self.known.retain(|_, offset| *offset >= first);
    }

    fn take_change(&mut self, offset: Offset, change: &ChangeRecord) -> Verdict {
        let known = self.known.get(&change.change_id).copied();
        self.known.entry(change.change_id).or_insert(offset);
        if let Some(of) = known {
            return Verdict::Repeated { of };
        }
        match self.head_after(offset, change) {
            Ok(head) => {
                self.head = Some(head);
                Verdict::Accepted
            }
            Err(why) => Verdict::Refused(why),
        }
    }

    fn head_after(&self, offset: Offset, record: &ChangeRecord) -> Result<Head, ChangeRefusal> {
        let head = self.head.as_ref();
        let head_offset = head.map(|head| head.offset);
        if record.base != head_offset {
            let author = head.map(|head| head.author.clone());
            return Err(ChangeRefusal::Overtaken { by: head_offset, author });
        }
        let empty = Fleet::empty(&self.scope);
        let before = head.map_or(&empty, |head| &*head.fleet);
        let digest = head.map_or_else(FleetDigest::default, |head| head.digest);
        if digest.after(before, &record.change) != record.digest {
            return Err(ChangeRefusal::DigestWrong);
        }
        Ok(Head {
            offset,
            change_id: record.change_id,
            author: record.author.clone(),
            digest: record.digest,
            fleet: Arc::new(record.change.apply(before)),
        })
    }
}

/// Says whether a head that came from elsewhere is what it says.
fn is_sound(scope: &str, head: &Head) -> bool {
    head.fleet.scope == scope && FleetDigest::of(&head.fleet) == head.digest
}
