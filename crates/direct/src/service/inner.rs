//! Endpoints of a service under its lock: which one is chosen, what fits there, who waits.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use lynxmount_core::{EndpointId, EndpointLife, EndpointRecord, EngineSpec, Mechanism, Mechanisms};
use lynxmount_link::MembersFingerprint;
use lynxmount_policy::{
    EndpointBackpressure, EndpointSnapshot, GroupMonitor, LatencyClass, REOPEN_GRACE,
    RetrySchedule, Selection, ServiceQueue, SlotOwners, Ticket, Waiter, WindowBudget,
    earliest_resume, select_endpoint,
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::{Offered, Service, Unavailable, Want};
use crate::endpoint::{Capacity, Endpoint, Permit};

/// The part of an endpoint's slots that one of several entries may take beyond
/// its even share: callers are spread unevenly over entries.
const UNEVEN_SHARE: f64 = 1.6;

/// By how much one entry may exceed its even share of what a service may run, for
/// the same reason.
const UNEVEN_LIMIT: f64 = 1.15;

/// Who the ranks of a group are, as its process has told.
pub(super) struct Members {
    pub(super) fingerprint: MembersFingerprint,
    pub(super) engines: HashSet<SocketAddr>,
}

pub(super) struct Inner {
    pub(super) endpoints: Vec<Arc<Endpoint>>,
    /// How many endpoints each group has: asked for with each event of each stream, so
    /// that they are not counted anew then.
    group_sizes: HashMap<Arc<str>, usize>,
    pub(super) members: HashMap<Arc<str>, Members>,
    pub(super) groups: GroupMonitor,
    pub(super) queue: ServiceQueue,
    pub(super) waiting: HashMap<Ticket, oneshot::Sender<Permit>>,
    pub(super) budget: WindowBudget,
    /// Turns of callers that were refused while all endpoints paused.
    pub(super) returns: RetrySchedule,
    /// When waiting calls are granted permits that endpoints take again.
    pub(super) resume_timer: Option<Duration>,
    /// What all lives of endpoints have asked for, also those that are not listed for a while.
    advice: HashMap<EndpointLife, Arc<Mutex<EndpointBackpressure>>>,
    choices: u64,
    /// Where endpoints tell their health.
    pub(super) health_path: Option<String>,
    /// Requests that one endpoint runs at once.
    pub(super) slots: Option<u32>,
    /// All entries, once they are known.
    pub(super) owners: Option<SlotOwners>,
    mechanisms: Arc<Mechanisms>,
}

impl Inner {
    pub(super) fn new(budget: WindowBudget, mechanisms: Arc<Mechanisms>) -> Inner {
        Inner {
            endpoints: Vec::new(),
            group_sizes: HashMap::new(),
            members: HashMap::new(),
            groups: GroupMonitor::default(),
            queue: ServiceQueue::default(),
            waiting: HashMap::new(),
            budget,
            returns: RetrySchedule::default(),
            resume_timer: None,
            advice: HashMap::new(),
            choices: 0,
            health_path: None,
            slots: None,
            owners: None,
            mechanisms,
        }
    }

    /// Takes over endpoints; what is known of those that stay is kept.
    pub(super) fn update<'a>(
        &mut self,
        ready: impl Iterator<Item = &'a EndpointRecord>,
        engine: Option<&EngineSpec>,
        owners: &SlotOwners,
        now: Duration,
    ) {
        let known: HashMap<EndpointId, Arc<Endpoint>> = std::mem::take(&mut self.endpoints)
            .into_iter()
            .map(|endpoint| (EndpointId::clone(&endpoint.record.id), endpoint))
            .collect();
        let mut has_new = false;
        let endpoints = ready.map(|record| {
            let kept = known.get(&record.id).filter(|endpoint| endpoint.record == *record);
            kept.cloned().unwrap_or_else(|| {
                has_new = true;
                let advice = self.advice.entry(record.life()).or_default();
                Arc::new(Endpoint::new(record.clone(), Arc::clone(advice)))
            })
        });
        self.endpoints = endpoints.collect();
        drop(known);
        let is_in_use = |advice: &Arc<_>| Arc::strong_count(advice) > 1;
        self.advice.retain(|_, advice| is_in_use(advice) || advice.lock().is_recent(now));
        self.slots = engine.map(|engine| engine.slots);
        self.note_groups();
        if self.set_owners(owners) || has_new {
            self.set_limit_shares(now);
        }
    }

    /// Says whether this life of an endpoint takes calls, by the newest list. What else its
    /// registration tells may have changed since a call was sent there.
    pub(super) fn is_listed(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.iter().any(|listed| listed.life == endpoint.life)
    }

    /// Says whether an endpoint takes calls at an address.
    pub(super) fn has_address(&self, address: SocketAddr) -> bool {
        self.endpoints.iter().any(|listed| listed.record.address == address)
    }

    /// How many entries there are, this one included.
    pub(super) fn entries(&self) -> usize {
        self.owners.as_ref().map_or(1, SlotOwners::entries)
    }

    /// Gives the endpoints of a model service what this entry has of their slots. Calls
    /// of other services end before a slot's owner matters. Returns whether the entries changed.
    fn set_owners(&mut self, owners: &SlotOwners) -> bool {
        let are_same = self.owners.as_ref() == Some(owners);
        if let Some(slots) = self.slots.filter(|_| self.mechanisms.has(Mechanism::OwnSlots)) {
            for endpoint in self.endpoints.iter().filter(|e| !are_same || !e.has_own_slots()) {
                endpoint.note_own_slots(owners.own_slots(&endpoint.record.id, slots));
            }
        }
        if !are_same {
            self.owners = Some(owners.clone());
        }
        !are_same
    }

    /// Gives all endpoints their groups, and forgets groups without endpoints.
    pub(super) fn note_groups(&mut self) {
        let Inner { endpoints, group_sizes, members, .. } = self;
        members.retain(|group, members| {
            let own = endpoints.iter().filter(|e| members.engines.contains(&e.record.address));
            own.fold(false, |_, endpoint| {
                endpoint.note_group(group);
                true
            })
        });
        group_sizes.clear();
        for endpoint in endpoints.iter() {
            *group_sizes.entry(endpoint.group()).or_default() += 1;
        }
    }

    /// Chooses an endpoint, and says when the next one resumes that has asked for a pause.
    pub(super) fn choose(
        &self,
        tried: &[EndpointId],
        now: Duration,
    ) -> (Selection, Option<Duration>) {
        let mut shares: HashMap<Arc<str>, Option<f64>> = HashMap::new();
        let seats: Vec<EndpointSnapshot> = self
            .endpoints
            .iter()
            .map(|endpoint| {
                let group = endpoint.group();
                let share = *shares.entry(group).or_insert_with_key(|group| {
                    self.group_share(group).map(|share| share * UNEVEN_LIMIT)
                });
                endpoint.seat(self.room(endpoint, share, now), tried, &self.groups)
            })
            .map(|seat| self.as_used(seat))
            .collect();
        (select_endpoint(&seats), earliest_resume(&seats))
    }

    /// Leaves out of a seat what is switched off.
    fn as_used(&self, seat: EndpointSnapshot) -> EndpointSnapshot {
        let has = |mechanism| self.mechanisms.has(mechanism);
        EndpointSnapshot {
            others_running: if has(Mechanism::ReportedLoad) { seat.others_running } else { 0 },
            latency_class: if has(Mechanism::GroupChoice) {
                seat.latency_class
            } else {
                LatencyClass::OnTime
            },
            is_at_limit: seat.is_at_limit && has(Mechanism::PaceLimit),
            is_ejected: seat.is_ejected && has(Mechanism::Health),
            ..seat
        }
    }

    fn room(&self, endpoint: &Endpoint, group_share: Option<f64>, now: Duration) -> Capacity {
        let capacity = self.slots.unwrap_or(endpoint.record.slots).max(1);
        let share = f64::from(capacity) / self.entries() as f64 * UNEVEN_SHARE;
        let own_capacity = (share.ceil() as u32).clamp(1, capacity);
        Capacity { capacity, own_capacity, group_share, now }
    }

    /// Lets a call wait for a group to open, all of which are closed: it is late in
    /// any case, and sent away it would spend its last try on coming back. As many
    /// wait as can start at once then. Nobody waits for a blocked group.
    ///
    /// Fails at once if no group is expected to open in time for the call.
    pub(super) fn hold(&mut self, want: Want<'_>, now: Duration) -> Result<Offered, Unavailable> {
        let groups: Vec<Arc<str>> =
            self.endpoints.iter().map(|endpoint| endpoint.group()).collect();
        let opening_by = self.groups.expected_open_by(groups.iter().map(|group| &**group), now);
        let is_in_time = |by: &Duration| {
            by.saturating_sub(REOPEN_GRACE) <= want.hold_until
                && self.mechanisms.has(Mechanism::Holds)
        };
        let until = opening_by.filter(is_in_time).map(|by| by.min(want.hold_until));
        let Some(until) = until.filter(|_| self.queue.len() < self.places()) else {
            let retry_after = opening_by.map_or(Duration::ZERO, |by| by.saturating_sub(now));
            return Err(Unavailable::Full { retry_after });
        };
        let ticket = self.queue.park(Waiter { wait_until: until, ..want.waiter }, now);
        Ok(self.wait(ticket, until))
    }

    pub(super) fn wait(&mut self, ticket: Ticket, until: Duration) -> Offered {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        Offered::Wait { until, ticket, receiver }
    }

    /// Calls of this entry that may be in progress at all endpoints.
    fn places(&self) -> usize {
        let rooms = self.endpoints.iter().map(|endpoint| self.room(endpoint, None, Duration::ZERO));
        rooms.map(|room| room.own_capacity as usize).sum()
    }

    /// This entry's share of what a group may run, for a model service.
    pub(super) fn group_share(&self, group: &str) -> Option<f64> {
        let ranks = self.group_sizes.get(group).copied().unwrap_or_default();
        Some(f64::from(self.slots?) * ranks as f64 / self.entries() as f64)
    }

    pub(super) fn take(&mut self, index: usize, service: &Arc<Service>) -> Permit {
        self.choices += 1;
        let endpoint = Arc::clone(&self.endpoints[index]);
        endpoint.on_chosen(self.choices, service.now());
        let permit = Permit::new(endpoint, Arc::clone(service));
        if let Some(probe_at) = self.groups.on_sent(permit.group(), service.now()) {
            service.wake_at(probe_at);
        }
        permit
    }
}
