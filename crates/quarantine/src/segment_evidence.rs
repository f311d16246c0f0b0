//! Evidence against prompt segments: recording, merging, and the verdicts in the log.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    CallIdentity, CallPhase, CallTag, EndpointIncarnation, EvidenceKey, SegmentId, SegmentReport,
};
use lynxmount_policy::SegmentVerdict;

use crate::SharedQuarantine;

/// Age from which on published evidence is ignored. Clocks may differ by an hour.
const MAX_AGE_S: u64 = 2 * 3600;

/// A call that is in flight until this is dropped.
pub struct CallInFlight {
    quarantine: Arc<SharedQuarantine>,
    call: CallTag,
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        let now = self.quarantine.started.elapsed();
        self.quarantine.segments.lock().record_end(self.call, now);
    }
}

impl SharedQuarantine {
    /// Records that a call is sent for the first time. It counts as in flight until the returned
    /// guard is dropped. `None` for a call without segments.
    pub fn start_call(self: &Arc<SharedQuarantine>, call: &CallIdentity) -> Option<CallInFlight> {
        if call.segments.is_empty() {
            return None;
        }
        self.segments.lock().record_call(call, self.started.elapsed());
        Some(CallInFlight { quarantine: Arc::clone(self), call: call.fingerprint.tag() })
    }

    /// Records that an endpoint has completed a call that was sent at a moment, and was at no
    /// other endpoint before.
    pub fn record_segment_survival(&self, call: &CallIdentity, sent_at: Instant) {
        if call.segments.is_empty() {
            return;
        }
        let (sent_at, now) =
            (sent_at.saturating_duration_since(self.started), self.started.elapsed());
        let cleared = self.segments.lock().record_survival(call, sent_at, now);
        if !cleared.is_empty() {
            self.update_verdicts();
            self.send(cleared.into_iter().map(EvidenceKey::Segment));
        }
    }

    pub(crate) fn record_segment_crash(
        &self,
        incarnation: EndpointIncarnation,
        calls: &[(CallIdentity, CallPhase)],
        now_s: u64,
    ) {
        let now = self.started.elapsed();
        let updated = self.segments.lock().record_crash(incarnation, calls, now, now_s);
        if !updated.is_empty() {
            self.update_verdicts();
            self.send(updated.into_iter().map(EvidenceKey::Segment));
        }
    }

    /// Merges evidence of other processes, and returns the segments that it is news about.
    pub(crate) fn merge_segments<'a>(
        &self,
        reports: impl Iterator<Item = &'a SegmentReport>,
    ) -> Vec<SegmentId> {
        let (now, now_s) = (self.started.elapsed(), crate::shared_quarantine::now_s());
        let mut segments = self.segments.lock();
        let current = reports.filter(|report| !is_outdated(report, now_s));
        let is_new = |report: &&SegmentReport| segments.merge(report, now);
        let updated: Vec<SegmentId> = current.filter(is_new).map(|r| r.segment).collect();
        drop(segments);
        if !updated.is_empty() {
            self.update_verdicts();
        }
        updated
    }

    pub(crate) fn segments_quarantined_for(&self, segments: &[SegmentId]) -> Option<Duration> {
        if segments.is_empty() || !self.is_enforced {
            return None;
        }
        let quarantine = self.segments.lock();
        quarantine.verdict_on(segments, self.started.elapsed()).map(|(_, remaining)| remaining)
    }

    /// The segments under which a call is quarantined; empty if it is not, or not by segments.
    pub fn condemned_segments(&self, call: &CallIdentity) -> Vec<SegmentId> {
        let quarantine = self.segments.lock();
        let verdict = quarantine.verdict_on(&call.segments, self.started.elapsed());
        verdict.map(|(verdict, _)| verdict.segments.clone()).unwrap_or_default()
    }

    /// The evidence against all segments.
    pub fn segment_reports(&self) -> Vec<SegmentReport> {
        self.segments.lock().reports().collect()
    }

    pub(crate) fn expire_segments(&self) -> Vec<SegmentId> {
        self.segments.lock().expire(self.started.elapsed())
    }

    fn update_verdicts(&self) {
        let now = self.started.elapsed();
        let verdicts = self.segments.lock().update_verdicts(now);
        for verdict in &verdicts {
            log_verdict(verdict, now);
            self.send(verdict.segments.iter().copied().map(EvidenceKey::Segment));
        }
        self.changes.send_modify(|changes| *changes += 1);
    }
}

/// Whether published evidence is too old to matter.
pub(crate) fn is_outdated(report: &SegmentReport, now_s: u64) -> bool {
    report.crashes.iter().all(|crash| crash.at_s + MAX_AGE_S < now_s)
}

fn log_verdict(verdict: &SegmentVerdict, now: Duration) {
    let segments: Vec<String> = verdict.segments.iter().map(SegmentId::to_string).collect();
    let rest_s = verdict.until.saturating_sub(now).as_secs();
    let crashes: Vec<String> =
        verdict.incarnations.iter().map(|incarnation| format!("{incarnation:016x}")).collect();
    log::warn!(segments:? = segments, rest_s, evidence_nats = verdict.evidence_nats,
        incarnations:? = crashes; "segment quarantined");
}
