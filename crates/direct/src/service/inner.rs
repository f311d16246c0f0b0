//! Lock-protected state of a service: endpoints, groups, capacity shares and waiting calls.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use lynxmount_core::{EndpointId, EndpointRecord, EngineSpec, Mechanism, Mechanisms};
use lynxmount_link::MembersFingerprint;
use lynxmount_policy::{
    EndpointSnapshot, GroupMonitor, LatencyClass, MembershipEvidence, REOPEN_GRACE,
    ReplacementCandidate, RetrySchedule, Selection, ServiceQueue, ShareBorrowing, SlotOwners,
    Ticket, Waiter, earliest_resume, select_endpoint,
};
use tokio::sync::oneshot;

use super::{Grant, PermitRequest, ReplacementSearch, Service, ServiceHistory, Unavailable};
use crate::{
    endpoint::{Capacity, Endpoint, Permit},
    peers::EntryShares,
};

/// An entry's maximum share of an endpoint's slots, as a factor of its even share. It exceeds 1
/// because callers are distributed unevenly over entries.
const SLOT_SHARE_FACTOR: f64 = 1.6;

/// An entry's maximum share of a group's concurrency limit, as a factor of its even share, for the
/// same reason.
const GROUP_SHARE_FACTOR: f64 = 1.15;

/// The engines of a group's ranks, according to the group's notice.
pub(super) struct GroupMembers {
    pub(super) fingerprint: MembersFingerprint,
    pub(super) engines: HashSet<SocketAddr>,
}

pub(super) struct Inner {
    pub(super) endpoints: Vec<Arc<Endpoint>>,
    /// Number of endpoints per group. Cached, as it is read for each event of each stream.
    group_sizes: HashMap<Arc<str>, usize>,
    pub(super) members: HashMap<Arc<str>, GroupMembers>,
    pub(super) groups: GroupMonitor,
    pub(super) queue: ServiceQueue,
    pub(super) waiting: HashMap<Ticket, oneshot::Sender<Permit>>,
    pub(super) history: Arc<ServiceHistory>,
    /// Retry times of callers that were refused while all endpoints were paused.
    pub(super) retry_schedule: RetrySchedule,
    /// When the armed timer grants permits of endpoints that resume.
    pub(super) resume_timer: Option<Duration>,
    /// How far this entry exceeds its shares of endpoints and groups.
    borrowing: ShareBorrowing,
    /// Number of permits granted so far.
    selections: u64,
    /// Path of the endpoints' health check.
    pub(super) health_path: Option<String>,
    /// Maximum concurrent requests of an endpoint of a model service.
    pub(super) slots: Option<u32>,
    /// All entries; `None` until they are known.
    pub(super) owners: Option<SlotOwners>,
    /// Whether this entry knows all entries.
    pub(super) evidence: MembershipEvidence,
    mechanisms: Arc<Mechanisms>,
}

impl Inner {
    pub(super) fn new(history: Arc<ServiceHistory>, mechanisms: Arc<Mechanisms>) -> Inner {
        Inner {
            endpoints: Vec::new(),
            group_sizes: HashMap::new(),
            members: HashMap::new(),
            groups: GroupMonitor::default(),
            queue: ServiceQueue::default(),
            waiting: HashMap::new(),
            history,
            retry_schedule: RetrySchedule::default(),
            resume_timer: None,
            borrowing: ShareBorrowing::default(),
            selections: 0,
            health_path: None,
            slots: None,
            owners: None,
            evidence: MembershipEvidence::default(),
            mechanisms,
        }
    }

    /// Replaces the endpoints. Those whose registration is unchanged keep their state.
    pub(super) fn update<'a>(
        &mut self,
        ready: impl Iterator<Item = &'a EndpointRecord>,
        engine: Option<&EngineSpec>,
        shares: &EntryShares,
        now: Duration,
    ) {
        let previous: HashMap<EndpointId, Arc<Endpoint>> = std::mem::take(&mut self.endpoints)
            .into_iter()
            .map(|endpoint| (EndpointId::clone(&endpoint.record.id), endpoint))
            .collect();
        let mut has_new = false;
        let endpoints = ready.map(|record| {
            let kept = previous.get(&record.id).filter(|kept| record.is_renewal_of(&kept.record));
            kept.cloned().unwrap_or_else(|| {
                has_new = true;
                let backpressure = self.history.backpressure_of(record.incarnation());
                Arc::new(Endpoint::new(record.clone(), backpressure))
            })
        });
        self.endpoints = endpoints.collect();
        drop(previous);
        self.history.remove_old_backpressure(now);
        self.slots = engine.map(|engine| engine.slots);
        self.update_groups();
        let mut budget = self.history.budget.lock();
        budget.set_predecessor(shares.predecessor);
        budget.set_evidence(shares.evidence);
        drop(budget);
        let before = std::mem::replace(&mut self.evidence, shares.evidence);
        let is_same_evidence = before == self.evidence;
        if self.set_owners(&shares.owners) || has_new || !is_same_evidence {
            self.set_limit_shares(now);
        }
    }

    /// Whether an endpoint's incarnation accepts calls according to the newest endpoint list. Other
    /// parts of its registration may differ.
    pub(super) fn is_listed(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.iter().any(|listed| listed.incarnation == endpoint.incarnation)
    }

    /// Whether an endpoint with this address accepts calls.
    pub(super) fn has_address(&self, address: SocketAddr) -> bool {
        self.endpoints.iter().any(|listed| listed.record.address == address)
    }

    /// Number of entries, including this one.
    pub(super) fn entry_count(&self) -> usize {
        self.owners.as_ref().map_or(1, SlotOwners::entries)
    }

    /// Sets this entry's shares of the slots of a model service's endpoints. Calls of other
    /// services are too short for slot ownership to matter. Returns whether the entries have
    /// changed.
    fn set_owners(&mut self, owners: &SlotOwners) -> bool {
        let is_same = self.owners.as_ref() == Some(owners);
        if let Some(slots) = self.slots.filter(|_| self.mechanisms.has(Mechanism::OwnSlots)) {
            for endpoint in self.endpoints.iter().filter(|e| !is_same || !e.has_own_slots()) {
                endpoint.set_own_slots(owners.own_slots(&endpoint.record.id, slots));
            }
        }
        if !is_same {
            self.owners = Some(owners.clone());
        }
        !is_same
    }

    /// Assigns endpoints to their groups, and removes groups without endpoints.
    pub(super) fn update_groups(&mut self) {
        let Inner { endpoints, group_sizes, members, .. } = self;
        members.retain(|group, members| {
            let own = endpoints.iter().filter(|e| members.engines.contains(&e.record.address));
            own.fold(false, |_, endpoint| {
                endpoint.set_group(group);
                true
            })
        });
        group_sizes.clear();
        for endpoint in endpoints.iter() {
            *group_sizes.entry(endpoint.group()).or_default() += 1;
        }
    }

    /// Selects an endpoint. Also returns when the next paused endpoint resumes.
    pub(super) fn select(
        &self,
        tried: &[EndpointId],
        now: Duration,
    ) -> (Selection, Option<Duration>) {
        let mut shares: HashMap<Arc<str>, Option<f64>> = HashMap::new();
        let snapshots: Vec<EndpointSnapshot> = self
            .endpoints
            .iter()
            .map(|endpoint| {
                let group = endpoint.group();
                let share = *shares.entry(group).or_insert_with_key(|group| {
                    self.group_share(group)
                        .map(|share| share * GROUP_SHARE_FACTOR * self.borrowing.factor())
                });
                endpoint.snapshot(self.capacity_of(endpoint, share, now), tried, &self.groups)
            })
            .map(|snapshot| self.without_disabled(snapshot))
            .collect();
        (select_endpoint(&snapshots), earliest_resume(&snapshots))
    }

    /// Adapts this entry's shares to what all entries use; `selection` is what a call has found.
    pub(super) fn adapt_shares(&mut self, selection: Selection, now: Duration) {
        let Some(utilization) = self.utilization() else { return };
        let is_share_used_up = selection == Selection::Full;
        self.borrowing.update(utilization, is_share_used_up, self.entry_count(), now);
    }

    /// The part of the capacity that the calls of all entries use, by the endpoints that have
    /// reported their load recently; `None` if less than half of them have.
    fn utilization(&self) -> Option<f64> {
        let reported: Vec<(u32, f64)> = self
            .endpoints
            .iter()
            .filter_map(|endpoint| Some((endpoint.total_running()?, self.usable_slots(endpoint))))
            .collect();
        let running: u32 = reported.iter().map(|(running, _)| running).sum();
        let slots: f64 = reported.iter().map(|(_, slots)| slots).sum();
        let is_enough = 2 * reported.len() >= self.endpoints.len() && slots > 0.0;
        is_enough.then(|| f64::from(running) / slots)
    }

    /// The slots of an endpoint that the concurrency limit of its group allows.
    fn usable_slots(&self, endpoint: &Endpoint) -> f64 {
        let slots = f64::from(self.slots.unwrap_or(endpoint.record.slots).max(1));
        slots * self.groups.limit_fraction(&endpoint.group())
    }

    /// Resets the parts of a snapshot whose mechanisms are disabled.
    fn without_disabled(&self, snapshot: EndpointSnapshot) -> EndpointSnapshot {
        let has = |mechanism| self.mechanisms.has(mechanism);
        EndpointSnapshot {
            others_running: if has(Mechanism::ReportedLoad) { snapshot.others_running } else { 0 },
            latency_class: if has(Mechanism::GroupChoice) {
                snapshot.latency_class
            } else {
                LatencyClass::OnTime
            },
            is_at_limit: snapshot.is_at_limit && has(Mechanism::ConcurrencyLimit),
            is_ejected: snapshot.is_ejected && has(Mechanism::Health),
            ..snapshot
        }
    }

    fn capacity_of(
        &self,
        endpoint: &Endpoint,
        group_share: Option<f64>,
        now: Duration,
    ) -> Capacity {
        let total = self.slots.unwrap_or(endpoint.record.slots).max(1);
        let share = f64::from(total) / self.entry_count() as f64 * SLOT_SHARE_FACTOR;
        let share = share * self.borrowing.factor();
        let own = (share.ceil() as u32).clamp(1, total);
        Capacity { total, own, group_share, now }
    }

    /// Queues a call until a group opens, while all groups are closed. The call is late in any
    /// case, and if it were refused, its caller would spend its last retry on returning. At most as
    /// many calls wait as can start at once when a group opens. No call waits for a blocked group.
    ///
    /// Fails at once if no group is expected to open in time for the call.
    pub(super) fn park_until_open(
        &mut self,
        request: PermitRequest<'_>,
        now: Duration,
    ) -> Result<Grant, Unavailable> {
        let groups: Vec<Arc<str>> =
            self.endpoints.iter().map(|endpoint| endpoint.group()).collect();
        let opens_by = self.groups.expected_open_by(groups.iter().map(|group| &**group), now);
        let is_in_time = |by: &Duration| {
            by.saturating_sub(REOPEN_GRACE) <= request.park_until
                && self.mechanisms.has(Mechanism::Holds)
        };
        let until = opens_by.filter(is_in_time).map(|by| by.min(request.park_until));
        let Some(until) = until.filter(|_| self.queue.len() < self.max_own_calls()) else {
            let retry_after = opens_by.map_or(Duration::ZERO, |by| by.saturating_sub(now));
            return Err(Unavailable::Full { retry_after });
        };
        let ticket = self.queue.park(Waiter { wait_until: until, ..request.waiter }, now);
        Ok(self.enqueue(ticket, until))
    }

    pub(super) fn enqueue(&mut self, ticket: Ticket, until: Duration) -> Grant {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        Grant::Queued { until, ticket, receiver }
    }

    /// Maximum number of concurrent calls from this entry at all endpoints.
    fn max_own_calls(&self) -> usize {
        let capacities =
            self.endpoints.iter().map(|endpoint| self.capacity_of(endpoint, None, Duration::ZERO));
        capacities.map(|capacity| capacity.own as usize).sum()
    }

    /// This entry's even share of a group's slots, for a model service.
    pub(super) fn group_share(&self, group: &str) -> Option<f64> {
        let ranks = self.group_sizes.get(group).copied().unwrap_or_default();
        Some(f64::from(self.slots?) * ranks as f64 / self.entry_count() as f64)
    }

    /// Whether an endpoint that was selected may replace another one.
    pub(super) fn may_replace(
        &self,
        index: usize,
        search: ReplacementSearch<'_>,
        now: Duration,
    ) -> bool {
        let endpoint = &self.endpoints[index];
        let slots = self.slots.unwrap_or(endpoint.record.slots);
        let even_share = slots / self.entry_count() as u32;
        let candidate = ReplacementCandidate {
            was_tried: search.tried.contains(&endpoint.record.id),
            is_in_stalled_group: search.stalled_group.is_some_and(|g| *g == *endpoint.group()),
            is_slow: endpoint.is_slow(now),
            own_running: endpoint.own_running(),
            own_slots: endpoint.own_slots().unwrap_or(even_share),
            reported_running: endpoint.total_running(),
            slots,
        };
        candidate.may_replace(search.is_slot_required)
    }

    /// Grants a permit at the selected endpoint.
    pub(super) fn grant(&mut self, index: usize, service: &Arc<Service>) -> Permit {
        self.selections += 1;
        let endpoint = Arc::clone(&self.endpoints[index]);
        endpoint.on_selected(self.selections, service.now());
        let permit = Permit::new(endpoint, Arc::clone(service));
        if let Some(probe_at) = self.groups.on_sent(permit.group(), service.now()) {
            service.wake_at(probe_at);
        }
        permit
    }
}
