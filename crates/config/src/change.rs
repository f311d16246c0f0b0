//! Replicated state machine of the configuration, with optimistic concurrency control.
//!
//! Every process and every operator's command applies the records of the configuration stream,
//! in order, to a [`ConfigState`] and so reaches the same verdicts. A change names the offset
//! that it was based on and is accepted if that is still the scope's latest accepted offset.

use std::{collections::BTreeMap, sync::Arc};

use lynxmount_core::{ChangeId, Offset};
use serde::{Deserialize, Serialize};

use crate::{Fleet, FleetChange, FleetDigest};

/// Stream of the platform's log that holds configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// A change proposed by an operator.
    Change(Box<ChangeRecord>),
    /// The state of the log at some offset, appended by a process.
    Snapshot(Snapshot),
}

/// A proposed change, as stored in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Id of the change; a second record with the same id is a duplicate.
    pub change_id: ChangeId,
    /// Scope that the change applies to.
    pub scope: String,
    /// Accepted offset that the change is based on; `None` for an empty fleet.
    pub base: Option<Offset>,
    /// Author of the change.
    pub author: String,
    /// Digest of the whole fleet after the change.
    pub digest: FleetDigest,
    /// The members that are set and removed.
    pub change: FleetChange,
}

impl ChangeRecord {
    /// Creates the change from the current fleet, or an empty one, to the desired fleet.
    pub fn new(
        change_id: ChangeId,
        head: Option<&Head>,
        author: String,
        desired: &Fleet,
    ) -> ChangeRecord {
        let empty = Fleet::empty(&desired.scope);
        let before = head.map_or(&empty, |head| &*head.fleet);
        ChangeRecord {
            change_id,
            scope: desired.scope.clone(),
            base: head.map(|head| head.offset),
            author,
            digest: FleetDigest::of(desired),
            change: FleetChange::between(before, desired),
        }
    }
}

/// The configuration after all records before an offset.
///
/// It is valid at any position in the log, so it may be appended late and repeatedly. A reader of
/// a truncated log starts from a snapshot that covers all removed records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Scope of the configuration.
    pub scope: String,
    /// First offset that the snapshot doesn't cover.
    pub as_of: Offset,
    /// Configuration in force at that offset.
    pub head: Head,
}

/// The latest accepted configuration of a scope.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// Offset of the accepted change, which is the version of the configuration.
    pub offset: Offset,
    /// Id of the accepted change.
    pub change_id: ChangeId,
    /// Author of the accepted change.
    pub author: String,
    /// Digest of the fleet.
    pub digest: FleetDigest,
    /// The whole fleet.
    pub fleet: Arc<Fleet>,
}

/// Why a change is refused. Its debug text is stored as `why` of audit records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeRefusal {
    /// The fleet after the change doesn't match the digest in the record.
    DigestWrong,
    /// The change is based on an outdated version.
    Overtaken {
        /// Latest accepted offset before the change.
        by: Option<Offset>,
        /// Author of the change at that offset.
        author: Option<String>,
    },
}

/// Result of applying a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in force from its offset on.
    Accepted,
    /// The change has no effect.
    Refused(ChangeRefusal),
    /// A change with the same id is already in the log.
    Repeated {
        /// Offset of the first record with that id.
        of: Offset,
    },
}

/// State machine that accepts and refuses the changes of one scope.
#[derive(Clone, Debug)]
pub struct ConfigState {
    scope: String,
    head: Option<Head>,
    offsets_by_change: BTreeMap<ChangeId, Offset>,
    next: Offset,
}

impl ConfigState {
    /// Creates the state before the first record of the log.
    pub fn new(scope: impl Into<String>) -> ConfigState {
        ConfigState { scope: scope.into(), head: None, offsets_by_change: BTreeMap::new(), next: 0 }
    }

    /// Latest accepted configuration, if any change was accepted.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Applies the record at an offset; `None` if it was applied before, belongs to another scope
    /// or isn't a change.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord) -> Option<Verdict> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        match record {
            ConfigRecord::Change(change) if change.scope == self.scope => {
                Some(self.apply_change(offset, change))
            }
            ConfigRecord::Change(_) | ConfigRecord::Snapshot(_) => None,
        }
    }

    /// Snapshot of the current state, for readers that start after the log was truncated.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let head = self.head.clone()?;
        Some(Snapshot { scope: self.scope.clone(), as_of: self.next, head })
    }

    /// Restores the state from the latest snapshot in the records of a log that begins at `first`.
    ///
    /// The state stays unchanged if no snapshot covers all records before `first`, or if the latest
    /// one that does is inconsistent or no newer than the state.
    pub fn restore<'a>(&mut self, first: Offset, records: impl Iterator<Item = &'a ConfigRecord>) {
        let snapshots = records.filter_map(|record| match record {
            ConfigRecord::Snapshot(snapshot) if snapshot.scope == self.scope => Some(snapshot),
            ConfigRecord::Change(_) | ConfigRecord::Snapshot(_) => None,
        });
        let complete = snapshots.filter(|snapshot| snapshot.as_of >= first);
        let Some(latest) = complete.max_by_key(|snapshot| snapshot.as_of) else { return };
        if latest.as_of > self.next && is_consistent(&self.scope, &latest.head) {
            self.offsets_by_change.insert(latest.head.change_id, latest.head.offset);
            self.head = Some(latest.head.clone());
            self.next = latest.as_of;
        }
    }

    /// Adopts a peer's head if it is newer and consistent; returns whether it was adopted.
    pub fn adopt_head(&mut self, head: Head) -> bool {
        let is_newer = self.head.as_ref().is_none_or(|own| own.offset < head.offset);
        if !is_newer || !is_consistent(&self.scope, &head) {
            return false;
        }
        self.next = self.next.max(head.offset + 1);
        self.offsets_by_change.insert(head.change_id, head.offset);
        self.head = Some(head);
        true
    }

    /// Forgets the ids of changes that are no longer in the log, which begins at `first`.
    pub fn prune_before(&mut self, first: Offset) {
        self.offsets_by_change.retain(|_, offset| *offset >= first);
    }

    fn apply_change(&mut self, offset: Offset, change: &ChangeRecord) -> Verdict {
        let first_offset = self.offsets_by_change.get(&change.change_id).copied();
        self.offsets_by_change.entry(change.change_id).or_insert(offset);
        if let Some(of) = first_offset {
            return Verdict::Repeated { of };
        }
        match self.head_after(offset, change) {
            Ok(head) => {
                self.head = Some(head);
                Verdict::Accepted
            }
            Err(refusal) => Verdict::Refused(refusal),
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

/// Whether a head from a peer or a snapshot has the right scope and digest.
fn is_consistent(scope: &str, head: &Head) -> bool {
    head.fleet.scope == scope && FleetDigest::of(&head.fleet) == head.digest
}
