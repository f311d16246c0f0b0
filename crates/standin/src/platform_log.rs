//! The streams of the platform's log, and the faults that a test may cause.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, SystemTime},
};

use lynxmount_core::{Offset, wall_time_ms};
use lynxmount_platform::{Page, Record, Vm};
use parking_lot::Mutex;
use tokio::sync::watch;

/// Faults that last until they are changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every call is answered 503.
    pub is_down: bool,
    /// How many further appends take effect and are answered 500.
    pub responses_to_lose: u32,
    /// How long every call takes.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: Vec<Record>,
}

impl Stream {
    fn end(&self) -> Offset {
        self.first + self.records.len() as Offset
    }
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Stream>,
    vms: Vec<Vm>,
    faults: Faults,
}

/// The platform's state; clones share it.
#[derive(Clone, Debug)]
pub struct PlatformLog {
    inner: Arc<Mutex<Inner>>,
    appended: watch::Sender<u64>,
}

impl Default for PlatformLog {
    /// Starts with empty streams and no faults.
    fn default() -> PlatformLog {
        PlatformLog { inner: Arc::default(), appended: watch::Sender::new(0) }
    }
}

impl PlatformLog {
    /// Appends a record and returns its offset.
    pub fn append(&self, stream: &str, data: serde_json::Value) -> Offset {
        let mut inner = self.inner.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        let time_ms = wall_time_ms(SystemTime::now());
        stream.records.push(Record { offset, time_ms, data });
        drop(inner);
        self.appended.send_modify(|count| *count += 1);
        offset
    }

    /// Reads at most `limit` records from an offset on.
    pub fn read(&self, stream: &str, from: Offset, limit: usize) -> Page {
        let inner = self.inner.lock();
        let Some(stream) = inner.streams.get(stream) else { return Page::default() };
        let skipped = from.saturating_sub(stream.first) as usize;
        let records = stream.records.iter().skip(skipped).take(limit).cloned().collect();
        Page { first: stream.first, end: stream.end(), records }
    }

    /// Removes the records before an offset, as retention does.
    pub fn trim(&self, stream: &str, first: Offset) {
        let mut inner = self.inner.lock();
        let Some(stream) = inner.streams.get_mut(stream) else { return };
        let gone = (first.saturating_sub(stream.first) as usize).min(stream.records.len());
        stream.records.drain(..gone);
        stream.first += gone as Offset;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.inner.lock().faults
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().faults = faults;
        // Waiting readers see an outage at once.
        self.appended.send_modify(|count| *count += 1);
    }

    /// The VM list.
    pub fn vms(&self) -> Vec<Vm> {
        self.inner.lock().vms.clone()
    }

    /// Changes the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.inner.lock().vms = vms;
    }

    /// Takes one lost answer from those that are to be lost.
    pub(crate) fn take_lost_answer(&self) -> bool {
        let mut inner = self.inner.lock();
        let is_lost = inner.faults.responses_to_lose > 0;
        inner.faults.responses_to_lose = inner.faults.responses_to_lose.saturating_sub(1);
        is_lost
    }

    /// Tells each time that something was appended or a fault was changed.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.appended.subscribe()
    }
}
