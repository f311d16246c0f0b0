//! The streams of the platform's log, the VM list, and the faults that a test may inject.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, SystemTime},
};

use lynxmount_core::{Offset, wall_time_ms};
use lynxmount_platform::{Page, Record, Vm};
use parking_lot::Mutex;
use tokio::sync::watch;

/// Injected faults; they last until they are changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every call fails with status 503.
    pub is_down: bool,
    /// The number of further appends that take effect but fail with status 500.
    pub responses_to_lose: u32,
    /// The delay of every call.
    pub delay: Duration,
    /// Calls that arrive or wait are never answered, also after the fault.
    pub is_silent: bool,
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
    lost_reads: HashMap<String, u64>,
}

/// The platform's state; clones share it.
#[derive(Clone, Debug)]
pub struct PlatformLog {
    inner: Arc<Mutex<Inner>>,
    change_count: watch::Sender<u64>,
}

impl Default for PlatformLog {
    /// Starts with empty streams and no faults.
    fn default() -> PlatformLog {
        PlatformLog { inner: Arc::default(), change_count: watch::Sender::new(0) }
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
        self.change_count.send_modify(|count| *count += 1);
        offset
    }

    /// Reads at most `limit` records, starting at an offset.
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
        let trimmed = (first.saturating_sub(stream.first) as usize).min(stream.records.len());
        stream.records.drain(..trimmed);
        stream.first += trimmed as Offset;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.inner.lock().faults
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().faults = faults;
        // Wakes waiting readers, so that they see an outage at once.
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Number of reads of a stream that are never answered.
    pub fn lost_read_count(&self, stream: &str) -> u64 {
        self.inner.lock().lost_reads.get(stream).copied().unwrap_or_default()
    }

    pub(crate) fn record_lost_read(&self, stream: &str) {
        *self.inner.lock().lost_reads.entry(stream.to_owned()).or_default() += 1;
    }

    /// The VM list.
    pub fn vms(&self) -> Vec<Vm> {
        self.inner.lock().vms.clone()
    }

    /// Changes the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.inner.lock().vms = vms;
    }

    /// Consumes one of the responses to lose; returns whether there was one.
    pub(crate) fn take_lost_response(&self) -> bool {
        let mut inner = self.inner.lock();
        let is_lost = inner.faults.responses_to_lose > 0;
        inner.faults.responses_to_lose = inner.faults.responses_to_lose.saturating_sub(1);
        is_lost
    }

    /// Subscribes to appends and to changes of faults.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }
}
