//! Continuous batching: each step generates one token for every running sequence.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

/// How an engine runs its batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchOptions {
    /// The duration of one step.
    pub step: Duration,
    /// The maximum number of sequences in one step.
    pub max_running: usize,
    /// How long a sequence keeps running without a reader, so that its stream can be resumed.
    pub resume_window: Duration,
    /// The interval at which the load report is refreshed.
    pub load_lag: Duration,
}

impl Default for BatchOptions {
    /// Steps of 4.5 ms, 64 sequences, a resume window of 0.5 s, and a load report refreshed every
    /// 0.3 s.
    fn default() -> BatchOptions {
        BatchOptions {
            step: Duration::from_micros(4_500),
            max_running: 64,
            resume_window: Duration::from_millis(500),
            load_lag: Duration::from_millis(300),
        }
    }
}

/// Identifies a sequence by its attempt's id.
pub(crate) type SequenceId = String;

/// The number of tokens generated for a sequence, and whether it was cancelled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    pub(crate) tokens: u32,
    pub(crate) is_cancelled: bool,
}

struct Sequence {
    priority: u8,
    max_tokens: u32,
    progress: watch::Sender<Progress>,
    unread_since: Option<Instant>,
}

/// A snapshot of the load, up to [`BatchOptions::load_lag`] old.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadSnapshot {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

#[derive(Default)]
struct Inner {
    running: HashMap<SequenceId, Sequence>,
    waiting: Vec<(SequenceId, Sequence)>,
    finished: HashMap<SequenceId, watch::Receiver<Progress>>,
    load: LoadSnapshot,
}

/// The batch of one engine.
pub(crate) struct Batch {
    options: BatchOptions,
    inner: Mutex<Inner>,
}

impl Batch {
    pub(crate) fn new(options: BatchOptions) -> Batch {
        Batch { options, inner: Mutex::default() }
    }

    /// Enqueues a sequence and returns a receiver of its progress.
    pub(crate) fn add(
        &self,
        id: SequenceId,
        priority: u8,
        max_tokens: u32,
    ) -> watch::Receiver<Progress> {
        let (progress, receiver) = watch::channel(Progress::default());
        let sequence = Sequence { priority, max_tokens, progress, unread_since: None };
        self.inner.lock().waiting.push((id, sequence));
        receiver
    }

    /// Finds a sequence that is waiting, running or finished.
    pub(crate) fn find(&self, id: &str) -> Option<watch::Receiver<Progress>> {
        let inner = self.inner.lock();
        let waiting = inner.waiting.iter().find(|(i, _)| i == id).map(|(_, sequence)| sequence);
        let running = inner.running.get(id).or(waiting).map(|s| s.progress.subscribe());
        running.or_else(|| inner.finished.get(id).cloned())
    }

    /// Cancels a sequence.
    pub(crate) fn cancel(&self, id: &str) {
        let mut inner = self.inner.lock();
        inner.waiting.retain(|(waiting, sequence)| {
            if waiting == id {
                sequence.progress.send_modify(|p| p.is_cancelled = true);
            }
            waiting != id
        });
        if let Some(sequence) = inner.running.remove(id) {
            sequence.progress.send_modify(|p| p.is_cancelled = true);
        }
    }

    /// The number of sequences that are running or waiting.
    pub(crate) fn active_sequences(&self) -> usize {
        let inner = self.inner.lock();
        inner.running.len() + inner.waiting.len()
    }

    /// The last snapshot of the load.
    pub(crate) fn load(&self) -> LoadSnapshot {
        self.inner.lock().load
    }

    /// Runs steps until the task is aborted.
    pub(crate) async fn run(self: Arc<Batch>) {
        let mut snapshot_at = Instant::now();
        let mut steps = tokio::time::interval(self.options.step.max(Duration::from_micros(100)));
        steps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            steps.tick().await;
            self.step();
            if snapshot_at.elapsed() >= self.options.load_lag {
                snapshot_at = Instant::now();
                let mut inner = self.inner.lock();
                let (running, waiting) = (inner.running.len(), inner.waiting.len());
                inner.load = LoadSnapshot { running, waiting };
            }
        }
    }

    fn step(&self) {
        let mut inner = self.inner.lock();
        inner.waiting.sort_by_key(|(_, sequence)| sequence.priority);
        while inner.running.len() < self.options.max_running && !inner.waiting.is_empty() {
            let (id, sequence) = inner.waiting.remove(0);
            inner.running.insert(id, sequence);
        }
        let window = self.options.resume_window;
        inner.running.retain(|_, sequence| !is_abandoned(sequence, window));
        for sequence in inner.running.values() {
            sequence.progress.send_modify(|progress| progress.tokens += 1);
        }
        let done: Vec<SequenceId> = inner
            .running
            .iter()
            .filter(|(_, sequence)| sequence.progress.borrow().tokens >= sequence.max_tokens)
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            if let Some(sequence) = inner.running.remove(&id) {
                inner.finished.insert(id, sequence.progress.subscribe());
            }
        }
    }
}

/// Returns whether the sequence has had no reader for longer than the window.
fn is_abandoned(sequence: &mut Sequence, window: Duration) -> bool {
    if sequence.progress.receiver_count() > 0 {
        sequence.unread_since = None;
        return false;
    }
    sequence.unread_since.get_or_insert_with(Instant::now).elapsed() > window
}
