//! Graceful shutdown: drains connections and requests before the process exits.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use lynxmount_policy::DrainSchedule;
use parking_lot::Mutex;
use tokio::{sync::watch, task::JoinHandle};

/// How often open connections are counted.
const CONNECTION_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// What a process does with its connections, in the order of a drain.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum DrainPhase {
    /// Connections stay open.
    Open,
    /// Connections close as they become idle.
    ClosingIdle,
    /// No connection is accepted any more.
    NotAccepting,
    /// Calls without a response are refused.
    Exiting,
}

/// Drain state of the process and its count of open connections.
pub(crate) struct Drain {
    /// When new requests are refused, once the process drains.
    refuses_at: Mutex<Option<Instant>>,
    connections: AtomicUsize,
    /// Connections that were closed before their first request.
    unused_connections: AtomicUsize,
    phase: watch::Sender<DrainPhase>,
}

/// Counts a connection as open until dropped.
pub(crate) struct ConnectionGuard(Arc<Drain>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Drain {
    /// Starts in the state of a process that is not draining.
    fn default() -> Drain {
        Drain {
            refuses_at: Mutex::default(),
            connections: AtomicUsize::new(0),
            unused_connections: AtomicUsize::new(0),
            phase: watch::Sender::new(DrainPhase::Open),
        }
    }
}

impl Drain {
    pub(crate) fn is_draining(&self) -> bool {
        self.refuses_at.lock().is_some()
    }

    /// Whether new requests are refused, because they might not finish before the process exits.
    pub(crate) fn is_refusing(&self) -> bool {
        self.refuses_at.lock().is_some_and(|at| Instant::now() >= at)
    }

    pub(crate) fn track_connection(self: &Arc<Drain>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(Arc::clone(self))
    }

    /// Records that a connection was closed before its first request.
    pub(crate) fn on_unused_connection_closed(&self) {
        self.unused_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until the drain has reached a phase.
    pub(crate) async fn reached(&self, phase: DrainPhase) {
        let mut current = self.phase.subscribe();
        // This can't fail: `self` owns the sender.
        let _ = current.wait_for(|current| *current >= phase).await;
    }

    /// Drains the process. Returns when all connections are closed or the grace period ends.
    /// `listening` ends once no connection is accepted any more.
    pub(crate) async fn run(&self, grace: Duration, listening: JoinHandle<()>) {
        let started_at = Instant::now();
        let schedule = DrainSchedule::new(grace);
        *self.refuses_at.lock() = Some(started_at + schedule.refuse_after);
        log::info!(connections = self.connections.load(Ordering::Relaxed); "draining");
        let end = started_at + schedule.exit_after;
        let refuse_at = started_at + schedule.refuse_unanswered_after;
        tokio::time::sleep(schedule.close_idle_after).await;
        self.phase.send_replace(DrainPhase::ClosingIdle);
        self.wait_until_unused(refuse_at).await;
        self.stop_accepting(listening).await;
        self.wait_until_unused(refuse_at).await;
        self.phase.send_replace(DrainPhase::Exiting);
        self.wait_until_unused(end).await;
        log::info!(left_over = self.connections.load(Ordering::Relaxed),
            unused = self.unused_connections.load(Ordering::Relaxed); "drained");
    }

    async fn stop_accepting(&self, listening: JoinHandle<()>) {
        self.phase.send_replace(DrainPhase::NotAccepting);
        if let Err(error) = listening.await {
            log::warn!(error:% = error; "listener failed");
        }
    }

    /// Waits until no connection is open, or until `end`.
    async fn wait_until_unused(&self, end: Instant) {
        while self.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(CONNECTION_CHECK_PERIOD).await;
        }
    }
}
