//! Admission control and queue of one service at one entry.
//!
//! Strict priorities, and fair queueing within a priority: teams take turns, so that a large
//! team's backlog delays only that team. A request that can't start within its maximum wait is
//! refused on arrival (load shedding).

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use lynxmount_core::TeamId;

/// Weight of the newest interval between departures in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Interval between departures that is assumed before the first one.
const INITIAL_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// One of so many departures goes to the lowest waiting priority, so that a lasting overload does
/// not starve it.
const LOWEST_PRIORITY_TURN: u64 = 16;

/// Weight of the newest error of an expected wait.
const ERROR_WEIGHT: f64 = 0.05;

/// Largest factor by which expected waits are corrected.
const MAX_CORRECTION: f64 = 8.0;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Its team.
    pub team: TeamId,
    /// Its priority; 0 goes first.
    pub priority: u8,
    /// Until when it may wait.
    pub wait_until: Duration,
}

/// Decision about a request on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It would wait for too long; the caller should retry after that time.
    Refuse {
        /// When the queue is expected to be short enough.
        retry_after: Duration,
    },
    /// It may start now.
    Start,
    /// It is queued with this ticket.
    Wait(Ticket),
}

/// Queued requests of one priority, by team.
#[derive(Debug)]
struct PriorityClass {
    /// Recent ratio of actual to expected waits: requests that arrive later overtake by priority
    /// or by their team's turn.
    correction: f64,
    /// Teams in the order of their turns.
    turns: VecDeque<TeamId>,
    by_team: HashMap<TeamId, VecDeque<Ticket>>,
    queued: usize,
}

impl Default for PriorityClass {
    /// Starts empty, without a correction.
    fn default() -> PriorityClass {
        PriorityClass {
            correction: 1.0,
            turns: VecDeque::new(),
            by_team: HashMap::new(),
            queued: 0,
        }
    }
}

/// A queued request.
#[derive(Debug)]
struct QueuedRequest {
    waiter: Waiter,
    queued_at: Duration,
    /// Expected wait on arrival, before any correction.
    expected_wait: Duration,
}

/// The queue of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    classes: BTreeMap<u8, PriorityClass>,
    requests: HashMap<Ticket, QueuedRequest>,
    next_ticket: u64,
    interval: Duration,
    departed_at: Option<Duration>,
    departures: u64,
}

impl Default for ServiceQueue {
    /// Starts empty.
    fn default() -> ServiceQueue {
        ServiceQueue {
            classes: BTreeMap::new(),
            requests: HashMap::new(),
            next_ticket: 0,
            interval: INITIAL_INTERVAL,
            departed_at: None,
            departures: 0,
        }
    }
}

impl ServiceQueue {
    /// Decides about a request on arrival: starts, queues or refuses it.
    pub fn try_admit(
        &mut self,
        waiter: Waiter,
        has_capacity: bool,
        now: Duration,
    ) -> QueueDecision {
        if has_capacity && self.is_next(waiter.priority) {
            return QueueDecision::Start;
        }
        let expected_wait = self.expected_wait(&waiter);
        let wait = expected_wait.mul_f64(self.correction(waiter.priority));
        let limit = waiter.wait_until.saturating_sub(now);
        if wait > limit {
            let retry_after = wait.saturating_sub(limit).max(MIN_RETRY_AFTER);
            return QueueDecision::Refuse { retry_after };
        }
        if self.requests.is_empty() {
            // Idle time is no interval between departures; the first queued request starts one.
            self.departed_at = Some(now);
        }
        QueueDecision::Wait(self.enqueue(QueuedRequest { waiter, queued_at: now, expected_wait }))
    }

    /// Queues a request, whatever its expected wait, while the service is suspended and the queue
    /// does not drain.
    pub fn park(&mut self, waiter: Waiter, now: Duration) -> Ticket {
        let expected_wait = waiter.wait_until.saturating_sub(now);
        self.enqueue(QueuedRequest { waiter, queued_at: now, expected_wait })
    }

    /// Records that the service runs again: the time without departures does not show how fast the
    /// queue drains.
    pub fn on_service_resumed(&mut self, now: Duration) {
        self.departed_at = Some(now);
    }

    /// Removes the request that starts next, if one is queued.
    ///
    /// To be called when there is capacity for it, as it measures how fast the queue drains.
    pub fn dequeue(&mut self, now: Duration) -> Option<Ticket> {
        let mut nonempty = self.classes.iter().filter(|(_, class)| class.queued > 0);
        let is_lowest_turn = (self.departures + 1).is_multiple_of(LOWEST_PRIORITY_TURN);
        let turn = if is_lowest_turn { nonempty.next_back() } else { nonempty.next() };
        let priority = turn.map(|(priority, _)| *priority)?;
        let ticket = self.classes.get_mut(&priority)?.pop()?;
        self.departures += 1;
        self.record_departure(now);
        if let Some(started) = self.requests.remove(&ticket) {
            self.record_wait(&started, now);
        }
        Some(ticket)
    }

    /// Removes a request whose caller has left, or that has waited for too long.
    pub fn remove(&mut self, ticket: Ticket, now: Duration) {
        let Some(removed) = self.requests.remove(&ticket) else { return };
        if let Some(class) = self.classes.get_mut(&removed.waiter.priority) {
            class.remove(&removed.waiter.team, ticket);
        }
        if now >= removed.waiter.wait_until {
            self.record_wait(&removed, now);
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Expected time until the whole queue has drained.
    pub fn drain_time(&self) -> Duration {
        self.interval.saturating_mul(self.requests.len() as u32)
    }

    /// Moving average of the time between departures.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    fn is_next(&self, priority: u8) -> bool {
        self.classes.range(..=priority).all(|(_, class)| class.queued == 0)
    }

    /// A request waits for all of a higher priority, and within its own for its team's backlog
    /// while all teams take turns. The wait is bounded by the turns of the lowest priority.
    fn expected_wait(&self, waiter: &Waiter) -> Duration {
        let higher: usize = self.classes.range(..waiter.priority).map(|(_, c)| c.queued).sum();
        let same = match self.classes.get(&waiter.priority) {
            Some(class) => class.position(&waiter.team),
            None => 0,
        };
        let is_lowest = self.classes.range(waiter.priority + 1..).all(|(_, c)| c.queued == 0);
        let by_priority = higher + same + 1;
        let by_lowest_turn = (same + 1).saturating_mul(LOWEST_PRIORITY_TURN as usize);
        let departures = if is_lowest { by_priority.min(by_lowest_turn) } else { by_priority };
        self.interval.saturating_mul(departures as u32)
    }

    fn correction(&self, priority: u8) -> f64 {
        self.classes.get(&priority).map_or(1.0, |class| class.correction)
    }

    /// Updates the correction of expected waits by an actual one.
    fn record_wait(&mut self, request: &QueuedRequest, now: Duration) {
        let Some(class) = self.classes.get_mut(&request.waiter.priority) else { return };
        let waited_s = now.saturating_sub(request.queued_at).as_secs_f64();
        let ratio = waited_s / request.expected_wait.as_secs_f64().max(f64::MIN_POSITIVE);
        class.correction += ERROR_WEIGHT * (ratio.clamp(1.0, MAX_CORRECTION) - class.correction);
    }

    fn enqueue(&mut self, request: QueuedRequest) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = &request.waiter;
        self.classes.entry(waiter.priority).or_default().push(&waiter.team, ticket);
        self.requests.insert(ticket, request);
        ticket
    }

    fn record_departure(&mut self, now: Duration) {
        if let Some(before) = self.departed_at {
            let newest_s = now.saturating_sub(before).as_secs_f64();
            let mean_s = self.interval.as_secs_f64();
            self.interval = Duration::from_secs_f64(mean_s + (newest_s - mean_s) * INTERVAL_WEIGHT);
        }
        self.departed_at = Some(now);
    }
}

impl PriorityClass {
    fn push(&mut self, team: &TeamId, ticket: Ticket) {
        let queue = self.by_team.entry(TeamId::clone(team)).or_default();
        if queue.is_empty() {
            self.turns.push_back(TeamId::clone(team));
        }
        queue.push_back(ticket);
        self.queued += 1;
    }

    fn pop(&mut self) -> Option<Ticket> {
        let team = self.turns.pop_front()?;
        let queue = self.by_team.get_mut(&team)?;
        let ticket = queue.pop_front()?;
        self.queued -= 1;
        match queue.is_empty() {
            true => {
                self.by_team.remove(&team);
            }
            false => self.turns.push_back(team),
        }
        Some(ticket)
    }

    fn remove(&mut self, team: &TeamId, ticket: Ticket) {
        let Some(queue) = self.by_team.get_mut(team) else { return };
        let before = queue.len();
        queue.retain(|t| *t != ticket);
        self.queued -= before - queue.len();
        if queue.is_empty() {
            self.by_team.remove(team);
            self.turns.retain(|t| t != team);
        }
    }

    /// Number of requests that start before a new one of the team.
    fn position(&self, team: &TeamId) -> usize {
        let own = self.by_team.get(team).map_or(0, VecDeque::len);
        let others = self.by_team.iter().filter(|(t, _)| *t != team);
        own + others.map(|(_, queue)| queue.len().min(own + 1)).sum::<usize>()
    }
}
