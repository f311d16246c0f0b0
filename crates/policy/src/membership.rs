//! Which endpoints are gone, and which are only missing from the list.
//!
//! Registrations lapse while the platform's store can't be written. Those of
//! live endpoints are back about two seconds after the store is; one that is
//! missing after that is gone.

use std::{collections::BTreeMap, time::Duration};

use lynxmount_core::{EndpointId, EndpointList, EndpointRecord};

/// How long after the store is back a missing registration may still appear.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// How long the store must have been out of reach for registrations to lapse:
/// less than three heartbeats of the reference deployments.
const SHORT_OUTAGE: Duration = Duration::from_millis(1500);

/// What is believed of the endpoints.
#[derive(Debug, Default)]
pub struct Membership {
    listed: BTreeMap<EndpointId, EndpointRecord>,
    /// Missing since an outage, and until when they may come back.
    missing: BTreeMap<EndpointId, EndpointRecord>,
    last_read: Option<Duration>,
    doubted_until: Duration,
}

impl Membership {
    /// Takes a list that was just read from the store.
    pub fn take(&mut self, list: &EndpointList, now: Duration) {
        let was_out = self.last_read.is_some_and(|read| now.saturating_sub(read) > SHORT_OUTAGE);
        if was_out {
            self.doubted_until = now + RETURN_TIME;
        }
        self.last_read = Some(now);
        let before = std::mem::take(&mut self.listed);
        let listed = list.endpoints.iter();
        self.listed = listed.map(|e| (EndpointId::clone(&e.id), e.clone())).collect();
        let vanished = before.into_iter().filter(|(id, _)| !self.listed.contains_key(id));
        match now < self.doubted_until {
            true => self.missing.extend(vanished),
            false => self.missing.clear(),
        }
        self.missing.retain(|id, _| !self.listed.contains_key(id));
    }

    /// The endpoints that may live.
    pub fn endpoints(&self) -> Vec<EndpointRecord> {
        self.listed.values().chain(self.missing.values()).cloned().collect()
    }
}
