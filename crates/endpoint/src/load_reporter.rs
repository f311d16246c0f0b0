//! Reports the endpoint's load, state and crashes of its back end to all connected entries.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lynxmount_core::EndpointIncarnation;
use lynxmount_node::{DrainState, NodeHandle};
use lynxmount_wire::{LoadReport, ToEntry};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use crate::{backend_monitor::BackendMonitor, concurrency::ConcurrencyLimiter};

/// How often a report is sent if nothing changes. At the target size, each entry receives reports
/// of 12 bytes from 304 endpoints (docs/CAPACITY.md).
const REPORT_PERIOD: Duration = Duration::from_millis(600);

/// Sends load reports to the registered entries.
pub(crate) struct LoadReporter {
    node: NodeHandle,
    limiter: Arc<ConcurrencyLimiter>,
    monitor: Arc<BackendMonitor>,
    entries: Mutex<HashMap<u64, mpsc::Sender<ToEntry>>>,
    next_registration: AtomicU64,
    changed: Notify,
}

/// The registration of an entry, removed on drop.
pub(crate) struct Registration {
    reporter: Arc<LoadReporter>,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.reporter.entries.lock().remove(&self.number);
    }
}

impl LoadReporter {
    pub(crate) fn new(
        node: NodeHandle,
        limiter: Arc<ConcurrencyLimiter>,
        monitor: Arc<BackendMonitor>,
    ) -> LoadReporter {
        LoadReporter {
            node,
            limiter,
            monitor,
            entries: Mutex::default(),
            next_registration: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Registers an entry for reports and sends it the first one.
    pub(crate) fn register(self: &Arc<LoadReporter>, entry: mpsc::Sender<ToEntry>) -> Registration {
        let number = self.next_registration.fetch_add(1, Ordering::Relaxed);
        let _ = entry.try_send(ToEntry::Report(self.report()));
        self.entries.lock().insert(number, entry);
        Registration { reporter: Arc::clone(self), number }
    }

    /// Triggers a report without waiting for the next period.
    pub(crate) fn report_now(&self) {
        self.changed.notify_one();
    }

    /// Sends reports until the process exits.
    pub(crate) async fn run(self: Arc<LoadReporter>) {
        let mut changes = self.node.changes();
        let mut crashes = self.monitor.subscribe_crashes();
        let mut ticks = tokio::time::interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.changed.notified() => {}
                () = self.monitor.changed() => {}
                // `self` keeps the sender alive.
                _ = crashes.changed() => {
                    let crashed = *crashes.borrow_and_update();
                    crashed.into_iter().for_each(|incarnation| self.broadcast_crash(incarnation));
                }
                changed = changes.changed() => if changed.is_err() { return },
            }
            self.broadcast_report();
        }
    }

    /// Reports a crash of the back end to all entries. The report may arrive before or after the
    /// failures of the calls that the crash interrupted.
    fn broadcast_crash(&self, incarnation: EndpointIncarnation) {
        for entry in self.entries.lock().values() {
            let entry = entry.clone();
            tokio::spawn(async move {
                // A disconnected entry needs no report.
                let _ = entry.send(ToEntry::BackendCrashed { incarnation }).await;
            });
        }
    }

    fn broadcast_report(&self) {
        let report = self.report();
        for entry in self.entries.lock().values() {
            // If the queue is full, a later report replaces this one.
            let _ = entry.try_send(ToEntry::Report(report));
        }
    }

    fn report(&self) -> LoadReport {
        let view = self.node.view();
        LoadReport {
            config_version: view.version(),
            running: self.limiter.running(),
            waiting: self.monitor.queued_requests(),
            draining: view.drain != DrainState::Serving,
            backend_up: view.config.is_some() && self.monitor.is_up(),
        }
    }
}
