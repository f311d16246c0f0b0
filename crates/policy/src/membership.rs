//! Endpoint membership, from a registry of leases that is unavailable at times.
//!
//! Registrations expire while the platform's store can't be written. Live endpoints register
//! again within about two seconds of the store's recovery; one that is missing after that is
//! gone.
//!
//! An endpoint that restarts at its address under another id leaves its old registration behind
//! for three heartbeats. Of two registrations at one address that of the later incarnation is
//! valid: half of the calls after a loss of power went to ids that were gone.
//!
//! Another writer may register an endpoint at the address of a live one. So which registration is
//! valid is decided by who answers there: one for which another endpoint has answered yields to those
//! of which that is not known, or was known before.
//!
//! The store may also come back from an older copy, between two reads that both succeed. The lists
//! then have positions of a later era, and what they lack or contain is confirmed before it counts:
//! live endpoints may be missing, and endpoints that have left may be back.

use std::{cmp::Ordering, collections::BTreeMap, net::SocketAddr, time::Duration};

use lynxmount_core::{
    EndpointId, EndpointList, EndpointRecord, EndpointState, LogEra, LogPosition, ServiceId,
};

use crate::{
    listing_order::FirstListings,
    restored_registrations::{KnownIncarnation, LastKnown, RestoredRegistrations},
};

/// How long after the store's recovery a missing registration may still reappear.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// By how much more than the read period two reads must lie apart for the store to have been
/// unavailable. Registrations expire after three heartbeats, 3.6 s on the reference deployments,
/// so that this and a period of 1.7 s detect it in time. It is added to the period because a
/// fixed limit below the period took each read for the first one after an outage, and removed
/// registrations were kept for good.
const OUTAGE_READ_DELAY: Duration = Duration::from_millis(650);

/// Default period of reads.
const DEFAULT_READ_PERIOD: Duration = Duration::from_millis(850);

/// Default time after which the registration of an endpoint that does not renew it expires.
const DEFAULT_LEASE: Duration = Duration::from_millis(3600);

/// How long an id is kept after its last registration: a registration that was in flight when
/// its endpoint ended may be read much later.
const ID_RETENTION: Duration = Duration::from_secs(60);

/// When an id was first and last listed.
#[derive(Clone, Debug, Default)]
struct IdHistory {
    first_listings: FirstListings,
    last_listed: Duration,
    started_ms: Option<u64>,
}

/// An incarnation for which another endpoint has answered.
#[derive(Clone, Copy, Debug)]
struct Misdirected {
    started_ms: Option<u64>,
    last_at: Duration,
}

/// The endpoints that may be alive.
#[derive(Debug)]
pub struct Membership {
    /// Whether only the latest incarnation at an address is returned.
    is_latest_only: bool,
    /// How often the list is read while the store is available.
    read_period: Duration,
    /// Time after which a registration that is not renewed expires.
    lease: Duration,
    ids: BTreeMap<EndpointId, IdHistory>,
    listed: BTreeMap<EndpointId, EndpointRecord>,
    /// Not registered since an outage of the store.
    missing: BTreeMap<EndpointId, EndpointRecord>,
    last_read: Option<Duration>,
    /// Position in the store's log up to which the list was read.
    as_of: LogPosition,
    /// Until when missing registrations may reappear.
    grace_until: Duration,
    restored: RestoredRegistrations,
    /// The endpoints for whose latest known incarnations others have answered.
    misdirected: BTreeMap<EndpointId, Misdirected>,
}

impl Default for Membership {
    /// Starts with no endpoint, and returns only the latest incarnation at an address.
    fn default() -> Membership {
        Membership::new(true, DEFAULT_READ_PERIOD, DEFAULT_LEASE)
    }
}

impl Membership {
    /// Starts with no endpoint. The list is read with this period while the store is available, and
    /// registrations expire after the lease unless they are renewed.
    pub fn new(is_latest_only: bool, read_period: Duration, lease: Duration) -> Membership {
        Membership {
            is_latest_only,
            read_period,
            lease,
            ids: BTreeMap::new(),
            listed: BTreeMap::new(),
            missing: BTreeMap::new(),
            last_read: None,
            as_of: LogPosition::default(),
            grace_until: Duration::ZERO,
            restored: RestoredRegistrations::default(),
            misdirected: BTreeMap::new(),
        }
    }

    /// Applies a list that was just read from the store, unless it is of an earlier era.
    pub fn update(&mut self, list: &EndpointList, now: Duration) {
        if list.as_of.era < self.as_of.era {
            return;
        }
        let max_read_interval = self.read_period + OUTAGE_READ_DELAY;
        let was_unavailable =
            self.last_read.is_some_and(|read| now.saturating_sub(read) > max_read_interval);
        let is_restored = self.last_read.is_some() && list.as_of.era > self.as_of.era;
        let copied_era = is_restored.then_some(self.as_of.era);
        if was_unavailable || is_restored {
            self.grace_until = now + REREGISTRATION_TIME;
        }
        if is_restored {
            let valid_until = now + self.lease;
            self.restored = RestoredRegistrations::new(self.known(), list.as_of, valid_until);
        }
        self.last_read = Some(now);
        self.as_of = list.as_of;
        let before = std::mem::take(&mut self.listed);
        let listed = list.endpoints.iter().filter_map(|e| self.restored.correct(e, now));
        self.listed = listed.map(|e| (EndpointId::clone(&e.id), e)).collect();
        let vanished = before.into_iter().filter(|(id, _)| !self.listed.contains_key(id));
        match now < self.grace_until {
            true => self.missing.extend(vanished),
            false => self.missing.clear(),
        }
        self.missing.retain(|id, _| !self.listed.contains_key(id));
        self.update_ids(copied_era, now);
    }

    /// Applies a list that another process has read from the store, if it is newer. An entry that
    /// can't read the store would otherwise keep sending to endpoints that leave.
    pub fn update_from_peer(&mut self, list: &EndpointList, now: Duration) {
        if list.as_of > self.as_of {
            self.update(list, now);
        }
    }

    /// The endpoints of configured services that may be alive: the latest incarnation at each
    /// address. A registration of another service may come from another writer, and does not
    /// replace the endpoint at its address.
    pub fn endpoints(&self, is_configured: impl Fn(&ServiceId) -> bool) -> Vec<EndpointRecord> {
        let configured = |record: &&EndpointRecord| is_configured(&record.service);
        let mut latest: BTreeMap<SocketAddr, &EndpointRecord> = BTreeMap::new();
        for record in self.missing.values().chain(self.listed.values()).filter(configured) {
            let known = latest.entry(record.address).or_insert(record);
            if self.is_preferred(record, known) {
                *known = record;
            }
        }
        let is_latest = |record: &&EndpointRecord| {
            !self.is_latest_only || latest[&record.address].id == record.id
        };
        let maybe_alive = self.listed.values().chain(self.missing.values()).filter(configured);
        maybe_alive.filter(is_latest).cloned().collect()
    }

    /// Records that another endpoint has answered a call to an incarnation, which its id and start time
    /// name. Returns whether another registration has its address, which may be the valid one.
    pub fn on_misdirected(
        &mut self,
        id: EndpointId,
        started_ms: Option<u64>,
        now: Duration,
    ) -> bool {
        let registered = self.listed.get(&id).or_else(|| self.missing.get(&id));
        let Some(address) = registered.map(|record| record.address) else { return false };
        let mut others = self.listed.values().chain(self.missing.values());
        let is_contested = others.any(|other| other.address == address && other.id != id);
        self.misdirected.insert(id, Misdirected { started_ms, last_at: now });
        is_contested
    }

    /// The endpoints that drain or have left, as far as that is known.
    fn known(&self) -> BTreeMap<EndpointId, KnownIncarnation> {
        let last_known = |id: &EndpointId| match self.listed.get(id) {
            Some(record) if record.state == EndpointState::Draining => Some(LastKnown::Draining),
            Some(_) => None,
            None => (!self.missing.contains_key(id)).then_some(LastKnown::Left),
        };
        let known = self.ids.iter().filter_map(|(id, history)| {
            let last_known = last_known(id)?;
            let started_ms = history.started_ms;
            Some((EndpointId::clone(id), KnownIncarnation { started_ms, last_known }))
        });
        known.collect()
    }

    /// Records what is listed. In the first list after a restore, registrations may come from the
    /// copy; they had the same offsets in the era that was copied.
    fn update_ids(&mut self, copied_era: Option<LogEra>, now: Duration) {
        for (id, record) in &self.listed {
            let EndpointRecord { listed_at, started_ms, .. } = *record;
            let history = self.ids.entry(EndpointId::clone(id)).or_default();
            if let Some(era) = copied_era {
                history.first_listings.record(LogPosition { era, ..listed_at });
            }
            history.first_listings.record(listed_at);
            history.last_listed = now;
            history.started_ms = started_ms;
        }
        self.ids.retain(|_, history| now < history.last_listed + ID_RETENTION);
        let (listed, missing) = (&self.listed, &self.missing);
        self.misdirected.retain(|id, _| listed.contains_key(id) || missing.contains_key(id));
    }

    /// Whether a record is valid, rather than another one at its address.
    fn is_preferred(&self, record: &EndpointRecord, other: &EndpointRecord) -> bool {
        let misdirected_at = |record: &EndpointRecord| {
            let known = self.misdirected.get(&record.id);
            known.filter(|known| known.started_ms == record.started_ms).map(|known| known.last_at)
        };
        match misdirected_at(record).cmp(&misdirected_at(other)) {
            Ordering::Less => true,
            Ordering::Equal => self.is_later(record, other),
            Ordering::Greater => false,
        }
    }

    /// Whether a record is of a later incarnation than another: by the start times of both, or
    /// else by which one was listed first.
    fn is_later(&self, record: &EndpointRecord, other: &EndpointRecord) -> bool {
        match (record.started_ms, other.started_ms) {
            (Some(started), Some(other)) if started != other => started > other,
            _ => self.is_listed_after(record, other),
        }
    }

    fn is_listed_after(&self, record: &EndpointRecord, other: &EndpointRecord) -> bool {
        match (self.ids.get(&record.id), self.ids.get(&other.id)) {
            (Some(history), Some(other)) => history.first_listings.are_after(&other.first_listings),
            _ => record.listed_at > other.listed_at,
        }
    }
}
