//! How many requests run, and how many may.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

/// The places of one back end.
#[derive(Debug, Default)]
pub(crate) struct Places {
    running: AtomicU32,
}

/// A taken place; it is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Place(Arc<Places>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Places {
    /// Takes a place; `None` if all are taken.
    pub(crate) fn take(self: &Arc<Places>, max_running: u32) -> Option<Place> {
        self.running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |running| {
                (running < max_running).then_some(running + 1)
            })
            .ok()?;
        Some(Place(Arc::clone(self)))
    }

    /// How many places are taken.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }
}
