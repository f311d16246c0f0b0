//! Calls that this entry holds back, and what it has to tell of them.

use std::{
    collections::BTreeSet,
    sync::atomic::AtomicBool,
    time::{Duration, Instant, SystemTime},
};

use lynxmount_core::{CallFingerprint, CallPhase, EndpointLife, Suspicion, wall_time_ms};
use lynxmount_policy::{DisconnectedCalls, MergeOutcome, Quarantine};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

/// Calls that are told in one message: 9 kB with two ends each.
const MAX_TOLD: usize = 64;

/// What this entry knows of calls under which endpoints have ended.
pub struct SharedQuarantine {
    /// Whether calls are held back; what is known is told in any case.
    pub(crate) is_used: bool,
    pub(crate) started: Instant,
    quarantine: Mutex<Quarantine>,
    /// Counts changes of what is known, for calls in progress.
    changes: watch::Sender<u64>,
    /// Calls of which others have to be told.
    news: Mutex<BTreeSet<CallFingerprint>>,
    has_news: Notify,
    /// Calls whose endpoints may have crashed.
    pub(crate) broken: Mutex<DisconnectedCalls>,
    pub(crate) has_broken: AtomicBool,
    /// Counts verdicts on endpoints, for calls that wait for them.
    pub(crate) releases: watch::Sender<u64>,
}

impl SharedQuarantine {
    /// Starts with nothing known.
    pub fn new(is_used: bool) -> SharedQuarantine {
        SharedQuarantine {
            is_used,
            started: Instant::now(),
            quarantine: Mutex::default(),
            changes: watch::Sender::new(0),
            news: Mutex::default(),
            has_news: Notify::new(),
            broken: Mutex::default(),
            has_broken: AtomicBool::new(false),
            releases: watch::Sender::new(0),
        }
    }

    /// Takes that an endpoint has ended under some calls.
    pub fn record_crash(&self, life: EndpointLife, calls: &[(CallFingerprint, CallPhase)]) {
        let now_s = now_s();
        let mut quarantine = self.quarantine.lock();
        let is_new = |(call, phase): &&(CallFingerprint, CallPhase)| {
            quarantine.record_crash(*call, life, *phase, now_s)
        };
        let new: Vec<CallFingerprint> =
            calls.iter().filter(is_new).map(|(call, _)| *call).collect();
        drop(quarantine);
        self.note_changed(&new);
        self.tell(new);
    }

    /// Takes that a call has come to an end that its endpoint has outlived.
    pub fn record_survival(&self, call: CallFingerprint) {
        if self.quarantine.lock().record_survival(call) {
            log::info!(call:% = call; "suspected call cleared");
            self.tell([call]);
        }
    }

    /// Takes what processes have told through the platform.
    pub fn merge_from_platform<'a>(&self, told: impl Iterator<Item = &'a Suspicion>) {
        let cleared = self.merge(told).cleared;
        self.tell(cleared);
    }

    /// Takes what a peer knows. What is new is told on: the peer may not reach the platform.
    pub fn merge_from_peer(&self, suspicions: &[Suspicion]) {
        let taken = self.merge(suspicions.iter());
        self.tell(taken.new.into_iter().chain(taken.cleared));
    }

    fn merge<'a>(&self, suspicions: impl Iterator<Item = &'a Suspicion>) -> TakenCalls {
        let now_s = now_s();
        let mut taken = TakenCalls::default();
        let mut quarantine = self.quarantine.lock();
        for suspicion in suspicions {
            match quarantine.merge(suspicion, now_s) {
                MergeOutcome::Unchanged => {}
                MergeOutcome::Updated => taken.new.push(suspicion.call),
                MergeOutcome::Cleared => taken.cleared.push(suspicion.call),
            }
        }
        drop(quarantine);
        self.note_changed(&taken.new);
        taken
    }

    fn note_changed(&self, calls: &[CallFingerprint]) {
        for call in calls {
            if let Some(rest) = self.quarantined_for(call) {
                let rest_s = rest.as_secs();
                log::warn!(call:% = call, rest_s; "call quarantined");
            }
        }
        if !calls.is_empty() {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// For how long a call is held back; `None` if it may be sent.
    pub fn quarantined_for(&self, call: &CallFingerprint) -> Option<Duration> {
        self.quarantine.lock().quarantined_for(call, now_s()).filter(|_| self.is_used)
    }

    /// Waits until a call is held back.
    pub async fn wait_until_quarantined(&self, call: &CallFingerprint) -> Duration {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            if let Some(rest) = self.quarantined_for(call) {
                return rest;
            }
            // The sender lives as long as this.
            let _ = changes.changed().await;
        }
    }

    /// Everything that is known.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        self.quarantine.lock().suspicions().cloned().collect()
    }

    /// Tells apart what is known from what others know.
    pub fn digest(&self) -> u64 {
        self.quarantine.lock().digest()
    }

    /// Forgets what no longer counts, and returns of which calls.
    pub fn expire(&self) -> Vec<CallFingerprint> {
        self.quarantine.lock().expire(now_s())
    }

    /// Says whether something that was told no longer counts.
    pub fn is_expired(&self, told: &Suspicion) -> bool {
        Quarantine::is_expired(told, now_s())
    }

    fn tell(&self, calls: impl IntoIterator<Item = CallFingerprint>) {
        self.news.lock().extend(calls);
        self.has_news.notify_one();
    }

    /// Waits until others have to be told of calls.
    pub async fn wait_for_unsent(&self) {
        while self.news.lock().is_empty() {
            self.has_news.notified().await;
        }
    }

    /// Takes some of what others have to be told.
    pub fn take_unsent(&self) -> Vec<Suspicion> {
        let mut news = self.news.lock();
        let calls: Vec<CallFingerprint> = news.iter().take(MAX_TOLD).copied().collect();
        calls.iter().for_each(|call| {
            news.remove(call);
        });
        drop(news);
        let quarantine = self.quarantine.lock();
        calls.iter().filter_map(|call| quarantine.suspicion(call).cloned()).collect()
    }

    /// Takes back what others were not told.
    pub fn requeue(&self, untold: &[Suspicion]) {
        self.tell(untold.iter().map(|suspicion| suspicion.call));
    }
}

/// Calls of which something new was told.
#[derive(Default)]
struct TakenCalls {
    new: Vec<CallFingerprint>,
    /// Those of them that an endpoint has outlived, as this entry knows.
    cleared: Vec<CallFingerprint>,
}

/// Seconds since the Unix epoch. Clocks of machines differ by seconds, and verdicts last for
/// minutes.
fn now_s() -> u64 {
    wall_time_ms(SystemTime::now()) / 1000
}
