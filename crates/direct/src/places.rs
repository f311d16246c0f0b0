//! Places at endpoints: who gets one now, who waits, who is refused.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    Clock, EndpointId, EndpointList, EndpointRecord, EndpointState, ServiceId, SiteBounds,
    edge::ReportedLoad,
};
use lynxmount_policy::{
    CallEnd, Health, Offer, OutageWatch, PaceLimit, Placement, Seat, ServiceQueue, Ticket, Waiter,
    WindowBudget, WindowBudgetOptions, place,
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{fleet::ConfigView, pool::Pool};

/// How long the load that an endpoint has told counts.
const LOAD_LIFE: Duration = Duration::from_millis(600);

/// The part of an endpoint's slots that one of several entries may take beyond
/// its even share: callers are spread unevenly over entries.
const UNEVEN_SHARE: f64 = 1.6;

/// By how much one entry may exceed its even share of what a service may run, for
/// the same reason.
const UNEVEN_LIMIT: f64 = 1.15;

/// An endpoint that takes calls.
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) pool: Pool,
    load: Mutex<Load>,
}

#[derive(Default)]
struct Load {
    own_running: u32,
    others_running: u32,
    told_at: Option<Instant>,
    health: Health,
    last_chosen: u64,
}

/// A place at an endpoint; it is given back when it is dropped.
pub(crate) struct Place {
    pub(crate) endpoint: Arc<Endpoint>,
    service: Arc<Service>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.service.inner.lock().running -= 1;
        self.endpoint.load.lock().own_running -= 1;
        self.service.wake();
    }
}

/// What a call wants of a place.
pub(crate) struct Want<'a> {
    pub(crate) waiter: Waiter,
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
    /// When any stream of the service had an event.
    last_event_at: Mutex<Option<Instant>>,
    inner: Mutex<Inner>,
}

struct Inner {
    endpoints: Vec<Arc<Endpoint>>,
    queue: ServiceQueue,
    waiting: HashMap<Ticket, oneshot::Sender<Place>>,
    budget: WindowBudget,
    outage: OutageWatch,
    pace: PaceLimit,
    /// Calls of this entry in progress.
    running: u32,
    choices: u64,
    /// Requests that one endpoint runs at once.
    slots: Option<u32>,
    entries: usize,
}

/// The endpoints of all services.
pub(crate) struct Places {
    clock: Clock,
    bounds: SiteBounds,
    services: Mutex<HashMap<ServiceId, Arc<Service>>>,
}

impl Places {
    pub(crate) fn new(clock: Clock, bounds: SiteBounds) -> Places {
        Places { clock, bounds, services: Mutex::default() }
    }

    pub(crate) fn service(&self, id: &str) -> Option<Arc<Service>> {
        self.services.lock().get(id).cloned()
    }

    /// Takes over services and endpoints.
    pub(crate) fn update(&self, config: &ConfigView, list: &EndpointList, entries: usize) {
        let mut services = self.services.lock();
        services.retain(|id, _| config.service(id).is_some());
        for spec in &config.config.services {
            let service = services
                .entry(ServiceId::clone(&spec.id))
                .or_insert_with(|| Arc::new(Service::new(self.clock, &self.bounds)));
            let slots = spec.engine.as_ref().map(|engine| engine.slots);
            let ready = list.endpoints.iter().filter(|endpoint| {
                endpoint.service == spec.id && endpoint.state == EndpointState::Ready
            });
            service.update(ready, slots, entries);
        }
    }
}

impl Service {
    fn new(clock: Clock, bounds: &SiteBounds) -> Service {
        let options = WindowBudgetOptions {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let inner = Inner {
            endpoints: Vec::new(),
            queue: ServiceQueue::default(),
            waiting: HashMap::new(),
            budget: WindowBudget::new(options),
            outage: OutageWatch::default(),
            pace: PaceLimit::default(),
            running: 0,
            choices: 0,
            slots: None,
            entries: 1,
        };
        Service { clock, last_event_at: Mutex::default(), inner: Mutex::new(inner) }
    }

    fn update<'a>(
        self: &Arc<Service>,
        ready: impl Iterator<Item = &'a EndpointRecord>,
        slots: Option<u32>,
        entries: usize,
    ) {
        let mut inner = self.inner.lock();
        let known = std::mem::take(&mut inner.endpoints);
        let endpoints = ready.map(|record| {
            let kept = known.iter().find(|endpoint| endpoint.record == *record);
            kept.cloned().unwrap_or_else(|| Arc::new(Endpoint::new(record.clone())))
        });
        inner.endpoints = endpoints.collect();
        inner.slots = slots;
        inner.entries = entries.max(1);
        drop(inner);
        self.wake();
    }

    /// Notes that a stream of the service had an event, how long after the one
    /// before, and the longest pause that is on time.
    pub(crate) fn note_event(&self, pause: Option<Duration>, goal: Option<Duration>) {
        *self.last_event_at.lock() = Some(Instant::now());
        if let (Some(pause), Some(goal)) = (pause, goal) {
            let mut inner = self.inner.lock();
            let share = inner.share().unwrap_or(f64::INFINITY);
            let taken = f64::from(inner.running) / share.max(1.0);
            inner.pace.note_pause(pause, goal, taken, self.clock.now());
        }
    }

    /// How long ago the last event of any of the service's streams was.
    pub(crate) fn last_event_age(&self) -> Option<Duration> {
        self.last_event_at.lock().map(|at| at.elapsed())
    }

    /// Counts the first arrival of a call.
    pub(crate) fn note_call(&self) {
        self.inner.lock().budget.note_call(self.clock.now());
    }

    /// Takes a repeat from the service's budget, if there is one.
    pub(crate) fn take_repeat(&self) -> bool {
        let mut inner = self.inner.lock();
        let entries = inner.entries;
        inner.budget.take(entries, self.clock.now())
    }

    /// Waits for a place until the call may not wait any more.
    ///
    /// Fails at once if the wait would be too long or nothing takes calls.
    pub(crate) async fn place(self: &Arc<Service>, want: Want<'_>) -> Result<Place, NoPlace> {
        let wait_until = want.waiter.wait_until;
        let (ticket, receiver) = match self.offer(want)? {
            Offered::Place(place) => return Ok(place),
            Offered::Wait(ticket, receiver) => (ticket, receiver),
        };
        let _guard = WaitGuard { service: self, ticket };
        let limit = wait_until.saturating_sub(self.clock.now());
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(place)) => Ok(place),
            _ => Err(NoPlace::Full { retry_after: self.inner.lock().queue.drain_time() }),
        }
    }

    fn offer(self: &Arc<Service>, want: Want<'_>) -> Result<Offered, NoPlace> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let free = match inner.choose(want.tried, now) {
            Placement::Nowhere => return Err(NoPlace::Nowhere),
            Placement::Full => None,
            Placement::At(index) => Some(index),
        };
        match (inner.queue.offer(want.waiter, free.is_some(), now), free) {
            (Offer::Start, Some(index)) => Ok(Offered::Place(inner.take(index, self))),
            (Offer::Wait(ticket), _) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                Ok(Offered::Wait(ticket, receiver))
            }
            (Offer::Refuse { retry_after }, _) => Err(NoPlace::Full { retry_after }),
            (Offer::Start, None) => Err(NoPlace::Full { retry_after: Duration::ZERO }),
        }
    }

    /// Notes that an endpoint has refused because it runs nothing.
    fn note_refusal(self: &Arc<Service>) {
        let mut inner = self.inner.lock();
        if !inner.outage.note_refusal(self.clock.now()) {
            return;
        }
        let pause = inner.outage.paused_until().saturating_sub(self.clock.now());
        log::info!(pause_ms = pause.as_millis() as u64; "the service runs nothing for now");
        let service = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
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
        let now = self.clock.now();
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
    Wait(Ticket, oneshot::Receiver<Place>),
}

/// Takes a ticket out of the queue if its call stops waiting.
struct WaitGuard<'a> {
    service: &'a Service,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.inner.lock();
        inner.queue.remove(self.ticket, self.service.clock.now());
        inner.waiting.remove(&self.ticket);
    }
}

impl Inner {
    fn choose(&self, tried: &[EndpointId], now: Duration) -> Placement {
        if self.outage.is_paused(now) || self.is_at_pace_limit() {
            return Placement::Full;
        }
        let seats: Vec<Seat> =
            self.endpoints.iter().map(|endpoint| self.seat(endpoint, tried, now)).collect();
        place(&seats)
    }

    fn seat(&self, endpoint: &Endpoint, tried: &[EndpointId], now: Duration) -> Seat {
        let capacity = self.slots.unwrap_or(endpoint.record.slots).max(1);
        let share = f64::from(capacity) / self.entries as f64 * UNEVEN_SHARE;
        let load = endpoint.load.lock();
        let is_told = load.told_at.is_some_and(|at| at.elapsed() < LOAD_LIFE);
        Seat {
            own_running: load.own_running,
            others_running: if is_told { load.others_running } else { 0 },
            capacity,
            own_capacity: (share.ceil() as u32).clamp(1, capacity),
            is_ejected: load.health.is_ejected(now),
            was_tried: tried.contains(&endpoint.record.id),
            last_chosen: load.last_chosen,
        }
    }

    /// This entry's share of what the service may run, for a model service.
    fn share(&self) -> Option<f64> {
        let slots = f64::from(self.slots?) * self.endpoints.len() as f64;
        Some(slots / self.entries as f64)
    }

    fn is_at_pace_limit(&self) -> bool {
        let limit = self.share().map(|share| share * self.pace.fraction() * UNEVEN_LIMIT);
        limit.is_some_and(|limit| f64::from(self.running) >= limit)
    }

    fn take(&mut self, index: usize, service: &Arc<Service>) -> Place {
        self.choices += 1;
        self.running += 1;
        let endpoint = Arc::clone(&self.endpoints[index]);
        let mut load = endpoint.load.lock();
        load.own_running += 1;
        load.last_chosen = self.choices;
        drop(load);
        Place { endpoint, service: Arc::clone(service) }
    }
}

impl Endpoint {
    fn new(record: EndpointRecord) -> Endpoint {
        Endpoint { record, pool: Pool::default(), load: Mutex::default() }
    }

    /// Takes the load that the endpoint has told.
    pub(crate) fn note_load(&self, told: ReportedLoad) {
        let mut load = self.load.lock();
        load.others_running = (told.running + told.waiting).saturating_sub(load.own_running);
        load.told_at = Some(Instant::now());
    }

    pub(crate) fn own_running(&self) -> u32 {
        self.load.lock().own_running
    }
}

impl Place {
    /// Takes that the endpoint has refused because it runs nothing.
    pub(crate) fn note_refusal(&self) {
        self.service.note_refusal();
    }

    /// Takes how the call has ended at the endpoint.
    pub(crate) fn note_end(&self, end: CallEnd) {
        let now = self.service.clock.now();
        if end == CallEnd::Answered {
            self.service.inner.lock().outage.note_answer();
        }
        let is_ejected = self.endpoint.load.lock().health.note(end, now);
        if is_ejected {
            let endpoint = &*self.endpoint.record.id;
            log::warn!(endpoint, end:? = end; "endpoint is left out for a while");
        }
    }
}
