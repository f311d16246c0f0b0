//! An entry's state of one endpoint: load, health and backpressure, and the permits for its calls.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use lynxmount_core::{
    CallIdentity, CallPhase, EndpointId, EndpointIncarnation, EndpointRecord,
    adapter::{EndpointLoad, HeaderField, ResponseMetadata},
};
use lynxmount_policy::{
    CallOutcome, EndpointBackpressure, EndpointSnapshot, GroupMonitor, Liveness, OutlierDetector,
    OwnSlots, Stall, UNRESPONSIVE_AFTER,
};
use parking_lot::Mutex;

use crate::{pool::Pool, service::Service};

/// How long a load report of an endpoint is valid.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(600);

/// How long a notice that an endpoint is slow is valid: four periods in which it is repeated.
const SLOW_NOTICE_TTL: Duration = Duration::from_secs(1);

/// Maximum silence of an endpoint for a stream to reuse one of its connections. On a new
/// connection, an endpoint that was frozen sees the connection's reset before it reads the request.
const MAX_REUSE_SILENCE: Duration = Duration::from_millis(250);

/// Silence to all calls after which a plain endpoint counts as down.
const DOWN_AFTER: Duration = Duration::from_secs(1);

/// An endpoint that accepts calls.
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) incarnation: EndpointIncarnation,
    pub(crate) pool: Pool,
    /// Backpressure of this incarnation; it is kept when other parts of the registration change.
    pub(crate) backpressure: Arc<Mutex<EndpointBackpressure>>,
    load: Mutex<Load>,
}

#[derive(Default)]
struct Load {
    own_running: u32,
    others_running: u32,
    reported_at: Option<Instant>,
    last_received_at: Option<Instant>,
    outlier_detector: OutlierDetector,
    liveness: Liveness,
    last_chosen: u64,
    group: Option<Arc<str>>,
    own_slots: Option<OwnSlots>,
    /// Until when it counts as slow.
    slow_until: Duration,
}

/// Concurrency limits of an endpoint at a point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Maximum concurrent calls from all entries.
    pub(crate) total: u32,
    /// Maximum concurrent calls from this entry.
    pub(crate) own: u32,
    /// This entry's share of the group's concurrency, for a model service.
    pub(crate) group_share: Option<f64>,
    /// The point in time.
    pub(crate) now: Duration,
}

/// How long an endpoint and its group have sent nothing to this entry, and the mean gap between
/// events in the group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) endpoint_ms: u64,
    pub(crate) group_ms: Option<u64>,
    pub(crate) mean_gap_ms: u64,
}

/// The right to run a call at an endpoint. Dropping it releases the endpoint's slot.
pub(crate) struct Permit {
    pub(crate) endpoint: Arc<Endpoint>,
    /// The endpoint's group when the permit was granted.
    group: Arc<str>,
    service: Arc<Service>,
    /// Whether it holds an unused token of the endpoint's backpressure.
    has_token: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.has_token {
            self.endpoint.backpressure.lock().refund(self.service.now());
        }
        self.endpoint.release();
        self.service.release(&self.group);
    }
}

impl Endpoint {
    pub(crate) fn new(
        record: EndpointRecord,
        backpressure: Arc<Mutex<EndpointBackpressure>>,
    ) -> Endpoint {
        let incarnation = record.incarnation();
        Endpoint {
            record,
            incarnation,
            pool: Pool::default(),
            backpressure,
            load: Mutex::default(),
        }
    }

    /// Records the load that the endpoint has reported.
    pub(crate) fn on_load_report(&self, report: EndpointLoad) {
        let mut load = self.load.lock();
        load.others_running = (report.running + report.waiting).saturating_sub(load.own_running);
        load.reported_at = Some(Instant::now());
    }

    /// Records that the endpoint has sent something.
    fn on_received(&self, now: Duration) {
        let mut load = self.load.lock();
        load.last_received_at = Some(Instant::now());
        load.liveness.on_received(now);
    }

    fn release(&self) {
        let mut load = self.load.lock();
        load.own_running -= 1;
        if load.own_running == 0 {
            load.liveness.on_idle();
        }
    }

    /// Whether the endpoint has sent something recently enough to reuse its connections.
    pub(crate) fn has_sent_recently(&self) -> bool {
        self.load.lock().last_received_at.is_some_and(|at| at.elapsed() < MAX_REUSE_SILENCE)
    }

    /// Calls of all entries in progress, if the endpoint has reported its load recently.
    pub(crate) fn total_running(&self) -> Option<u32> {
        let load = self.load.lock();
        let is_current = load.reported_at.is_some_and(|at| at.elapsed() < LOAD_REPORT_TTL);
        is_current.then_some(load.own_running + load.others_running)
    }

    /// Sets the group in which the endpoint is a rank.
    pub(crate) fn set_group(&self, group: &Arc<str>) {
        self.load.lock().group = Some(Arc::clone(group));
    }

    /// Records a notice that the endpoint is slow: in a group that runs in lock-step, a call there
    /// would delay all calls of the group.
    pub(crate) fn on_slow(&self, now: Duration) {
        self.load.lock().slow_until = now + SLOW_NOTICE_TTL;
    }

    pub(crate) fn is_slow(&self, now: Duration) -> bool {
        now < self.load.lock().slow_until
    }

    /// Sets this entry's share of the endpoint's slots.
    pub(crate) fn set_own_slots(&self, own: OwnSlots) {
        self.load.lock().own_slots = Some(own);
    }

    pub(crate) fn has_own_slots(&self) -> bool {
        self.load.lock().own_slots.is_some()
    }

    /// The slots that this entry owns, in a model service.
    pub(crate) fn own_slots(&self) -> Option<u32> {
        self.load.lock().own_slots.map(|own| own.count)
    }

    pub(crate) fn own_running(&self) -> u32 {
        self.load.lock().own_running
    }

    /// The name of the endpoint's group; empty if unknown.
    pub(crate) fn group(&self) -> Arc<str> {
        self.load.lock().group.clone().unwrap_or_default()
    }

    /// Whether the endpoint's group is known.
    pub(crate) fn has_group(&self) -> bool {
        self.load.lock().group.is_some()
    }

    /// The state that endpoint selection uses.
    pub(crate) fn snapshot(
        &self,
        capacity: Capacity,
        tried: &[EndpointId],
        groups: &GroupMonitor,
    ) -> EndpointSnapshot {
        let load = self.load.lock();
        let backpressure = *self.backpressure.lock();
        let is_current = load.reported_at.is_some_and(|at| at.elapsed() < LOAD_REPORT_TTL);
        let group = load.group.as_deref().unwrap_or_default();
        let is_suspect =
            load.liveness.is_suspect(groups.progress(group, capacity.now), capacity.now);
        EndpointSnapshot {
            own_running: load.own_running,
            others_running: if is_current { load.others_running } else { 0 },
            capacity: capacity.total,
            own_capacity: capacity.own,
            own_slots: load.own_slots.map_or(0, |own| own.count),
            own_order: load.own_slots.map_or(0, |own| own.order),
            is_closed: !groups.may_send(group, capacity.now),
            latency_class: groups.latency_class(group, capacity.now),
            is_at_limit: capacity.group_share.is_some_and(|share| groups.is_at_limit(group, share)),
            is_ejected: load.outlier_detector.is_ejected(capacity.now)
                || is_suspect
                || capacity.now < load.slow_until,
            was_tried: tried.contains(&self.record.id),
            last_chosen: load.last_chosen,
            is_leaving: backpressure.is_leaving(),
            resumes_at: backpressure.resumes_at(capacity.now),
        }
    }

    /// Counts a call that was granted a permit; `selection` is its sequence number.
    pub(crate) fn on_selected(&self, selection: u64, now: Duration) {
        let mut load = self.load.lock();
        load.own_running += 1;
        load.liveness.on_sent(now);
        load.last_chosen = selection;
    }
}

impl Permit {
    pub(crate) fn new(endpoint: Arc<Endpoint>, service: Arc<Service>) -> Permit {
        let group = endpoint.group();
        let mut backpressure = endpoint.backpressure.lock();
        let has_token = backpressure.is_active() && backpressure.try_acquire(service.now());
        drop(backpressure);
        Permit { endpoint, group, service, has_token }
    }

    /// Uses the backpressure token right before the call is sent, or acquires one. Returns whether
    /// the call may be sent: the backpressure may be newer than the permit.
    pub(crate) fn use_token(&mut self) -> bool {
        let now = self.service.now();
        let mut backpressure = self.endpoint.backpressure.lock();
        match std::mem::take(&mut self.has_token) {
            true => backpressure.may_send(now),
            false => backpressure.try_acquire(now),
        }
    }

    /// Records the load and the backpressure in a response head to a call that was sent at
    /// `sent_at`.
    pub(crate) fn on_response(
        &self,
        metadata: &ResponseMetadata,
        status: StatusCode,
        sent_at: Instant,
    ) {
        if let Some(load) = metadata.load {
            self.endpoint.on_load_report(load);
        }
        // A failure response may lack the limit although there is one.
        if status.is_success() || metadata.limit_per_s != HeaderField::Absent {
            let sent_at = self.service.now().saturating_sub(sent_at.elapsed());
            self.service.on_limit(&self.endpoint, metadata.limit_per_s, sent_at);
        }
        self.service.on_rest(&self.endpoint, metadata.retry_after);
        self.service.on_leaving(&self.endpoint, metadata.is_leaving);
    }

    pub(crate) fn group(&self) -> &str {
        &self.group
    }

    pub(crate) fn shared_group(&self) -> Arc<str> {
        Arc::clone(&self.group)
    }

    /// Whether the endpoint delays its group.
    pub(crate) fn is_slow(&self) -> bool {
        self.endpoint.is_slow(self.service.now())
    }

    /// Records an event of the call's stream, its gap to the previous event, and the longest gap
    /// that meets the objective.
    pub(crate) fn on_event(&self, gap: Option<Duration>, gap_goal: Option<Duration>) {
        self.on_received();
        self.service.on_stream_event(&self.group, gap, gap_goal);
    }

    /// Silence of the endpoint and its group, for the log.
    pub(crate) fn silence(&self) -> Silence {
        let group = self.service.group_progress(&self.group);
        Silence {
            endpoint_ms: self.silent_for().as_millis() as u64,
            group_ms: group.silent_for.map(|time| time.as_millis() as u64),
            mean_gap_ms: group.mean_gap.as_millis() as u64,
        }
    }

    /// Records that the endpoint has sent something.
    pub(crate) fn on_received(&self) {
        self.endpoint.on_received(self.service.now());
        self.service.on_received(self.endpoint.incarnation);
    }

    /// How long the endpoint has sent nothing to any call of this entry.
    pub(crate) fn silent_for(&self) -> Duration {
        self.endpoint.load.lock().liveness.silent_for(self.service.now())
    }

    /// Whether the endpoint has been silent to all calls since one was sent, or for so long that it
    /// seems to be down.
    pub(crate) fn is_unresponsive(&self, sent_at: Instant) -> bool {
        self.silent_for() >= sent_at.elapsed().min(DOWN_AFTER)
    }

    /// What has stalled, if a call that has received nothing for `silence` should be rerouted.
    pub(crate) fn stall(&self, silence: Duration) -> Option<Stall> {
        let is_better_elsewhere = self.service.is_better_elsewhere(&self.group);
        Stall::detect(silence, self.service.group_progress(&self.group), is_better_elsewhere)
    }

    /// Records that the endpoint was silent until the caller's idle timeout was due. It counts as
    /// unreachable if its group has made progress without it.
    pub(crate) fn on_overdue(&self) {
        let progress = self.service.group_progress(&self.group);
        let now = self.service.now();
        if self.endpoint.load.lock().liveness.is_suspect(progress, now) {
            self.record_outcome(CallOutcome::Unreachable);
        }
    }

    /// How much longer a call waits at the endpoint if its caller's idle timeout is due in
    /// `idle_time`. A responsive endpoint would process the caller's cancellation, so the call is
    /// only given up once the endpoint is unresponsive, too.
    pub(crate) fn until_overdue(&self, idle_time: Duration) -> Duration {
        idle_time.max(UNRESPONSIVE_AFTER.saturating_sub(self.silent_for()))
    }

    /// Records that the endpoint refused the call, which has not run. A refusal during the endpoint's
    /// rest period is no evidence about its group.
    pub(crate) fn on_refusal(&self) {
        if !self.endpoint.backpressure.lock().breaker.is_open(self.service.now()) {
            self.service.on_group_refusal(&self.group);
        }
    }

    /// Records that the call's connection broke before the call ended, the phase of the call, and
    /// when the connection last received something, or else the call was sent.
    pub(crate) fn on_disconnect(
        &self,
        call: &CallIdentity,
        phase: CallPhase,
        last_received_at: Instant,
    ) {
        self.service.on_disconnect(&self.endpoint, &self.group, call, phase, last_received_at);
    }

    /// Records that a response body was too large to be buffered.
    pub(crate) fn on_oversized_response(&self) {
        self.service.on_oversized_response();
        log::warn!(endpoint = &*self.endpoint.record.id; "oversized response discarded");
    }

    /// Records that another endpoint has responded at the address.
    pub(crate) fn on_replaced(&self) {
        self.service.on_replaced(&self.endpoint);
    }

    /// Records that the call was canceled.
    pub(crate) fn on_canceled(&self, call: &CallIdentity, phase: CallPhase) {
        self.service.on_canceled(&self.endpoint.record.id, call, phase);
    }

    /// Records the outcome of the call at the endpoint, which may eject the endpoint.
    pub(crate) fn record_outcome(&self, outcome: CallOutcome) {
        if outcome == CallOutcome::Answered {
            self.service.on_group_response(&self.group);
        }
        let is_ejected =
            self.endpoint.load.lock().outlier_detector.record(outcome, self.service.now());
        if is_ejected {
            let endpoint = &*self.endpoint.record.id;
            log::warn!(endpoint, end:? = outcome; "endpoint ejected");
        }
    }
}
