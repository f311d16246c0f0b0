//! One service: who gets a place now, who waits, who is refused.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use lynxmount_core::{
    Clock, EndpointId, EndpointRecord, EngineSpec, Mechanism, Mechanisms, SiteBounds,
};
use lynxmount_link::{GroupMembersNotice, GroupNotice, MembersFingerprint};
use lynxmount_policy::{
    GroupChange, GroupWatch, Offer, PaceClass, Placement, Seat, ServiceQueue, SlotOwners,
    StreamEvent, Ticket, Waiter, WindowBudget, WindowBudgetOptions, place,
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::endpoint::{Endpoint, Place, Room};

/// The part of an endpoint's slots that one of several entries may take beyond
/// its even share: callers are spread unevenly over entries.
const UNEVEN_SHARE: f64 = 1.6;

/// By how much one entry may exceed its even share of what a service may run, for
/// the same reason.
const UNEVEN_LIMIT: f64 = 1.15;

/// What a call wants of a place.
pub(crate) struct Want<'a> {
    pub(crate) waiter: Waiter,
    /// Until when it may wait for a group to open: it is late then, and must still
    /// come to its end.
    pub(crate) hold_until: Duration,
    pub(crate) tried: &'a [EndpointId],
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoPlace {
    /// All are taken for longer than the call may wait.
    Full { retry_after: Duration },
    /// No endpoint takes calls.
    Nowhere,
}

/// The endpoints of one service.
pub(crate) struct Service {
    clock: Clock,
    /// How long a group stalls when it has lost a rank.
    group_stall: Duration,
    pub(crate) mechanisms: Arc<Mechanisms>,
    inner: Mutex<Inner>,
}

/// Who the ranks of a group are, as its process has told.
struct Members {
    fingerprint: MembersFingerprint,
    engines: HashSet<SocketAddr>,
}

struct Inner {
    endpoints: Vec<Arc<Endpoint>>,
    members: HashMap<Arc<str>, Members>,
    groups: GroupWatch,
    queue: ServiceQueue,
    waiting: HashMap<Ticket, oneshot::Sender<Place>>,
    budget: WindowBudget,
    choices: u64,
    /// Requests that one endpoint runs at once.
    slots: Option<u32>,
    entries: usize,
    /// The entries that the endpoints' slots were divided among last.
    owners: Option<SlotOwners>,
    mechanisms: Arc<Mechanisms>,
}

impl Service {
    pub(crate) fn new(clock: Clock, bounds: &SiteBounds, mechanisms: Arc<Mechanisms>) -> Service {
        let options = WindowBudgetOptions {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let inner = Inner {
            endpoints: Vec::new(),
            members: HashMap::new(),
            groups: GroupWatch::default(),
            queue: ServiceQueue::default(),
            waiting: HashMap::new(),
            budget: WindowBudget::new(options),
            choices: 0,
            slots: None,
            entries: 1,
            owners: None,
            mechanisms: Arc::clone(&mechanisms),
        };
        Service { clock, group_stall: bounds.group_stall, mechanisms, inner: Mutex::new(inner) }
    }

    pub(crate) fn update<'a>(
        self: &Arc<Service>,
        ready: impl Iterator<Item = &'a EndpointRecord>,
        engine: Option<&EngineSpec>,
        owners: &SlotOwners,
    ) {
        let mut inner = self.inner.lock();
        let known = std::mem::take(&mut inner.endpoints);
        let endpoints = ready.map(|record| {
            let kept = known.iter().find(|endpoint| endpoint.record == *record);
            kept.cloned().unwrap_or_else(|| Arc::new(Endpoint::new(record.clone())))
        });
        inner.endpoints = endpoints.collect();
        inner.note_groups();
        let experts = engine.and_then(|engine| engine.experts);
        inner.groups.set_usual_outage(experts.map(|spec| self.group_stall + spec.form_time));
        inner.slots = engine.map(|engine| engine.slots);
        inner.entries = owners.entries();
        inner.note_owners(owners);
        drop(inner);
        self.wake();
    }

    /// The time since the process's start.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The endpoints whose engines may be ranks of groups.
    pub(crate) fn ranks(&self) -> Vec<Arc<Endpoint>> {
        let inner = self.inner.lock();
        if inner.slots.is_none() { Vec::new() } else { inner.endpoints.clone() }
    }

    /// Which members of a group are known, if it is of this service.
    pub(crate) fn known_members(&self, group: &str) -> Option<MembersFingerprint> {
        self.inner.lock().members.get(group).map(|members| members.fingerprint)
    }

    /// Takes who the ranks of a group are, if they are endpoints of this service.
    pub(crate) fn note_members(&self, told: &GroupMembersNotice) {
        let mut inner = self.inner.lock();
        let is_own = |endpoint: &Arc<Endpoint>| told.engines.contains(&endpoint.record.address);
        if !inner.endpoints.iter().any(is_own) || !self.mechanisms.has(Mechanism::GroupNotices) {
            return;
        }
        let engines = told.engines.iter().copied().collect();
        let members = Members { fingerprint: told.fingerprint(), engines };
        inner.members.insert(told.group.as_str().into(), members);
        inner.note_groups();
    }

    /// Takes what a group's process tells, if the group is of this service.
    pub(crate) fn note_notice(self: &Arc<Service>, notice: &GroupNotice) {
        let group: Arc<str> = notice.group.as_str().into();
        let mut inner = self.inner.lock();
        let is_own = inner.endpoints.iter().any(|endpoint| endpoint.group() == group);
        if !is_own || !self.mechanisms.has(Mechanism::GroupNotices) {
            return;
        }
        let now = self.now();
        inner.groups.note_pass(&group, notice.pass, now);
        let change = inner.groups.note_told(&group, notice.is_open, now);
        if let Some(change) = change {
            log::info!(group = &*group, change:? = change; "a group has told its state");
        }
        if change == Some(GroupChange::Opened) {
            inner.queue.resume(now);
            drop(inner);
            self.wake();
        }
    }

    /// Takes an event of a stream in a group, how long after the one before, and the
    /// longest pause that is on time.
    pub(crate) fn note_event(&self, group: &str, pause: Option<Duration>, goal: Option<Duration>) {
        let mut inner = self.inner.lock();
        let share = inner.group_share(group).unwrap_or(f64::INFINITY);
        inner.groups.note_event(group, StreamEvent { pause, goal, share }, self.now());
    }

    /// How long ago the last event of any stream in a group was.
    pub(crate) fn group_silent_for(&self, group: &str) -> Option<Duration> {
        self.inner.lock().groups.silent_for(group, self.now())
    }

    /// Says whether a group is late and another is not.
    pub(crate) fn is_better_elsewhere(&self, group: &str) -> bool {
        self.mechanisms.has(Mechanism::GroupChoice)
            && self.inner.lock().groups.is_better_elsewhere(group, self.now())
    }

    /// Counts the first arrival of a call.
    pub(crate) fn note_call(&self) {
        self.inner.lock().budget.note_call(self.now());
    }

    /// Takes a repeat from the service's budget, if there is one.
    pub(crate) fn take_repeat(&self) -> bool {
        let mut inner = self.inner.lock();
        let entries = inner.entries;
        self.mechanisms.has(Mechanism::Repeats) && inner.budget.take(entries, self.now())
    }

    /// Waits for a place until the call may not wait any more.
    ///
    /// Fails at once if the wait would be too long or nothing takes calls.
    pub(crate) async fn place(self: &Arc<Service>, want: Want<'_>) -> Result<Place, NoPlace> {
        let (wait_until, ticket, receiver) = match self.offer(want)? {
            Offered::Place(place) => return Ok(place),
            Offered::Wait { until, ticket, receiver } => (until, ticket, receiver),
        };
        let _guard = WaitGuard { service: self, ticket };
        let limit = wait_until.saturating_sub(self.now());
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(place)) => Ok(place),
            _ => Err(NoPlace::Full { retry_after: self.inner.lock().queue.drain_time() }),
        }
    }

    fn offer(self: &Arc<Service>, want: Want<'_>) -> Result<Offered, NoPlace> {
        let now = self.now();
        let mut inner = self.inner.lock();
        let free = match inner.choose(want.tried, now) {
            Placement::Nowhere => return Err(NoPlace::Nowhere),
            Placement::Closed => return inner.hold(want, now),
            Placement::Full => None,
            Placement::At(index) => Some(index),
        };
        let until = want.waiter.wait_until;
        if free.is_none() && !self.mechanisms.has(Mechanism::WaitEstimate) {
            let ticket = inner.queue.hold(want.waiter, now);
            return Ok(inner.wait(ticket, until));
        }
        match (inner.queue.offer(want.waiter, free.is_some(), now), free) {
            (Offer::Start, Some(index)) => Ok(Offered::Place(inner.take(index, self))),
            (Offer::Wait(ticket), _) => Ok(inner.wait(ticket, until)),
            (Offer::Refuse { retry_after }, _) => Err(NoPlace::Full { retry_after }),
            (Offer::Start, None) => Err(NoPlace::Full { retry_after: Duration::ZERO }),
        }
    }

    /// Notes that an endpoint of a group has refused because it runs nothing.
    pub(crate) fn note_refusal(self: &Arc<Service>, group: &str) {
        if !self.mechanisms.has(Mechanism::OutageWatch) {
            return;
        }
        let begins = self.inner.lock().groups.note_refusal(group, self.now());
        if let Some(probe_at) = begins {
            log::info!(group; "the group runs nothing for now");
            self.wake_at(probe_at);
        }
    }

    /// Notes that an endpoint of a group has answered.
    pub(crate) fn note_answer(self: &Arc<Service>, group: &str) {
        let mut inner = self.inner.lock();
        let now = self.now();
        if inner.groups.note_answer(group, now) {
            inner.queue.resume(now);
            drop(inner);
            log::info!(group; "the group runs again");
            self.wake();
        }
    }

    /// Takes a place back.
    pub(crate) fn give_back(self: &Arc<Service>, group: &str) {
        self.inner.lock().groups.note_ended(group);
        self.wake();
    }

    /// Hands free places out at a later time.
    fn wake_at(self: &Arc<Service>, at: Duration) {
        let service = Arc::clone(self);
        let wait = at.saturating_sub(self.now());
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            service.wake();
        });
    }

    /// Hands free places to waiting calls.
    fn wake(self: &Arc<Service>) {
        let unwanted = self.hand_out();
        // Places whose call has just gone are given back without the lock.
        drop(unwanted);
    }

    fn hand_out(self: &Arc<Service>) -> Vec<Place> {
        let now = self.now();
        let mut unwanted = Vec::new();
        let mut inner = self.inner.lock();
        while !inner.queue.is_empty() {
            let Placement::At(index) = inner.choose(&[], now) else { break };
            let Some(ticket) = inner.queue.start_next(now) else { break };
            let Some(sender) = inner.waiting.remove(&ticket) else { continue };
            let place = inner.take(index, self);
            unwanted.extend(sender.send(place).err());
        }
        unwanted
    }
}

enum Offered {
    Place(Place),
    Wait { until: Duration, ticket: Ticket, receiver: oneshot::Receiver<Place> },
}

/// Takes a ticket out of the queue if its call stops waiting.
struct WaitGuard<'a> {
    service: &'a Service,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.inner.lock();
        inner.queue.remove(self.ticket, self.service.now());
        inner.waiting.remove(&self.ticket);
    }
}

impl Inner {
    /// Gives the endpoints of a model service what this entry has of their slots. Calls
    /// of other services end before a slot's owner matters.
    fn note_owners(&mut self, owners: &SlotOwners) {
        let Some(slots) = self.slots.filter(|_| self.mechanisms.has(Mechanism::OwnSlots)) else {
            return;
        };
        let are_same = self.owners.as_ref() == Some(owners);
        for endpoint in self.endpoints.iter().filter(|e| !are_same || !e.has_own_slots()) {
            endpoint.note_own_slots(owners.own_slots(&endpoint.record.id, slots));
        }
        self.owners = Some(owners.clone());
    }

    /// Gives all endpoints their groups, and forgets groups without endpoints.
    fn note_groups(&mut self) {
        let Inner { endpoints, members, .. } = self;
        members.retain(|group, members| {
            let own = endpoints.iter().filter(|e| members.engines.contains(&e.record.address));
            own.fold(false, |_, endpoint| {
                endpoint.note_group(group);
                true
            })
        });
    }

    fn choose(&self, tried: &[EndpointId], now: Duration) -> Placement {
        let mut shares: HashMap<Arc<str>, Option<f64>> = HashMap::new();
        let seats: Vec<Seat> = self
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
        place(&seats)
    }

    /// Leaves out of a seat what is switched off.
    fn as_used(&self, seat: Seat) -> Seat {
        let has = |mechanism| self.mechanisms.has(mechanism);
        Seat {
            others_running: if has(Mechanism::ReportedLoad) { seat.others_running } else { 0 },
            pace: if has(Mechanism::GroupChoice) { seat.pace } else { PaceClass::OnTime },
            is_limited: seat.is_limited && has(Mechanism::PaceLimit),
            is_ejected: seat.is_ejected && has(Mechanism::Health),
            ..seat
        }
    }

    fn room(&self, endpoint: &Endpoint, group_share: Option<f64>, now: Duration) -> Room {
        let capacity = self.slots.unwrap_or(endpoint.record.slots).max(1);
        let share = f64::from(capacity) / self.entries as f64 * UNEVEN_SHARE;
        let own_capacity = (share.ceil() as u32).clamp(1, capacity);
        Room { capacity, own_capacity, group_share, now }
    }

    /// Lets a call wait for a group to open, all of which are closed: it is late in
    /// any case, and sent away it would spend its last try on coming back. As many
    /// wait as can start at once then.
    ///
    /// Fails at once if no group is expected to open in time for the call.
    fn hold(&mut self, want: Want<'_>, now: Duration) -> Result<Offered, NoPlace> {
        let groups: Vec<Arc<str>> =
            self.endpoints.iter().map(|endpoint| endpoint.group()).collect();
        let opening_by = self.groups.opening_by(groups.iter().map(|group| &**group), now);
        let is_in_time =
            |by: &Duration| *by <= want.hold_until && self.mechanisms.has(Mechanism::Holds);
        let until = opening_by.filter(is_in_time);
        let Some(until) = until.filter(|_| self.queue.len() < self.places()) else {
            let retry_after = opening_by.map_or(Duration::ZERO, |by| by.saturating_sub(now));
            return Err(NoPlace::Full { retry_after });
        };
        let ticket = self.queue.hold(Waiter { wait_until: until, ..want.waiter }, now);
        Ok(self.wait(ticket, until))
    }

    fn wait(&mut self, ticket: Ticket, until: Duration) -> Offered {
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
    fn group_share(&self, group: &str) -> Option<f64> {
        let ranks = self.endpoints.iter().filter(|endpoint| *endpoint.group() == *group).count();
        Some(f64::from(self.slots?) * ranks as f64 / self.entries as f64)
    }

    fn take(&mut self, index: usize, service: &Arc<Service>) -> Place {
        self.choices += 1;
        let endpoint = Arc::clone(&self.endpoints[index]);
        endpoint.note_chosen(self.choices);
        let place = Place::new(endpoint, Arc::clone(service));
        if let Some(probe_at) = self.groups.note_sent(place.group(), service.now()) {
            service.wake_at(probe_at);
        }
        place
    }
}
