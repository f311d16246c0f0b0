//! Connections within the resource budget: what they wait for, what they take, and in which order they
//! are evicted.

use std::time::Duration;

/// Identifies a connection.
pub type ConnectionId = u64;

/// Memory of an open connection besides its read buffer: its write buffer, its task and the state of
/// a call.
pub(crate) const CONNECTION_BASE_BYTES: usize = 20 * 1024;

/// Read buffer of a new connection.
pub(crate) const INITIAL_BUFFER_BYTES: usize = 8 * 1024;

/// Memory of a read buffer that has grown, in multiples of the last growth.
const GROWN_BUFFER_FACTOR: usize = 2;

/// Who connects.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerKind {
    /// A caller.
    Caller,
    /// Another process of the system, an operator or a probe.
    Internal,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// The first byte of the first request.
    Unused,
    /// The rest of a request head.
    Head,
    /// The rest of a request body.
    Body,
    /// This process.
    Running,
    /// Its peer, which does not read the response.
    Blocked,
    /// The next request.
    Idle,
}

/// Classes of connections, in the order in which they are evicted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum EvictionClass {
    Body,
    Head,
    Unused,
    Idle,
}

impl ConnectionPhase {
    fn eviction_class(self) -> Option<EvictionClass> {
        match self {
            ConnectionPhase::Unused => Some(EvictionClass::Unused),
            ConnectionPhase::Head => Some(EvictionClass::Head),
            ConnectionPhase::Body | ConnectionPhase::Blocked => Some(EvictionClass::Body),
            ConnectionPhase::Running => None,
            ConnectionPhase::Idle => Some(EvictionClass::Idle),
        }
    }
}

/// An open connection, and what it takes of the budget.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) kind: PeerKind,
    pub(crate) phase: ConnectionPhase,
    /// When the phase began or its body last made progress.
    pub(crate) since: Duration,
    /// Bytes since then.
    pub(crate) progress_bytes: usize,
    pub(crate) buffer_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) is_evicted: bool,
}

/// Position of a connection among those that may be evicted.
pub(crate) type EvictionKey = (PeerKind, EvictionClass, Duration, ConnectionId);

/// The size of a read buffer that was given this room.
pub(crate) fn buffer_size(filled_bytes: usize, growth_bytes: usize) -> usize {
    let needed_bytes = filled_bytes + growth_bytes;
    match growth_bytes <= INITIAL_BUFFER_BYTES {
        true => needed_bytes,
        false => needed_bytes.max(growth_bytes * GROWN_BUFFER_FACTOR),
    }
}

impl Connection {
    /// Its position among those that may be evicted, if it may be.
    pub(crate) fn eviction_key(&self, id: ConnectionId) -> Option<EvictionKey> {
        let class = self.phase.eviction_class().filter(|_| !self.is_evicted)?;
        Some((self.kind, class, self.since, id))
    }
}
