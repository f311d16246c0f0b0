//! Handles callers' requests: validation, admission and the response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, request::Parts};
use hyper::body::Incoming;
use lynxmount_config::EntrySettings;
use lynxmount_core::{CallContent, CallFingerprint, Outcome, Reason, RequestId, new_request_id};
use lynxmount_idempotency::may_report_not_run;
use lynxmount_node::{ActiveConfig, Counter, NodeHandle};
use lynxmount_policy::{TeamLimits, TeamQuota};
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_resources::TrackedConnection;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{
    call::{Call, ResolvedRequest, max_body_bytes, resolve},
    claim_log::ClaimLog,
    deadline::Deadline,
    key_binding::IdempotencyKey,
    relay::{RequestGuards, TeamGuard},
    reply::{CALLER_REQUEST_ID_HEADER, REQUEST_ID_HEADER, Refusal, ReplyBody},
    request::{BodyFailure, KEY_HEADER, forwarded_headers, read_body},
    retry_loop::RunResult,
    service_pool::ServicePools,
};

/// How often a request is admitted at most. It is admitted again if an endpoint has a newer
/// configuration.
const MAX_ADMISSIONS: u32 = 3;

/// How long to wait for a newer configuration that an endpoint already has.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that all requests share.
pub(crate) struct Handler {
    pub(crate) node: NodeHandle,
    pools: Arc<ServicePools>,
    pub(crate) claims: Arc<ClaimLog>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    team_limits: Arc<Mutex<TeamLimits>>,
    idle_timeout: Duration,
    /// Cancelled when the process exits although calls are in progress: each is answered at once.
    pub(crate) cut_off: CancellationToken,
}

impl Handler {
    pub(crate) fn new(
        node: NodeHandle,
        pools: Arc<ServicePools>,
        claims: Arc<ClaimLog>,
        quarantine: Arc<SharedQuarantine>,
        settings: &EntrySettings,
    ) -> Handler {
        let team_limits = Arc::default();
        Handler {
            node,
            pools,
            claims,
            quarantine,
            team_limits,
            idle_timeout: settings.idle_timeout_ms,
            cut_off: CancellationToken::new(),
        }
    }

    /// Handles a request. Every failure becomes a response, too.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let id = new_request_id();
        let (parts, body) = request.into_parts();
        let caller_id = parts.headers.get(CALLER_REQUEST_ID_HEADER).cloned();
        let mut response = match self.answer(id, parts, body).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(id, &refusal),
        };
        let request_id =
            HeaderValue::from_str(&id.to_string()).expect("a UUID is a valid header value");
        response.headers_mut().insert(REQUEST_ID_HEADER, request_id.clone());
        response.headers_mut().insert(CALLER_REQUEST_ID_HEADER, caller_id.unwrap_or(request_id));
        response
    }

    fn refuse(&self, id: RequestId, refusal: &Refusal) -> Response<ReplyBody> {
        self.node.counters().count(match refusal.outcome {
            Outcome::Complete => Counter::RequestsComplete,
            Outcome::NotRun => Counter::RequestsNotRun,
            Outcome::Unknown => Counter::RequestsUnknown,
        });
        refusal.response(id)
    }

    async fn answer(
        &self,
        id: RequestId,
        parts: Parts,
        body: Incoming,
    ) -> Result<Response<ReplyBody>, Refusal> {
        let _running = self.node.start_request();
        let config = self.ready_config().map_err(|refusal| unknown_if_keyed(refusal, &parts))?;
        let max_body_bytes = max_body_bytes(&parts, &config)?;
        drop(config);
        let connection = parts.extensions.get::<Arc<TrackedConnection>>();
        let connection = connection.ok_or_else(leaving)?;
        let body = tokio::select! {
            body = read_body(body, connection, max_body_bytes, self.idle_timeout) => {
                body.map_err(|failure| match failure {
                    BodyFailure::Refused(refusal) => refusal,
                    BodyFailure::NoMemory => unknown_if_keyed(no_memory(), &parts),
                })?
            }
            () = self.cut_off.cancelled() => return Err(unknown_if_keyed(leaving(), &parts)),
        };
        for _ in 0..MAX_ADMISSIONS {
            // A request that has passed the readiness check is completed even if the entry has
            // started to drain since.
            let config = self.config()?;
            let (admitted, key) = self.admit(id, &parts, &body, &config);
            let call = match admitted {
                Ok(call) => call,
                Err(refusal) => return Err(self.confirm_not_run(refusal, key.as_ref()).await),
            };
            let version = call.config_version;
            match self.run(call).await? {
                RunResult::Response(response) => return Ok(response),
                RunResult::ConfigOutdated => self.wait_for_newer_config(version).await,
            }
        }
        Err(Refusal::not_run(Reason::NotReady, "the configuration is being replaced"))
    }

    fn ready_config(&self) -> Result<Arc<ActiveConfig>, Refusal> {
        let config = self.config()?;
        match self.node.view().is_ready() {
            true => Ok(config),
            false => Err(leaving()),
        }
    }

    fn config(&self) -> Result<Arc<ActiveConfig>, Refusal> {
        self.node
            .view()
            .config
            .clone()
            .ok_or_else(|| Refusal::not_run(Reason::NotReady, "the entry has no configuration yet"))
    }

    /// Validates and admits a request. Returns its idempotency key even if the request is refused.
    fn admit(
        &self,
        id: RequestId,
        parts: &Parts,
        body: &Bytes,
        config: &ActiveConfig,
    ) -> (Result<Call, Refusal>, Option<IdempotencyKey>) {
        let resolved = match resolve(parts, body, config) {
            Ok(resolved) => resolved,
            Err(refusal) => return (Err(refusal), None),
        };
        let key = resolved.key;
        (self.create_call(id, parts, body, config, resolved), key)
    }

    fn create_call(
        &self,
        id: RequestId,
        parts: &Parts,
        body: &Bytes,
        config: &ActiveConfig,
        resolved: ResolvedRequest<'_>,
    ) -> Result<Call, Refusal> {
        let ResolvedRequest { team, service, path, prefix, key } = resolved;
        let pool = self.pools.get(&service.id).ok_or_else(|| pool_not_ready(&service.id))?;
        let quota = TeamQuota::share(
            team.rate_per_s,
            team.burst_requests,
            team.max_concurrent,
            config.fleet.entries.len(),
        );
        self.team_limits.lock().admit(&team.id, quota, self.node.now()).map_err(|over| {
            Refusal::not_run(Reason::OverLimit, format!("team {} is over its limit", team.id))
                .retry_after(over.retry_after)
        })?;
        let guard = TeamGuard { team_limits: Arc::clone(&self.team_limits), team: team.id.clone() };
        let fingerprint = CallFingerprint::of(CallContent {
            team: Some(&team.id),
            method: parts.method.as_str(),
            host: &service.id,
            path: &path,
            body,
        });
        Ok(Call {
            id,
            identity: fingerprint.into(),
            pool,
            config_version: config.version,
            path,
            method: parts.method.as_str().to_owned(),
            headers: forwarded_headers(&parts.headers),
            body: body.clone(),
            prefix,
            key,
            wait_until: Deadline::after(
                service.max_queue_ms.min(service.request_timeout_ms),
                self.node.now(),
            ),
            deadline: Deadline::after(service.request_timeout_ms, self.node.now()),
            guards: RequestGuards { _running: self.node.start_request(), _team: guard },
            service: Arc::clone(service),
            team: Arc::clone(team),
        })
    }

    /// Changes the outcome *not run* of a refused request with a key to *unknown* unless the log
    /// confirms it: the key may have been run before. It is confirmed if no endpoint holds a claim
    /// of the key, or if the endpoint that did has revoked the key.
    pub(crate) async fn confirm_not_run(
        &self,
        refusal: Refusal,
        key: Option<&IdempotencyKey>,
    ) -> Refusal {
        let is_caller_error = matches!(refusal.reason, Reason::KeyReused);
        let Some(key) = key.filter(|_| refusal.outcome == Outcome::NotRun && !is_caller_error)
        else {
            return refusal;
        };
        let active_claim = self.claims.get_confirmed(&key.key_digest).await;
        let active_offset = active_claim.ok().map(|active| active.map(|active| active.offset));
        match may_report_not_run(key.revoked_claim, active_offset) {
            true => refusal,
            false => Refusal { outcome: Outcome::Unknown, ..refusal },
        }
    }

    async fn wait_for_newer_config(&self, version: u64) {
        self.node.on_newer_peer_config();
        let newer = self.node.wait_for(|view| view.version() > version);
        tokio::select! {
            _ = tokio::time::timeout(CONFIG_TIMEOUT, newer) => {}
            () = self.cut_off.cancelled() => {}
        }
    }
}

/// Without a configuration, this entry cannot determine whether a key was run before.
fn unknown_if_keyed(refusal: Refusal, parts: &Parts) -> Refusal {
    match parts.headers.contains_key(KEY_HEADER) {
        true => Refusal { outcome: Outcome::Unknown, ..refusal },
        false => refusal,
    }
}

/// Refuses a request because the process exits.
pub(crate) fn leaving() -> Refusal {
    Refusal::not_run(Reason::NotReady, "the entry is leaving")
}

/// Refuses a request for whose body there is no memory.
fn no_memory() -> Refusal {
    Refusal::not_run(Reason::Overload, "there is no memory for the body")
}

fn pool_not_ready(service: &str) -> Refusal {
    Refusal::not_run(Reason::NotReady, format!("{service} is being set up"))
}
