//! Which change is accepted: a pure function of the log.
//!
//! Every process and every operator's command feeds the records of the
//! configuration stream, in order, to an [`Acceptance`] and comes to the same
//! verdicts. A change names the offset that it was written against; it is
//! accepted if that is still the scope's newest accepted offset.

use std::{collections::BTreeMap, sync::Arc};

use lynxmount_core::{ChangeId, Offset};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use crate::Fleet;

/// The stream of the platform's log that holds changes.
pub const CONFIG_STREAM: &str = "config";

/// A change, as it stands in the log.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The change's id; the same id twice is one change.
    pub change_id: ChangeId,
    /// The scope that is changed.
    pub scope: String,
    /// The accepted offset that the change was written against.
    pub base: Option<Offset>,
    /// Who made the change.
    pub author: String,
    /// SHA-256 over the fleet's canonical JSON.
    #[serde_as(as = "Hex")]
    pub digest: [u8; 32],
    /// The whole fleet that is wanted.
    pub fleet: Arc<Fleet>,
}

impl ChangeRecord {
    /// Writes the change of a scope to a fleet.
    pub fn new(
        change_id: ChangeId,
        base: Option<Offset>,
        author: String,
        fleet: Fleet,
    ) -> ChangeRecord {
        let digest = digest_of(&fleet);
        ChangeRecord {
            change_id,
            scope: fleet.scope.clone(),
            base,
            author,
            digest,
            fleet: Arc::new(fleet),
        }
    }
}

/// Digests a fleet's canonical JSON, which has its fields in declared order.
pub fn digest_of(fleet: &Fleet) -> [u8; 32] {
    let json = serde_json::to_vec(fleet).unwrap_or_default();
    Sha256::digest(&json).into()
}

/// The change that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The change's offset, which is the configuration's version.
    pub offset: Offset,
    /// The change.
    pub change: ChangeRecord,
}

/// Why a change is not accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusedChange {
    /// The content does not have the digest that the record names.
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
    Refused(RefusedChange),
    /// The change was there before, at that offset.
    Repeated {
        /// The first offset of the change.
        of: Offset,
    },
}

/// The state that decides about changes of one scope.
#[derive(Clone, Debug)]
pub struct Acceptance {
    scope: String,
    head: Option<Head>,
    known: BTreeMap<ChangeId, Offset>,
    next: Offset,
}

impl Acceptance {
    /// Starts before the first record of the log.
    pub fn new(scope: impl Into<String>) -> Acceptance {
        Acceptance { scope: scope.into(), head: None, known: BTreeMap::new(), next: 0 }
    }

    /// The change in force, if any was accepted.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// The offset of the next record that the state needs.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Takes the record at an offset; `None` if it was taken before or is of
    /// another scope.
    pub fn take(&mut self, offset: Offset, change: ChangeRecord) -> Option<Verdict> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        if change.scope != self.scope {
            return None;
        }
        let verdict = self.judge(&change);
        self.known.entry(change.change_id).or_insert(offset);
        if verdict == Verdict::Accepted {
            self.head = Some(Head { offset, change });
        }
        Some(verdict)
    }

    /// Starts over with the records of a log whose beginning is gone.
    ///
    /// As every head is appended again before its retention runs out, the
    /// head is among the records. Of the records whose base is gone, only
    /// those with the greatest base can have followed the newest accepted
    /// change that is gone, and the first of them did.
    pub fn resume(&mut self, first: Offset, records: &[(Offset, ChangeRecord)]) {
        let own = records.iter().filter(|(_, change)| change.scope == self.scope);
        let anchor = own
            .filter(|(_, change)| change.base.is_none_or(|base| base < first))
            .filter(|(_, change)| digest_of(&change.fleet) == change.digest)
            .max_by_key(|(offset, change)| (change.base, std::cmp::Reverse(*offset)));
        let Some((offset, change)) = anchor else { return };
        if self.head.as_ref().is_none_or(|head| head.offset < *offset) {
            self.known.insert(change.change_id, *offset);
            self.head = Some(Head { offset: *offset, change: change.clone() });
            self.next = offset + 1;
        }
    }

    /// Takes a head that a peer has in force; says whether it is newer.
    pub fn adopt(&mut self, head: Head) -> bool {
        let is_newer = self.head.as_ref().is_none_or(|own| own.offset < head.offset);
        let is_sound =
            head.change.scope == self.scope && digest_of(&head.change.fleet) == head.change.digest;
        if !is_newer || !is_sound {
            return false;
        }
        self.next = self.next.max(head.offset + 1);
        self.known.insert(head.change.change_id, head.offset);
        self.head = Some(head);
        true
    }

    /// Forgets the ids of changes that are no longer in the log.
    pub fn forget_before(&mut self, first: Offset) {
        self.known.retain(|_, offset| *offset >= first);
    }

    fn judge(&self, change: &ChangeRecord) -> Verdict {
        let head_offset = self.head.as_ref().map(|head| head.offset);
        match self.known.get(&change.change_id) {
            Some(&of) => Verdict::Repeated { of },
            None if digest_of(&change.fleet) != change.digest => {
                Verdict::Refused(RefusedChange::DigestWrong)
            }
            None if change.base != head_offset => Verdict::Refused(RefusedChange::Overtaken {
                by: head_offset,
                author: self.head.as_ref().map(|head| head.change.author.clone()),
            }),
            None => Verdict::Accepted,
        }
    }
}
