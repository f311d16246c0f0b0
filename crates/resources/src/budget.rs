//! The resource budget of a process, shared by its ports.

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use lynxmount_core::Clock;
use lynxmount_policy::{
    ConnectionId, ConnectionPhase, PeerKind, PeerTimeouts, ResourceBudget, ResourceLimits, Verdict,
};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::TrackedConnection;

/// How long a demand waits for an evicted connection to close.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(250);

/// Connections that are evicted for one demand at most.
const MAX_EVICTIONS: usize = 8;

/// How often connections are checked for peers that keep them waiting.
const OVERDUE_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// How long connections of internal ports may wait for their peers.
const INTERNAL_TIMEOUTS: PeerTimeouts =
    PeerTimeouts { head: Duration::from_secs(10), blocked: Duration::from_secs(60) };

/// A limit that took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetEvent {
    /// A connection was closed in favour of another.
    ConnectionEvicted(ConnectionPhase),
    /// A connection was closed because its peer kept it waiting.
    ConnectionOverdue(ConnectionPhase),
    /// A new connection was closed.
    ConnectionRefused,
    /// A body got no memory.
    BodyRefused,
    /// A body arrived too slowly.
    BodyTooSlow,
}

impl BudgetEvent {
    /// The name of its counter.
    pub fn counter(self) -> &'static str {
        match self {
            BudgetEvent::ConnectionEvicted(_) => "connections.evicted",
            BudgetEvent::ConnectionOverdue(_) => "connections.overdue",
            BudgetEvent::ConnectionRefused => "connections.refused",
            BudgetEvent::BodyRefused => "bodies.refused",
            BudgetEvent::BodyTooSlow => "bodies.too_slow",
        }
    }
}

/// Receives the events of an budget, for example to count them.
type EventSink = Box<dyn Fn(BudgetEvent) + Send + Sync>;

/// There is no memory for a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

struct State {
    budget: ResourceBudget,
    connections: HashMap<ConnectionId, Weak<TrackedConnection>>,
    /// Events since they were logged last.
    unlogged_events: u64,
}

struct Inner {
    clock: Clock,
    state: Mutex<State>,
    released: Notify,
    on_event: EventSink,
}

/// The budget of a process; clones share it.
#[derive(Clone)]
pub struct SharedBudget(Arc<Inner>);

impl fmt::Debug for SharedBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SharedBudget").field(&self.0.state.lock().budget).finish()
    }
}

/// Memory of a body; it is released on drop.
pub struct Reservation {
    budget: SharedBudget,
    connection: ConnectionId,
    bytes: usize,
}

/// Bytes with the memory that is reserved for them.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Reservation {
    /// Its size.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.budget.0.state.lock().budget.release(self.connection, released);
        self.budget.0.released.notify_waiters();
    }

    /// Keeps the memory reserved until the bytes and all their clones are dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.state.lock().budget.release(self.connection, self.bytes);
        self.budget.0.released.notify_waiters();
    }
}

impl SharedBudget {
    /// Creates the budget of a process with these limits, whose events go to `on_event`.
    pub fn new(
        limits: ResourceLimits,
        on_event: impl Fn(BudgetEvent) + Send + Sync + 'static,
    ) -> SharedBudget {
        let budget = ResourceBudget::new(limits);
        let state = State { budget, connections: HashMap::new(), unlogged_events: 0 };
        SharedBudget(Arc::new(Inner {
            clock: Clock::start(),
            state: Mutex::new(state),
            released: Notify::new(),
            on_event: Box::new(on_event),
        }))
    }

    /// Opens a connection, and evicts others for it if need be.
    ///
    /// Returns `None` if there is no room and no other can be evicted.
    pub async fn open(&self, kind: PeerKind) -> Option<Arc<TrackedConnection>> {
        for _ in 0..MAX_EVICTIONS {
            let released = self.0.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            match self.try_open(kind) {
                Ok(connection) => return Some(connection),
                Err(Verdict::Evict(id)) => self.evict(id),
                Err(_) => break,
            }
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, released).await;
        }
        self.record(BudgetEvent::ConnectionRefused);
        None
    }

    /// Opens a connection if that needs no eviction.
    ///
    /// Returns `None` if there is no room.
    pub fn open_now(&self, kind: PeerKind) -> Option<Arc<TrackedConnection>> {
        let opened = self.try_open(kind);
        if let Err(verdict) = opened {
            if let Verdict::Evict(id) = verdict {
                self.evict(id);
            }
            self.record(BudgetEvent::ConnectionRefused);
        }
        opened.ok()
    }

    /// Closes connections whose peers keep this process waiting, and logs events. Never returns.
    /// `caller_timeouts` are those in force for callers, if they are known.
    pub async fn watch(self, caller_timeouts: impl Fn() -> Option<PeerTimeouts>) {
        loop {
            tokio::time::sleep(OVERDUE_CHECK_PERIOD).await;
            self.log_events();
            self.close_overdue(PeerKind::Internal, INTERNAL_TIMEOUTS);
            if let Some(timeouts) = caller_timeouts() {
                self.close_overdue(PeerKind::Caller, timeouts);
            }
        }
    }

    fn close_overdue(&self, kind: PeerKind, timeouts: PeerTimeouts) {
        let now = self.0.clock.now();
        let next = || self.0.state.lock().budget.evict_overdue(kind, timeouts, now);
        for id in std::iter::from_fn(next) {
            let phase = self.phase(id);
            phase.into_iter().for_each(|p| self.record(BudgetEvent::ConnectionOverdue(p)));
            self.cancel(id);
        }
    }

    /// Reserves memory for a body that takes `size_bytes` altogether then.
    ///
    /// Fails if there is none and no connection can be evicted.
    pub(crate) async fn reserve(
        &self,
        connection: ConnectionId,
        bytes: usize,
        size_bytes: usize,
    ) -> Result<Reservation, Exhausted> {
        for _ in 0..MAX_EVICTIONS {
            let released = self.0.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            let now = self.0.clock.now();
            let verdict = self.0.state.lock().budget.reserve(connection, bytes, size_bytes, now);
            match verdict {
                Verdict::Granted => {
                    return Ok(Reservation { budget: self.clone(), connection, bytes });
                }
                Verdict::Evict(id) => self.evict(id),
                Verdict::Refused => break,
            }
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, released).await;
        }
        self.record(BudgetEvent::BodyRefused);
        Err(Exhausted)
    }

    /// Whether the read buffer of a connection may grow. Others are evicted for it if need be, but
    /// it is not granted before they are closed.
    pub(crate) fn grow_buffer(
        &self,
        connection: ConnectionId,
        filled_bytes: usize,
        growth_bytes: usize,
    ) -> bool {
        let now = self.0.clock.now();
        let mut state = self.0.state.lock();
        let verdict = state.budget.grow_buffer(connection, filled_bytes, growth_bytes, now);
        drop(state);
        if let Verdict::Evict(id) = verdict {
            self.evict(id);
        }
        verdict == Verdict::Granted
    }

    pub(crate) fn max_body_bytes(&self) -> usize {
        self.0.state.lock().budget.limits().max_body_bytes()
    }

    pub(crate) fn set_phase(&self, connection: ConnectionId, phase: ConnectionPhase) {
        let now = self.0.clock.now();
        self.0.state.lock().budget.set_phase(connection, phase, now);
    }

    pub(crate) fn on_progress(&self, connection: ConnectionId, bytes: usize) {
        let now = self.0.clock.now();
        self.0.state.lock().budget.on_progress(connection, bytes, now);
    }

    pub(crate) fn close(&self, connection: ConnectionId) {
        let mut state = self.0.state.lock();
        state.budget.close(connection);
        state.connections.remove(&connection);
        drop(state);
        self.0.released.notify_waiters();
    }

    fn try_open(&self, kind: PeerKind) -> Result<Arc<TrackedConnection>, Verdict> {
        let now = self.0.clock.now();
        let mut state = self.0.state.lock();
        match state.budget.admit(kind, now) {
            Verdict::Granted => {
                let id = state.budget.open(kind, now);
                let connection = Arc::new(TrackedConnection::new(self.clone(), id));
                state.connections.insert(id, Arc::downgrade(&connection));
                Ok(connection)
            }
            verdict => Err(verdict),
        }
    }

    fn evict(&self, id: ConnectionId) {
        let phase = self.phase(id);
        phase.into_iter().for_each(|phase| self.record(BudgetEvent::ConnectionEvicted(phase)));
        self.cancel(id);
    }

    fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.0.state.lock().budget.phase(id)
    }

    fn cancel(&self, id: ConnectionId) {
        let connection = self.0.state.lock().connections.get(&id).and_then(Weak::upgrade);
        if let Some(connection) = connection {
            connection.evict();
        }
    }

    pub(crate) fn record(&self, event: BudgetEvent) {
        self.0.state.lock().unlogged_events += 1;
        (self.0.on_event)(event);
    }

    /// Logs one line for all events since the last one.
    fn log_events(&self) {
        let mut state = self.0.state.lock();
        let events = std::mem::take(&mut state.unlogged_events);
        if events == 0 {
            return;
        }
        log::warn!(events, connections = state.budget.open_connections(),
            buffer_bytes = state.budget.buffer_bytes(),
            body_bytes = state.budget.body_bytes(); "resource limit reached");
    }
}
