//! The queue of one service at one entry.
//!
//! Priorities go first; within a priority, teams take turns, so that a large
//! team's backlog delays only that team. A request that can't be started
//! within the time that it may wait is refused on arrival.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use lynxmount_core::TeamId;

/// How strongly the newest interval between departures counts.
const INTERVAL_WEIGHT: f64 = 0.1;

/// What the interval between departures is taken for before one was seen.
const FIRST_INTERVAL: Duration = Duration::from_millis(20);

/// The shortest time that a refused caller is asked to stay away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Of so many departures one goes to the lowest priority that waits, so that a
/// lasting overload does not shut it out altogether.
const LOWEST_TURN: u64 = 16;

/// How strongly the newest error of an expected wait counts.
const ERROR_WEIGHT: f64 = 0.05;

/// The factor by which expected waits may be corrected at most.
const MAX_CORRECTION: f64 = 8.0;

/// Names a request that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Whose request it is.
    pub team: TeamId,
    /// Its priority; 0 goes first.
    pub priority: u8,
    /// Until when it may wait.
    pub wait_until: Duration,
}

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It waits too long; the caller should come back after that time.
    Refuse {
        /// When the queue will be short enough.
        retry_after: Duration,
    },
    /// It may start now.
    Start,
    /// It waits under this ticket.
    Wait(Ticket),
}

/// Requests of one priority, by team, with the teams in turn.
#[derive(Debug)]
struct Class {
    /// By how much longer than expected requests have waited lately: those that
    /// arrive later overtake by priority or by their team's turn.
    correction: f64,
    turns: VecDeque<TeamId>,
    by_team: HashMap<TeamId, VecDeque<Ticket>>,
    waiting: usize,
}

impl Default for Class {
    /// Starts empty, with expectations that were right so far.
    fn default() -> Class {
        Class { correction: 1.0, turns: VecDeque::new(), by_team: HashMap::new(), waiting: 0 }
    }
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    waiter: Waiter,
    since: Duration,
    /// How long it was expected to wait, before any correction.
    expected: Duration,
}

/// The queue of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    classes: BTreeMap<u8, Class>,
    tickets: HashMap<Ticket, Waiting>,
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
            tickets: HashMap::new(),
            next_ticket: 0,
            interval: FIRST_INTERVAL,
            departed_at: None,
            departures: 0,
        }
    }
}

impl ServiceQueue {
    /// Decides about a request on arrival.
    pub fn try_admit(&mut self, waiter: Waiter, has_place: bool, now: Duration) -> QueueDecision {
        if has_place && self.is_first(waiter.priority) {
            return QueueDecision::Start;
        }
        let expected = self.expected_wait(&waiter);
        let wait = expected.mul_f64(self.correction(waiter.priority));
        let limit = waiter.wait_until.saturating_sub(now);
        if wait > limit {
            let retry_after = wait.saturating_sub(limit).max(MIN_RETRY_AFTER);
            return QueueDecision::Refuse { retry_after };
        }
        if self.tickets.is_empty() {
            // An idle pause is no interval; the first to wait starts a new one.
            self.departed_at = Some(now);
        }
        QueueDecision::Wait(self.enqueue(Waiting { waiter, since: now, expected }))
    }

    /// Lets a request wait until the service runs again, which it does not now, so
    /// that the queue does not drain.
    pub fn park(&mut self, waiter: Waiter, now: Duration) -> Ticket {
        let expected = waiter.wait_until.saturating_sub(now);
        self.enqueue(Waiting { waiter, since: now, expected })
    }

    /// Takes that the service runs again: the time without departures says nothing
    /// of how fast the queue drains.
    pub fn on_service_resumed(&mut self, now: Duration) {
        self.departed_at = Some(now);
    }

    /// Takes the request that goes next, if one waits.
    ///
    /// Call it when there is a place; it measures how fast the queue drains.
    pub fn dequeue(&mut self, now: Duration) -> Option<Ticket> {
        let mut waiting = self.classes.iter().filter(|(_, class)| class.waiting > 0);
        let is_lowest_turn = (self.departures + 1).is_multiple_of(LOWEST_TURN);
        let turn = if is_lowest_turn { waiting.next_back() } else { waiting.next() };
        let priority = turn.map(|(priority, _)| *priority)?;
        let ticket = self.classes.get_mut(&priority)?.pop()?;
        self.departures += 1;
        self.note_departure(now);
        if let Some(started) = self.tickets.remove(&ticket) {
            self.note_wait(&started, now);
        }
        Some(ticket)
    }

    /// Takes a request out that nobody waits for any more, or that has waited
    /// for too long.
    pub fn remove(&mut self, ticket: Ticket, now: Duration) {
        let Some(gone) = self.tickets.remove(&ticket) else { return };
        if let Some(class) = self.classes.get_mut(&gone.waiter.priority) {
            class.remove(&gone.waiter.team, ticket);
        }
        if now >= gone.waiter.wait_until {
            self.note_wait(&gone, now);
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Says whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// How long the whole queue takes to drain, as measured lately.
    pub fn drain_time(&self) -> Duration {
        self.interval.saturating_mul(self.tickets.len() as u32)
    }

    /// Moving average of the time between departures.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    fn is_first(&self, priority: u8) -> bool {
        self.classes.range(..=priority).all(|(_, class)| class.waiting == 0)
    }

    /// A request waits for everyone of a higher priority, and in its own for
    /// its team's backlog with all teams taking turns; at most, though, for the
    /// turns that the lowest priority has in any case.
    fn expected_wait(&self, waiter: &Waiter) -> Duration {
        let before: usize = self.classes.range(..waiter.priority).map(|(_, c)| c.waiting).sum();
        let beside = match self.classes.get(&waiter.priority) {
            Some(class) => class.position(&waiter.team),
            None => 0,
        };
        let is_lowest = self.classes.range(waiter.priority + 1..).all(|(_, c)| c.waiting == 0);
        let in_order = before + beside + 1;
        let by_lowest_turn = (beside + 1).saturating_mul(LOWEST_TURN as usize);
        let departures = if is_lowest { in_order.min(by_lowest_turn) } else { in_order };
        self.interval.saturating_mul(departures as u32)
    }

    fn correction(&self, priority: u8) -> f64 {
        self.classes.get(&priority).map_or(1.0, |class| class.correction)
    }

    /// Learns from how long a request has waited.
    fn note_wait(&mut self, ended: &Waiting, now: Duration) {
        let Some(class) = self.classes.get_mut(&ended.waiter.priority) else { return };
        let waited = now.saturating_sub(ended.since).as_secs_f64();
        let ratio = waited / ended.expected.as_secs_f64().max(f64::MIN_POSITIVE);
        class.correction += ERROR_WEIGHT * (ratio.clamp(1.0, MAX_CORRECTION) - class.correction);
    }

    fn enqueue(&mut self, waiting: Waiting) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = &waiting.waiter;
        self.classes.entry(waiter.priority).or_default().push(&waiter.team, ticket);
        self.tickets.insert(ticket, waiting);
        ticket
    }

    fn note_departure(&mut self, now: Duration) {
        if let Some(before) = self.departed_at {
            let newest = now.saturating_sub(before).as_secs_f64();
            let mean = self.interval.as_secs_f64();
            self.interval = Duration::from_secs_f64(mean + (newest - mean) * INTERVAL_WEIGHT);
        }
        self.departed_at = Some(now);
    }
}

impl Class {
    fn push(&mut self, team: &TeamId, ticket: Ticket) {
        let queue = self.by_team.entry(TeamId::clone(team)).or_default();
        if queue.is_empty() {
            self.turns.push_back(TeamId::clone(team));
        }
        queue.push_back(ticket);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<Ticket> {
        let team = self.turns.pop_front()?;
        let queue = self.by_team.get_mut(&team)?;
        let ticket = queue.pop_front()?;
        self.waiting -= 1;
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
        self.waiting -= before - queue.len();
        if queue.is_empty() {
            self.by_team.remove(team);
            self.turns.retain(|t| t != team);
        }
    }

    /// How many requests go before a new one of the team.
    fn position(&self, team: &TeamId) -> usize {
        let own = self.by_team.get(team).map_or(0, VecDeque::len);
        let others = self.by_team.iter().filter(|(t, _)| *t != team);
        own + others.map(|(_, queue)| queue.len().min(own + 1)).sum::<usize>()
    }
}
