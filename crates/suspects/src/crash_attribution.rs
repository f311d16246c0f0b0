//! Calls that wait until it is known whether endpoints crashed under them.

use std::{sync::atomic::Ordering, time::Duration};

use lynxmount_core::{CallFingerprint, CallPhase, EndpointLife};
use lynxmount_policy::LivenessEvidence;

use crate::SharedQuarantine;

impl SharedQuarantine {
    /// Records that the connection of a call broke at an endpoint that may have crashed.
    pub fn on_disconnect(
        &self,
        life: EndpointLife,
        call: CallFingerprint,
        phase: CallPhase,
        sign: LivenessEvidence,
    ) {
        let now = self.started.elapsed();
        let mut broken = self.broken.lock();
        broken.on_disconnect(life, call, phase, sign, now);
        self.has_broken.store(true, Ordering::Relaxed);
    }

    /// Records that an endpoint has sent something.
    pub fn on_received(&self, life: EndpointLife) {
        // Asked with each event of each stream.
        if !self.has_broken.load(Ordering::Relaxed) {
            return;
        }
        let mut broken = self.broken.lock();
        broken.on_received(life, self.started.elapsed());
        self.has_broken.store(!broken.is_empty(), Ordering::Relaxed);
        drop(broken);
        self.release();
    }

    /// Records that an endpoint has answered since connections of calls broke there.
    pub fn on_response(&self, life: EndpointLife) {
        self.broken.lock().on_response(life);
        self.release();
    }

    /// Says whether a crash of an endpoint would be attributed to a call.
    pub fn is_observed(&self, life: EndpointLife) -> bool {
        self.broken.lock().is_observed(life, self.started.elapsed())
    }

    /// Records that an endpoint has crashed. Returns the calls to which that is attributed.
    pub fn on_crashed(&self, life: EndpointLife) -> Vec<(CallFingerprint, CallPhase)> {
        let calls = self.broken.lock().on_crashed(life, self.started.elapsed());
        self.record_crash(life, &calls);
        self.release();
        calls
    }

    /// Forgets the calls of an endpoint that left, or that can't be reached.
    pub fn forget_disconnected(&self, life: EndpointLife) {
        self.broken.lock().forget(life);
        self.release();
    }

    /// How long a call has to wait for verdicts on its endpoints; `None` if it may be sent.
    pub fn remaining_hold(&self, call: &CallFingerprint) -> Option<Duration> {
        if !self.is_used || !self.has_broken.load(Ordering::Relaxed) {
            return None;
        }
        self.broken.lock().remaining_hold(call, self.started.elapsed())
    }

    /// Waits for the verdicts on a call's endpoints, or until they are overdue.
    pub async fn wait_until_released(&self, call: &CallFingerprint) {
        let mut releases = self.releases.subscribe();
        loop {
            releases.mark_unchanged();
            let Some(hold) = self.remaining_hold(call) else { return };
            // The sender lives as long as this.
            let _ = tokio::time::timeout(hold, releases.changed()).await;
        }
    }

    fn release(&self) {
        self.releases.send_modify(|count| *count += 1);
    }
}
