//! Crash detector: decides whether an endpoint crashed after a call's connection broke.
//!
//! Partitions and stalled groups break connections, too, so the endpoint is probed for a while; the
//! machine of a crashed process refuses the probe's connection. A single probe is not enough, as
//! the listener of a crashed process may close late, or a new process may listen again at once.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    CallFingerprint, CallIdentity, CallPhase, EndpointId, EndpointIncarnation, adapter::Dialect,
};
use lynxmount_link::{ProbeResult, probe};
use lynxmount_policy::LivenessEvidence;
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    endpoint::Endpoint,
    health_check::{HealthCheckResult, check},
    service::Service,
};

/// Pauses before successive liveness probes of an endpoint; the last one repeats while the endpoint
/// is observed. Connections that break within the first pause share a probe.
const PROBE_PAUSES: [Duration; 5] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(85),
    Duration::from_millis(200),
];

/// Accepted probes before the endpoint's health is checked. Most live endpoints have sent something
/// by then.
const PROBES_BEFORE_CHECK: usize = 4;

/// Consecutive health checks whose connections are closed without a response, after which an
/// endpoint counts as crashed behind a forwarder. A single one may be due to a connection limit.
const MAX_CLOSED_CHECKS: u32 = 3;

/// Timeout of a liveness probe. A silent host is partitioned, not crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the response to a caller is delayed to wait for the crash verdict on the endpoint.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(50);

/// Fraction of the duration of a group stall after which a broken silent call is attributed to the
/// stall.
const STALL_FRACTION: f64 = 0.8;

/// How long a canceled call remains suspect: its endpoint may have started it before it saw the
/// cancellation, and crash afterwards.
const CANCELED_CALL_TTL: Duration = Duration::from_millis(250);

/// Detects crashes, and records the calls that were at the crashed endpoints.
pub(crate) struct CrashDetector {
    metrics: Arc<Metrics>,
    quarantine: Arc<SharedQuarantine>,
    dialect: Arc<dyn Dialect>,
    /// Endpoints that are being probed.
    observed: Mutex<HashSet<EndpointIncarnation>>,
    /// Calls that were canceled within [`CANCELED_CALL_TTL`], oldest first.
    canceled: Mutex<VecDeque<CanceledCall>>,
}

/// Outcome of a probe of an observed endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeOutcome {
    /// The connection was accepted, which proves nothing, or the endpoint responded.
    Accepted,
    /// The connection was accepted and closed without a response.
    Closed,
    /// The process is gone.
    Refused,
    /// The machine or its network is down.
    Silent,
}

struct CanceledCall {
    endpoint: EndpointId,
    call: CallIdentity,
    phase: CallPhase,
    at: Instant,
}

/// A call whose connection broke before the call ended.
#[derive(Clone, Debug)]
pub(crate) struct DisconnectedCall {
    pub(crate) call: CallIdentity,
    pub(crate) phase: CallPhase,
    /// When the connection last received something, or else the call was sent.
    pub(crate) last_received_at: Instant,
    /// Time since the last event of any stream in the endpoint's group.
    pub(crate) group_silence: Option<Duration>,
    /// How long a group stalls after losing a rank; `None` for a service without groups.
    pub(crate) stall: Option<Duration>,
}

impl DisconnectedCall {
    /// Whether a stall of the group broke the connection. A stall breaks the streams at all ranks
    /// at once; without this check, each entry would probe each rank.
    fn is_stalled(&self) -> bool {
        let Some(stall) = self.stall else { return false };
        let is_long = |silence: Duration| silence >= stall.mul_f64(STALL_FRACTION);
        self.phase == CallPhase::Running
            && is_long(self.last_received_at.elapsed())
            && self.group_silence.is_some_and(is_long)
    }
}

impl CrashDetector {
    pub(crate) fn new(
        metrics: Arc<Metrics>,
        quarantine: Arc<SharedQuarantine>,
        dialect: Arc<dyn Dialect>,
    ) -> CrashDetector {
        CrashDetector {
            metrics,
            quarantine,
            dialect,
            observed: Mutex::default(),
            canceled: Mutex::default(),
        }
    }

    /// Records that a call's connection broke before the call ended, and starts to probe its
    /// endpoint.
    pub(crate) fn on_disconnect(
        self: &Arc<CrashDetector>,
        service: &Arc<Service>,
        endpoint: &Arc<Endpoint>,
        disconnected: DisconnectedCall,
    ) {
        if disconnected.is_stalled() {
            return;
        }
        let incarnation = endpoint.incarnation;
        let mut observed = self.observed.lock();
        self.quarantine.on_disconnect(
            incarnation,
            disconnected.call,
            disconnected.phase,
            LivenessEvidence::Missing,
        );
        if !observed.insert(incarnation) {
            return;
        }
        for (call, phase) in self.canceled_calls(&endpoint.record.id) {
            self.quarantine.on_disconnect(incarnation, call, phase, LivenessEvidence::Missing);
        }
        let detector = Arc::clone(self);
        let (service, endpoint) = (Arc::clone(service), Arc::clone(endpoint));
        tokio::spawn(async move { detector.observe(&service, &endpoint).await });
    }

    /// Records that an endpoint has sent something.
    pub(crate) fn on_received(&self, incarnation: EndpointIncarnation) {
        self.quarantine.on_received(incarnation);
    }

    /// Records that a call was canceled at an endpoint.
    pub(crate) fn on_canceled(&self, endpoint: &EndpointId, call: &CallIdentity, phase: CallPhase) {
        let (endpoint, call) = (EndpointId::clone(endpoint), call.clone());
        let mut canceled = self.canceled.lock();
        expire(&mut canceled);
        canceled.push_back(CanceledCall { endpoint, call, phase, at: Instant::now() });
    }

    /// Calls that were canceled at an endpoint within [`CANCELED_CALL_TTL`].
    fn canceled_calls(&self, endpoint: &EndpointId) -> Vec<(CallIdentity, CallPhase)> {
        let mut canceled = self.canceled.lock();
        expire(&mut canceled);
        let at_endpoint = canceled.iter().filter(|call| call.endpoint == *endpoint);
        at_endpoint.map(|canceled| (canceled.call.clone(), canceled.phase)).collect()
    }

    /// Waits for the crash verdicts on a call's endpoints, at most [`VERDICT_TIMEOUT`].
    pub(crate) async fn wait_for_verdict(&self, call: &CallFingerprint) {
        // On a timeout, the next attempt of the call waits for the remaining verdicts.
        let _ =
            tokio::time::timeout(VERDICT_TIMEOUT, self.quarantine.wait_until_released(call)).await;
    }

    /// Probes an endpoint until a crash is detected or ruled out, or the observation ends.
    async fn observe(&self, service: &Service, endpoint: &Endpoint) {
        let last_pause = PROBE_PAUSES.iter().skip(PROBE_PAUSES.len() - 1).cycle();
        let mut closed_checks = 0;
        for (probes, pause) in PROBE_PAUSES.iter().chain(last_pause).enumerate() {
            tokio::time::sleep(*pause).await;
            if !self.observed.lock().contains(&endpoint.incarnation) {
                return;
            }
            if self.has_ended(endpoint.incarnation) {
                return self.log_crash_ruled_out(endpoint, ProbeOutcome::Accepted);
            }
            let result = self.probe(service, endpoint, probes).await;
            closed_checks = if result == ProbeOutcome::Closed { closed_checks + 1 } else { 0 };
            let is_gone = result == ProbeOutcome::Refused || closed_checks >= MAX_CLOSED_CHECKS;
            match result {
                // The exit of a draining endpoint is planned, whatever ran there.
                _ if is_gone && !service.has_left(endpoint) => return self.on_crashed(endpoint),
                ProbeOutcome::Accepted | ProbeOutcome::Closed if !is_gone => {}
                _ => {
                    self.end_observation(endpoint.incarnation);
                    return self.log_crash_ruled_out(endpoint, result);
                }
            }
        }
    }

    /// Probes an endpoint by a connection or, after several inconclusive probes, a health check.
    async fn probe(
        &self,
        service: &Service,
        endpoint: &Endpoint,
        probes_before: usize,
    ) -> ProbeOutcome {
        // A health check counts against the endpoint's rate limit and rest period.
        let may_check =
            probes_before >= PROBES_BEFORE_CHECK && !endpoint.backpressure.lock().is_active();
        let Some(path) = service.health_path().filter(|_| may_check) else {
            return connect(endpoint).await;
        };
        match check(&*self.dialect, &endpoint.record, &path, PROBE_TIMEOUT).await {
            HealthCheckResult::Responded => {
                self.quarantine.on_response(endpoint.incarnation);
                ProbeOutcome::Accepted
            }
            HealthCheckResult::Closed => ProbeOutcome::Closed,
            HealthCheckResult::OtherEndpoint => ProbeOutcome::Refused,
            HealthCheckResult::Silent => ProbeOutcome::Accepted,
            HealthCheckResult::Unreachable => connect(endpoint).await,
        }
    }

    /// Whether an endpoint's observation has ended because no call is observed there any more.
    fn has_ended(&self, incarnation: EndpointIncarnation) -> bool {
        let mut observed = self.observed.lock();
        let has_ended = !self.quarantine.is_observed(incarnation);
        if has_ended {
            observed.remove(&incarnation);
        }
        has_ended
    }

    fn end_observation(&self, incarnation: EndpointIncarnation) {
        let mut observed = self.observed.lock();
        self.quarantine.forget_disconnected(incarnation);
        observed.remove(&incarnation);
    }

    fn on_crashed(&self, endpoint: &Endpoint) {
        let mut observed = self.observed.lock();
        let calls = self.quarantine.on_crashed(endpoint.incarnation);
        observed.remove(&endpoint.incarnation);
        drop(observed);
        self.metrics.count("endpoints.crashed");
        let calls = calls.iter().map(|(call, phase)| format!("{call} {phase:?}"));
        log::warn!(endpoint = &*endpoint.record.id, calls:? = calls.collect::<Vec<_>>();
            "endpoint crashed");
    }

    /// Records that another endpoint responds at the address.
    pub(crate) fn on_replaced(&self, endpoint: &Endpoint) {
        if self.quarantine.is_observed(endpoint.incarnation) {
            self.on_crashed(endpoint);
        }
    }

    fn log_crash_ruled_out(&self, endpoint: &Endpoint, result: ProbeOutcome) {
        log::info!(endpoint = &*endpoint.record.id, probe:? = result;
            "endpoint crash ruled out");
    }
}

async fn connect(endpoint: &Endpoint) -> ProbeOutcome {
    match probe(endpoint.record.address, PROBE_TIMEOUT).await {
        ProbeResult::Accepted => ProbeOutcome::Accepted,
        ProbeResult::Refused => ProbeOutcome::Refused,
        ProbeResult::Unresponsive => ProbeOutcome::Silent,
    }
}

fn expire(canceled: &mut VecDeque<CanceledCall>) {
    while canceled.front().is_some_and(|call| call.at.elapsed() > CANCELED_CALL_TTL) {
        canceled.pop_front();
    }
}
