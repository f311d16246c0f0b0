//! Telling all connected entries how the endpoint does.

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

use crate::{backend_watch::BackendWatch, places::Places};

/// How often a report is sent if nothing changes. At the target size a report
/// costs an entry 12 bytes from each of 304 endpoints (docs/CAPACITY.md).
const REPORT_PERIOD: Duration = Duration::from_millis(600);

/// Sends reports.
pub(crate) struct Reports {
    node: NodeHandle,
    places: Arc<Places>,
    backend: Arc<BackendWatch>,
    entries: Mutex<HashMap<u64, mpsc::Sender<ToEntry>>>,
    next_registration: AtomicU64,
    changed: Notify,
}

/// Ends an entry's reports when it is dropped.
pub(crate) struct Registration {
    reports: Arc<Reports>,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.reports.entries.lock().remove(&self.number);
    }
}

impl Reports {
    pub(crate) fn new(
        node: NodeHandle,
        places: Arc<Places>,
        backend: Arc<BackendWatch>,
    ) -> Reports {
        Reports {
            node,
            places,
            backend,
            entries: Mutex::default(),
            next_registration: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Sends reports to an entry from now on, the first at once.
    pub(crate) fn register(self: &Arc<Reports>, entry: mpsc::Sender<ToEntry>) -> Registration {
        let number = self.next_registration.fetch_add(1, Ordering::Relaxed);
        let _ = entry.try_send(ToEntry::Report(self.report()));
        self.entries.lock().insert(number, entry);
        Registration { reports: Arc::clone(self), number }
    }

    /// Sends a report soon, as something has changed.
    pub(crate) fn note_change(&self) {
        self.changed.notify_one();
    }

    /// Sends reports for as long as the process runs.
    pub(crate) async fn run(self: Arc<Reports>) {
        let mut changes = self.node.changes();
        let mut ended_lives = self.backend.ended_lives();
        let mut ticks = tokio::time::interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.changed.notified() => {}
                () = self.backend.changed() => {}
                // The sender lives as long as this does.
                _ = ended_lives.changed() => {
                    let ended = *ended_lives.borrow_and_update();
                    ended.into_iter().for_each(|incarnation| self.announce_crash(incarnation));
                }
                changed = changes.changed() => if changed.is_err() { return },
            }
            self.send_all();
        }
    }

    /// Tells all entries that the back end has crashed. That shows to some before it shows to
    /// their calls, and to some only after these have ended.
    fn announce_crash(&self, incarnation: EndpointIncarnation) {
        for entry in self.entries.lock().values() {
            let entry = entry.clone();
            tokio::spawn(async move {
                // An entry that has gone needs to know nothing.
                let _ = entry.send(ToEntry::BackendCrashed { incarnation }).await;
            });
        }
    }

    fn send_all(&self) {
        let report = self.report();
        for entry in self.entries.lock().values() {
            // A full channel has a later report coming.
            let _ = entry.try_send(ToEntry::Report(report));
        }
    }

    fn report(&self) -> LoadReport {
        let view = self.node.view();
        LoadReport {
            config_version: view.version(),
            running: self.places.running(),
            waiting: self.backend.waiting(),
            draining: view.drain != DrainState::Serving,
            backend_up: view.config.is_some() && self.backend.is_up(),
        }
    }
}
