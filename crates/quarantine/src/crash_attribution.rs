//! Attributes crashes of endpoints to calls, and holds calls until it is known whether their
//! endpoints crashed.

use std::{sync::atomic::Ordering, time::Duration};

use lynxmount_core::{CallFingerprint, CallIdentity, CallPhase, EndpointIncarnation};
use lynxmount_policy::LivenessEvidence;

use crate::SharedQuarantine;

impl SharedQuarantine {
    /// Records that the connection of a call broke at an endpoint that may have crashed.
    pub fn on_disconnect(
        &self,
        incarnation: EndpointIncarnation,
        call: impl Into<CallIdentity>,
        phase: CallPhase,
        evidence: LivenessEvidence,
    ) {
        let now = self.started.elapsed();
        let mut disconnected = self.disconnected.lock();
        disconnected.on_disconnect(incarnation, call, phase, evidence, now);
        self.has_disconnected.store(true, Ordering::Relaxed);
    }

    /// Records that an endpoint has sent something.
    pub fn on_received(&self, incarnation: EndpointIncarnation) {
        // Fast path without the lock: this runs for each event of each stream.
        if !self.has_disconnected.load(Ordering::Relaxed) {
            return;
        }
        let mut disconnected = self.disconnected.lock();
        disconnected.on_received(incarnation, self.started.elapsed());
        self.has_disconnected.store(!disconnected.is_empty(), Ordering::Relaxed);
        drop(disconnected);
        self.notify_held_calls();
    }

    /// Records that an endpoint has answered since connections of calls broke there.
    pub fn on_response(&self, incarnation: EndpointIncarnation) {
        self.disconnected.lock().on_response(incarnation);
        self.notify_held_calls();
    }

    /// Whether a crash of an endpoint would be attributed to a call.
    pub fn is_observed(&self, incarnation: EndpointIncarnation) -> bool {
        self.disconnected.lock().is_observed(incarnation, self.started.elapsed())
    }

    /// Records that an endpoint has crashed. Returns the calls to which that is attributed.
    pub fn on_crashed(&self, incarnation: EndpointIncarnation) -> Vec<(CallIdentity, CallPhase)> {
        let calls = self.disconnected.lock().on_crashed(incarnation, self.started.elapsed());
        self.record_crash(incarnation, &calls);
        self.notify_held_calls();
        calls
    }

    /// Drops the disconnected calls of an endpoint that left, or that is unreachable.
    pub fn forget_disconnected(&self, incarnation: EndpointIncarnation) {
        self.disconnected.lock().forget(incarnation);
        self.notify_held_calls();
    }

    /// How long a call is still held for verdicts on its endpoints; `None` if it may be sent.
    pub fn remaining_hold(&self, call: &CallFingerprint) -> Option<Duration> {
        if !self.is_enforced || !self.has_disconnected.load(Ordering::Relaxed) {
            return None;
        }
        self.disconnected.lock().remaining_hold(call, self.started.elapsed())
    }

    /// Waits for the verdicts on a call's endpoints, or until its hold expires.
    pub async fn wait_until_released(&self, call: &CallFingerprint) {
        let mut verdicts = self.verdicts.subscribe();
        loop {
            verdicts.mark_unchanged();
            let Some(hold) = self.remaining_hold(call) else { return };
            // It can't fail, as the sender lives as long as `self`.
            let _ = tokio::time::timeout(hold, verdicts.changed()).await;
        }
    }

    fn notify_held_calls(&self) {
        self.verdicts.send_modify(|count| *count += 1);
    }
}
