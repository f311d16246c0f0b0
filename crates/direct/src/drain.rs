//! Leaving: take no new connections, finish what is in progress, then end.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::watch;

/// How long an entry that leaves still takes requests: the platform asks for
/// readiness once a second and needs two misses, and callers that wait for a
/// connection may take a second.
const TAKES_NEW_FOR: Duration = Duration::from_millis(3000);

/// When idle connections are closed: by then the platform sends no new ones.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2600);

/// How long before the end of the grace time the process ends in any case.
const END_MARGIN: Duration = Duration::from_millis(500);

/// How far the process is with leaving.
pub(crate) struct Drain {
    started: Mutex<Option<Instant>>,
    connections: AtomicUsize,
    /// Set once connections are to be closed as they become idle.
    closing: watch::Sender<bool>,
}

/// Counts a connection as long as it lives.
pub(crate) struct ConnectionGuard<'a>(&'a Drain);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Drain {
    /// Starts as a process that stays.
    fn default() -> Drain {
        Drain {
            started: Mutex::default(),
            connections: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }
}

impl Drain {
    pub(crate) fn is_draining(&self) -> bool {
        self.started.lock().is_some()
    }

    /// Says whether new requests are refused: they could outlast the process.
    pub(crate) fn refuses_new(&self) -> bool {
        self.started.lock().is_some_and(|at| at.elapsed() >= TAKES_NEW_FOR)
    }

    pub(crate) fn start_connection(&self) -> ConnectionGuard<'_> {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self)
    }

    /// Waits until connections are to be closed.
    pub(crate) async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as this does.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
    }

    /// Leaves: returns when everything is finished, or the time is up.
    pub(crate) async fn run(&self, grace: Duration) {
        *self.started.lock() = Some(Instant::now());
        log::info!(connections = self.connections.load(Ordering::Relaxed); "draining");
        tokio::time::sleep(CLOSE_IDLE_AFTER).await;
        self.closing.send_replace(true);
        let end = Instant::now() + grace.saturating_sub(CLOSE_IDLE_AFTER + END_MARGIN);
        while self.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        log::info!(left_over = self.connections.load(Ordering::Relaxed); "drained");
    }
}
