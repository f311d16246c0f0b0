//! Which endpoints are gone, and which are only missing from the list.
//!
//! Registrations lapse while the platform's store can't be written. Those of
//! live endpoints are back about two seconds after the store is; one that is
//! missing after that is gone.
//!
//! An endpoint that restarts at its address under another id leaves its former
//! registration behind for three heartbeats. Two that name one address are two
//! lives of it, of which the later one holds: half of the calls that were sent after
//! a loss of power went to ids that were gone.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lynxmount_core::{EndpointId, EndpointList, EndpointRecord, Offset};

/// How long after the store is back a missing registration may still appear.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// By how much longer than the usual period two reads must lie apart for the store to
/// have been out of reach. Registrations lapse after three heartbeats, 3.6 s on the
/// reference deployments, so that this and a period of 1.7 s are soon enough. A limit
/// that does not follow the period took each read for one after an outage where the
/// period was longer, and a registration that was removed was never believed to be.
const LATE_READ: Duration = Duration::from_millis(650);

/// The period of reads if nothing else is said.
const USUAL_READ_PERIOD: Duration = Duration::from_millis(850);

/// How long after its last registration an id is remembered: a registration that
/// was on its way when its endpoint ended may be seen much later.
const ID_LIFE: Duration = Duration::from_secs(60);

/// Since when an id has been known.
#[derive(Clone, Copy, Debug)]
struct Known {
    listed_at: Offset,
    last_listed: Duration,
}

/// What is believed of the endpoints.
#[derive(Debug)]
pub struct Membership {
    /// Whether of two lives at one address the later one holds.
    tells_lives_apart: bool,
    /// How often the list is read while the store answers.
    read_period: Duration,
    known: BTreeMap<EndpointId, Known>,
    listed: BTreeMap<EndpointId, EndpointRecord>,
    /// Missing since an outage, and until when they may come back.
    missing: BTreeMap<EndpointId, EndpointRecord>,
    last_read: Option<Duration>,
    /// Up to which position of the store's log the list was read.
    read_to: Offset,
    doubted_until: Duration,
}

impl Default for Membership {
    /// Starts with no endpoint, and tells lives apart.
    fn default() -> Membership {
        Membership::new(true, USUAL_READ_PERIOD)
    }
}

impl Membership {
    /// Starts with no endpoint; the list is read with this period while the store
    /// answers.
    pub fn new(tells_lives_apart: bool, read_period: Duration) -> Membership {
        Membership {
            tells_lives_apart,
            read_period,
            known: BTreeMap::new(),
            listed: BTreeMap::new(),
            missing: BTreeMap::new(),
            last_read: None,
            read_to: 0,
            doubted_until: Duration::ZERO,
        }
    }

    /// Takes a list that was just read from the store.
    pub fn update(&mut self, list: &EndpointList, now: Duration) {
        let late_after = self.read_period + LATE_READ;
        let was_out = self.last_read.is_some_and(|read| now.saturating_sub(read) > late_after);
        if was_out {
            self.doubted_until = now + RETURN_TIME;
        }
        self.last_read = Some(now);
        self.read_to = list.read_to;
        let before = std::mem::take(&mut self.listed);
        let listed = list.endpoints.iter();
        self.listed = listed.map(|e| (EndpointId::clone(&e.id), e.clone())).collect();
        let vanished = before.into_iter().filter(|(id, _)| !self.listed.contains_key(id));
        match now < self.doubted_until {
            true => self.missing.extend(vanished),
            false => self.missing.clear(),
        }
        self.missing.retain(|id, _| !self.listed.contains_key(id));
        self.remember(now);
    }

    /// Takes a list that another process has read from the store, if it is newer. Whoever
    /// the store turns away would otherwise go on sending to endpoints that leave.
    pub fn update_from_peer(&mut self, list: &EndpointList, now: Duration) {
        if list.read_to > self.read_to {
            self.update(list, now);
        }
    }

    /// The endpoints that may live, the latest life of each address.
    pub fn endpoints(&self) -> Vec<EndpointRecord> {
        let mut latest: BTreeMap<SocketAddr, &EndpointRecord> = BTreeMap::new();
        for record in self.missing.values().chain(self.listed.values()) {
            let known = latest.entry(record.address).or_insert(record);
            if self.begins_later(record, known) {
                *known = record;
            }
        }
        let is_latest = |record: &&EndpointRecord| {
            !self.tells_lives_apart || latest[&record.address].id == record.id
        };
        let may_live = self.listed.values().chain(self.missing.values());
        may_live.filter(is_latest).cloned().collect()
    }

    fn remember(&mut self, now: Duration) {
        for (id, record) in &self.listed {
            let new = Known { listed_at: record.listed_at, last_listed: now };
            self.known.entry(EndpointId::clone(id)).or_insert(new).last_listed = now;
        }
        self.known.retain(|_, known| now < known.last_listed + ID_LIFE);
    }

    /// Says whether a life of an endpoint began after another: by what both tell, or
    /// else by which one was listed first.
    fn begins_later(&self, record: &EndpointRecord, other: &EndpointRecord) -> bool {
        let listed_at = |record: &EndpointRecord| {
            self.known.get(&record.id).map_or(record.listed_at, |known| known.listed_at)
        };
        match (record.started_ms, other.started_ms) {
            (Some(started), Some(other)) if started != other => started > other,
            _ => listed_at(record) > listed_at(other),
        }
    }
}
