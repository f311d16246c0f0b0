//! The way of a request, from its headers to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, request::Parts};
use hyper::body::Incoming;
use lynxmount_config::EntrySettings;
use lynxmount_core::{CallContent, CallFingerprint, Outcome, Reason, RequestId, new_request_id};
use lynxmount_idempotency::may_report_not_run;
use lynxmount_node::{ActiveConfig, Counter, NodeHandle};
use lynxmount_policy::{TeamLimits, TeamQuota};
use lynxmount_suspects::SharedQuarantine;
use parking_lot::Mutex;

use crate::{
    attempts::Ran,
    call::{Call, Located, locate, max_body_bytes},
    claims::Claims,
    deadline::Deadline,
    gate::Gates,
    keyed::Key,
    relay::{Guards, TeamGuard},
    reply::{CALLERS_REQUEST_HEADER, REQUEST_HEADER, Refusal, ReplyBody},
    request::{KEY_HEADER, headers_to_pass, read_body},
};

/// How often a request is admitted anew because its configuration is outdated.
const MAX_ADMISSIONS: u32 = 3;

/// How long to wait for the newer configuration that an endpoint has.
const CONFIG_WAIT: Duration = Duration::from_secs(1);

/// What requests share.
pub(crate) struct Handler {
    pub(crate) node: NodeHandle,
    gates: Arc<Gates>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) suspects: Arc<SharedQuarantine>,
    limits: Arc<Mutex<TeamLimits>>,
    idle_timeout: Duration,
}

impl Handler {
    pub(crate) fn new(
        node: NodeHandle,
        gates: Arc<Gates>,
        claims: Arc<Claims>,
        suspects: Arc<SharedQuarantine>,
        settings: &EntrySettings,
    ) -> Handler {
        let limits = Arc::default();
        Handler { node, gates, claims, suspects, limits, idle_timeout: settings.idle_timeout_ms }
    }

    /// Answers a request; whatever happens, there is an answer.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let id = new_request_id();
        let (parts, body) = request.into_parts();
        let callers_id = parts.headers.get(CALLERS_REQUEST_HEADER).cloned();
        let mut response = match self.answer(id, parts, body).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(id, &refusal),
        };
        let own_id = HeaderValue::from_str(&id.to_string()).expect("a UUID is a header value");
        response.headers_mut().insert(REQUEST_HEADER, own_id.clone());
        response.headers_mut().insert(CALLERS_REQUEST_HEADER, callers_id.unwrap_or(own_id));
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
        let config = self.ready_config().map_err(|refusal| unknown_with_key(refusal, &parts))?;
        let max_body_bytes = max_body_bytes(&parts, &config)?;
        drop(config);
        let body = read_body(body, max_body_bytes, self.idle_timeout).await?;
        for _ in 0..MAX_ADMISSIONS {
            // A request that was taken on is finished, also by an entry that has
            // begun to leave meanwhile.
            let config = self.config()?;
            let (admitted, key) = self.admit(id, &parts, &body, &config);
            let call = match admitted {
                Ok(call) => call,
                Err(refusal) => return Err(self.checked_refusal(refusal, key.as_ref()).await),
            };
            let version = call.config_version;
            match self.run(call).await? {
                Ran::Response(response) => return Ok(response),
                Ran::ConfigOutdated => self.wait_for_config_after(version).await,
            }
        }
        Err(Refusal::not_run(Reason::NotReady, "the configuration is being replaced"))
    }

    fn ready_config(&self) -> Result<Arc<ActiveConfig>, Refusal> {
        let config = self.config()?;
        match self.node.view().is_ready() {
            true => Ok(config),
            false => Err(Refusal::not_run(Reason::NotReady, "the entry is leaving")),
        }
    }

    fn config(&self) -> Result<Arc<ActiveConfig>, Refusal> {
        self.node
            .view()
            .config
            .clone()
            .ok_or_else(|| Refusal::not_run(Reason::NotReady, "the entry has no configuration yet"))
    }

    /// Checks everything that can be checked without an endpoint, and says
    /// which key the request carries even if it is refused.
    fn admit(
        &self,
        id: RequestId,
        parts: &Parts,
        body: &Bytes,
        config: &ActiveConfig,
    ) -> (Result<Call, Refusal>, Option<Key>) {
        let located = match locate(parts, body, config) {
            Ok(located) => located,
            Err(refusal) => return (Err(refusal), None),
        };
        let key = located.key;
        (self.let_in(id, parts, body, config, located), key)
    }

    fn let_in(
        &self,
        id: RequestId,
        parts: &Parts,
        body: &Bytes,
        config: &ActiveConfig,
        located: Located<'_>,
    ) -> Result<Call, Refusal> {
        let Located { team, service, path, prefix, key } = located;
        let gate = self.gates.get(&service.id).ok_or_else(|| no_gate(&service.id))?;
        let rate = TeamQuota::share(
            team.rate_per_s,
            team.burst_requests,
            team.max_concurrent,
            config.fleet.entries.len(),
        );
        self.limits.lock().admit(&team.id, rate, self.node.now()).map_err(|over| {
            Refusal::not_run(Reason::OverLimit, format!("team {} is over its limit", team.id))
                .retry_after(over.retry_after)
        })?;
        let guard = TeamGuard { limits: Arc::clone(&self.limits), team: team.id.clone() };
        let fingerprint = CallFingerprint::of(CallContent {
            team: Some(&team.id),
            method: parts.method.as_str(),
            host: &service.id,
            path: &path,
            body,
        });
        Ok(Call {
            id,
            fingerprint,
            gate,
            config_version: config.version,
            path,
            method: parts.method.as_str().to_owned(),
            headers: headers_to_pass(&parts.headers),
            body: body.clone(),
            prefix,
            key,
            wait_until: Deadline::after(
                service.max_queue_ms.min(service.request_timeout_ms),
                self.node.now(),
            ),
            deadline: Deadline::after(service.request_timeout_ms, self.node.now()),
            guards: Guards { _running: self.node.start_request(), _team: guard },
            service: Arc::clone(service),
            team: Arc::clone(team),
        })
    }

    /// A refused request with a key may have been run under its key before;
    /// *not run* is said only if the log shows that no endpoint has the key,
    /// or that the one that had it has given it up.
    pub(crate) async fn checked_refusal(&self, refusal: Refusal, key: Option<&Key>) -> Refusal {
        let is_callers_fault = matches!(refusal.reason, Reason::KeyReused);
        let Some(key) = key.filter(|_| refusal.outcome == Outcome::NotRun && !is_callers_fault)
        else {
            return refusal;
        };
        let active_claim = self.claims.get_confirmed(&key.key_digest).await;
        let active_offset = active_claim.ok().map(|active| active.map(|active| active.offset));
        match may_report_not_run(key.revoked, active_offset) {
            true => refusal,
            false => Refusal { outcome: Outcome::Unknown, ..refusal },
        }
    }

    async fn wait_for_config_after(&self, version: u64) {
        self.node.on_newer_peer_config();
        let newer = self.node.wait_for(|view| view.version() > version);
        let _ = tokio::time::timeout(CONFIG_WAIT, newer).await;
    }
}

/// Before there is a configuration, nobody can say whether a key was run.
fn unknown_with_key(refusal: Refusal, parts: &Parts) -> Refusal {
    match parts.headers.contains_key(KEY_HEADER) {
        true => Refusal { outcome: Outcome::Unknown, ..refusal },
        false => refusal,
    }
}

fn no_gate(service: &str) -> Refusal {
    Refusal::not_run(Reason::NotReady, format!("{service} is being set up"))
}
