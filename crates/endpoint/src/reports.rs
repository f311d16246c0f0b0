//! Telling all connected entries how the endpoint does.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use lynxmount_core::{Cause, EndpointLife, Result};
use lynxmount_node::{DrainState, NodeHandle};
use lynxmount_wire::{LoadReport, ToEntry};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    backend::{Backend, Load},
    places::Places,
};

/// How often a report is sent if nothing changes. At the target size a report
/// costs an entry 12 bytes from each of 304 endpoints (docs/CAPACITY.md).
const REPORT_PERIOD: Duration = Duration::from_millis(600);

/// How often the back end is asked for its load.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// Loads in a row that a back end leaves unanswered before it counts as silent: one may be
/// lost to a pause of this process.
const MAX_MISSED_LOADS: u32 = 2;

/// Sends reports.
pub(crate) struct Reports {
    node: NodeHandle,
    places: Arc<Places>,
    backend: Backend,
    entries: Mutex<HashMap<u64, mpsc::Sender<ToEntry>>>,
    next_registration: AtomicU64,
    waiting: AtomicU32,
    backend_up: AtomicBool,
    /// How often the back end has come up.
    backend_lives: AtomicU64,
    /// Loads that the back end has left unanswered since its last sign of life.
    missed_loads: watch::Sender<u32>,
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
    pub(crate) fn new(node: NodeHandle, places: Arc<Places>, backend: Backend) -> Reports {
        Reports {
            node,
            places,
            backend,
            entries: Mutex::default(),
            next_registration: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            backend_up: AtomicBool::new(false),
            backend_lives: AtomicU64::new(0),
            missed_loads: watch::Sender::new(0),
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

    /// Notes whether the back end could be reached.
    pub(crate) fn note_backend(&self, is_up: bool) {
        if self.backend_up.swap(is_up, Ordering::Relaxed) != is_up {
            self.backend_lives.fetch_add(u64::from(is_up), Ordering::Relaxed);
            self.note_change();
        }
    }

    /// Records that the back end has sent something.
    pub(crate) fn on_sign_of_life(&self) {
        self.missed_loads.send_if_modified(|missed| std::mem::take(missed) > 0);
    }

    /// Waits until the back end is silent: it takes connections, perhaps, and answers nothing.
    pub(crate) async fn until_backend_silent(&self) {
        let mut missed = self.missed_loads.subscribe();
        // The sender lives as long as this does.
        let _ = missed.wait_for(|missed| *missed >= MAX_MISSED_LOADS).await;
    }

    /// The latest life of the back end, as entries tell it from others.
    pub(crate) fn backend_life(&self) -> EndpointLife {
        let (process, _) = self.node.incarnation().as_u64_pair();
        process.wrapping_add(self.backend_lives.load(Ordering::Relaxed))
    }

    /// Sends reports for as long as the process runs.
    pub(crate) async fn run(self: Arc<Reports>) {
        tokio::spawn(Arc::clone(&self).ask_backend());
        let mut changes = self.node.changes();
        let mut ticks = tokio::time::interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.changed.notified() => {}
                changed = changes.changed() => if changed.is_err() { return },
            }
            self.send_all();
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
            waiting: self.waiting.load(Ordering::Relaxed),
            draining: view.drain != DrainState::Serving,
            backend_up: view.config.is_some() && self.backend_up.load(Ordering::Relaxed),
        }
    }

    async fn ask_backend(self: Arc<Reports>) {
        let mut ticks = tokio::time::interval(LOAD_PERIOD);
        loop {
            ticks.tick().await;
            let load = self.backend.load().await;
            self.on_load(&load);
            self.note_backend(load.is_ok());
            let waiting = load.map_or(0, |load| load.waiting);
            self.waiting.store(waiting, Ordering::Relaxed);
        }
    }

    fn on_load(&self, load: &Result<Load>) {
        match load {
            Err(error) if matches!(error.cause, Cause::TimedOut) => {
                self.missed_loads.send_modify(|missed| *missed += 1);
            }
            _ => self.on_sign_of_life(),
        }
    }
}
