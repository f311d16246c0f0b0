//! Places at endpoints: who gets one now, who waits, who is refused.

use std::{collections::HashMap, sync::Arc};

use lynxmount_core::{EndpointId, Reason, ServiceId};
use lynxmount_node::{ActiveConfig, Counter, NodeHandle};
use lynxmount_policy::{
    Candidate, ChoiceOptions, PrefixCounts, QueueDecision, RetryBudget, ServiceQueue, Ticket,
    Waiter, choose, rendezvous,
};
use parking_lot::{Mutex, RwLock};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::oneshot;

use crate::{deadline::Deadline, link::Link, reply::Refusal};

/// A place at an endpoint; it is given back when it is dropped.
pub(crate) struct Place {
    pub(crate) link: Arc<Link>,
    gate: Arc<Gate>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.link.release();
        self.gate.wake();
    }
}

/// What a request wants of a place.
pub(crate) struct Want<'a> {
    /// Whose request it is, its priority and until when it may wait.
    pub(crate) waiter: Waiter,
    /// The same end of waiting, for the timer.
    pub(crate) wait_until: Deadline,
    /// Endpoints that this request has tried; they are avoided.
    pub(crate) tried: &'a [EndpointId],
    /// The beginning of the prompt, if the service caches prefixes.
    pub(crate) prefix: Option<&'a str>,
}

/// The places of all services.
pub(crate) struct Gates {
    node: NodeHandle,
    by_service: RwLock<HashMap<ServiceId, Arc<Gate>>>,
}

impl Gates {
    pub(crate) fn new(node: NodeHandle) -> Gates {
        Gates { node, by_service: RwLock::default() }
    }

    /// Takes over the services and links of a configuration.
    pub(crate) fn set_config(
        &self,
        config: &ActiveConfig,
        mut links: HashMap<ServiceId, Vec<Arc<Link>>>,
    ) {
        let mut by_service = self.by_service.write();
        by_service.retain(|id, _| config.service(id).is_some());
        for service in &config.fleet.services {
            let gate = by_service
                .entry(service.id.clone())
                .or_insert_with(|| Arc::new(Gate::new(self.node.clone())));
            let links = links.remove(&service.id).unwrap_or_default();
            gate.set(service.max_running_per_endpoint, links);
        }
    }

    /// The places of one service.
    pub(crate) fn get(&self, service: &str) -> Option<Arc<Gate>> {
        self.by_service.read().get(service).cloned()
    }

    /// Lets waiting requests of a service have places that have become free.
    pub(crate) fn wake(&self, service: &str) {
        if let Some(gate) = self.get(service) {
            gate.wake();
        }
    }
}

/// The places of one service.
pub(crate) struct Gate {
    node: NodeHandle,
    inner: Mutex<Inner>,
}

struct Inner {
    queue: ServiceQueue,
    waiting: HashMap<Ticket, oneshot::Sender<Place>>,
    links: Vec<Arc<Link>>,
    max_running: u32,
    budget: RetryBudget,
    prefixes: PrefixCounts,
    choices: u64,
    rng: SmallRng,
}

/// Takes a ticket out of the queue if its request stops waiting.
struct WaitGuard<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.gate.inner.lock();
        inner.queue.remove(self.ticket, self.gate.node.now());
        inner.waiting.remove(&self.ticket);
    }
}

impl Gate {
    fn new(node: NodeHandle) -> Gate {
        // The seed differs between processes, so that entries don't choose alike.
        let seed = node.incarnation().as_u64_pair().0;
        let inner = Inner {
            queue: ServiceQueue::default(),
            waiting: HashMap::new(),
            links: Vec::new(),
            max_running: 0,
            budget: RetryBudget::default(),
            prefixes: PrefixCounts::default(),
            choices: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        Gate { node, inner: Mutex::new(inner) }
    }

    fn set(&self, max_running: u32, links: Vec<Arc<Link>>) {
        let mut inner = self.inner.lock();
        inner.max_running = max_running;
        inner.links = links;
    }

    /// Pays for retries with a first attempt.
    pub(crate) fn note_first_attempt(&self, percent: u32) {
        self.inner.lock().budget.deposit(percent);
    }

    /// Takes a retry from the service's budget, if there is one.
    pub(crate) fn take_retry(&self) -> bool {
        self.inner.lock().budget.try_withdraw()
    }

    /// The connection to one endpoint, if there is one.
    pub(crate) fn link(&self, endpoint: &str) -> Option<Arc<Link>> {
        self.inner.lock().links.iter().find(|link| &*link.endpoint.id == endpoint).cloned()
    }

    /// Takes a place at a given endpoint, however loaded it is.
    pub(crate) fn place_at(self: &Arc<Gate>, link: Arc<Link>) -> Place {
        link.reserve();
        Place { link, gate: Arc::clone(self) }
    }

    /// Waits for a place.
    ///
    /// Fails at once if the wait would be too long or nothing serves.
    pub(crate) async fn place(self: &Arc<Gate>, want: Want<'_>) -> Result<Place, Refusal> {
        let (ticket, receiver) = match self.offer(&want) {
            Ok(Offered::Place(link)) => return Ok(Place { link, gate: Arc::clone(self) }),
            Ok(Offered::Wait(ticket, receiver)) => (ticket, receiver),
            Err(refusal) => return Err(refusal),
        };
        self.node.counters().count(Counter::RequestsQueued);
        let _guard = WaitGuard { gate: self, ticket };
        match tokio::time::timeout_at(want.wait_until.at, receiver).await {
            Ok(Ok(place)) => Ok(place),
            _ => Err(Refusal::not_run(Reason::Overload, "no place became free in time")
                .retry_after(self.inner.lock().queue.drain_time())),
        }
    }

    /// Hands free places to waiting requests.
    pub(crate) fn wake(self: &Arc<Gate>) {
        // Places whose request has just gone are given back without the lock.
        let unwanted = self.hand_out();
        drop(unwanted);
    }

    fn hand_out(self: &Arc<Gate>) -> Vec<Place> {
        let mut unwanted = Vec::new();
        let mut inner = self.inner.lock();
        while !inner.queue.is_empty() {
            let Some(link) = inner.choose(&[], None) else { break };
            let Some(ticket) = inner.queue.dequeue(self.node.now()) else { break };
            let Some(sender) = inner.waiting.remove(&ticket) else { continue };
            unwanted.extend(sender.send(self.place_at(link)).err());
        }
        unwanted
    }

    fn offer(&self, want: &Want<'_>) -> Result<Offered, Refusal> {
        let mut inner = self.inner.lock();
        if !inner.links.iter().any(|link| link.is_serving()) {
            return Err(Refusal::not_run(Reason::NoEndpoint, "no endpoint of the service serves"));
        }
        let free = inner.choose(want.tried, want.prefix);
        match (inner.queue.try_admit(want.waiter.clone(), free.is_some(), self.node.now()), free) {
            (QueueDecision::Start, Some(link)) => {
                link.reserve();
                Ok(Offered::Place(link))
            }
            (QueueDecision::Wait(ticket), _) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                Ok(Offered::Wait(ticket, receiver))
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

enum Offered {
    Place(Arc<Link>),
    Wait(Ticket, oneshot::Receiver<Place>),
}

impl Inner {
    /// Chooses an endpoint with a free place, avoiding those that were tried
    /// as long as there are others.
    fn choose(&mut self, tried: &[EndpointId], prefix: Option<&str>) -> Option<Arc<Link>> {
        let free: Vec<(usize, Candidate)> = self
            .links
            .iter()
            .enumerate()
            .filter_map(|(index, link)| Some((index, link.candidate(self.max_running)?)))
            .collect();
        let is_untried =
            |(index, _): &&(usize, Candidate)| !tried.contains(&self.links[*index].endpoint.id);
        let untried: Vec<(usize, Candidate)> = free.iter().filter(is_untried).copied().collect();
        let eligible = if untried.is_empty() { free } else { untried };
        let candidates: Vec<Candidate> = eligible.iter().map(|(_, candidate)| *candidate).collect();
        let holders = prefix.map(|prefix| self.holders_of(prefix, &eligible)).unwrap_or_default();
        let choice = choose(&candidates, &holders, ChoiceOptions::default(), &mut self.rng)?;
        let link = &self.links[eligible[choice.index].0];
        self.choices += 1;
        link.note_chosen(self.choices);
        Some(Arc::clone(link))
    }

    /// The eligible endpoints that prompts with this beginning are sent to, so
    /// that their engines have it cached.
    fn holders_of(&mut self, prefix: &str, eligible: &[(usize, Candidate)]) -> Vec<usize> {
        let count = self.prefixes.count(prefix, self.links.len());
        let holders = rendezvous(prefix, &self.links, |link| &link.endpoint.id, count);
        let is_holder = |(index, _): &(usize, Candidate)| {
            holders.iter().any(|h| Arc::ptr_eq(h, &self.links[*index]))
        };
        let positions = eligible.iter().enumerate().filter(|(_, candidate)| is_holder(candidate));
        positions.map(|(position, _)| position).collect()
    }
}
