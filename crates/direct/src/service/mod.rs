//! One service: who gets a permit now, who waits, who is refused.

mod advice;
mod groups;
mod inner;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    CallFingerprint, CallPhase, Clock, EndpointId, EndpointLife, EndpointRecord, Mechanism,
    Mechanisms, ServiceSpec, SiteBounds,
};
use lynxmount_policy::{
    QueueDecision, Selection, SlotOwners, Ticket, Waiter, WindowBudget, WindowBudgetOptions,
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use self::inner::Inner;
use crate::{
    crash_detector::{BrokenCall, CrashDetector},
    endpoint::{Endpoint, Permit},
    limit_gossip::LimitGossip,
};

/// What a call asks of a permit.
pub(crate) struct Want<'a> {
    pub(crate) waiter: Waiter,
    /// Until when it may wait for a group to open: it is late then, and must still
    /// come to its end.
    pub(crate) hold_until: Duration,
    pub(crate) tried: &'a [EndpointId],
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unavailable {
    /// All are taken for longer than the call may wait.
    Full { retry_after: Duration },
    /// Endpoints end under the call.
    HeldBack { retry_after: Duration },
    /// Endpoints may have crashed under the call.
    InDoubt { retry_after: Duration },
    /// No endpoint takes calls.
    Nowhere,
    /// All endpoints have asked for a pause.
    Paused { retry_after: Duration },
}

/// The endpoints of one service.
pub(crate) struct Service {
    clock: Clock,
    /// How long a group stalls when it has lost a rank.
    group_stall: Duration,
    pub(crate) mechanisms: Arc<Mechanisms>,
    crashes: Arc<CrashDetector>,
    metrics: Arc<Metrics>,
    limit_gossip: Arc<LimitGossip>,
    inner: Mutex<Inner>,
}

impl Service {
    pub(crate) fn new(
        clock: Clock,
        bounds: &SiteBounds,
        mechanisms: Arc<Mechanisms>,
        crashes: Arc<CrashDetector>,
        metrics: Arc<Metrics>,
        limit_gossip: Arc<LimitGossip>,
    ) -> Service {
        let options = WindowBudgetOptions {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let inner = Inner::new(WindowBudget::new(options), Arc::clone(&mechanisms));
        let inner = Mutex::new(inner);
        let group_stall = bounds.group_stall;
        Service { clock, group_stall, mechanisms, crashes, metrics, limit_gossip, inner }
    }

    pub(crate) fn update<'a>(
        self: &Arc<Service>,
        ready: impl Iterator<Item = &'a EndpointRecord>,
        spec: &ServiceSpec,
        owners: &SlotOwners,
    ) {
        let mut inner = self.inner.lock();
        let engine = spec.engine.as_ref();
        inner.update(ready, engine, owners, self.now());
        inner.health_path.clone_from(&spec.health_path);
        let experts = engine.and_then(|engine| engine.experts);
        inner.groups.set_usual_outage(experts.map(|spec| self.group_stall + spec.form_time));
        drop(inner);
        self.wake();
    }

    /// The time since the process's start.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The endpoints whose engines may be ranks of groups.
    pub(crate) fn ranks(&self) -> Vec<Arc<Endpoint>> {
        let inner = self.inner.lock();
        if inner.slots.is_none() { Vec::new() } else { inner.endpoints.clone() }
    }

    /// Counts the first arrival of a call.
    pub(crate) fn note_call(&self) {
        self.inner.lock().budget.record_call(self.now());
    }

    /// Takes a repeat from the service's budget, if there is one.
    pub(crate) fn take_repeat(&self) -> bool {
        let mut inner = self.inner.lock();
        let entries = inner.entries();
        self.mechanisms.has(Mechanism::Repeats) && inner.budget.try_withdraw(entries, self.now())
    }

    /// Takes that the connection of a call at one of the endpoints has broken before the
    /// call's end.
    pub(crate) fn on_broken(
        self: &Arc<Service>,
        endpoint: &Arc<Endpoint>,
        group: &str,
        call: CallFingerprint,
        phase: CallPhase,
        heard_at: Instant,
    ) {
        let inner = self.inner.lock();
        // One that leaves ends as it was told to, whatever runs there.
        if !inner.is_listed(endpoint) {
            return;
        }
        let group_silence = inner.groups.silent_for(group, self.now());
        let stall = inner.slots.map(|_| self.group_stall);
        drop(inner);
        let broken = BrokenCall { call, phase, heard_at, group_silence, stall };
        self.crashes.on_broken(self, endpoint, broken);
    }

    /// Says whether this life of an endpoint has left, by the newest list. One whose address
    /// another life has was restarted there.
    pub(crate) fn has_left(&self, endpoint: &Endpoint) -> bool {
        let inner = self.inner.lock();
        !inner.is_listed(endpoint) && !inner.has_address(endpoint.record.address)
    }

    /// Where endpoints tell their health.
    pub(crate) fn health_path(&self) -> Option<String> {
        self.inner.lock().health_path.clone()
    }

    /// Records that an endpoint has sent something.
    pub(crate) fn on_heard(&self, life: EndpointLife) {
        self.crashes.on_heard(life);
    }

    /// Records that another endpoint answers at an endpoint's address. One that leaves ends as it
    /// was told to.
    pub(crate) fn on_replaced(&self, endpoint: &Endpoint) {
        if !self.has_left(endpoint) {
            self.crashes.on_replaced(endpoint);
        }
    }

    /// Records that a call was canceled at an endpoint before its end.
    pub(crate) fn on_canceled(
        &self,
        endpoint: &EndpointId,
        call: CallFingerprint,
        phase: CallPhase,
    ) {
        self.crashes.on_canceled(endpoint, call, phase);
    }

    /// Waits shortly for the verdicts on the endpoints at which a call's connections broke.
    pub(crate) async fn wait_for_verdict(&self, call: &CallFingerprint) {
        self.crashes.wait_for_verdict(call).await;
    }

    /// Waits for a permit until the call may not wait any more.
    ///
    /// Fails at once if the wait would be too long or nothing takes calls.
    pub(crate) async fn place(self: &Arc<Service>, want: Want<'_>) -> Result<Permit, Unavailable> {
        let (wait_until, ticket, receiver) = match self.offer(want)? {
            Offered::Permit(permit) => return Ok(permit),
            Offered::Wait { until, ticket, receiver } => (until, ticket, receiver),
        };
        let _guard = WaitGuard { service: self, ticket };
        let limit = wait_until.saturating_sub(self.now());
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(Unavailable::Full { retry_after: self.inner.lock().queue.drain_time() }),
        }
    }

    fn offer(self: &Arc<Service>, want: Want<'_>) -> Result<Offered, Unavailable> {
        let now = self.now();
        let mut inner = self.inner.lock();
        self.detect_blocked(&mut inner, now);
        let (placement, resumes_at) = inner.choose(want.tried, now);
        let free = match placement {
            Selection::NoEndpoint => return Err(Unavailable::Nowhere),
            Selection::Closed => return inner.hold(want, now),
            Selection::Paused { until } => {
                self.wake_on_resume(&mut inner, resumes_at);
                return inner.wait_for_turn(want, until, now);
            }
            Selection::Full => None,
            Selection::Endpoint(index) => Some(index),
        };
        if free.is_none() {
            self.wake_on_resume(&mut inner, resumes_at);
        }
        let until = want.waiter.wait_until;
        if free.is_none() && !self.mechanisms.has(Mechanism::WaitEstimate) {
            let ticket = inner.queue.park(want.waiter, now);
            return Ok(inner.wait(ticket, until));
        }
        match (inner.queue.try_admit(want.waiter, free.is_some(), now), free) {
            (QueueDecision::Start, Some(index)) => Ok(Offered::Permit(inner.take(index, self))),
            (QueueDecision::Wait(ticket), _) => Ok(inner.wait(ticket, until)),
            (QueueDecision::Refuse { retry_after }, _) => Err(Unavailable::Full { retry_after }),
            (QueueDecision::Start, None) => Err(Unavailable::Full { retry_after: Duration::ZERO }),
        }
    }

    /// Releases a permit.
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
        let unwanted = self.hand_out();
        // Permits whose call has just gone are released without the lock.
        drop(unwanted);
    }

    fn hand_out(self: &Arc<Service>) -> Vec<Permit> {
        let now = self.now();
        let mut unwanted = Vec::new();
        let mut inner = self.inner.lock();
        while !inner.queue.is_empty() {
            let (placement, resumes_at) = inner.choose(&[], now);
            let Selection::Endpoint(index) = placement else {
                self.wake_on_resume(&mut inner, resumes_at);
                break;
            };
            let Some(ticket) = inner.queue.dequeue(now) else { break };
            let Some(sender) = inner.waiting.remove(&ticket) else { continue };
            let permit = inner.take(index, self);
            unwanted.extend(sender.send(permit).err());
        }
        unwanted
    }
}

enum Offered {
    Permit(Permit),
    Wait { until: Duration, ticket: Ticket, receiver: oneshot::Receiver<Permit> },
}

/// Takes a ticket out of the queue if its call stops waiting.
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
