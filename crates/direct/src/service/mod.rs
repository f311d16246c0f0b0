//! Admission control of one service: grants permits, queues calls or refuses them.

mod backpressure;
mod group_events;
mod history;
mod inner;
mod retries;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    CallFingerprint, CallIdentity, CallPhase, Clock, EndpointId, EndpointIncarnation,
    EndpointRecord, Mechanism, Mechanisms, ServiceSpec,
};
use lynxmount_policy::{QueueDecision, Selection, Ticket, Waiter};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use self::inner::Inner;
pub(crate) use self::{history::ServiceHistory, retries::ReservedRetry};
use crate::{
    crash_detector::{CrashDetector, DisconnectedCall},
    endpoint::{Endpoint, Permit},
    limit_gossip::LimitGossip,
    misdirections::Misdirections,
    peers::EntryShares,
};

/// A call's request for a permit.
pub(crate) struct PermitRequest<'a> {
    pub(crate) waiter: Waiter,
    /// The latest time until which the call may wait for a group to open. The call is late by then,
    /// and still needs time to complete.
    pub(crate) park_until: Duration,
    /// Endpoints that were selected for earlier attempts of the call.
    pub(crate) tried: &'a [EndpointId],
}

/// What a permit for a replacement must meet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacementSearch<'a> {
    /// Endpoints that were selected for earlier attempts of the call.
    pub(crate) tried: &'a [EndpointId],
    /// The group that has stalled, if one has.
    pub(crate) stalled_group: Option<&'a str>,
    /// Whether the endpoint must be certain to have a free slot.
    pub(crate) is_slot_required: bool,
}

/// Why no permit was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unavailable {
    /// All endpoints are at capacity for longer than the call may wait.
    Full { retry_after: Duration },
    /// The call is quarantined, as it has crashed endpoints.
    Quarantined { retry_after: Duration },
    /// The call may have crashed endpoints, and the verdicts are pending.
    Suspected { retry_after: Duration },
    /// No endpoint accepts calls.
    NoEndpoint,
    /// All endpoints have requested a pause.
    Paused { retry_after: Duration },
}

/// What all services of a process share.
#[derive(Clone)]
pub(crate) struct ServiceContext {
    pub(crate) clock: Clock,
    /// How long a group stalls after losing a rank.
    pub(crate) group_stall: Duration,
    pub(crate) mechanisms: Arc<Mechanisms>,
    pub(crate) crash_detector: Arc<CrashDetector>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) limit_gossip: Arc<LimitGossip>,
    pub(crate) misdirections: Arc<Misdirections>,
}

/// A service with its endpoints, and its queue of waiting calls.
pub(crate) struct Service {
    clock: Clock,
    /// How long a group stalls after losing a rank.
    group_stall: Duration,
    pub(crate) mechanisms: Arc<Mechanisms>,
    crash_detector: Arc<CrashDetector>,
    metrics: Arc<Metrics>,
    limit_gossip: Arc<LimitGossip>,
    misdirections: Arc<Misdirections>,
    inner: Mutex<Inner>,
}

impl Service {
    pub(crate) fn new(context: ServiceContext, history: Arc<ServiceHistory>) -> Service {
        let ServiceContext {
            clock,
            group_stall,
            mechanisms,
            crash_detector,
            metrics,
            limit_gossip,
            misdirections,
        } = context;
        let inner = Mutex::new(Inner::new(history, Arc::clone(&mechanisms)));
        Service {
            clock,
            group_stall,
            mechanisms,
            crash_detector,
            metrics,
            limit_gossip,
            misdirections,
            inner,
        }
    }

    pub(crate) fn update<'a>(
        self: &Arc<Service>,
        ready: impl Iterator<Item = &'a EndpointRecord>,
        spec: &ServiceSpec,
        shares: &EntryShares,
    ) {
        let mut inner = self.inner.lock();
        let engine = spec.engine.as_ref();
        inner.update(ready, engine, shares, self.now());
        inner.health_path.clone_from(&spec.health_path);
        let experts = engine.and_then(|engine| engine.experts);
        inner.groups.set_usual_outage(experts.map(|spec| self.group_stall + spec.form_time));
        drop(inner);
        self.wake();
    }

    pub(crate) fn on_oversized_response(&self) {
        self.metrics.count("responses.oversized");
    }

    /// Time since the start of the process.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The endpoints whose engines may be ranks of groups.
    pub(crate) fn ranks(&self) -> Vec<Arc<Endpoint>> {
        let inner = self.inner.lock();
        if inner.slots.is_none() { Vec::new() } else { inner.endpoints.clone() }
    }

    /// Counts a new call towards the retry budget.
    pub(crate) fn record_call(&self) {
        self.inner.lock().history.budget.lock().record_call(self.now());
    }

    /// Records that the connection of a call at an endpoint broke before the call ended.
    pub(crate) fn on_disconnect(
        self: &Arc<Service>,
        endpoint: &Arc<Endpoint>,
        group: &str,
        call: &CallIdentity,
        phase: CallPhase,
        last_received_at: Instant,
    ) {
        let inner = self.inner.lock();
        // The exit of a draining endpoint is planned, whatever ran there.
        if !inner.is_listed(endpoint) {
            return;
        }
        let group_silence = inner.groups.silent_for(group, self.now());
        let stall = inner.slots.map(|_| self.group_stall);
        drop(inner);
        let call = call.clone();
        let disconnected = DisconnectedCall { call, phase, last_received_at, group_silence, stall };
        self.crash_detector.on_disconnect(self, endpoint, disconnected);
    }

    /// Whether an endpoint's incarnation has left according to the newest endpoint list. If another
    /// incarnation has the address, the endpoint was restarted instead.
    pub(crate) fn has_left(&self, endpoint: &Endpoint) -> bool {
        let inner = self.inner.lock();
        !inner.is_listed(endpoint) && !inner.has_address(endpoint.record.address)
    }

    /// Path of the endpoints' health check.
    pub(crate) fn health_path(&self) -> Option<String> {
        self.inner.lock().health_path.clone()
    }

    /// Records that an endpoint has sent something.
    pub(crate) fn on_received(&self, incarnation: EndpointIncarnation) {
        self.crash_detector.on_received(incarnation);
    }

    /// Records that another endpoint responds at an endpoint's address. This is no crash if the
    /// endpoint has left.
    pub(crate) fn on_replaced(&self, endpoint: &Endpoint) {
        self.misdirections.record(&endpoint.record);
        if !self.has_left(endpoint) {
            self.crash_detector.on_replaced(endpoint);
        }
    }

    /// Records that a call was canceled at an endpoint.
    pub(crate) fn on_canceled(&self, endpoint: &EndpointId, call: &CallIdentity, phase: CallPhase) {
        self.crash_detector.on_canceled(endpoint, call, phase);
    }

    /// Waits for the crash verdicts on the endpoints where a call's connections broke, for a
    /// limited time.
    pub(crate) async fn wait_for_verdict(&self, call: &CallFingerprint) {
        self.crash_detector.wait_for_verdict(call).await;
    }

    /// Acquires a permit, waiting in the queue if necessary.
    ///
    /// Fails at once if the wait would be too long or no endpoint accepts calls, and otherwise when
    /// the call's waiting time is over.
    pub(crate) async fn acquire(
        self: &Arc<Service>,
        request: PermitRequest<'_>,
    ) -> Result<Permit, Unavailable> {
        let (wait_until, ticket, receiver) = match self.try_acquire(request)? {
            Grant::Immediate(permit) => return Ok(permit),
            Grant::Queued { until, ticket, receiver } => (until, ticket, receiver),
        };
        let _guard = WaitGuard { service: self, ticket };
        let limit = wait_until.saturating_sub(self.now());
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(Unavailable::Full { retry_after: self.inner.lock().queue.drain_time() }),
        }
    }

    /// Acquires a permit at an endpoint that the call has not tried, if one is free now. A call in
    /// progress goes before those that wait.
    pub(crate) fn acquire_elsewhere(
        self: &Arc<Service>,
        search: ReplacementSearch<'_>,
    ) -> Option<Permit> {
        let now = self.now();
        let mut inner = self.inner.lock();
        let (Selection::Endpoint(index), _) = inner.select(search.tried, now) else { return None };
        inner.may_replace(index, search, now).then(|| inner.grant(index, self))
    }

    fn try_acquire(self: &Arc<Service>, request: PermitRequest<'_>) -> Result<Grant, Unavailable> {
        let now = self.now();
        let mut inner = self.inner.lock();
        self.detect_blocked(&mut inner, now);
        let (selection, resumes_at) = inner.select(request.tried, now);
        inner.adapt_shares(selection, now);
        let free = match selection {
            Selection::NoEndpoint => return Err(Unavailable::NoEndpoint),
            Selection::Closed => return inner.park_until_open(request, now),
            Selection::Paused { until } => {
                self.wake_on_resume(&mut inner, resumes_at);
                return inner.park_until_resume(request, until, now);
            }
            Selection::Full => None,
            Selection::Endpoint(index) => Some(index),
        };
        if free.is_none() {
            self.wake_on_resume(&mut inner, resumes_at);
        }
        let until = request.waiter.wait_until;
        if free.is_none() && !self.mechanisms.has(Mechanism::WaitEstimate) {
            let ticket = inner.queue.park(request.waiter, now);
            return Ok(inner.enqueue(ticket, until));
        }
        match (inner.queue.try_admit(request.waiter, free.is_some(), now), free) {
            (QueueDecision::Start, Some(index)) => Ok(Grant::Immediate(inner.grant(index, self))),
            (QueueDecision::Wait(ticket), _) => Ok(inner.enqueue(ticket, until)),
            (QueueDecision::Refuse { retry_after }, _) => Err(Unavailable::Full { retry_after }),
            (QueueDecision::Start, None) => Err(Unavailable::Full { retry_after: Duration::ZERO }),
        }
    }

    /// Releases a permit and grants it to a waiting call.
    pub(crate) fn release(self: &Arc<Service>, group: &str) {
        self.inner.lock().groups.on_call_ended(group);
        self.wake();
    }

    /// Grants free permits at a later time.
    fn wake_at(self: &Arc<Service>, at: Duration) {
        let service = Arc::clone(self);
        let wait = at.saturating_sub(self.now());
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            service.wake();
        });
    }

    /// Grants free permits to waiting calls.
    fn wake(self: &Arc<Service>) {
        let unclaimed = self.grant_waiting();
        // Permits of calls that stopped waiting meanwhile are released without the lock.
        drop(unclaimed);
    }

    fn grant_waiting(self: &Arc<Service>) -> Vec<Permit> {
        let now = self.now();
        let mut unclaimed = Vec::new();
        let mut inner = self.inner.lock();
        while !inner.queue.is_empty() {
            let (selection, resumes_at) = inner.select(&[], now);
            let Selection::Endpoint(index) = selection else {
                self.wake_on_resume(&mut inner, resumes_at);
                break;
            };
            let Some(ticket) = inner.queue.dequeue(now) else { break };
            let Some(sender) = inner.waiting.remove(&ticket) else { continue };
            let permit = inner.grant(index, self);
            unclaimed.extend(sender.send(permit).err());
        }
        unclaimed
    }
}

/// Immediate result of a permit request.
enum Grant {
    Immediate(Permit),
    Queued { until: Duration, ticket: Ticket, receiver: oneshot::Receiver<Permit> },
}

/// Removes a call from the queue when it stops waiting.
struct WaitGuard<'a> {
    service: &'a Service,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.inner.lock();
        inner.queue.remove(self.ticket, self.service.now());
        inner.waiting.remove(&self.ticket);
    }
}
