//! Admission control and load balancing over the endpoints of a service: each request reserves
//! capacity at an endpoint, waits in the queue for it, or is refused.
//!
//! An endpoint that fails fast always has free capacity, so that endpoints are ejected by their
//! failures, not by their load.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lynxmount_core::{EndpointId, Reason, ServiceId};
use lynxmount_node::{ActiveConfig, Counter, NodeHandle};
use lynxmount_policy::{
    Candidate, ChoiceOptions, PrefixCounts, QueueDecision, RetryBudget, ServiceQueue, Ticket,
    Waiter, choose, rendezvous,
};
use parking_lot::{Mutex, RwLock};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::oneshot;

use crate::{deadline::Deadline, endpoint_client::EndpointClient, reply::Refusal};

/// Reserved capacity for one attempt at an endpoint, released on drop.
pub(crate) struct Reservation {
    pub(crate) client: Arc<EndpointClient>,
    pool: Arc<ServicePool>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.client.release();
        self.pool.grant_queued();
    }
}

/// A request for capacity at an endpoint.
pub(crate) struct ReservationRequest<'a> {
    /// The team, the priority and the end of the queueing time.
    pub(crate) waiter: Waiter,
    /// The end of the queueing time on the runtime's clock, for the timer.
    pub(crate) wait_until: Deadline,
    /// Endpoints that this request has already tried; others are preferred.
    pub(crate) tried: &'a [EndpointId],
    /// The key for prefix affinity, if the service is a model.
    pub(crate) prefix: Option<&'a str>,
}

/// The pools of all services.
pub(crate) struct ServicePools {
    node: NodeHandle,
    by_service: RwLock<HashMap<ServiceId, Arc<ServicePool>>>,
}

impl ServicePools {
    pub(crate) fn new(node: NodeHandle) -> ServicePools {
        ServicePools { node, by_service: RwLock::default() }
    }

    /// Applies the services and endpoints of a configuration.
    pub(crate) fn set_config(
        &self,
        config: &ActiveConfig,
        mut clients: HashMap<ServiceId, Vec<Arc<EndpointClient>>>,
    ) {
        let mut by_service = self.by_service.write();
        by_service.retain(|id, _| config.service(id).is_some());
        for service in &config.fleet.services {
            let pool = by_service
                .entry(service.id.clone())
                .or_insert_with(|| Arc::new(ServicePool::new(self.node.clone())));
            let clients = clients.remove(&service.id).unwrap_or_default();
            pool.update(service.max_running_per_endpoint, clients);
        }
    }

    /// The pool of a service.
    pub(crate) fn get(&self, service: &str) -> Option<Arc<ServicePool>> {
        self.by_service.read().get(service).cloned()
    }

    /// Grants freed capacity of a service to its queued requests.
    pub(crate) fn grant_queued(&self, service: &str) {
        if let Some(pool) = self.get(service) {
            pool.grant_queued();
        }
    }
}

/// The endpoints of one service, with its request queue and retry budget.
pub(crate) struct ServicePool {
    node: NodeHandle,
    state: Mutex<PoolState>,
}

struct PoolState {
    queue: ServiceQueue,
    waiting: HashMap<Ticket, oneshot::Sender<Reservation>>,
    clients: Vec<Arc<EndpointClient>>,
    max_running: u32,
    budget: RetryBudget,
    prefixes: PrefixCounts,
    choice_count: u64,
    rng: SmallRng,
}

/// Removes a request from the queue when it stops waiting.
struct QueueGuard<'a> {
    pool: &'a ServicePool,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.state.lock();
        state.queue.remove(self.ticket, self.pool.node.now());
        state.waiting.remove(&self.ticket);
    }
}

impl ServicePool {
    fn new(node: NodeHandle) -> ServicePool {
        // The seed differs between processes, so that entries do not all choose the same endpoint.
        let seed = node.incarnation().as_u64_pair().0;
        let state = PoolState {
            queue: ServiceQueue::default(),
            waiting: HashMap::new(),
            clients: Vec::new(),
            max_running: 0,
            budget: RetryBudget::default(),
            prefixes: PrefixCounts::default(),
            choice_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        ServicePool { node, state: Mutex::new(state) }
    }

    fn update(&self, max_running: u32, clients: Vec<Arc<EndpointClient>>) {
        let mut state = self.state.lock();
        state.max_running = max_running;
        state.clients = clients;
    }

    /// Adds the share of a first attempt to the retry budget.
    pub(crate) fn record_first_attempt(&self, percent: u32) {
        self.state.lock().budget.deposit(percent);
    }

    /// Takes a retry from the retry budget; `false` if the budget is exhausted.
    pub(crate) fn try_withdraw_retry(&self) -> bool {
        self.state.lock().budget.try_withdraw()
    }

    /// The client of an endpoint, if this entry has one.
    pub(crate) fn client(&self, endpoint: &str) -> Option<Arc<EndpointClient>> {
        self.state.lock().clients.iter().find(|client| &*client.endpoint.id == endpoint).cloned()
    }

    /// Reserves capacity at a given endpoint, regardless of its load.
    pub(crate) fn reserve_at(self: &Arc<ServicePool>, client: Arc<EndpointClient>) -> Reservation {
        client.reserve();
        Reservation { client, pool: Arc::clone(self) }
    }

    /// Reserves capacity at an endpoint, waiting in the queue if there is none.
    ///
    /// Fails at once if the queue is too long or no endpoint is serving.
    pub(crate) async fn reserve(
        self: &Arc<ServicePool>,
        request: ReservationRequest<'_>,
    ) -> Result<Reservation, Refusal> {
        let (ticket, receiver) = match self.admit(&request) {
            Ok(Admission::Granted(client)) => {
                return Ok(Reservation { client, pool: Arc::clone(self) });
            }
            Ok(Admission::Queued(ticket, receiver)) => (ticket, receiver),
            Err(refusal) => return Err(refusal),
        };
        self.node.counters().count(Counter::RequestsQueued);
        let _guard = QueueGuard { pool: self, ticket };
        match tokio::time::timeout_at(request.wait_until.at, receiver).await {
            Ok(Ok(reservation)) => Ok(reservation),
            _ => Err(Refusal::not_run(Reason::Overload, "no place became free in time")
                .retry_after(self.state.lock().queue.drain_time())),
        }
    }

    /// Grants free capacity to queued requests.
    pub(crate) fn grant_queued(self: &Arc<ServicePool>) {
        // Reservations of requests that have stopped waiting are released without the lock.
        let undelivered = self.send_grants();
        drop(undelivered);
    }

    fn send_grants(self: &Arc<ServicePool>) -> Vec<Reservation> {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        while !state.queue.is_empty() {
            let now = self.node.now();
            let Some(client) = state.choose_endpoint(&[], None, now) else { break };
            let Some(ticket) = state.queue.dequeue(now) else { break };
            let Some(sender) = state.waiting.remove(&ticket) else { continue };
            undelivered.extend(sender.send(self.reserve_at(client)).err());
        }
        undelivered
    }

    fn admit(&self, request: &ReservationRequest<'_>) -> Result<Admission, Refusal> {
        let mut state = self.state.lock();
        if !state.clients.iter().any(|client| client.is_serving()) {
            return Err(Refusal::not_run(Reason::NoEndpoint, "no endpoint of the service serves"));
        }
        let now = self.node.now();
        let free = state.choose_endpoint(request.tried, request.prefix, now);
        match (state.queue.try_admit(request.waiter.clone(), free.is_some(), now), free) {
            (QueueDecision::Start, Some(client)) => {
                client.reserve();
                Ok(Admission::Granted(client))
            }
            (QueueDecision::Wait(ticket), _) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Ok(Admission::Queued(ticket, receiver))
            }
            (QueueDecision::Refuse { retry_after }, _) => {
                let detail = "the queue is longer than it can drain in time";
                Err(Refusal::not_run(Reason::Overload, detail).retry_after(retry_after))
            }
            (QueueDecision::Start, None) => {
                Err(Refusal::not_run(Reason::Overload, "the last place was just taken"))
            }
        }
    }
}

enum Admission {
    Granted(Arc<EndpointClient>),
    Queued(Ticket, oneshot::Receiver<Reservation>),
}

impl PoolState {
    /// Chooses an endpoint with free capacity by power of two choices; endpoints that were tried
    /// are chosen only if there is no other, and those that fail only if no other serves.
    fn choose_endpoint(
        &mut self,
        tried: &[EndpointId],
        prefix: Option<&str>,
        now: Duration,
    ) -> Option<Arc<EndpointClient>> {
        let is_sound = |client: &Arc<EndpointClient>| !client.is_avoided(now);
        let has_sound = self.clients.iter().any(|client| is_sound(client) && client.is_serving());
        let free: Vec<(usize, Candidate)> = self
            .clients
            .iter()
            .enumerate()
            .filter(|(_, client)| !has_sound || is_sound(client))
            .filter_map(|(index, client)| Some((index, client.candidate(self.max_running)?)))
            .collect();
        let is_untried =
            |(index, _): &&(usize, Candidate)| !tried.contains(&self.clients[*index].endpoint.id);
        let untried: Vec<(usize, Candidate)> = free.iter().filter(is_untried).copied().collect();
        let eligible = if untried.is_empty() { free } else { untried };
        let candidates: Vec<Candidate> = eligible.iter().map(|(_, candidate)| *candidate).collect();
        let preferred =
            prefix.map(|prefix| self.preferred_by_prefix(prefix, &eligible)).unwrap_or_default();
        let choice = choose(&candidates, &preferred, ChoiceOptions::default(), &mut self.rng)?;
        let client = &self.clients[eligible[choice.index].0];
        self.choice_count += 1;
        client.set_last_chosen(self.choice_count);
        Some(Arc::clone(client))
    }

    /// The eligible endpoints that prompts with this prefix are sent to, chosen by rendezvous
    /// hashing, so that their engines have the prefix cached.
    fn preferred_by_prefix(&mut self, prefix: &str, eligible: &[(usize, Candidate)]) -> Vec<usize> {
        let count = self.prefixes.count(prefix, self.clients.len());
        let preferred = rendezvous(prefix, &self.clients, |client| &client.endpoint.id, count);
        let is_preferred = |(index, _): &(usize, Candidate)| {
            preferred.iter().any(|client| Arc::ptr_eq(client, &self.clients[*index]))
        };
        let positions =
            eligible.iter().enumerate().filter(|(_, candidate)| is_preferred(candidate));
        positions.map(|(position, _)| position).collect()
    }
}
