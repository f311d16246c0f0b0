//! Handles callers' requests: admission, execution as a call, and refusal responses.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32},
    },
    time::{Duration, Instant},
};

use http::{Request, Response, header, request::Parts};
use hyper::body::Incoming;
use lynxmount_core::{
    CallContent, CallFingerprint, CallIdentity, Clock, Mechanisms, RouteId, SegmentId,
    adapter::{CallHead, Dialect},
};
use lynxmount_policy::CallerIdleTimeout;
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_resources::{BufferedBody, TrackedConnection};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    admission::{authenticate, draw_target, host, host_name, read_request_body},
    call::Call,
    call_times::outage_retry_delay,
    drain::{Drain, DrainPhase},
    endpoint_set::EndpointSet,
    execution_state::ExecutionState,
    fleet::{ConfigView, Fleet},
    reply::{Refusal, ReplyBody},
};

/// Time left for a request whose caller sends none.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(8);

/// Handles requests; shared by all connections.
pub(crate) struct Handler<D: Dialect> {
    pub(crate) dialect: Arc<D>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) endpoint_set: Arc<EndpointSet>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) clock: Clock,
    pub(crate) mechanisms: Arc<Mechanisms>,
}

/// A complete request body, and the connection for which it is held.
struct ReceivedBody {
    body: BufferedBody,
    connection: Arc<TrackedConnection>,
}

impl<D: Dialect> Handler<D> {
    /// Responds to a request. Failures become refusal responses.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let arrived_at = Instant::now();
        let (parts, body) = request.into_parts();
        let head = self.dialect.read_call(&parts);
        let id = head.id.clone();
        let result = self.execute_until_exit(parts, body, head, arrived_at).await;
        let mut response = result.unwrap_or_else(|refusal| {
            self.metrics.count(refusal_counter(refusal));
            let waited_ms = arrived_at.elapsed().as_millis() as u64;
            log::info!(request = id.as_deref(), reason:? = refusal, waited_ms; "call refused");
            refusal.response(&*self.dialect)
        });
        if self.drain.is_draining() {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Executes a request, and cancels it if there is no response shortly before the process exits.
    async fn execute_until_exit(
        &self,
        parts: Parts,
        body: Incoming,
        head: CallHead,
        arrived_at: Instant,
    ) -> Result<Response<ReplyBody>, Refusal> {
        let time_left = head.time_left.unwrap_or(DEFAULT_TIME_LEFT);
        let execution = Arc::new(ExecutionState::default());
        let refusal = tokio::select! {
            biased;
            result = self.execute(parts, body, head, arrived_at, &execution) => return result,
            () = self.drain.reached(DrainPhase::Exiting) => {
                let retry_after = outage_retry_delay(&self.mechanisms, time_left);
                refusal_at_exit(&execution, retry_after)
            }
        };
        Err(refusal)
    }

    async fn execute(
        &self,
        parts: Parts,
        body: Incoming,
        head: CallHead,
        arrived_at: Instant,
        execution: &Arc<ExecutionState>,
    ) -> Result<Response<ReplyBody>, Refusal> {
        self.metrics.count("requests.received");
        let time_left = head.time_left.unwrap_or(DEFAULT_TIME_LEFT);
        let not_ready =
            Refusal::NotRun { retry_after: outage_retry_delay(&self.mechanisms, time_left) };
        let config = self.fleet.config().ok_or(not_ready)?;
        let body_limit = config.config.limits.body_bytes;
        let body_timeout = config.config.limits.idle_timeout;
        // Reload the configuration after the body has arrived, as a key may have been revoked
        // meanwhile.
        drop(config);
        let connection = parts.extensions.get::<Arc<TrackedConnection>>().cloned();
        let connection = connection.ok_or(Refusal::BadRequest)?;
        let body =
            read_request_body(body, &connection, body_limit, body_timeout, not_ready).await?;
        let received = ReceivedBody { body, connection };
        // A connection that closes with an unread body is reset, which may discard the response.
        if self.drain.is_refusing() {
            return Err(not_ready);
        }
        let config = self.fleet.config().ok_or(not_ready)?;
        let call = Arc::new(self.admit(&config, parts, received, head, arrived_at, execution)?);
        call.service.record_call();
        call.run().await
    }

    /// Performs all checks that need no endpoint, and builds the call.
    fn admit(
        &self,
        config: &ConfigView,
        parts: Parts,
        received: ReceivedBody,
        head: CallHead,
        arrived_at: Instant,
        execution: &Arc<ExecutionState>,
    ) -> Result<Call<D>, Refusal> {
        let ReceivedBody { body, connection } = received;
        let host = host(&parts).ok_or(Refusal::BadRequest)?;
        let route = config.route(host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
        let (team, priority) = authenticate(config, route, &head)?;
        let target = draw_target(&route.targets).ok_or(Refusal::NoRoute)?;
        let time = head.time_left.map_or(route.timeout, |left| left.min(route.timeout));
        let no_service =
            Refusal::NotRun { retry_after: outage_retry_delay(&self.mechanisms, time) };
        let service = self.endpoint_set.service(&target.service).ok_or(no_service)?;
        let content = CallContent {
            team: team.as_ref(),
            method: parts.method.as_str(),
            host: &host_name(host),
            path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
            body: &[],
        };
        let fingerprint = CallFingerprint::of_split_body(content, body.blocks());
        let segment = |number| SegmentId::new(&target.service, number);
        let segments = head.segments.iter().copied().map(segment).collect();
        Ok(Call {
            dialect: Arc::clone(&self.dialect),
            metrics: Arc::clone(&self.metrics),
            clock: self.clock,
            parts,
            body,
            connection,
            head,
            identity: CallIdentity { fingerprint, segments },
            kind: route.kind,
            service,
            quarantine: Arc::clone(&self.quarantine),
            deadline: arrived_at + time,
            arrived_at,
            route: RouteId::clone(&route.id),
            max_attempts: route.max_attempts,
            goal: route.goal,
            gap_goal: route.gap_goal,
            idle_timeout: route.caller_idle_timeout.map(CallerIdleTimeout::new),
            team,
            priority,
            attempts: AtomicU32::new(0),
            in_flight: OnceLock::new(),
            has_abandoned_attempts: AtomicBool::new(false),
            tried: Mutex::default(),
            execution: Arc::clone(execution),
        })
    }
}

/// The refusal of a call that has no response when the process exits.
fn refusal_at_exit(execution: &ExecutionState, retry_after: Duration) -> Refusal {
    match execution.may_have_run() {
        true => Refusal::MayHaveRun,
        false => Refusal::NotRun { retry_after },
    }
}

fn refusal_counter(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Quarantined { .. } => "requests.held_back",
        _ => "requests.refused",
    }
}
