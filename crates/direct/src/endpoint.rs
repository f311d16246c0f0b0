//! One endpoint as an entry sees it, and permits for its calls.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use lynxmount_core::{
    CallFingerprint, CallPhase, EndpointId, EndpointLife, EndpointRecord,
    edge::{AnswerHead, Field, ReportedLoad},
};
use lynxmount_policy::{
    CallOutcome, EndpointBackpressure, EndpointSnapshot, GroupMonitor, Liveness, OutlierDetector,
    OwnSlots, Stall, UNRESPONSIVE_AFTER,
};
use parking_lot::Mutex;

use crate::{pool::Pool, service::Service};

/// How long the load that an endpoint has told counts.
const LOAD_LIFE: Duration = Duration::from_millis(600);

/// How long ago an endpoint must have sent something for a stream to reuse a connection. On a
/// fresh one, an endpoint that was frozen sees the reset before it reads the request.
const HEARD_LATELY: Duration = Duration::from_millis(250);

/// An endpoint that takes calls.
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) life: EndpointLife,
    pub(crate) pool: Pool,
    /// What this life of the endpoint has asked for, whatever else its registration tells.
    pub(crate) advice: Arc<Mutex<EndpointBackpressure>>,
    load: Mutex<Load>,
}

#[derive(Default)]
struct Load {
    own_running: u32,
    others_running: u32,
    told_at: Option<Instant>,
    heard_at: Option<Instant>,
    health: OutlierDetector,
    liveness: Liveness,
    last_chosen: u64,
    group: Option<Arc<str>>,
    own_slots: Option<OwnSlots>,
}

/// What an endpoint can take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Calls of all entries.
    pub(crate) capacity: u32,
    /// Calls of this entry.
    pub(crate) own_capacity: u32,
    /// What this entry may run in the endpoint's group, for a model service.
    pub(crate) group_share: Option<f64>,
    /// The time.
    pub(crate) now: Duration,
}

/// How long an endpoint and its group have sent nothing to this entry, and the mean pause between
/// events in the group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) endpoint_ms: u64,
    pub(crate) group_ms: Option<u64>,
    pub(crate) pause_ms: u64,
}

/// The right to run a call at an endpoint; released when it is dropped.
pub(crate) struct Permit {
    pub(crate) endpoint: Arc<Endpoint>,
    /// The endpoint's group when the permit was granted.
    group: Arc<str>,
    service: Arc<Service>,
    /// Whether it has a turn under what the endpoint asks for that is not used yet.
    has_turn: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.has_turn {
            self.endpoint.advice.lock().refund(self.service.now());
        }
        self.endpoint.release();
        self.service.release(&self.group);
    }
}

impl Endpoint {
    pub(crate) fn new(
        record: EndpointRecord,
        advice: Arc<Mutex<EndpointBackpressure>>,
    ) -> Endpoint {
        let life = record.life();
        Endpoint { record, life, pool: Pool::default(), advice, load: Mutex::default() }
    }

    /// Takes the load that the endpoint has told.
    pub(crate) fn note_load(&self, told: ReportedLoad) {
        let mut load = self.load.lock();
        load.others_running = (told.running + told.waiting).saturating_sub(load.own_running);
        load.told_at = Some(Instant::now());
    }

    /// Records that the endpoint has sent something.
    fn on_heard(&self, now: Duration) {
        let mut load = self.load.lock();
        load.heard_at = Some(Instant::now());
        load.liveness.on_received(now);
    }

    fn release(&self) {
        let mut load = self.load.lock();
        load.own_running -= 1;
        if load.own_running == 0 {
            load.liveness.on_idle();
        }
    }

    /// Says whether the endpoint has sent something lately.
    pub(crate) fn is_heard(&self) -> bool {
        self.load.lock().heard_at.is_some_and(|at| at.elapsed() < HEARD_LATELY)
    }

    /// Takes which group the endpoint is a rank of.
    pub(crate) fn note_group(&self, group: &Arc<str>) {
        self.load.lock().group = Some(Arc::clone(group));
    }

    /// Takes what this entry has of the endpoint's slots.
    pub(crate) fn note_own_slots(&self, own: OwnSlots) {
        self.load.lock().own_slots = Some(own);
    }

    pub(crate) fn has_own_slots(&self) -> bool {
        self.load.lock().own_slots.is_some()
    }

    pub(crate) fn own_running(&self) -> u32 {
        self.load.lock().own_running
    }

    /// The endpoint's group; without name if it is not known.
    pub(crate) fn group(&self) -> Arc<str> {
        self.load.lock().group.clone().unwrap_or_default()
    }

    /// Says whether the group of the endpoint is known.
    pub(crate) fn has_group(&self) -> bool {
        self.load.lock().group.is_some()
    }

    /// What it offers a call, of which this entry's share of its slots is given.
    pub(crate) fn seat(
        &self,
        room: Capacity,
        tried: &[EndpointId],
        groups: &GroupMonitor,
    ) -> EndpointSnapshot {
        let load = self.load.lock();
        let advice = *self.advice.lock();
        let is_told = load.told_at.is_some_and(|at| at.elapsed() < LOAD_LIFE);
        let group = load.group.as_deref().unwrap_or_default();
        let is_suspect = load.liveness.is_suspect(groups.progress(group, room.now), room.now);
        EndpointSnapshot {
            own_running: load.own_running,
            others_running: if is_told { load.others_running } else { 0 },
            capacity: room.capacity,
            own_capacity: room.own_capacity,
            own_slots: load.own_slots.map_or(0, |own| own.count),
            own_order: load.own_slots.map_or(0, |own| own.order),
            is_closed: !groups.may_send(group, room.now),
            latency_class: groups.latency_class(group, room.now),
            is_at_limit: room.group_share.is_some_and(|share| groups.is_at_limit(group, share)),
            is_ejected: load.health.is_ejected(room.now) || is_suspect,
            was_tried: tried.contains(&self.record.id),
            last_chosen: load.last_chosen,
            is_leaving: advice.is_leaving(),
            resumes_at: advice.resumes_at(room.now),
        }
    }

    /// Counts a call that is granted a permit here.
    pub(crate) fn on_chosen(&self, choice: u64, now: Duration) {
        let mut load = self.load.lock();
        load.own_running += 1;
        load.liveness.on_sent(now);
        load.last_chosen = choice;
    }
}

impl Permit {
    pub(crate) fn new(endpoint: Arc<Endpoint>, service: Arc<Service>) -> Permit {
        let group = endpoint.group();
        let mut advice = endpoint.advice.lock();
        let has_turn = advice.is_active() && advice.try_acquire(service.now());
        drop(advice);
        Permit { endpoint, group, service, has_turn }
    }

    /// Uses the turn, right before the call is sent. Returns whether it may be: what the endpoint
    /// asks for may be newer than the permit.
    pub(crate) fn use_turn(&mut self) -> bool {
        let now = self.service.now();
        let mut advice = self.endpoint.advice.lock();
        match std::mem::take(&mut self.has_turn) {
            true => advice.may_send(now),
            false => advice.try_acquire(now),
        }
    }

    /// Takes what the head of an answer tells of the endpoint, to a call that was sent at a time.
    pub(crate) fn on_answer(&self, told: &AnswerHead, status: StatusCode, sent_at: Instant) {
        if let Some(load) = told.load {
            self.endpoint.note_load(load);
        }
        // What fails on the way to an answer may say nothing of the limit.
        if status.is_success() || told.limit_per_s != Field::Absent {
            let sent_at = self.service.now().saturating_sub(sent_at.elapsed());
            self.service.on_limit(&self.endpoint, told.limit_per_s, sent_at);
        }
        self.service.on_rest(&self.endpoint, told.rest);
        self.service.on_leaving(&self.endpoint, told.leaving);
    }

    pub(crate) fn group(&self) -> &str {
        &self.group
    }

    /// Takes an event of the call's stream, how long after the one before, and the
    /// longest pause that is on time.
    pub(crate) fn note_event(&self, pause: Option<Duration>, goal: Option<Duration>) {
        self.on_heard();
        self.service.note_event(&self.group, pause, goal);
    }

    /// The silence that the call meets, for log lines.
    pub(crate) fn silence(&self) -> Silence {
        let group = self.service.group_progress(&self.group);
        Silence {
            endpoint_ms: self.silent_for().as_millis() as u64,
            group_ms: group.silent_for.map(|time| time.as_millis() as u64),
            pause_ms: group.mean_gap.as_millis() as u64,
        }
    }

    /// Records that the endpoint has sent something.
    pub(crate) fn on_heard(&self) {
        self.endpoint.on_heard(self.service.now());
        self.service.on_heard(self.endpoint.life);
    }

    /// How long the endpoint has sent nothing to any call of this entry.
    pub(crate) fn silent_for(&self) -> Duration {
        self.endpoint.load.lock().liveness.silent_for(self.service.now())
    }

    /// Says what has stalled under a call that has heard nothing for so long, if it should be
    /// rerouted.
    pub(crate) fn stall(&self, silence: Duration) -> Option<Stall> {
        let is_better_elsewhere = self.service.is_better_elsewhere(&self.group);
        Stall::detect(silence, self.service.group_progress(&self.group), is_better_elsewhere)
    }

    /// Records that the endpoint was silent until the call's caller had to be answered. It is
    /// ejected if its group has made progress without it.
    pub(crate) fn on_overdue(&self) {
        let progress = self.service.group_progress(&self.group);
        let now = self.service.now();
        if self.endpoint.load.lock().liveness.is_suspect(progress, now) {
            self.note_end(CallOutcome::Unreachable);
        }
    }

    /// How much longer a call waits at the endpoint whose caller has to be answered after a time:
    /// until the endpoint has been silent for a while, as it hears of the cancellation otherwise.
    pub(crate) fn until_overdue(&self, patience: Duration) -> Duration {
        patience.max(UNRESPONSIVE_AFTER.saturating_sub(self.silent_for()))
    }

    /// Takes that the endpoint has refused because it runs nothing. One that rests says nothing
    /// of its group.
    pub(crate) fn note_refusal(&self) {
        if !self.endpoint.advice.lock().breaker.is_open(self.service.now()) {
            self.service.note_refusal(&self.group);
        }
    }

    /// Takes that the call's connection has broken before the call's end, how far the call
    /// was, and when the endpoint was last heard on it, or the call was sent.
    pub(crate) fn on_broken(&self, call: CallFingerprint, phase: CallPhase, heard_at: Instant) {
        self.service.on_broken(&self.endpoint, &self.group, call, phase, heard_at);
    }

    /// Records that another endpoint has answered at the address.
    pub(crate) fn on_replaced(&self) {
        self.service.on_replaced(&self.endpoint);
    }

    /// Records that the call was canceled before its end.
    pub(crate) fn on_canceled(&self, call: CallFingerprint, phase: CallPhase) {
        self.service.on_canceled(&self.endpoint.record.id, call, phase);
    }

    /// Takes how the call has ended at the endpoint.
    pub(crate) fn note_end(&self, end: CallOutcome) {
        if end == CallOutcome::Answered {
            self.service.note_answer(&self.group);
        }
        let is_ejected = self.endpoint.load.lock().health.record(end, self.service.now());
        if is_ejected {
            let endpoint = &*self.endpoint.record.id;
            log::warn!(endpoint, end:? = end; "endpoint ejected");
        }
    }
}
