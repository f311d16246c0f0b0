//! Runs an admitted call: attempts and retries until there is a response or no retry is allowed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::FutureExt;
use http::{Method, Response, header, request::Parts};
use lynxmount_core::{
    CallIdentity, CallKind, Clock, EndpointId, RouteId, TeamId,
    adapter::{AttemptContext, CallHead, Dialect},
};
use lynxmount_policy::{CallerIdleTimeout, Waiter};
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    attempt::{
        AttemptError, AttemptRequest, AttemptResult, CompleteResponse, ResponseHead, send,
        time_until,
    },
    attempt_history::{AttemptHistory, attempt_counter, may_have_run},
    call_times::QUEUE_TIME_FRACTION,
    endpoint::Permit,
    execution_state::ExecutionState,
    reply::{Refusal, ReplyBody, full_body},
    service::{PermitRequest, Service, Unavailable},
    stream::StreamRelay,
};

/// Maximum number of attempts that do not reach their endpoint because no connection can be opened
/// or another endpoint has the address. Such attempts have not run.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 3;

/// The team of calls on routes that need no API key.
const PUBLIC_TEAM: &str = "public";

/// A call: an admitted request that is run with one or more attempts.
pub(crate) struct Call<D: Dialect> {
    pub(crate) dialect: Arc<D>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) head: CallHead,
    pub(crate) identity: CallIdentity,
    pub(crate) kind: CallKind,
    pub(crate) service: Arc<Service>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) deadline: Instant,
    pub(crate) arrived_at: Instant,
    pub(crate) route: RouteId,
    pub(crate) max_attempts: u32,
    /// Latency objective of the route.
    pub(crate) goal: Duration,
    /// The longest gap between events of a stream that meets the objective.
    pub(crate) gap_goal: Option<Duration>,
    pub(crate) idle_timeout: Option<CallerIdleTimeout>,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u8,
    /// Attempts that reached their endpoint.
    pub(crate) attempts: AtomicU32,
    /// Endpoints that were selected for attempts.
    pub(crate) tried: Mutex<Vec<EndpointId>>,
    pub(crate) execution: Arc<ExecutionState>,
}

impl<D: Dialect> Call<D> {
    /// Makes attempts until there is a response or no retry is allowed.
    pub(crate) async fn run(self: &Arc<Call<D>>) -> Result<Response<ReplyBody>, Refusal> {
        let mut history = AttemptHistory::default();
        loop {
            let permit = match self.acquire_permit(self.queue_time(), self.arrived_at).await {
                Ok(permit) => permit,
                Err(unavailable) => {
                    let refusal = self.refusal_for(unavailable, history.may_have_run);
                    return self.failure_or_refusal(history, refusal);
                }
            };
            let error = match self.attempt(permit).await {
                AttemptResult::Responded(response) => return Ok(response),
                AttemptResult::Failed(response) => {
                    history.failure = Some(response);
                    AttemptError::Lost
                }
                AttemptResult::Error(error) => error,
            };
            self.metrics.count(attempt_counter(error));
            if error == AttemptError::Lost {
                self.wait_for_verdict().await;
            }
            history.record(error);
            if !self.try_retry(&history, error) {
                let refusal = self.final_refusal(&history, error);
                return self.failure_or_refusal(history, refusal);
            }
            self.metrics.count("attempts.retried");
        }
    }

    /// Whether a failed attempt may be retried. Withdraws the retry from the service's retry budget
    /// where that applies.
    fn try_retry(&self, history: &AttemptHistory, error: AttemptError) -> bool {
        let may_send = !history.may_have_run || self.kind.is_retryable();
        match error {
            _ if time_until(self.deadline).is_zero() || !may_send => false,
            AttemptError::Quarantined | AttemptError::Overdue | AttemptError::TooLate => false,
            AttemptError::Paused | AttemptError::Unreachable => {
                history.unreachable <= MAX_UNREACHABLE_ATTEMPTS
            }
            AttemptError::OtherEndpoint => {
                history.unreachable <= MAX_UNREACHABLE_ATTEMPTS && self.service.withdraw_retry()
            }
            _ => self.has_attempts_left() && self.service.withdraw_retry(),
        }
    }

    /// The endpoint's failure response if there was one, else the refusal.
    fn failure_or_refusal(
        &self,
        history: AttemptHistory,
        refusal: Refusal,
    ) -> Result<Response<ReplyBody>, Refusal> {
        history.failure.map(|response| self.deliver(response)).ok_or(refusal)
    }

    async fn acquire_permit(
        &self,
        max_wait: Duration,
        waiting_since: Instant,
    ) -> Result<Permit, Unavailable> {
        self.wait_while_suspected(self.park_time(time_until(self.deadline), waiting_since)).await?;
        let tried = self.tried.lock().clone();
        let team = self.team.clone().unwrap_or_else(|| PUBLIC_TEAM.into());
        let (now, time_left) = (self.clock.now(), time_until(self.deadline));
        let wait_until = now + max_wait.min(time_left);
        let waiter = Waiter { team, priority: self.priority, wait_until };
        let park_until = now + self.park_time(time_left, waiting_since);
        let request = PermitRequest { waiter, park_until, tried: &tried };
        tokio::select! {
            biased;
            retry_after = self.quarantine.wait_until_quarantined(&self.identity) => {
                self.log_quarantined();
                Err(Unavailable::Quarantined { retry_after })
            }
            result = self.service.acquire(request) => result,
        }
    }

    /// Waits for the crash verdicts on endpoints where connections of this call broke, as the call
    /// may crash the next endpoint, too.
    ///
    /// Fails at once if the verdicts may take longer than `limit`.
    async fn wait_while_suspected(&self, limit: Duration) -> Result<(), Unavailable> {
        let Some(hold) = self.quarantine.remaining_hold(&self.identity.fingerprint) else {
            return Ok(());
        };
        if hold > limit {
            return Err(Unavailable::Suspected { retry_after: hold });
        }
        log::info!(request = self.head.id.as_deref(), call:% = self.identity.fingerprint,
            hold_ms = hold.as_millis() as u64; "call held for crash verdicts");
        self.quarantine.wait_until_released(&self.identity.fingerprint).await;
        Ok(())
    }

    /// Makes an attempt, and cancels it if the call is quarantined meanwhile: copies of a poison
    /// request may be queued in a stalled group, and each would stall the group again.
    async fn attempt(self: &Arc<Call<D>>, permit: Permit) -> AttemptResult {
        tokio::select! {
            biased;
            _ = self.quarantine.wait_until_quarantined(&self.identity) => {
                AttemptResult::Error(AttemptError::Quarantined)
            }
            result = self.attempt_at(permit) => result,
        }
    }

    async fn attempt_at(self: &Arc<Call<D>>, permit: Permit) -> AttemptResult {
        let head = match self.send(permit, self.head.last_event, self.arrived_at).await {
            Ok(head) => head,
            Err(error) => return AttemptResult::Error(error),
        };
        if self.kind.is_stream() && head.status.is_success() {
            let result = self.start_stream(head).await;
            return result.map_or_else(AttemptResult::Error, AttemptResult::Responded);
        }
        let endpoint = EndpointId::clone(&head.permit.endpoint.record.id);
        let response = match head.collect(self.attempt_deadline()).await {
            Ok(response) => response,
            Err(error) => return AttemptResult::Error(error),
        };
        // Whatever the response is, the endpoint has survived the call.
        self.record_survival();
        let is_failure = response.status.is_server_error();
        if is_failure && self.kind == CallKind::Idempotent && self.can_retry() {
            log::info!(request = self.head.id.as_deref(), endpoint = &*endpoint,
                status = response.status.as_u16(); "endpoint failure retried");
            return AttemptResult::Failed(response);
        }
        AttemptResult::Responded(self.deliver(response))
    }

    /// Forwards an endpoint's complete response to the caller.
    fn deliver(&self, response: CompleteResponse) -> Response<ReplyBody> {
        self.metrics.record_latency("requests.answered", self.arrived_at.elapsed());
        self.log_finished(response.status.as_str(), None);
        self.caller_response(response)
    }

    /// Sends the call to an endpoint. A stream starts after `last_event`; the caller has received
    /// nothing since `waiting_since`.
    async fn send(
        &self,
        permit: Permit,
        last_event: Option<u64>,
        waiting_since: Instant,
    ) -> Result<ResponseHead, AttemptError> {
        let endpoint = EndpointId::clone(&permit.endpoint.record.id);
        log::info!(request = self.head.id.as_deref(), call:% = self.identity.fingerprint,
            segments:% = segment_list(&self.identity),
            route = &*self.route, endpoint = &*endpoint,
            running = permit.endpoint.own_running(),
            left_ms = time_until(self.deadline).as_millis() as u64,
            after_event = last_event; "attempt started");
        let outgoing = AttemptRequest {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
            body: &self.body,
            id: self.head.id.as_deref(),
            call: &self.identity,
            is_retryable: self.kind.is_retryable(),
            is_stream: self.kind.is_stream(),
            has_retry_left: self.has_retry_left(),
            final_response_at: self.final_response_at(waiting_since),
            overdue_at: self.remaining_idle_time(waiting_since).map(|time| Instant::now() + time),
        };
        let context = AttemptContext {
            endpoint: &endpoint,
            team: self.team.as_ref(),
            time_left: time_until(self.deadline),
            last_event,
            priority: None,
        };
        self.tried.lock().push(EndpointId::clone(&endpoint));
        let mark = self.execution.start_attempt();
        let result =
            send(&*self.dialect, permit, &outgoing, context, self.attempt_deadline()).await;
        if result.as_ref().is_err_and(|error| !may_have_run(*error)) {
            mark.on_not_run();
        }
        // Only attempts that reached their endpoint are counted.
        let is_unreached = matches!(
            result,
            Err(AttemptError::OtherEndpoint
                | AttemptError::Paused
                | AttemptError::TooLate
                | AttemptError::Unreachable)
        );
        if !is_unreached {
            self.attempts.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn start_stream(
        self: &Arc<Call<D>>,
        head: ResponseHead,
    ) -> Result<Response<ReplyBody>, AttemptError> {
        let mut response = Response::new(());
        *response.status_mut() = head.status;
        *response.headers_mut() = self.dialect.response_headers(&head.headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        let mut relay = StreamRelay::new(Arc::clone(self), head);
        let first = relay.first_events().await?;
        self.metrics.record_latency("requests.first_event", self.arrived_at.elapsed());
        Ok(response.map(|()| relay.into_body(first)))
    }

    /// Resumes a broken stream at another endpoint, after `last_event`.
    pub(crate) async fn resume(
        &self,
        last_event: Option<u64>,
        waiting_since: Instant,
        why: &str,
    ) -> Option<ResponseHead> {
        self.wait_for_verdict().await;
        let is_held_back = self.quarantine.quarantined_for(&self.identity).is_some();
        let is_allowed = !is_held_back && self.service.withdraw_retry();
        log::info!(request = self.head.id.as_deref(), why, last_event, is_allowed, is_held_back;
            "stream broken");
        if !is_allowed {
            return None;
        }
        tokio::select! {
            biased;
            _ = self.quarantine.wait_until_quarantined(&self.identity) => None,
            resumed = self.resume_elsewhere(last_event, waiting_since) => resumed,
        }
    }

    async fn resume_elsewhere(
        &self,
        last_event: Option<u64>,
        waiting_since: Instant,
    ) -> Option<ResponseHead> {
        let permit = self
            .acquire_permit(self.goal.mul_f64(QUEUE_TIME_FRACTION), waiting_since)
            .await
            .ok()?;
        self.resume_at(permit, last_event, waiting_since).await
    }

    /// A permit at an endpoint that is not slow, if one is free now and the service's retry budget
    /// allows its use.
    pub(crate) fn acquire_elsewhere(&self) -> Option<Permit> {
        let permit = self.acquire_permit(Duration::ZERO, Instant::now()).now_or_never()?.ok()?;
        (!permit.is_slow() && self.service.withdraw_retry()).then_some(permit)
    }

    /// Resumes a stream with a permit, after `last_event`.
    pub(crate) async fn resume_at(
        &self,
        permit: Permit,
        last_event: Option<u64>,
        waiting_since: Instant,
    ) -> Option<ResponseHead> {
        let head = self.send(permit, last_event, waiting_since).await.ok()?;
        if !head.status.is_success() {
            return None;
        }
        self.metrics.count("streams.resumed");
        Some(head)
    }

    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) < self.max_attempts
    }

    fn can_retry(&self) -> bool {
        self.has_attempts_left() && !time_until(self.deadline).is_zero()
    }

    fn caller_response(&self, from_endpoint: CompleteResponse) -> Response<ReplyBody> {
        let mut response = Response::new(full_body(from_endpoint.body));
        *response.status_mut() = from_endpoint.status;
        *response.headers_mut() = self.dialect.response_headers(&from_endpoint.headers);
        if self.parts.method != Method::HEAD {
            response.headers_mut().remove(header::CONTENT_LENGTH);
        }
        response
    }

    /// Waits for the crash verdict on the endpoint of the last attempt, for a limited time.
    async fn wait_for_verdict(&self) {
        self.service.wait_for_verdict(&self.identity.fingerprint).await;
    }

    /// Records that the call has completed without crashing its endpoint.
    pub(crate) fn record_survival(&self) {
        self.quarantine.record_survival(self.identity.fingerprint);
    }

    /// Records that an attempt that was sent at a moment has survived the beginning of its answer.
    pub(crate) fn record_start(&self, sent_at: Instant) {
        self.quarantine.record_start(&self.identity.segments, sent_at);
    }

    fn log_quarantined(&self) {
        let segments = self.quarantine.condemned_segments(&self.identity);
        let segments: Vec<String> = segments.iter().map(|segment| segment.to_string()).collect();
        log::info!(request = self.head.id.as_deref(), call:% = self.identity.fingerprint,
            segments:? = segments; "quarantined call not sent");
    }

    /// Logs the outcome of the call.
    pub(crate) fn log_finished(&self, outcome: &str, last_event: Option<u64>) {
        let took_ms = self.arrived_at.elapsed().as_millis() as u64;
        let attempts = self.attempts.load(Ordering::Relaxed);
        log::info!(request = self.head.id.as_deref(), outcome, attempts, took_ms, last_event;
            "call finished");
    }
}

/// The shared segments of a call's prompt for the log.
fn segment_list(identity: &CallIdentity) -> String {
    let segments = identity.segments.iter().map(|segment| format!("{:08x}", segment.number));
    segments.collect::<Vec<_>>().join(",")
}
