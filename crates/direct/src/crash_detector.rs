//! Detects endpoints that crash under calls.
//!
//! A broken connection does not show a crash: partitions and stalled groups break connections,
//! too. So the endpoint is probed; the machine of a crashed process refuses the probe.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{CallFingerprint, CallPhase, EndpointId};
use lynxmount_link::{ProbeResult, probe};
use lynxmount_suspects::Suspects;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::endpoint::Endpoint;

/// How long connections that break after the first are gathered, so that one probe serves all.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Timeout of the liveness probe. A host that stays silent is partitioned, not crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a call waits for the verdict on its endpoint before it is repeated.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(50);

/// Fraction of a group's stall after which a silent call counts as cut by the stall.
const STALL_PART: f64 = 0.8;

/// How long before a crash a call may have been canceled and still be suspected: its endpoint
/// may have begun it before it saw the cancellation.
const CANCELED_LIFE: Duration = Duration::from_millis(250);

/// Detects crashes, and records which calls were at the crashed endpoints.
pub(crate) struct CrashDetector {
    metrics: Arc<Metrics>,
    suspects: Arc<Suspects>,
    /// Calls whose connections have broken, by endpoints that are about to be probed.
    broken: Mutex<HashMap<EndpointId, Vec<(CallFingerprint, CallPhase)>>>,
    /// Calls that were canceled within [`CANCELED_LIFE`], the oldest first.
    canceled: Mutex<VecDeque<CanceledCall>>,
    /// Counts the endpoints that were classified.
    verdicts: watch::Sender<u64>,
}

struct CanceledCall {
    endpoint: EndpointId,
    call: CallFingerprint,
    phase: CallPhase,
    at: Instant,
}

/// What is known of a call whose connection has broken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenCall {
    pub(crate) call: CallFingerprint,
    pub(crate) phase: CallPhase,
    /// When the endpoint was last heard on the connection, or the call was sent.
    pub(crate) heard_at: Instant,
    /// How long ago the last event of any stream in the endpoint's group was.
    pub(crate) group_silence: Option<Duration>,
    /// How long a group stalls that has lost a rank; `None` for a service without.
    pub(crate) stall: Option<Duration>,
}

impl BrokenCall {
    /// Says whether the call was cut by a stall of its group, which cuts streams at all ranks at
    /// once. That saves a probe of each rank by each entry.
    fn is_stalled(&self) -> bool {
        let Some(stall) = self.stall else { return false };
        let is_long = |silence: Duration| silence >= stall.mul_f64(STALL_PART);
        self.phase == CallPhase::Running
            && is_long(self.heard_at.elapsed())
            && self.group_silence.is_some_and(is_long)
    }
}

impl CrashDetector {
    pub(crate) fn new(metrics: Arc<Metrics>, suspects: Arc<Suspects>) -> CrashDetector {
        CrashDetector {
            metrics,
            suspects,
            broken: Mutex::default(),
            canceled: Mutex::default(),
            verdicts: watch::Sender::new(0),
        }
    }

    /// Records that the connection of a call broke before the call's end.
    pub(crate) fn on_broken(
        self: &Arc<CrashDetector>,
        endpoint: &Arc<Endpoint>,
        broken: BrokenCall,
    ) {
        if broken.is_stalled() {
            return;
        }
        let id = EndpointId::clone(&endpoint.record.id);
        let mut gathering = self.broken.lock();
        if let Some(calls) = gathering.get_mut(&id) {
            calls.push((broken.call, broken.phase));
            return;
        }
        let mut calls = self.canceled_at(&id);
        calls.push((broken.call, broken.phase));
        gathering.insert(id, calls);
        tokio::spawn(Arc::clone(self).classify(Arc::clone(endpoint)));
    }

    /// Records that a call was canceled at an endpoint before its end.
    pub(crate) fn on_canceled(
        &self,
        endpoint: &EndpointId,
        call: CallFingerprint,
        phase: CallPhase,
    ) {
        let endpoint = EndpointId::clone(endpoint);
        let mut canceled = self.canceled.lock();
        expire(&mut canceled);
        canceled.push_back(CanceledCall { endpoint, call, phase, at: Instant::now() });
    }

    /// Calls that were canceled at an endpoint lately.
    fn canceled_at(&self, endpoint: &EndpointId) -> Vec<(CallFingerprint, CallPhase)> {
        let mut canceled = self.canceled.lock();
        expire(&mut canceled);
        let there = canceled.iter().filter(|call| call.endpoint == *endpoint);
        there.map(|canceled| (canceled.call, canceled.phase)).collect()
    }

    /// Waits until an endpoint whose connections have broken is classified. A call that is
    /// repeated sooner may crash another endpoint before the first crash is recorded.
    pub(crate) async fn wait_for_verdict(&self, endpoint: &EndpointId) {
        let mut verdicts = self.verdicts.subscribe();
        let is_known = |_: &u64| !self.broken.lock().contains_key(endpoint);
        // The sender lives as long as this, and who is silent has not ended.
        let _ = tokio::time::timeout(VERDICT_TIMEOUT, verdicts.wait_for(is_known)).await;
    }

    /// Probes an endpoint, and records a crash.
    async fn classify(self: Arc<CrashDetector>, endpoint: Arc<Endpoint>) {
        tokio::time::sleep(GATHER_TIME).await;
        let result = probe(endpoint.record.address, PROBE_TIMEOUT).await;
        let id = &*endpoint.record.id;
        let mut calls = self.broken.lock().remove(id).unwrap_or_default();
        calls.sort_unstable();
        calls.dedup();
        if result == ProbeResult::Refused {
            self.metrics.count("endpoints.crashed");
            let names = calls.iter().map(|(call, phase)| format!("{call} {phase:?}"));
            log::warn!(endpoint = id, calls:? = names.collect::<Vec<_>>();
                "endpoint crashed");
            self.suspects.note_end(endpoint.record.life(), &calls);
        } else {
            log::info!(endpoint = id, probe:? = result, calls = calls.len();
                "endpoint survived its broken connections");
        }
        self.verdicts.send_modify(|count| *count += 1);
    }
}

fn expire(canceled: &mut VecDeque<CanceledCall>) {
    while canceled.front().is_some_and(|call| call.at.elapsed() > CANCELED_LIFE) {
        canceled.pop_front();
    }
}
