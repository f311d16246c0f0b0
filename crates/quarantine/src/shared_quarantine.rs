//! Thread-safe quarantine of poison requests, and the updates to replicate to other entries.

use std::{
    collections::BTreeSet,
    sync::atomic::AtomicBool,
    time::{Duration, Instant, SystemTime},
};

use lynxmount_core::{
    CallFingerprint, CallIdentity, CallPhase, CrashReport, EndpointIncarnation, Evidence,
    EvidenceKey, SegmentReport, wall_time_ms,
};
use lynxmount_policy::{DisconnectedCalls, MergeOutcome, Quarantine, SegmentQuarantine};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::segment_evidence::is_outdated;

/// Calls and segments in one message to other entries: 9 kB with two crashes each.
const MAX_KEYS_PER_MESSAGE: usize = 64;

/// This entry's evidence against calls that were in progress at endpoints when these crashed.
pub struct SharedQuarantine {
    /// Whether calls are held and quarantined; evidence is replicated in any case.
    pub(crate) is_enforced: bool,
    pub(crate) started: Instant,
    quarantine: Mutex<Quarantine>,
    pub(crate) segments: Mutex<SegmentQuarantine>,
    /// Counts changes of the evidence, for calls in progress.
    pub(crate) changes: watch::Sender<u64>,
    /// What has evidence that is to be sent to other entries.
    unsent: Mutex<BTreeSet<EvidenceKey>>,
    has_unsent: Notify,
    /// Calls whose endpoints may have crashed.
    pub(crate) disconnected: Mutex<DisconnectedCalls>,
    pub(crate) has_disconnected: AtomicBool,
    /// Counts verdicts on endpoints, for calls that are held for them.
    pub(crate) verdicts: watch::Sender<u64>,
}

impl SharedQuarantine {
    /// Starts without evidence.
    pub fn new(is_enforced: bool, process: &str) -> SharedQuarantine {
        SharedQuarantine {
            is_enforced,
            started: Instant::now(),
            quarantine: Mutex::default(),
            segments: Mutex::new(SegmentQuarantine::new(process)),
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
        self.send(updated.into_iter().map(EvidenceKey::Call));
        self.record_segment_crash(incarnation, calls, now_s);
    }

    /// Records that a call ended and its endpoint survived it.
    pub fn record_survival(&self, call: CallFingerprint) {
        if self.quarantine.lock().record_survival(call) {
            log::info!(call:% = call; "suspected call cleared");
            self.send([EvidenceKey::Call(call)]);
        }
    }

    /// Merges evidence that processes have published through the platform.
    pub fn merge_from_platform<'a>(&self, evidence: impl Iterator<Item = &'a Evidence>) {
        let (calls, segments) = split(evidence);
        let cleared = self.merge(calls.into_iter()).cleared;
        self.send(cleared.into_iter().map(EvidenceKey::Call));
        self.merge_segments(segments.into_iter());
    }

    /// Merges a peer's evidence. What is new is forwarded, as the peer may not reach the platform.
    pub fn merge_from_peer(&self, crash_reports: &[CrashReport]) {
        let merged = self.merge(crash_reports.iter());
        self.send(merged.updated.into_iter().chain(merged.cleared).map(EvidenceKey::Call));
    }

    /// Merges a peer's evidence against segments, and forwards what is new.
    pub fn merge_segments_from_peer(&self, reports: &[SegmentReport]) {
        let updated = self.merge_segments(reports.iter());
        self.send(updated.into_iter().map(EvidenceKey::Segment));
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
            if let Some(remaining) = self.call_quarantined_for(call) {
                let rest_s = remaining.as_secs();
                log::warn!(call:% = call, rest_s; "call quarantined");
            }
        }
        if !calls.is_empty() {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Remaining time of a call's quarantine; `None` if it may be sent.
    pub fn quarantined_for(&self, call: &CallIdentity) -> Option<Duration> {
        let of_call = self.call_quarantined_for(&call.fingerprint);
        of_call.max(self.segments_quarantined_for(&call.segments))
    }

    fn call_quarantined_for(&self, call: &CallFingerprint) -> Option<Duration> {
        self.quarantine.lock().quarantined_for(call, now_s()).filter(|_| self.is_enforced)
    }

    /// Waits until a call is quarantined, and returns for how long.
    pub async fn wait_until_quarantined(&self, call: &CallIdentity) -> Duration {
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
        self.quarantine.lock().digest().wrapping_add(self.segments.lock().digest())
    }

    /// Drops expired evidence, and returns what it was against.
    pub fn expire(&self) -> Vec<EvidenceKey> {
        let calls = self.quarantine.lock().expire(now_s());
        let segments = self.expire_segments();
        let segments = segments.into_iter().map(EvidenceKey::Segment);
        calls.into_iter().map(EvidenceKey::Call).chain(segments).collect()
    }

    /// Whether published evidence has expired, by the clocks of its reporters.
    pub fn is_expired(&self, evidence: &Evidence) -> bool {
        match evidence {
            Evidence::Call(report) => Quarantine::is_expired(report, now_s()),
            Evidence::Segment(report) => is_outdated(report, now_s()),
        }
    }

    pub(crate) fn send(&self, keys: impl IntoIterator<Item = EvidenceKey>) {
        self.unsent.lock().extend(keys);
        self.has_unsent.notify_one();
    }

    /// Waits until there is unsent evidence.
    pub async fn wait_for_unsent(&self) {
        while self.unsent.lock().is_empty() {
            self.has_unsent.notified().await;
        }
    }

    /// Takes one message of unsent evidence.
    pub fn take_unsent(&self) -> Vec<Evidence> {
        let mut unsent = self.unsent.lock();
        let keys: Vec<EvidenceKey> = unsent.iter().take(MAX_KEYS_PER_MESSAGE).copied().collect();
        keys.iter().for_each(|key| {
            unsent.remove(key);
        });
        drop(unsent);
        keys.iter().filter_map(|key| self.evidence(key)).collect()
    }

    /// The evidence against calls and segments, as far as there is any.
    pub fn evidence_against(&self, keys: &BTreeSet<EvidenceKey>) -> Vec<Evidence> {
        keys.iter().filter_map(|key| self.evidence(key)).collect()
    }

    fn evidence(&self, key: &EvidenceKey) -> Option<Evidence> {
        match key {
            EvidenceKey::Call(call) => {
                self.quarantine.lock().crash_report(call).cloned().map(Evidence::Call)
            }
            EvidenceKey::Segment(segment) => {
                self.segments.lock().report(segment).map(Evidence::Segment)
            }
        }
    }

    /// Queues evidence again that could not be sent.
    pub fn requeue(&self, evidence: &[Evidence]) {
        self.send(evidence.iter().map(Evidence::key));
    }
}

/// Separates the evidence against calls from that against segments.
pub fn split<'a>(
    evidence: impl Iterator<Item = &'a Evidence>,
) -> (Vec<&'a CrashReport>, Vec<&'a SegmentReport>) {
    let (mut calls, mut segments) = (Vec::new(), Vec::new());
    for evidence in evidence {
        match evidence {
            Evidence::Call(report) => calls.push(report),
            Evidence::Segment(report) => segments.push(report),
        }
    }
    (calls, segments)
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
pub(crate) fn now_s() -> u64 {
    wall_time_ms(SystemTime::now()) / 1000
}
