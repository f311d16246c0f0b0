//! A budget of bytes that concurrent buffers share, so that a process stays within its memory
//! whatever its peers send.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The size up to which a buffer does not count, so that ordinary responses are received while
/// large ones have exhausted the budget.
pub const UNCOUNTED_BUFFER_BYTES: usize = 64 * 1024;

/// The budget; clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    available_bytes: Arc<AtomicUsize>,
    max_buffer_bytes: usize,
}

/// The part of the budget that one buffer has reserved; it is released on drop.
#[derive(Debug)]
pub struct BufferReservation {
    budget: BufferBudget,
    reserved_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget for all buffers together, and a limit for each.
    pub fn new(total_bytes: usize, max_buffer_bytes: usize) -> BufferBudget {
        BufferBudget { available_bytes: Arc::new(AtomicUsize::new(total_bytes)), max_buffer_bytes }
    }

    /// Starts an empty buffer.
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), reserved_bytes: 0 }
    }

    /// The bytes that are not reserved.
    pub fn available_bytes(&self) -> usize {
        self.available_bytes.load(Ordering::Relaxed)
    }

    fn try_take(&self, bytes: usize) -> bool {
        let subtract = |available: usize| available.checked_sub(bytes);
        self.available_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }
}

impl BufferReservation {
    /// Reserves what a buffer of this size needs. Returns whether it may grow to it.
    pub fn try_grow_to(&mut self, buffer_bytes: usize) -> bool {
        if buffer_bytes > self.budget.max_buffer_bytes {
            return false;
        }
        let needed = buffer_bytes.saturating_sub(UNCOUNTED_BUFFER_BYTES);
        let missing = needed.saturating_sub(self.reserved_bytes);
        let is_granted = self.budget.try_take(missing);
        if is_granted {
            self.reserved_bytes += missing;
        }
        is_granted
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.available_bytes.fetch_add(self.reserved_bytes, Ordering::Relaxed);
    }
}
