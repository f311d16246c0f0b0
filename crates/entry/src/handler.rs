//! The way of a request, from its headers to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, request::Parts};
use hyper::body::Incoming;
use lynxmount_config::{EntrySettings, Service, ServiceKind, Team};
use lynxmount_core::{EndpointId, Outcome, Reason, RequestId, ServiceId, new_request_id};
use lynxmount_idempotency::{key_digest, may_say_not_run, request_digest};
use lynxmount_node::{ActiveConfig, Counter, NodeHandle};
use lynxmount_policy::{AttemptEnd, Next, Retry, TeamLimits, TeamRate, Waiter};
use lynxmount_wire::{AttemptId, Binding, Dispatch, Header, RefusalReason};
use parking_lot::Mutex;

use crate::{
    attempt::Attempt,
    authentication::authenticate,
    claims::Claims,
    deadline::Deadline,
    gate::{Gate, Gates, Place, Want},
    keyed::{Key, bind},
    relay::{Collected, Guards, StreamContext, StreamingAnswer, TeamGuard, collect},
    reply::{
        CALLERS_REQUEST_HEADER, OUTCOME_HEADER, REQUEST_HEADER, Refusal, ReplyBody,
        answer_response, whole_body,
    },
    request::{KEY_HEADER, headers_to_pass, key_of, read_body},
    target::{ChatRequest, Target, target_of},
};

/// How often a request is admitted anew because its configuration is outdated.
const MAX_ADMISSIONS: u32 = 3;

/// How long to wait for the newer configuration that an endpoint has.
const CONFIG_WAIT: Duration = Duration::from_secs(1);

/// What requests share.
pub(crate) struct Handler {
    node: NodeHandle,
    gates: Arc<Gates>,
    claims: Arc<Claims>,
    limits: Arc<Mutex<TeamLimits>>,
    idle_timeout: Duration,
}

/// A request that was let in under one configuration.
struct Call {
    id: RequestId,
    team: Arc<Team>,
    service: Arc<Service>,
    gate: Arc<Gate>,
    config_version: u64,
    path: String,
    method: String,
    headers: Vec<Header>,
    body: Bytes,
    prefix: Option<String>,
    key: Option<Key>,
    wait_until: Deadline,
    deadline: Deadline,
    guards: Guards,
}

/// What a request asks for, checked against the configuration.
struct Located<'a> {
    team: &'a Arc<Team>,
    service: &'a Arc<Service>,
    path: String,
    prefix: Option<String>,
    key: Option<Key>,
}

/// What an admitted request has come to.
enum Ran {
    /// An endpoint has a newer configuration; admit the request anew.
    ConfigOutdated,
    /// The response.
    Response(Response<ReplyBody>),
}

/// What follows when an attempt ends.
enum AfterAttempt {
    GiveUp(Refusal),
    ReadmitUnderNewConfig,
    TryAgain,
}

impl Handler {
    pub(crate) fn new(
        node: NodeHandle,
        gates: Arc<Gates>,
        claims: Arc<Claims>,
        settings: &EntrySettings,
    ) -> Handler {
        let limits = Arc::default();
        Handler { node, gates, claims, limits, idle_timeout: settings.idle_timeout_ms }
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
            let config =
                self.ready_config().map_err(|refusal| unknown_with_key(refusal, &parts))?;
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
        let view = self.node.view();
        match &view.config {
            Some(config) if view.is_ready() => Ok(Arc::clone(config)),
            Some(_) => Err(Refusal::not_run(Reason::NotReady, "the entry is leaving")),
            None => Err(Refusal::not_run(Reason::NotReady, "the entry has no configuration yet")),
        }
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
        let located = match self.locate(parts, body, config) {
            Ok(located) => located,
            Err(refusal) => return (Err(refusal), None),
        };
        let key = located.key;
        (self.let_in(id, parts, body, config, located), key)
    }

    fn locate<'a>(
        &self,
        parts: &Parts,
        body: &Bytes,
        config: &'a ActiveConfig,
    ) -> Result<Located<'a>, Refusal> {
        let team = authenticated(parts, config)?;
        let (service, path, prefix) = service_of(parts, body, config)?;
        check_team(team, service)?;
        check_body(body, service)?;
        let key = key_for(parts, body, team, service, &path)?;
        Ok(Located { team, service, path, prefix, key })
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
        let rate = TeamRate::share(
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
        Ok(Call {
            id,
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
    async fn checked_refusal(&self, refusal: Refusal, key: Option<&Key>) -> Refusal {
        let is_callers_fault = matches!(refusal.reason, Reason::KeyReused);
        let Some(key) = key.filter(|_| refusal.outcome == Outcome::NotRun && !is_callers_fault)
        else {
            return refusal;
        };
        let standing = self.claims.get_confirmed(&key.key_digest).await;
        let standing = standing.ok().map(|standing| standing.map(|standing| standing.offset));
        match may_say_not_run(key.revoked, standing) {
            true => refusal,
            false => Refusal { outcome: Outcome::Unknown, ..refusal },
        }
    }

    async fn wait_for_config_after(&self, version: u64) {
        self.node.note_newer_config();
        let newer = self.node.wait_for(|view| view.version() > version);
        let _ = tokio::time::timeout(CONFIG_WAIT, newer).await;
    }

    /// Tries until there is an answer or nothing more may be tried.
    async fn run(&self, mut call: Call) -> Result<Ran, Refusal> {
        let is_idempotent = call.key.is_none();
        let mut retry = Retry::new(
            call.service.max_attempts,
            call.wait_until.since_start,
            call.deadline.since_start,
            is_idempotent,
        );
        let mut tried = Vec::new();
        call.gate.note_first_attempt(call.service.retry_budget_percent);
        for attempt_number in 1.. {
            let (place, binding) = match self.find_place(&call, &tried).await {
                Ok(found) => found,
                Err(refusal) => {
                    let refusal = with_history(refusal, &retry);
                    return Err(self.checked_refusal(refusal, call.key.as_ref()).await);
                }
            };
            tried.push(place.link.endpoint.id.clone());
            let bound_at = binding.as_ref().map(|binding| binding.claim_offset);
            let dispatch = call.dispatch(attempt_number, binding);
            let collected = match Attempt::send(place, dispatch, &self.node) {
                Ok(attempt) => collect(attempt, call.deadline).await,
                Err(end) => Collected::Ended(end),
            };
            let end = match collected {
                Collected::Whole { status, headers, body } => {
                    return Ok(Ran::Response(self.whole(status, &headers, body)));
                }
                Collected::Streaming(answer) => {
                    return Ok(Ran::Response(self.streaming(call, answer)));
                }
                Collected::Refused(reason) => {
                    if reason.revokes_key() {
                        call.note_revoked(bound_at);
                    }
                    self.after_refusal(&mut retry, reason, &call)
                }
                Collected::Ended(end) => self.after_end(&mut retry, end, &call),
            };
            match end {
                AfterAttempt::GiveUp(refusal) => {
                    return Err(self.checked_refusal(refusal, call.key.as_ref()).await);
                }
                AfterAttempt::ReadmitUnderNewConfig => return Ok(Ran::ConfigOutdated),
                AfterAttempt::TryAgain => self.node.counters().count(Counter::Retries),
            }
        }
        unreachable!("the number of attempts is bounded by the retry policy")
    }

    async fn find_place(
        &self,
        call: &Call,
        tried: &[EndpointId],
    ) -> Result<(Place, Option<Binding>), Refusal> {
        let want = Want {
            waiter: Waiter {
                team: call.team.id.clone(),
                priority: call.team.priority,
                wait_until: call.wait_until.since_start,
            },
            wait_until: call.wait_until,
            tried,
            prefix: call.prefix.as_deref(),
        };
        match &call.key {
            None => Ok((call.gate.place(want).await?, None)),
            Some(key) => {
                let bound = bind(key, want, &call.gate, &self.claims, &self.node).await;
                bound.map(|(place, binding)| (place, Some(binding)))
            }
        }
    }

    fn after_refusal(&self, retry: &mut Retry, reason: RefusalReason, call: &Call) -> AfterAttempt {
        let end = match reason {
            RefusalReason::Busy => AttemptEnd::Busy,
            RefusalReason::BackendUnreachable
            | RefusalReason::Draining
            | RefusalReason::Revoked
            | RefusalReason::WrongService => AttemptEnd::Declined(Reason::NoEndpoint),
            RefusalReason::ConfigOutdated if !retry.may_have_run() => {
                return AfterAttempt::ReadmitUnderNewConfig;
            }
            RefusalReason::ConfigOutdated => AttemptEnd::Declined(Reason::NotReady),
            RefusalReason::Expired => AttemptEnd::Declined(Reason::TimedOut),
            RefusalReason::KeyReused => AttemptEnd::Declined(Reason::KeyReused),
            // The key may have been run before, and nobody remembers.
            RefusalReason::LedgerFull | RefusalReason::NotBoundHere => AttemptEnd::Lost,
        };
        self.after_end(retry, end, call)
    }

    fn after_end(&self, retry: &mut Retry, end: AttemptEnd, call: &Call) -> AfterAttempt {
        let now = self.node.now();
        match retry.attempt_ended(end, now, || call.gate.take_retry()) {
            Next::TryAgain => AfterAttempt::TryAgain,
            Next::GiveUp(give_up) => AfterAttempt::GiveUp(Refusal {
                reason: give_up.reason,
                outcome: give_up.outcome,
                detail: format!("the last attempt ended as {end:?}"),
                retry_after: None,
            }),
        }
    }

    fn whole(&self, status: u16, headers: &[Header], body: Bytes) -> Response<ReplyBody> {
        self.node.counters().count(Counter::RequestsComplete);
        let mut response = answer_response(status, headers, whole_body(body));
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        response.headers_mut().insert(OUTCOME_HEADER, outcome);
        response
    }

    fn streaming(&self, call: Call, answer: StreamingAnswer) -> Response<ReplyBody> {
        let context = StreamContext {
            request: call.id,
            deadline: call.deadline,
            node: self.node.clone(),
            _guards: call.guards,
        };
        let (status, headers) = (answer.status, answer.headers.clone());
        answer_response(status, &headers, answer.into_body(context))
    }
}

impl Call {
    fn dispatch(&self, attempt: u32, binding: Option<Binding>) -> Dispatch {
        Dispatch {
            id: AttemptId { request: self.id, attempt },
            service: ServiceId::clone(&self.service.id),
            config_version: self.config_version,
            deadline_at_ms: self.deadline.wall_ms,
            priority: self.team.priority,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            binding,
        }
    }

    fn note_revoked(&mut self, claim_offset: Option<u64>) {
        if let Some(key) = &mut self.key {
            key.revoked = claim_offset;
        }
    }
}

/// What can be said if no further place is found after earlier attempts.
fn with_history(refusal: Refusal, retry: &Retry) -> Refusal {
    match retry.may_have_run() {
        true => Refusal { outcome: Outcome::Unknown, ..refusal },
        false => refusal,
    }
}

/// Before there is a configuration, nobody can say whether a key was run.
fn unknown_with_key(refusal: Refusal, parts: &Parts) -> Refusal {
    match parts.headers.contains_key(KEY_HEADER) {
        true => Refusal { outcome: Outcome::Unknown, ..refusal },
        false => refusal,
    }
}

fn authenticated<'a>(parts: &Parts, config: &'a ActiveConfig) -> Result<&'a Arc<Team>, Refusal> {
    authenticate(&parts.headers, config)
        .ok_or_else(|| Refusal::not_run(Reason::Unauthenticated, "no team has this token"))
}

/// The largest body that may have to be read before the service is known.
fn max_body_bytes(parts: &Parts, config: &ActiveConfig) -> Result<u64, Refusal> {
    let team = authenticated(parts, config)?;
    match target_of(&parts.method, &parts.uri) {
        Target::Plain { service, .. } => {
            let service = known_service(config, &service)?;
            check_team(team, service)?;
            Ok(service.max_body_bytes)
        }
        Target::Chat => {
            let services = config.fleet.services.iter().filter(|s| s.kind == ServiceKind::Model);
            Ok(services.map(|service| service.max_body_bytes).max().unwrap_or(0))
        }
        Target::Nowhere => {
            Err(Refusal::not_run(Reason::UnknownService, "no service has this path"))
        }
    }
}

/// A service, the path there, and the beginning of the prompt.
type ServicePath<'a> = (&'a Arc<Service>, String, Option<String>);

fn service_of<'a>(
    parts: &Parts,
    body: &Bytes,
    config: &'a ActiveConfig,
) -> Result<ServicePath<'a>, Refusal> {
    match target_of(&parts.method, &parts.uri) {
        Target::Plain { service, path } => match known_service(config, &service)? {
            service if service.kind == ServiceKind::Plain => Ok((service, path, None)),
            service => {
                let detail = format!("{} is a model service; name it in \"model\"", service.id);
                Err(Refusal::not_run(Reason::UnknownService, detail))
            }
        },
        Target::Chat => {
            let chat = ChatRequest::parse(body)
                .map_err(|detail| Refusal::not_run(Reason::Malformed, detail))?;
            let service = known_service(config, &chat.model)?;
            match service.kind {
                ServiceKind::Model => Ok((service, parts.uri.path().to_owned(), chat.prefix())),
                ServiceKind::Plain => {
                    let detail = format!("{} is no model service", service.id);
                    Err(Refusal::not_run(Reason::UnknownService, detail))
                }
            }
        }
        Target::Nowhere => {
            Err(Refusal::not_run(Reason::UnknownService, "no service has this path"))
        }
    }
}

fn known_service<'a>(config: &'a ActiveConfig, id: &str) -> Result<&'a Arc<Service>, Refusal> {
    config.service(id).ok_or_else(|| {
        Refusal::not_run(Reason::UnknownService, format!("there is no service \"{id}\""))
    })
}

fn check_team(team: &Team, service: &Service) -> Result<(), Refusal> {
    if team.services.contains(&service.id) {
        return Ok(());
    }
    let detail = format!("team {} may not call {}", team.id, service.id);
    Err(Refusal::not_run(Reason::TeamNotAllowed, detail))
}

fn check_body(body: &Bytes, service: &Service) -> Result<(), Refusal> {
    if body.len() as u64 <= service.max_body_bytes {
        return Ok(());
    }
    let detail = format!("{} takes bodies of at most {} bytes", service.id, service.max_body_bytes);
    Err(Refusal::not_run(Reason::BodyTooLarge, detail))
}

/// A call runs at most once if its route says so or if it carries a key.
fn key_for(
    parts: &Parts,
    body: &Bytes,
    team: &Team,
    service: &Service,
    path: &str,
) -> Result<Option<Key>, Refusal> {
    let method = parts.method.as_str();
    let path_only = path.split('?').next().unwrap_or(path);
    match key_of(&parts.headers)? {
        Some(key) => Ok(Some(Key {
            key_digest: key_digest(&team.id, &service.id, &key),
            request_digest: request_digest(method, path, body),
            revoked: None,
        })),
        None if service.is_non_idempotent(method, path_only) => {
            let detail = format!("{method} {path_only} runs at most once, so it needs a key");
            Err(Refusal::not_run(Reason::MissingKey, detail))
        }
        None => Ok(None),
    }
}

fn no_gate(service: &str) -> Refusal {
    Refusal::not_run(Reason::NotReady, format!("{service} is being set up"))
}
