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
pub enum Offer {
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
#[derive(Debug, Default)]
struct Class {
    turns: VecDeque<TeamId>,
    by_team: HashMap<TeamId, VecDeque<Ticket>>,
    waiting: usize,
}

/// The queue of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    classes: BTreeMap<u8, Class>,
    tickets: HashMap<Ticket, Waiter>,
    next_ticket: u64,
    interval: Duration,
    departed_at: Option<Duration>,
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
        }
    }
}

impl ServiceQueue {
    /// Decides about a request on arrival.
    pub fn offer(&mut self, waiter: Waiter, has_place: bool, now: Duration) -> Offer {
        if has_place && self.is_first(waiter.priority) {
            return Offer::Start;
        }
        let wait = self.expected_wait(&waiter);
        let limit = waiter.wait_until.saturating_sub(now);
        if wait > limit {
            let retry_after = wait.saturating_sub(limit).max(MIN_RETRY_AFTER);
            return Offer::Refuse { retry_after };
        }
        if self.tickets.is_empty() {
            // An idle pause is no interval; the first to wait starts a new one.
            self.departed_at = Some(now);
        }
        Offer::Wait(self.enqueue(waiter))
    }

    /// Takes the request that goes next, if one waits.
    ///
    /// Call it when there is a place; it measures how fast the queue drains.
    pub fn start_next(&mut self, now: Duration) -> Option<Ticket> {
        let priority = self.classes.iter().find(|(_, class)| class.waiting > 0).map(|(p, _)| *p)?;
        let ticket = self.classes.get_mut(&priority)?.pop()?;
        self.tickets.remove(&ticket);
        self.note_departure(now);
        Some(ticket)
    }

    /// Takes a request out that nobody waits for any more.
    pub fn remove(&mut self, ticket: Ticket) {
        let Some(waiter) = self.tickets.remove(&ticket) else { return };
        if let Some(class) = self.classes.get_mut(&waiter.priority) {
            class.remove(&waiter.team, ticket);
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

    fn is_first(&self, priority: u8) -> bool {
        self.classes.range(..=priority).all(|(_, class)| class.waiting == 0)
    }

    /// A request waits for everyone of a higher priority, and in its own for
    /// its team's backlog with all teams taking turns.
    fn expected_wait(&self, waiter: &Waiter) -> Duration {
        let before: usize = self.classes.range(..waiter.priority).map(|(_, c)| c.waiting).sum();
        let beside = match self.classes.get(&waiter.priority) {
            Some(class) => class.position(&waiter.team),
            None => 0,
        };
        self.interval.saturating_mul((before + beside + 1) as u32)
    }

    fn enqueue(&mut self, waiter: Waiter) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.classes.entry(waiter.priority).or_default().push(&waiter.team, ticket);
        self.tickets.insert(ticket, waiter);
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
