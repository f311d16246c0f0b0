//! Runs an admitted call: attempts and retries until there is a response or no retry is allowed.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::{Method, Response, StatusCode, header, request::Parts};
use lynxmount_core::{
    CallIdentity, CallKind, Clock, EndpointId, RouteId, TeamId,
    adapter::{AttemptContext, CallHead, Dialect},
};
use lynxmount_policy::{CallerIdleTimeout, Waiter};
use lynxmount_quarantine::{CallInFlight, SharedQuarantine};
use lynxmount_resources::{BufferedBody, TrackedConnection};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    attempt::{
        AttemptError, AttemptFailure, AttemptRequest, AttemptResult, CompleteResponse, OpenAttempt,
        OpenReplacement, ResponseHead, open, send, time_until,
    },
    attempt_history::{AttemptHistory, attempt_counter, may_have_run},
    endpoint::Permit,
    execution_state::ExecutionState,
    replacement::RunningAttempt,
    reply::{Refusal, ReplyBody, full_body},
    service::{PermitRequest, ReservedRetry, Service, Unavailable},
    stream::StreamRelay,
};

/// The team of calls on routes that need no API key.
const PUBLIC_TEAM: &str = "public";

/// A call: an admitted request that is run with one or more attempts.
pub(crate) struct Call<D: Dialect> {
    pub(crate) dialect: Arc<D>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) parts: Parts,
    pub(crate) body: BufferedBody,
    /// The caller's connection, for which the call's bodies are held.
    pub(crate) connection: Arc<TrackedConnection>,
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
    /// Set when the call is sent for the first time.
    pub(crate) in_flight: OnceLock<Option<CallInFlight>>,
    /// Whether an attempt that may have run ended before it was complete.
    pub(crate) has_abandoned_attempts: AtomicBool,
    /// Endpoints that were selected for attempts.
    pub(crate) tried: Mutex<Vec<EndpointId>>,
    pub(crate) execution: Arc<ExecutionState>,
}

/// What the next attempt of a call starts from.
enum NextAttempt {
    Open(OpenAttempt),
    Permitted(Permit),
}

impl<D: Dialect> Call<D> {
    /// Makes attempts until there is a response or no retry is allowed.
    pub(crate) async fn run(self: &Arc<Call<D>>) -> Result<Response<ReplyBody>, Refusal> {
        let mut history = AttemptHistory::default();
        let (mut replacement, mut retry) = (None, None);
        loop {
            let next = match replacement.take() {
                Some(opened) => NextAttempt::Open(opened),
                None => match self.acquire_permit(self.queue_time(), self.arrived_at).await {
                    Ok(permit) => NextAttempt::Permitted(permit),
                    Err(unavailable) => {
                        let refusal = self.refusal_for(unavailable, history.may_have_run);
                        return self.failure_or_refusal(history, refusal);
                    }
                },
            };
            let error = match self.attempt(next, &mut retry).await {
                AttemptResult::Responded(response) => return Ok(response),
                AttemptResult::Failed(response) => {
                    history.failure = Some(response);
                    AttemptError::Lost
                }
                AttemptResult::Error(error) => error,
                AttemptResult::Replaced(error, opened) => {
                    replacement = Some(opened);
                    error
                }
            };
            self.metrics.count(attempt_counter(error));
            if error == AttemptError::Lost {
                self.wait_for_verdict().await;
            }
            history.record(error);
            if replacement.is_none() && !self.try_retry(&history, error, &mut retry) {
                let refusal = self.final_refusal(&history, error);
                return self.failure_or_refusal(history, refusal);
            }
            self.metrics.count("attempts.retried");
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

    pub(crate) async fn acquire_permit(
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
    async fn attempt(
        self: &Arc<Call<D>>,
        next: NextAttempt,
        retry: &mut Option<ReservedRetry>,
    ) -> AttemptResult {
        tokio::select! {
            biased;
            _ = self.quarantine.wait_until_quarantined(&self.identity) => {
                AttemptResult::Error(AttemptError::Quarantined)
            }
            result = self.run_attempt(next, retry) => result,
        }
    }

    /// Makes an attempt. `retry` is withdrawn if there is one, unless nothing can be sent.
    async fn run_attempt(
        self: &Arc<Call<D>>,
        next: NextAttempt,
        retry: &mut Option<ReservedRetry>,
    ) -> AttemptResult {
        let opened = match next {
            NextAttempt::Open(opened) => Ok(opened),
            NextAttempt::Permitted(permit) => self.open(permit, Some(self.arrived_at)).await,
        };
        let opened = match opened {
            Ok(opened) => opened,
            Err(error) => return AttemptResult::Error(error),
        };
        if retry.take().is_some_and(|retry| !retry.withdraw()) {
            return AttemptResult::Error(AttemptError::NoPermit);
        }
        let head = match self.send(opened, self.head.last_event, Some(self.arrived_at)).await {
            Ok(head) => head,
            Err(failure) => return failure.into(),
        };
        if self.kind.is_stream() && head.status.is_success() {
            let result = self.start_stream(head).await;
            return result.map_or_else(AttemptResult::Error, AttemptResult::Responded);
        }
        let endpoint = EndpointId::clone(&head.permit.endpoint.record.id);
        let sent_at = head.sent_at;
        let response = match head.collect(self.deadline, &self.connection).await {
            Ok(response) => response,
            Err(error) => return AttemptResult::Error(error),
        };
        // Whatever the response is, the endpoint has survived the call.
        self.record_survival(sent_at);
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

    /// Opens the connection for an attempt. `waiting_since` is when the caller was last sent
    /// something.
    ///
    /// Fails if nothing can be sent.
    pub(crate) async fn open(
        &self,
        permit: Permit,
        waiting_since: Option<Instant>,
    ) -> Result<OpenAttempt, AttemptError> {
        let endpoint = &permit.endpoint;
        self.tried.lock().push(EndpointId::clone(&endpoint.record.id));
        let may_reuse =
            self.kind.is_retryable() && (!self.kind.is_stream() || endpoint.has_sent_recently());
        let overdue_in = waiting_since.and_then(|since| self.remaining_idle_time(since));
        let overdue_at = overdue_in.map(|time| Instant::now() + time);
        open(permit, self.head.id.as_deref(), may_reuse, overdue_at).await
    }

    /// Sends the call to an endpoint. A stream starts after `last_event`; `waiting_since` is when
    /// the caller began to wait for the response head, if it has not received one.
    pub(crate) async fn send(
        &self,
        opened: OpenAttempt,
        last_event: Option<u64>,
        waiting_since: Option<Instant>,
    ) -> Result<ResponseHead, AttemptFailure> {
        let endpoint = EndpointId::clone(&opened.permit.endpoint.record.id);
        log::info!(request = self.head.id.as_deref(), call:% = self.identity.fingerprint,
            segments:% = segment_list(&self.identity),
            route = &*self.route, endpoint = &*endpoint,
            running = opened.permit.endpoint.own_running(),
            left_ms = time_until(self.deadline).as_millis() as u64,
            after_event = last_event; "attempt started");
        let context = AttemptContext {
            endpoint: &endpoint,
            team: self.team.as_ref(),
            time_left: time_until(self.deadline),
            last_event,
            priority: None,
        };
        let sent_at = waiting_since.unwrap_or_else(Instant::now);
        let open_replacement = |stalled_group: Option<Arc<str>>| -> BoxFuture<'_, _> {
            let running = RunningAttempt { stalled_group, sent_at, has_begun: false };
            Box::pin(self.open_replacement(running))
        };
        let outgoing = self.attempt_request(waiting_since, &open_replacement);
        // Counted before it ends, as it may be replaced while it runs.
        self.attempts.fetch_add(1, Ordering::Relaxed);
        self.in_flight.get_or_init(|| self.quarantine.start_call(&self.identity));
        let mark = self.execution.start_attempt();
        let result = send(&*self.dialect, opened, &outgoing, context, self.deadline).await;
        match &result {
            Ok(_) => {}
            Err(AttemptFailure::Error(error)) if !may_have_run(*error) => mark.on_not_run(),
            Err(_) => self.on_attempt_abandoned(),
        }
        // It did not reach its endpoint.
        if matches!(result, Err(AttemptFailure::Error(AttemptError::OtherEndpoint))) {
            self.attempts.fetch_sub(1, Ordering::Relaxed);
        }
        result
    }

    fn attempt_request<'a>(
        &'a self,
        waiting_since: Option<Instant>,
        open_replacement: &'a OpenReplacement<'a>,
    ) -> AttemptRequest<'a> {
        let overdue_in = waiting_since.and_then(|since| self.remaining_idle_time(since));
        AttemptRequest {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.parts.headers,
            body: &self.body,
            id: self.head.id.as_deref(),
            call: &self.identity,
            is_retryable: self.kind.is_retryable(),
            is_stream: self.kind.is_stream(),
            replaceable_at: self.replaceable_at(),
            open_replacement,
            final_response_at: waiting_since.and_then(|since| self.final_response_at(since)),
            overdue_at: overdue_in.map(|time| Instant::now() + time),
        }
    }

    async fn start_stream(
        self: &Arc<Call<D>>,
        head: ResponseHead,
    ) -> Result<Response<ReplyBody>, AttemptError> {
        let mut relay = StreamRelay::new(Arc::clone(self), head);
        let first = relay.first_events().await.inspect_err(|_| self.on_attempt_abandoned())?;
        self.metrics.record_latency("requests.first_event", self.arrived_at.elapsed());
        Ok(relay.response_head().map(|()| relay.into_body(first)))
    }

    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) < self.max_attempts
    }

    pub(crate) fn can_retry(&self) -> bool {
        self.has_attempts_left() && !time_until(self.deadline).is_zero()
    }

    /// The status for the caller of an endpoint's response. The endpoint may have run the call, so
    /// that a caller who may not repeat it gets no status that says otherwise.
    fn caller_status(&self, from_endpoint: StatusCode) -> StatusCode {
        let is_false = !self.kind.is_retryable() && self.dialect.is_not_run_status(from_endpoint);
        if is_false { StatusCode::BAD_GATEWAY } else { from_endpoint }
    }

    fn caller_response(&self, from_endpoint: CompleteResponse) -> Response<ReplyBody> {
        let mut response = Response::new(full_body(from_endpoint.body));
        *response.status_mut() = self.caller_status(from_endpoint.status);
        *response.headers_mut() = self.dialect.response_headers(&from_endpoint.headers);
        if self.parts.method != Method::HEAD {
            response.headers_mut().remove(header::CONTENT_LENGTH);
        }
        response
    }

    /// Waits for the crash verdict on the endpoint of the last attempt, for a limited time.
    pub(crate) async fn wait_for_verdict(&self) {
        self.service.wait_for_verdict(&self.identity.fingerprint).await;
    }

    /// Records that the call, which was sent at a moment, has completed without crashing its
    /// endpoint. If it was at another endpoint before, that one may have crashed under it.
    pub(crate) fn record_survival(&self, sent_at: Instant) {
        self.quarantine.record_survival(self.identity.fingerprint);
        if !self.has_abandoned_attempts.load(Ordering::Relaxed) {
            self.quarantine.record_segment_survival(&self.identity, sent_at);
        }
    }

    /// Records that an attempt that may have run ended before it was complete.
    pub(crate) fn on_attempt_abandoned(&self) {
        self.has_abandoned_attempts.store(true, Ordering::Relaxed);
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
