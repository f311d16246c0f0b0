//! Graceful shutdown: drains connections and requests before the process exits.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::watch;

/// How long a draining entry still accepts requests. The platform probes readiness once a second
/// and needs two failures, and callers may wait a second for a connection.
const ACCEPT_DURATION: Duration = Duration::from_millis(3000);

/// Time from the start of the drain until idle connections are closed. By then the platform sends
/// no new ones.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2600);

/// Time between the forced end of the drain and the end of the grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Drain state of the process and its count of open connections.
pub(crate) struct Drain {
    started_at: Mutex<Option<Instant>>,
    connections: AtomicUsize,
    /// Connections that were closed before their first request.
    unused_connections: AtomicUsize,
    /// Set once connections must close as they become idle.
    closing: watch::Sender<bool>,
}

/// Counts a connection as open until dropped.
pub(crate) struct ConnectionGuard<'a>(&'a Drain);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Drain {
    /// Starts in the state of a process that is not draining.
    fn default() -> Drain {
        Drain {
            started_at: Mutex::default(),
            connections: AtomicUsize::new(0),
            unused_connections: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }
}

impl Drain {
    pub(crate) fn is_draining(&self) -> bool {
        self.started_at.lock().is_some()
    }

    /// Whether new requests are refused, because they might not finish before the process exits.
    pub(crate) fn is_refusing(&self) -> bool {
        self.started_at.lock().is_some_and(|at| at.elapsed() >= ACCEPT_DURATION)
    }

    pub(crate) fn track_connection(&self) -> ConnectionGuard<'_> {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self)
    }

    /// Records that a connection was closed before its first request.
    pub(crate) fn on_unused_connection_closed(&self) {
        self.unused_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until connections must close as they become idle.
    pub(crate) async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // This can't fail: `self` owns the sender.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
    }

    /// Drains the process. Returns when all connections are closed or the grace period ends.
    pub(crate) async fn run(&self, grace: Duration) {
        *self.started_at.lock() = Some(Instant::now());
        log::info!(connections = self.connections.load(Ordering::Relaxed); "draining");
        tokio::time::sleep(CLOSE_IDLE_AFTER).await;
        self.closing.send_replace(true);
        let end = Instant::now() + grace.saturating_sub(CLOSE_IDLE_AFTER + GRACE_MARGIN);
        while self.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        log::info!(left_over = self.connections.load(Ordering::Relaxed),
            unused = self.unused_connections.load(Ordering::Relaxed); "drained");
    }
}
