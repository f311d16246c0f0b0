//! Detects endpoints that crash under calls.
//!
//! A broken connection does not show a crash: partitions and stalled groups break connections,
//! too. So the endpoint is probed for a while; the machine of a crashed process refuses the probe.
//! One probe is not enough: the listener of a crashed process may close late, or a new process be
//! back at once.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{CallFingerprint, CallPhase, EndpointId, EndpointLife, edge::Dialect};
use lynxmount_link::{ProbeResult, probe};
use lynxmount_policy::LivenessEvidence;
use lynxmount_suspects::SharedQuarantine;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    endpoint::Endpoint,
    health_check::{HealthCheck, check},
    service::Service,
};

/// Pauses before the liveness probes of an endpoint; the last one is repeated for as long as the
/// endpoint is observed. Connections that break within the first share a probe.
const PROBE_PAUSES: [Duration; 5] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(85),
    Duration::from_millis(200),
];

/// Probes that are accepted before the endpoint is asked for its health. Most are heard by then.
const PROBES_BEFORE_CHECK: usize = 4;

/// Health checks in a row whose connections are closed without an answer until an endpoint counts
/// as crashed behind a forwarder. One alone may have met a limit of connections.
const MAX_CLOSED_CHECKS: u32 = 3;

/// Timeout of the liveness probe. A host that stays silent is partitioned, not crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a call waits for the verdict on its endpoint before its caller is answered.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(50);

/// Fraction of a group's stall after which a silent call counts as cut by the stall.
const STALL_PART: f64 = 0.8;

/// How long before a crash a call may have been canceled and still be suspected: its endpoint
/// may have begun it before it saw the cancellation.
const CANCELED_LIFE: Duration = Duration::from_millis(250);

/// Detects crashes, and records which calls were at the crashed endpoints.
pub(crate) struct CrashDetector {
    metrics: Arc<Metrics>,
    suspects: Arc<SharedQuarantine>,
    dialect: Arc<dyn Dialect>,
    /// Endpoints that are being probed.
    observed: Mutex<HashSet<EndpointLife>>,
    /// Calls that were canceled within [`CANCELED_LIFE`], the oldest first.
    canceled: Mutex<VecDeque<CanceledCall>>,
}

/// What a probe of an observed endpoint has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Probe {
    /// Nothing, or that its process lives.
    Accepted,
    /// Something takes connections, and closes them without an answer.
    Closed,
    /// Its process is gone.
    Refused,
    /// The machine or the way there is down.
    Silent,
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
    pub(crate) fn new(
        metrics: Arc<Metrics>,
        suspects: Arc<SharedQuarantine>,
        dialect: Arc<dyn Dialect>,
    ) -> CrashDetector {
        CrashDetector {
            metrics,
            suspects,
            dialect,
            observed: Mutex::default(),
            canceled: Mutex::default(),
        }
    }

    /// Records that the connection of a call broke before the call's end.
    pub(crate) fn on_broken(
        self: &Arc<CrashDetector>,
        service: &Arc<Service>,
        endpoint: &Arc<Endpoint>,
        broken: BrokenCall,
    ) {
        if broken.is_stalled() {
            return;
        }
        let life = endpoint.life;
        let mut observed = self.observed.lock();
        self.suspects.on_disconnect(life, broken.call, broken.phase, LivenessEvidence::Missing);
        if !observed.insert(life) {
            return;
        }
        for (call, phase) in self.canceled_at(&endpoint.record.id) {
            self.suspects.on_disconnect(life, call, phase, LivenessEvidence::Missing);
        }
        let detector = Arc::clone(self);
        let (service, endpoint) = (Arc::clone(service), Arc::clone(endpoint));
        tokio::spawn(async move { detector.observe(&service, &endpoint).await });
    }

    /// Records that an endpoint has sent something.
    pub(crate) fn on_heard(&self, life: EndpointLife) {
        self.suspects.on_received(life);
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

    /// Waits shortly for the verdicts on a call's endpoints.
    pub(crate) async fn wait_for_verdict(&self, call: &CallFingerprint) {
        // Whoever sends the call again waits for the rest.
        let _ =
            tokio::time::timeout(VERDICT_TIMEOUT, self.suspects.wait_until_released(call)).await;
    }

    /// Probes an endpoint until it shows whether it has crashed, or the observation is over.
    async fn observe(&self, service: &Service, endpoint: &Endpoint) {
        let last_pause = PROBE_PAUSES.iter().skip(PROBE_PAUSES.len() - 1).cycle();
        let mut closed_checks = 0;
        for (probes, pause) in PROBE_PAUSES.iter().chain(last_pause).enumerate() {
            tokio::time::sleep(*pause).await;
            if !self.observed.lock().contains(&endpoint.life) {
                return;
            }
            if self.is_over(endpoint.life) {
                return self.log_survived(endpoint, Probe::Accepted);
            }
            let result = self.probe(service, endpoint, probes).await;
            closed_checks = if result == Probe::Closed { closed_checks + 1 } else { 0 };
            let is_gone = result == Probe::Refused || closed_checks >= MAX_CLOSED_CHECKS;
            match result {
                // One that leaves ends as it was told to, whatever runs there.
                _ if is_gone && !service.has_left(endpoint) => return self.on_crashed(endpoint),
                Probe::Accepted | Probe::Closed if !is_gone => {}
                _ => {
                    self.end_observation(endpoint.life);
                    return self.log_survived(endpoint, result);
                }
            }
        }
    }

    /// Connects to an endpoint and, if that shows nothing for a while, asks for its health.
    async fn probe(&self, service: &Service, endpoint: &Endpoint, probes_before: usize) -> Probe {
        // A check counts as a request against what the endpoint has asked for.
        let may_check = probes_before >= PROBES_BEFORE_CHECK && !endpoint.advice.lock().is_active();
        let Some(path) = service.health_path().filter(|_| may_check) else {
            return connect(endpoint).await;
        };
        match check(&*self.dialect, &endpoint.record, &path, PROBE_TIMEOUT).await {
            HealthCheck::Answered => {
                self.suspects.on_response(endpoint.life);
                Probe::Accepted
            }
            HealthCheck::Closed => Probe::Closed,
            HealthCheck::OtherEndpoint => Probe::Refused,
            HealthCheck::Silent => Probe::Accepted,
            HealthCheck::Unreachable => connect(endpoint).await,
        }
    }

    /// Ends an observation once no call is observed there.
    fn is_over(&self, life: EndpointLife) -> bool {
        let mut observed = self.observed.lock();
        let is_over = !self.suspects.is_observed(life);
        if is_over {
            observed.remove(&life);
        }
        is_over
    }

    fn end_observation(&self, life: EndpointLife) {
        let mut observed = self.observed.lock();
        self.suspects.forget_disconnected(life);
        observed.remove(&life);
    }

    fn on_crashed(&self, endpoint: &Endpoint) {
        let mut observed = self.observed.lock();
        let calls = self.suspects.on_crashed(endpoint.life);
        observed.remove(&endpoint.life);
        drop(observed);
        self.metrics.count("endpoints.crashed");
        let names = calls.iter().map(|(call, phase)| format!("{call} {phase:?}"));
        log::warn!(endpoint = &*endpoint.record.id, calls:? = names.collect::<Vec<_>>();
            "endpoint crashed");
    }

    /// Records that another endpoint answers at the address.
    pub(crate) fn on_replaced(&self, endpoint: &Endpoint) {
        if self.suspects.is_observed(endpoint.life) {
            self.on_crashed(endpoint);
        }
    }

    fn log_survived(&self, endpoint: &Endpoint, result: Probe) {
        log::info!(endpoint = &*endpoint.record.id, probe:? = result;
            "endpoint survived its broken connections");
    }
}

async fn connect(endpoint: &Endpoint) -> Probe {
    match probe(endpoint.record.address, PROBE_TIMEOUT).await {
        ProbeResult::Accepted => Probe::Accepted,
        ProbeResult::Refused => Probe::Refused,
        ProbeResult::Silent => Probe::Silent,
    }
}

fn expire(canceled: &mut VecDeque<CanceledCall>) {
    while canceled.front().is_some_and(|call| call.at.elapsed() > CANCELED_LIFE) {
        canceled.pop_front();
    }
}
