//! The concurrency limit of the back end.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

/// Counts the requests that run at the back end, up to a limit.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimiter {
    running: AtomicU32,
}

/// Permission to run one request, released on drop.
#[derive(Debug)]
pub(crate) struct ConcurrencyPermit(Arc<ConcurrencyLimiter>);

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConcurrencyLimiter {
    /// Acquires a permit; `None` if the limit is reached.
    pub(crate) fn try_acquire(
        self: &Arc<ConcurrencyLimiter>,
        max_running: u32,
    ) -> Option<ConcurrencyPermit> {
        self.running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |running| {
                (running < max_running).then_some(running + 1)
            })
            .ok()?;
        Some(ConcurrencyPermit(Arc::clone(self)))
    }

    /// The number of requests that run.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }
}
