//! Resource budget of a process: admission control and eviction for connections, their read
//! buffers and buffered bodies, against exhaustion by slow or stalled peers (as in Slowloris).
//!
//! Nothing is evicted while there is enough. When a resource runs out, the connection whose peer
//! has made this process wait the longest is closed, so that peers that make progress are served
//! beside a crowd of peers that do not.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    ResourceLimits,
    resource_connection::{
        CONNECTION_BASE_BYTES, Connection, ConnectionId, ConnectionPhase, EvictionClass,
        EvictionKey, INITIAL_BUFFER_BYTES, PeerKind, buffer_size,
    },
};

/// Size up to which a body may take the memory that is reserved for small ones.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Time without progress after which a body may be evicted.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Bytes that count as progress. A body that transfers less than this in [`STALL_TIME`] is stalled.
const PROGRESS_BYTES: usize = 8 * 1024;

/// The answer to a demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is granted.
    Granted,
    /// It may be granted once this connection is closed.
    Evict(ConnectionId),
    /// It can't be granted: no connection may be evicted.
    Refused,
}

/// How long a connection may wait for its peer, whether or not anything runs out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerTimeouts {
    /// For the rest of a request head.
    pub head: Duration,
    /// For a peer that does not read the response.
    pub blocked: Duration,
}

const PEER_KINDS: [PeerKind; 2] = [PeerKind::Caller, PeerKind::Internal];

/// The resource budget of a process.
#[derive(Debug)]
pub struct ResourceBudget {
    limits: ResourceLimits,
    connections: HashMap<ConnectionId, Connection>,
    /// Connections that may be evicted, the first ones first.
    candidates: BTreeSet<EvictionKey>,
    next_id: ConnectionId,
    open_callers: usize,
    open_internal: usize,
    buffer_bytes: usize,
    body_bytes: usize,
}

impl ResourceBudget {
    /// Creates the budget of a process without connections.
    pub fn new(limits: ResourceLimits) -> ResourceBudget {
        ResourceBudget {
            limits,
            connections: HashMap::new(),
            candidates: BTreeSet::new(),
            next_id: 0,
            open_callers: 0,
            open_internal: 0,
            buffer_bytes: 0,
            body_bytes: 0,
        }
    }

    /// The limits.
    pub fn limits(&self) -> &ResourceLimits {
        &self.limits
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Memory of the connections' buffers in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Memory of the bodies in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Decides whether a connection may be opened.
    pub fn admit(&mut self, kind: PeerKind, now: Duration) -> Verdict {
        let (open, limit) = match kind {
            PeerKind::Caller => (self.open_callers, self.limits.caller_connections),
            PeerKind::Internal => (self.open_internal, self.limits.internal_connections),
        };
        if open >= limit {
            return self.evict(&[kind], now);
        }
        self.admit_buffer(CONNECTION_BASE_BYTES + INITIAL_BUFFER_BYTES, now)
    }

    /// Opens a connection.
    pub fn open(&mut self, kind: PeerKind, now: Duration) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            kind,
            phase: ConnectionPhase::Unused,
            since: now,
            progress_bytes: 0,
            buffer_bytes: CONNECTION_BASE_BYTES + INITIAL_BUFFER_BYTES,
            body_bytes: 0,
            is_evicted: false,
        };
        self.buffer_bytes += connection.buffer_bytes;
        *self.open_count(kind) += 1;
        self.candidates.extend(connection.eviction_key(id));
        self.connections.insert(id, connection);
        id
    }

    /// Closes a connection. Its bodies are released separately, as they may outlive it.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(key) = connection.eviction_key(id) {
            self.candidates.remove(&key);
        }
        self.buffer_bytes -= connection.buffer_bytes;
        *self.open_count(connection.kind) -= 1;
    }

    /// The phase of a connection; `None` once it is closed.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Records that a connection waits for something else.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Duration) {
        self.update(id, |connection| {
            connection.phase = phase;
            connection.since = now;
            connection.progress_bytes = 0;
        });
    }

    /// Records bytes that a connection has transferred.
    pub fn on_progress(&mut self, id: ConnectionId, bytes: usize, now: Duration) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.progress_bytes += bytes;
        if connection.progress_bytes >= PROGRESS_BYTES {
            self.update(id, |connection| {
                connection.since = now;
                connection.progress_bytes = 0;
            });
        }
    }

    /// Decides whether the read buffer of a connection may have room for `growth_bytes` beside
    /// `filled_bytes` that it holds.
    pub fn grow_buffer(
        &mut self,
        id: ConnectionId,
        filled_bytes: usize,
        growth_bytes: usize,
        now: Duration,
    ) -> Verdict {
        let Some(connection) = self.connections.get(&id) else { return Verdict::Refused };
        let needed = CONNECTION_BASE_BYTES + buffer_size(filled_bytes, growth_bytes);
        if needed <= connection.buffer_bytes {
            return Verdict::Granted;
        }
        let missing = needed - connection.buffer_bytes;
        let verdict = self.admit_buffer(missing, now);
        if verdict == Verdict::Granted {
            self.buffer_bytes += missing;
            self.update(id, |connection| connection.buffer_bytes = needed);
        }
        verdict
    }

    /// Decides whether a body of a connection may take `bytes` more, and thus `size_bytes`
    /// altogether.
    pub fn reserve(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        size_bytes: usize,
        now: Duration,
    ) -> Verdict {
        let limit = match size_bytes <= SMALL_BODY_BYTES {
            true => self.limits.body_bytes,
            false => self.limits.max_body_bytes(),
        };
        if size_bytes > limit {
            return Verdict::Refused;
        }
        if self.body_bytes + bytes > limit {
            return self.evict_stalled(&PEER_KINDS, |holder| holder.body_bytes > 0, now);
        }
        self.body_bytes += bytes;
        self.update(id, |connection| connection.body_bytes += bytes);
        Verdict::Granted
    }

    /// Releases memory of a body, whose connection may be closed.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        self.body_bytes -= bytes;
        self.update(id, |connection| connection.body_bytes -= bytes);
    }

    /// The next connection that has kept this process waiting for too long, if there is one.
    pub fn evict_overdue(
        &mut self,
        kind: PeerKind,
        timeouts: PeerTimeouts,
        now: Duration,
    ) -> Option<ConnectionId> {
        let first = (kind, EvictionClass::Body, Duration::ZERO, 0);
        let end = (kind, EvictionClass::Unused, Duration::ZERO, 0);
        let overdue = self.candidates.range(first..end).find(|(_, _, since, id)| {
            let timeout = match self.connections[id].phase {
                ConnectionPhase::Head => timeouts.head,
                ConnectionPhase::Blocked => timeouts.blocked,
                _ => return false,
            };
            now.saturating_sub(*since) >= timeout
        });
        let id = overdue?.3;
        self.set_evicted(id);
        Some(id)
    }

    fn admit_buffer(&mut self, bytes: usize, now: Duration) -> Verdict {
        if self.buffer_bytes + bytes <= self.limits.connection_bytes {
            return Verdict::Granted;
        }
        self.evict(&PEER_KINDS, now)
    }

    /// Evicts a stalled body, else the connection that has waited longest for a request head,
    /// else the one that has been idle for longest.
    fn evict(&mut self, kinds: &[PeerKind], now: Duration) -> Verdict {
        if let Verdict::Evict(stalled) = self.evict_stalled(kinds, |_| true, now) {
            return Verdict::Evict(stalled);
        }
        let waiting = [EvictionClass::Head, EvictionClass::Unused];
        let oldest = waiting.into_iter().filter_map(|class| self.oldest(kinds, class, |_| true));
        let oldest = oldest.min_by_key(|(_, _, since, _)| *since);
        let Some((.., id)) = oldest.or_else(|| self.oldest(kinds, EvictionClass::Idle, |_| true))
        else {
            return Verdict::Refused;
        };
        self.set_evicted(id);
        Verdict::Evict(id)
    }

    fn evict_stalled(
        &mut self,
        kinds: &[PeerKind],
        is_candidate: impl Fn(&Connection) -> bool,
        now: Duration,
    ) -> Verdict {
        let stalled = self
            .oldest(kinds, EvictionClass::Body, is_candidate)
            .filter(|(_, _, since, _)| now.saturating_sub(*since) >= STALL_TIME);
        let Some((.., id)) = stalled else { return Verdict::Refused };
        self.set_evicted(id);
        Verdict::Evict(id)
    }

    /// The connection of a class that has waited longest.
    fn oldest(
        &self,
        kinds: &[PeerKind],
        class: EvictionClass,
        is_candidate: impl Fn(&Connection) -> bool,
    ) -> Option<EvictionKey> {
        let first_of = |kind: &PeerKind| {
            let of_class = self.candidates.range((*kind, class, Duration::ZERO, 0)..);
            let mut of_class = of_class.take_while(|key| (key.0, key.1) == (*kind, class));
            of_class.find(|(.., id)| is_candidate(&self.connections[id]))
        };
        kinds.iter().filter_map(first_of).min_by_key(|(_, _, since, _)| *since).copied()
    }

    fn set_evicted(&mut self, id: ConnectionId) {
        self.update(id, |connection| connection.is_evicted = true);
    }

    /// Changes a connection and its position among those that may be evicted.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let before = connection.eviction_key(id);
        change(connection);
        let after = connection.eviction_key(id);
        if before != after {
            if let Some(key) = before {
                self.candidates.remove(&key);
            }
            self.candidates.extend(after);
        }
    }

    fn open_count(&mut self, kind: PeerKind) -> &mut usize {
        match kind {
            PeerKind::Caller => &mut self.open_callers,
            PeerKind::Internal => &mut self.open_internal,
        }
    }
}
