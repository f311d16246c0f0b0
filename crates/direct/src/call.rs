//! An admitted call: its attempts, until there is an answer or none may follow.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Response, header, request::Parts};
use lynxmount_core::{
    CallFingerprint, CallKind, Clock, EndpointId, RouteId, TeamId,
    edge::{CallHead, Dialect, Forward},
};
use lynxmount_policy::{CallerIdleTimeout, Waiter};
use lynxmount_suspects::SharedQuarantine;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    attempt::{AttemptError, AttemptResult, Outgoing, ResponseHead, WholeAnswer, left, open},
    attempt_history::{AttemptHistory, attempt_counter},
    call_times::WAIT_PART,
    endpoint::Permit,
    reply::{Refusal, ReplyBody, whole_body},
    service::{Service, Unavailable, Want},
    stream::StreamRelay,
};

/// How often one call may miss its endpoint: a connection does not open, or
/// another endpoint has the address. It is not run then.
const MAX_UNREACHABLE: u32 = 3;

/// The team of calls that need no key.
const PUBLIC_TEAM: &str = "public";

/// An admitted request.
pub(crate) struct Call<D: Dialect> {
    pub(crate) dialect: Arc<D>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) head: CallHead,
    pub(crate) fingerprint: CallFingerprint,
    pub(crate) kind: CallKind,
    pub(crate) service: Arc<Service>,
    pub(crate) suspects: Arc<SharedQuarantine>,
    pub(crate) deadline: Instant,
    pub(crate) arrived: Instant,
    pub(crate) route: RouteId,
    pub(crate) max_attempts: u32,
    pub(crate) goal: Duration,
    /// The longest pause between events that is on time.
    pub(crate) gap_goal: Option<Duration>,
    pub(crate) patience: Option<CallerIdleTimeout>,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u8,
    pub(crate) attempts: AtomicU32,
    pub(crate) tried: Mutex<Vec<EndpointId>>,
}

impl<D: Dialect> Call<D> {
    /// AttemptHistory until there is an answer or nothing more may be tried.
    pub(crate) async fn run(self: &Arc<Call<D>>) -> Result<Response<ReplyBody>, Refusal> {
        let mut history = AttemptHistory::default();
        loop {
            let permit = match self.place(self.wait_time(), self.arrived).await {
                Ok(permit) => permit,
                Err(unavailable) => {
                    let refusal = self.unavailable(unavailable, history.may_have_run);
                    return self.settle(history, refusal);
                }
            };
            let ended = match self.attempt(permit).await {
                AttemptResult::Answered(response) => return Ok(response),
                AttemptResult::Failed(answer) => {
                    history.failure = Some(answer);
                    AttemptError::Lost
                }
                AttemptResult::Error(ended) => ended,
            };
            self.metrics.count(attempt_counter(ended));
            if ended == AttemptError::Lost {
                self.wait_for_verdict().await;
            }
            history.record(ended);
            if !self.may_retry(&history, ended) {
                let refusal = self.give_up(&history, ended);
                return self.settle(history, refusal);
            }
            self.metrics.count("attempts.retried");
        }
    }

    /// Says whether another attempt may follow one that has ended, and takes it
    /// from the service's budget.
    fn may_retry(&self, history: &AttemptHistory, ended: AttemptError) -> bool {
        let may_send = !history.may_have_run || self.kind.may_repeat();
        match ended {
            _ if left(self.deadline).is_zero() || !may_send => false,
            AttemptError::HeldBack | AttemptError::Overdue | AttemptError::TooLate => false,
            AttemptError::Paused | AttemptError::Unreachable => {
                history.unreachable <= MAX_UNREACHABLE
            }
            AttemptError::OtherEndpoint => {
                history.unreachable <= MAX_UNREACHABLE && self.service.take_repeat()
            }
            _ => self.has_attempts_left() && self.service.take_repeat(),
        }
    }

    /// Answers a call that gets no further attempt.
    fn settle(
        &self,
        history: AttemptHistory,
        refusal: Refusal,
    ) -> Result<Response<ReplyBody>, Refusal> {
        history.failure.map(|answer| self.deliver(answer)).ok_or(refusal)
    }

    async fn place(&self, wait: Duration, waiting_since: Instant) -> Result<Permit, Unavailable> {
        self.wait_out_hold(self.hold_time(left(self.deadline), waiting_since)).await?;
        let tried = self.tried.lock().clone();
        let team = self.team.clone().unwrap_or_else(|| PUBLIC_TEAM.into());
        let (now, left) = (self.clock.now(), left(self.deadline));
        let wait_until = now + wait.min(left);
        let waiter = Waiter { team, priority: self.priority, wait_until };
        let hold_until = now + self.hold_time(left, waiting_since);
        let want = Want { waiter, hold_until, tried: &tried };
        tokio::select! {
            biased;
            retry_after = self.suspects.wait_until_quarantined(&self.fingerprint) => {
                Err(Unavailable::HeldBack { retry_after })
            }
            placed = self.service.place(want) => placed,
        }
    }

    /// Waits until it is known whether endpoints crashed at which the call's connections broke: it
    /// may crash the next one.
    ///
    /// Fails at once if that may take longer than the call can wait.
    async fn wait_out_hold(&self, limit: Duration) -> Result<(), Unavailable> {
        let Some(hold) = self.suspects.remaining_hold(&self.fingerprint) else { return Ok(()) };
        if hold > limit {
            return Err(Unavailable::InDoubt { retry_after: hold });
        }
        log::info!(request = self.head.id.as_deref(), call:% = self.fingerprint,
            hold_ms = hold.as_millis() as u64; "call held for verdicts");
        self.suspects.wait_until_released(&self.fingerprint).await;
        Ok(())
    }

    fn unavailable(&self, unavailable: Unavailable, may_have_run: bool) -> Refusal {
        match unavailable {
            _ if may_have_run => Refusal::MayHaveRun,
            // It would be late in any case; what matters is that there is a permit then.
            Unavailable::Full { retry_after } => {
                let retry_after = retry_after.max(self.return_after());
                Refusal::NotRun { retry_after }
            }
            // When it may come again is true, so that a caller who is held back in error gets
            // through then.
            Unavailable::HeldBack { retry_after } => Refusal::HeldBack { retry_after },
            Unavailable::InDoubt { retry_after } | Unavailable::Paused { retry_after } => {
                Refusal::NotRun { retry_after }
            }
            Unavailable::Nowhere => Refusal::NotRun { retry_after: self.return_after() },
        }
    }

    fn give_up(&self, history: &AttemptHistory, ended: AttemptError) -> Refusal {
        let retry_after = self.return_after();
        match ended {
            AttemptError::Overdue => Refusal::Overdue { retry_after },
            _ if !history.may_have_run => Refusal::NotRun { retry_after },
            _ if left(self.deadline).is_zero() => Refusal::TimedOut,
            _ => Refusal::MayHaveRun,
        }
    }

    /// Makes an attempt. A call that is held back meanwhile is taken back from the endpoint
    /// before it begins there: copies wait in a group that stands still, and each would stop it
    /// again.
    async fn attempt(self: &Arc<Call<D>>, permit: Permit) -> AttemptResult {
        tokio::select! {
            attempted = self.attempt_at(permit) => attempted,
            _ = self.suspects.wait_until_quarantined(&self.fingerprint) => {
                AttemptResult::Error(AttemptError::HeldBack)
            }
        }
    }

    async fn attempt_at(self: &Arc<Call<D>>, permit: Permit) -> AttemptResult {
        let opened = match self.open(permit, self.head.last_event, self.arrived).await {
            Ok(opened) => opened,
            Err(ended) => return AttemptResult::Error(ended),
        };
        if self.kind.is_stream() && opened.status.is_success() {
            let started = self.start_stream(opened).await;
            return started.map_or_else(AttemptResult::Error, AttemptResult::Answered);
        }
        let endpoint = EndpointId::clone(&opened.permit.endpoint.record.id);
        let answer = match opened.whole(self.attempt_end()).await {
            Ok(answer) => answer,
            Err(ended) => return AttemptResult::Error(ended),
        };
        // Whatever the answer is, the endpoint has outlived the call.
        self.note_answered();
        let is_failure = answer.status.is_server_error();
        if is_failure && self.kind == CallKind::Idempotent && self.may_try_again() {
            log::info!(request = self.head.id.as_deref(), endpoint = &*endpoint,
                status = answer.status.as_u16(); "endpoint failure retried");
            return AttemptResult::Failed(answer);
        }
        AttemptResult::Answered(self.deliver(answer))
    }

    /// Passes an endpoint's whole answer on.
    fn deliver(&self, answer: WholeAnswer) -> Response<ReplyBody> {
        self.metrics.latency("requests.answered", self.arrived.elapsed());
        self.finished(answer.status.as_str(), None);
        self.whole_response(answer)
    }

    /// Sends the call to an endpoint, after the last event that the caller has, which waits since
    /// then.
    async fn open(
        &self,
        permit: Permit,
        last_event: Option<u64>,
        waiting_since: Instant,
    ) -> Result<ResponseHead, AttemptError> {
        let endpoint = EndpointId::clone(&permit.endpoint.record.id);
        log::info!(request = self.head.id.as_deref(), call:% = self.fingerprint,
            route = &*self.route, endpoint = &*endpoint,
            running = permit.endpoint.own_running(), left_ms = left(self.deadline).as_millis() as u64,
            after_event = last_event; "attempt");
        let outgoing = Outgoing {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
            body: &self.body,
            id: self.head.id.as_deref(),
            call: self.fingerprint,
            may_repeat: self.kind.may_repeat(),
            is_stream: self.kind.is_stream(),
            may_follow: self.may_follow(),
            last_answer_at: self.last_answer_at(waiting_since),
            overdue_at: self.remaining_patience(waiting_since).map(|left| Instant::now() + left),
        };
        let forward = Forward {
            endpoint: &endpoint,
            team: self.team.as_ref(),
            time_left: left(self.deadline),
            last_event,
            priority: None,
        };
        self.tried.lock().push(EndpointId::clone(&endpoint));
        let opened = open(&*self.dialect, permit, &outgoing, forward, self.attempt_end()).await;
        // One that did not reach the endpoint that is meant is no attempt.
        let is_missed = matches!(
            opened,
            Err(AttemptError::OtherEndpoint
                | AttemptError::Paused
                | AttemptError::TooLate
                | AttemptError::Unreachable)
        );
        if !is_missed {
            self.attempts.fetch_add(1, Ordering::Relaxed);
        }
        opened
    }

    async fn start_stream(
        self: &Arc<Call<D>>,
        opened: ResponseHead,
    ) -> Result<Response<ReplyBody>, AttemptError> {
        let mut response = Response::new(());
        *response.status_mut() = opened.status;
        *response.headers_mut() = self.dialect.write_answer(&opened.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        let mut relay = StreamRelay::new(Arc::clone(self), opened);
        let first = relay.first_events().await?;
        self.metrics.latency("requests.first_event", self.arrived.elapsed());
        Ok(response.map(|()| relay.into_body(first)))
    }

    /// Sends a broken stream's call to another endpoint.
    pub(crate) async fn resume(
        &self,
        last_event: Option<u64>,
        waiting_since: Instant,
        why: &str,
    ) -> Option<ResponseHead> {
        self.wait_for_verdict().await;
        let is_held_back = self.suspects.quarantined_for(&self.fingerprint).is_some();
        let is_allowed = !is_held_back && self.service.take_repeat();
        log::info!(request = self.head.id.as_deref(), why, last_event, is_allowed, is_held_back;
            "stream broke");
        if !is_allowed {
            return None;
        }
        tokio::select! {
            resumed = self.resume_elsewhere(last_event, waiting_since) => resumed,
            _ = self.suspects.wait_until_quarantined(&self.fingerprint) => None,
        }
    }

    async fn resume_elsewhere(
        &self,
        last_event: Option<u64>,
        waiting_since: Instant,
    ) -> Option<ResponseHead> {
        let permit = self.place(self.goal.mul_f64(WAIT_PART), waiting_since).await.ok()?;
        let opened = self.open(permit, last_event, waiting_since).await.ok()?;
        if !opened.status.is_success() {
            return None;
        }
        self.metrics.count("streams.resumed");
        Some(opened)
    }

    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) < self.max_attempts
    }

    fn may_try_again(&self) -> bool {
        self.has_attempts_left() && !left(self.deadline).is_zero()
    }

    fn whole_response(&self, answer: WholeAnswer) -> Response<ReplyBody> {
        let mut response = Response::new(whole_body(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.dialect.write_answer(&answer.headers);
        if self.parts.method != Method::HEAD {
            response.headers_mut().remove(header::CONTENT_LENGTH);
        }
        response
    }

    /// Waits shortly for the verdict on the endpoint of the last attempt.
    async fn wait_for_verdict(&self) {
        self.service.wait_for_verdict(&self.fingerprint).await;
    }

    /// Notes that the call has come to an end that its endpoint has outlived.
    pub(crate) fn note_answered(&self) {
        self.suspects.record_survival(self.fingerprint);
    }

    /// Notes how the call has ended.
    pub(crate) fn finished(&self, outcome: &str, last_event: Option<u64>) {
        let took_ms = self.arrived.elapsed().as_millis() as u64;
        let attempts = self.attempts.load(Ordering::Relaxed);
        log::info!(request = self.head.id.as_deref(), outcome, attempts, took_ms, last_event;
            "finished");
    }
}
