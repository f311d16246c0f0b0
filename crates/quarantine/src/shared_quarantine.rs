//! Thread-safe quarantine of poison requests, and the updates to replicate to other entries.

use std::{
    collections::BTreeSet,
    sync::atomic::AtomicBool,
    time::{Duration, Instant, SystemTime},
};

use lynxmount_core::{
    CallFingerprint, CallIdentity, CallPhase, CrashReport, EndpointIncarnation, wall_time_ms,
};
use lynxmount_policy::{DisconnectedCalls, MergeOutcome, Quarantine};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

/// Calls in one message to other entries: 9 kB with two crashes each.
const MAX_CALLS_PER_MESSAGE: usize = 64;

/// This entry's evidence against calls that were in progress at endpoints when these crashed.
pub struct SharedQuarantine {
    /// Whether calls are held and quarantined; evidence is replicated in any case.
    pub(crate) is_enforced: bool,
    pub(crate) started: Instant,
    quarantine: Mutex<Quarantine>,
    /// Counts changes of the evidence, for calls in progress.
    changes: watch::Sender<u64>,
    /// Calls whose evidence is to be sent to other entries.
    unsent: Mutex<BTreeSet<CallFingerprint>>,
    has_unsent: Notify,
    /// Calls whose endpoints may have crashed.
    pub(crate) disconnected: Mutex<DisconnectedCalls>,
    pub(crate) has_disconnected: AtomicBool,
    /// Counts verdicts on endpoints, for calls that are held for them.
    pub(crate) verdicts: watch::Sender<u64>,
}

impl SharedQuarantine {
    /// Starts without evidence.
    pub fn new(is_enforced: bool) -> SharedQuarantine {
        SharedQuarantine {
            is_enforced,
            started: Instant::now(),
            quarantine: Mutex::default(),
            changes: watch::Sender::new(0),
            unsent: Mutex::default(),
            has_unsent: Notify::new(),
            disconnected: Mutex::default(),
            has_disconnected: AtomicBool::new(false),
            verdicts: watch::Sender::new(0),
        }
    }

    /// Records that an endpoint crashed while calls were in progress there.
    pub fn record_crash(
        &self,
        incarnation: EndpointIncarnation,
        calls: &[(CallIdentity, CallPhase)],
    ) {
        let now_s = now_s();
        let mut quarantine = self.quarantine.lock();
        let is_new = |(call, phase): &&(CallIdentity, CallPhase)| {
            quarantine.record_crash(call.fingerprint, incarnation, *phase, now_s)
        };
        let updated: Vec<CallFingerprint> =
            calls.iter().filter(is_new).map(|(call, _)| call.fingerprint).collect();
        drop(quarantine);
        self.on_updated(&updated);
        self.send(updated);
    }

    /// Records that a call ended and its endpoint survived it.
    pub fn record_survival(&self, call: CallFingerprint) {
        if self.quarantine.lock().record_survival(call) {
            log::info!(call:% = call; "suspected call cleared");
            self.send([call]);
        }
    }

    /// Merges evidence that processes have published through the platform.
    pub fn merge_from_platform<'a>(&self, crash_reports: impl Iterator<Item = &'a CrashReport>) {
        let cleared = self.merge(crash_reports).cleared;
        self.send(cleared);
    }

    /// Merges a peer's evidence. What is new is forwarded, as the peer may not reach the platform.
    pub fn merge_from_peer(&self, crash_reports: &[CrashReport]) {
        let merged = self.merge(crash_reports.iter());
        self.send(merged.updated.into_iter().chain(merged.cleared));
    }

    fn merge<'a>(&self, crash_reports: impl Iterator<Item = &'a CrashReport>) -> MergedCalls {
        let now_s = now_s();
        let mut merged = MergedCalls::default();
        let mut quarantine = self.quarantine.lock();
        for crash_report in crash_reports {
            match quarantine.merge(crash_report, now_s) {
                MergeOutcome::Unchanged => {}
                MergeOutcome::Updated => merged.updated.push(crash_report.call),
                MergeOutcome::Cleared => merged.cleared.push(crash_report.call),
            }
        }
        drop(quarantine);
        self.on_updated(&merged.updated);
        merged
    }

    fn on_updated(&self, calls: &[CallFingerprint]) {
        for call in calls {
            if let Some(remaining) = self.quarantined_for(call) {
                let rest_s = remaining.as_secs();
                log::warn!(call:% = call, rest_s; "call quarantined");
            }
        }
        if !calls.is_empty() {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Remaining time of a call's quarantine; `None` if it may be sent.
    pub fn quarantined_for(&self, call: &CallFingerprint) -> Option<Duration> {
        self.quarantine.lock().quarantined_for(call, now_s()).filter(|_| self.is_enforced)
    }

    /// Waits until a call is quarantined, and returns for how long.
    pub async fn wait_until_quarantined(&self, call: &CallFingerprint) -> Duration {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            if let Some(remaining) = self.quarantined_for(call) {
                return remaining;
            }
            // It can't fail, as the sender lives as long as `self`.
            let _ = changes.changed().await;
        }
    }

    /// The evidence against all calls.
    pub fn crash_reports(&self) -> Vec<CrashReport> {
        self.quarantine.lock().crash_reports().cloned().collect()
    }

    /// A digest of all evidence, to compare with that of peers.
    pub fn digest(&self) -> u64 {
        self.quarantine.lock().digest()
    }

    /// Drops expired evidence, and returns the calls that it was against.
    pub fn expire(&self) -> Vec<CallFingerprint> {
        self.quarantine.lock().expire(now_s())
    }

    /// Whether the evidence against a call has expired.
    pub fn is_expired(&self, crash_report: &CrashReport) -> bool {
        Quarantine::is_expired(crash_report, now_s())
    }

    fn send(&self, calls: impl IntoIterator<Item = CallFingerprint>) {
        self.unsent.lock().extend(calls);
        self.has_unsent.notify_one();
    }

    /// Waits until there is unsent evidence.
    pub async fn wait_for_unsent(&self) {
        while self.unsent.lock().is_empty() {
            self.has_unsent.notified().await;
        }
    }

    /// Takes one message of unsent evidence.
    pub fn take_unsent(&self) -> Vec<CrashReport> {
        let mut unsent = self.unsent.lock();
        let calls: Vec<CallFingerprint> =
            unsent.iter().take(MAX_CALLS_PER_MESSAGE).copied().collect();
        calls.iter().for_each(|call| {
            unsent.remove(call);
        });
        drop(unsent);
        let quarantine = self.quarantine.lock();
        calls.iter().filter_map(|call| quarantine.crash_report(call).cloned()).collect()
    }

    /// Queues evidence again that could not be sent.
    pub fn requeue(&self, crash_reports: &[CrashReport]) {
        self.send(crash_reports.iter().map(|crash_report| crash_report.call));
    }
}

/// Calls whose evidence a merge has changed.
#[derive(Default)]
struct MergedCalls {
    updated: Vec<CallFingerprint>,
    /// Calls that were cleared at once, as this entry has seen an endpoint survive them.
    cleared: Vec<CallFingerprint>,
}

/// Seconds since the Unix epoch. Clocks of machines differ by seconds, and quarantines last for
/// minutes.
fn now_s() -> u64 {
    wall_time_ms(SystemTime::now()) / 1000
}
