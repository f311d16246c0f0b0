//! A connection that counts against the resource budget of its process.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use lynxmount_policy::{ConnectionId, ConnectionPhase};
use parking_lot::Mutex;
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

use crate::{BudgetEvent, Exhausted, Reservation, SharedBudget};

/// A connection of a peer. Dropping it releases its part of the budget.
pub struct TrackedConnection {
    budget: SharedBudget,
    id: ConnectionId,
    phase: Mutex<ConnectionPhase>,
    /// Received since the last request head, bodies left out: what its read buffer holds at least.
    unparsed_bytes: AtomicUsize,
    /// Whether the response to the current request is complete, but for what is not written yet.
    has_response_ended: AtomicBool,
    evicted: CancellationToken,
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}

impl TrackedConnection {
    pub(crate) fn new(budget: SharedBudget, id: ConnectionId) -> TrackedConnection {
        TrackedConnection {
            budget,
            id,
            phase: Mutex::new(ConnectionPhase::Unused),
            unparsed_bytes: AtomicUsize::new(0),
            has_response_ended: AtomicBool::new(false),
            evicted: CancellationToken::new(),
        }
    }

    /// Reserves memory for a body that takes `size_bytes` altogether then.
    ///
    /// Fails if there is none and no connection can be evicted.
    pub async fn reserve(&self, bytes: usize, size_bytes: usize) -> Result<Reservation, Exhausted> {
        self.budget.reserve(self.id, bytes, size_bytes).await
    }

    /// The largest body that can be reserved while no other is held.
    pub fn max_body_bytes(&self) -> usize {
        self.budget.max_body_bytes()
    }

    /// Resolves once the connection is to be closed in favour of others.
    pub fn evicted(&self) -> WaitForCancellationFuture<'_> {
        self.evicted.cancelled()
    }

    /// Whether the connection is to be closed in favour of others.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// What the connection waits for.
    pub fn phase(&self) -> ConnectionPhase {
        *self.phase.lock()
    }

    /// Records that a request head has arrived.
    pub(crate) fn on_request(&self, has_body: bool) {
        self.unparsed_bytes.store(0, Ordering::Relaxed);
        self.set_phase(match has_body {
            true => ConnectionPhase::Body,
            false => ConnectionPhase::Running,
        });
    }

    /// Records that the request has arrived completely.
    pub fn on_request_complete(&self) {
        self.set_phase(ConnectionPhase::Running);
    }

    /// Records that the request is refused because its body arrives too slowly.
    pub fn on_slow_body(&self) {
        self.budget.record(BudgetEvent::BodyTooSlow);
    }

    /// Records that there is a response. Returns whether the request was received completely.
    pub(crate) fn on_response(&self) -> bool {
        let is_complete = self.phase() != ConnectionPhase::Body;
        self.set_phase(ConnectionPhase::Running);
        is_complete
    }

    pub(crate) fn on_response_ended(&self) {
        self.has_response_ended.store(true, Ordering::Relaxed);
    }

    pub(crate) fn on_received(&self, bytes: usize) {
        let phase = self.phase();
        if phase != ConnectionPhase::Body {
            self.unparsed_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        match phase {
            ConnectionPhase::Unused | ConnectionPhase::Idle => {
                self.set_phase(ConnectionPhase::Head);
            }
            ConnectionPhase::Body => self.budget.on_progress(self.id, bytes),
            ConnectionPhase::Blocked | ConnectionPhase::Head | ConnectionPhase::Running => {}
        }
    }

    pub(crate) fn on_sent(&self) {
        if self.phase() == ConnectionPhase::Blocked {
            self.set_phase(ConnectionPhase::Running);
        }
    }

    pub(crate) fn on_send_blocked(&self) {
        if self.phase() == ConnectionPhase::Running {
            self.set_phase(ConnectionPhase::Blocked);
        }
    }

    /// Records that all that was to be sent is sent.
    pub(crate) fn on_flushed(&self) {
        if self.has_response_ended.swap(false, Ordering::Relaxed) {
            self.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Whether the read buffer may have this much room for the next read.
    pub(crate) fn may_read(&self, room_bytes: usize) -> bool {
        let filled_bytes = self.unparsed_bytes.load(Ordering::Relaxed);
        self.budget.grow_buffer(self.id, filled_bytes, room_bytes)
    }

    pub(crate) fn evict(&self) {
        self.evicted.cancel();
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        let mut current = self.phase.lock();
        if *current != phase {
            *current = phase;
            self.budget.set_phase(self.id, phase);
        }
    }
}
