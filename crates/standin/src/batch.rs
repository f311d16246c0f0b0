//! Continuous batching: each step gives every running sequence one token.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

/// How an engine runs its batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchOptions {
    /// The time of one step.
    pub step: Duration,
    /// The most sequences in one step.
    pub max_running: usize,
    /// How long a sequence goes on when its connection has broken, so that it
    /// can be resumed.
    pub resume_window: Duration,
    /// By how much the load report lags.
    pub load_lag: Duration,
}

impl Default for BatchOptions {
    /// Steps of 4.5 ms, 64 sequences, half a second for resuming, and a load
    /// report that is 0.3 s old.
    fn default() -> BatchOptions {
        BatchOptions {
            step: Duration::from_micros(4_500),
            max_running: 64,
            resume_window: Duration::from_millis(500),
            load_lag: Duration::from_millis(300),
        }
    }
}

/// Names a sequence; the attempt's id.
pub(crate) type SequenceId = String;

/// How many tokens of a sequence there are, and whether there will be more.
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

/// The load as it was a while ago.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadSeen {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

#[derive(Default)]
struct Inner {
    running: HashMap<SequenceId, Sequence>,
    waiting: Vec<(SequenceId, Sequence)>,
    finished: HashMap<SequenceId, watch::Receiver<Progress>>,
    load: LoadSeen,
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

    /// Queues a sequence.
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

    /// Finds a sequence that runs or has finished.
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

    /// How many sequences run or wait now.
    pub(crate) fn active(&self) -> usize {
        let inner = self.inner.lock();
        inner.running.len() + inner.waiting.len()
    }

    /// The load as it was a while ago.
    pub(crate) fn load(&self) -> LoadSeen {
        self.inner.lock().load
    }

    /// Runs steps for as long as the engine runs.
    pub(crate) async fn run(self: Arc<Batch>) {
        let mut load_at = Instant::now();
        let mut steps = tokio::time::interval(self.options.step.max(Duration::from_micros(100)));
        steps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            steps.tick().await;
            self.step();
            if load_at.elapsed() >= self.options.load_lag {
                load_at = Instant::now();
                let mut inner = self.inner.lock();
                let (running, waiting) = (inner.running.len(), inner.waiting.len());
                inner.load = LoadSeen { running, waiting };
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

/// Says whether nobody has read the sequence for longer than the window.
fn is_abandoned(sequence: &mut Sequence, window: Duration) -> bool {
    if sequence.progress.receiver_count() > 0 {
        sequence.unread_since = None;
        return false;
    }
    sequence.unread_since.get_or_insert_with(Instant::now).elapsed() > window
}
