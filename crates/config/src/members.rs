//! Changes of a fleet by member, and an incremental multiset hash of a whole fleet.
//!
//! A change holds only the members that it sets and removes, so the size of its record depends on
//! the change and not on the fleet. The digest is a sum over all members, so it can be updated
//! from the changed members alone.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use crate::{Endpoint, EntryProcess, Fleet, Region, Service, Team};

/// Digest of a whole fleet: the lane-wise wrapping sum of its members' SHA-256, as four `u64`.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct FleetDigest(#[serde_as(as = "Hex")] [u8; 32]);

impl FleetDigest {
    /// Computes the digest of a whole fleet.
    pub fn of(fleet: &Fleet) -> FleetDigest {
        let whole = FleetChange::between(&Fleet::empty(&fleet.scope), fleet);
        FleetDigest::default().after(&Fleet::empty(&fleet.scope), &whole)
    }

    /// The digest after a change; `self` must be the digest of `before`.
    pub fn after(mut self, before: &Fleet, change: &FleetChange) -> FleetDigest {
        self.update(&before.regions, &change.regions);
        self.update(&before.entries, &change.entries);
        self.update(&before.services, &change.services);
        self.update(&before.endpoints, &change.endpoints);
        self.update(&before.teams, &change.teams);
        self
    }

    fn update<T: Member>(&mut self, before: &[Arc<T>], change: &ListChange<T>) {
        for id in
            change.set.iter().map(|member| member.id()).chain(change.removed.iter().map(|r| &**r))
        {
            if let Some(member) = find(before, id) {
                self.combine(&member_digest(&**member), u64::wrapping_sub);
            }
        }
        for member in &change.set {
            self.combine(&member_digest(&**member), u64::wrapping_add);
        }
    }

    fn combine(&mut self, member: &[u8; 32], operation: impl Fn(u64, u64) -> u64) {
        for (lane, part) in self.0.chunks_exact_mut(8).zip(member.chunks_exact(8)) {
            let (sum, addend) = (read_lane(lane), read_lane(part));
            lane.copy_from_slice(&operation(sum, addend).to_le_bytes());
        }
    }
}

fn read_lane(bytes: &[u8]) -> u64 {
    let mut lane = [0; 8];
    lane.copy_from_slice(bytes);
    u64::from_le_bytes(lane)
}

fn member_digest<T: Member>(member: &T) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(T::LIST);
    digest.update(serde_json::to_vec(member).unwrap_or_default());
    digest.finalize().into()
}

/// A member of one of a fleet's lists, which are sorted by id.
pub(crate) trait Member: Clone + PartialEq + Serialize {
    /// Name of the list.
    const LIST: &'static str;

    /// Id of the member, unique within its list.
    fn id(&self) -> &str;
}

macro_rules! members {
    ($($type:ty => $list:literal,)*) => {
        $(impl Member for $type {
            const LIST: &'static str = $list;

            fn id(&self) -> &str {
                &self.id
            }
        })*
    };
}

members! {
    Endpoint => "endpoints",
    EntryProcess => "entries",
    Region => "regions",
    Service => "services",
    Team => "teams",
}

/// Changes of one list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListChange<T> {
    /// Members to add or replace.
    pub set: Vec<Arc<T>>,
    /// Ids of members to remove.
    pub removed: Vec<Arc<str>>,
}

impl<T> Default for ListChange<T> {
    /// Creates an empty change.
    fn default() -> ListChange<T> {
        ListChange { set: Vec::new(), removed: Vec::new() }
    }
}

impl<T> ListChange<T> {
    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

/// Changes of a fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetChange {
    /// Changes of regions.
    #[serde(skip_serializing_if = "ListChange::is_empty")]
    pub regions: ListChange<Region>,
    /// Changes of entry processes.
    #[serde(skip_serializing_if = "ListChange::is_empty")]
    pub entries: ListChange<EntryProcess>,
    /// Changes of services.
    #[serde(skip_serializing_if = "ListChange::is_empty")]
    pub services: ListChange<Service>,
    /// Changes of endpoints.
    #[serde(skip_serializing_if = "ListChange::is_empty")]
    pub endpoints: ListChange<Endpoint>,
    /// Changes of teams.
    #[serde(skip_serializing_if = "ListChange::is_empty")]
    pub teams: ListChange<Team>,
}

impl FleetChange {
    /// Computes the change that turns one fleet into another.
    pub fn between(before: &Fleet, after: &Fleet) -> FleetChange {
        FleetChange {
            regions: list_between(&before.regions, &after.regions),
            entries: list_between(&before.entries, &after.entries),
            services: list_between(&before.services, &after.services),
            endpoints: list_between(&before.endpoints, &after.endpoints),
            teams: list_between(&before.teams, &after.teams),
        }
    }

    /// Applies the change to a fleet.
    pub fn apply(&self, before: &Fleet) -> Fleet {
        Fleet {
            scope: before.scope.clone(),
            regions: apply_list(&before.regions, &self.regions),
            entries: apply_list(&before.entries, &self.entries),
            services: apply_list(&before.services, &self.services),
            endpoints: apply_list(&before.endpoints, &self.endpoints),
            teams: apply_list(&before.teams, &self.teams),
        }
    }
}

/// Sorts the members of a list by id.
pub(crate) fn sort_by_id<T: Member>(members: Vec<T>) -> Vec<Arc<T>> {
    let mut members: Vec<Arc<T>> = members.into_iter().map(Arc::new).collect();
    members.sort_by(|a, b| a.id().cmp(b.id()));
    members
}

fn find<'a, T: Member>(members: &'a [Arc<T>], id: &str) -> Option<&'a Arc<T>> {
    let index = members.binary_search_by(|member| member.id().cmp(id)).ok()?;
    members.get(index)
}

fn list_between<T: Member>(before: &[Arc<T>], after: &[Arc<T>]) -> ListChange<T> {
    let is_changed = |member: &&Arc<T>| find(before, member.id()) != Some(member);
    let is_removed = |member: &&Arc<T>| find(after, member.id()).is_none();
    ListChange {
        set: after.iter().filter(is_changed).cloned().collect(),
        removed: before.iter().filter(is_removed).map(|member| Arc::from(member.id())).collect(),
    }
}

fn apply_list<T: Member>(before: &[Arc<T>], change: &ListChange<T>) -> Vec<Arc<T>> {
    if change.is_empty() {
        return before.to_vec();
    }
    let mut members: BTreeMap<&str, &Arc<T>> = before.iter().map(|m| (m.id(), m)).collect();
    members.retain(|id, _| !change.removed.iter().any(|removed| **removed == **id));
    members.extend(change.set.iter().map(|member| (member.id(), member)));
    members.into_values().cloned().collect()
}
