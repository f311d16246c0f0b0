//! Request validation: resolves a request's team, service and idempotency key, and checks that
//! the team may make the call.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use lynxmount_config::{Service, ServiceKind, Team};
use lynxmount_core::{CallIdentity, Reason, RequestId, ServiceId};
use lynxmount_idempotency::{key_digest, request_digest};
use lynxmount_node::ActiveConfig;
use lynxmount_wire::{AttemptId, Binding, Dispatch, Header};

use crate::{
    authentication::authenticate,
    deadline::Deadline,
    key_binding::IdempotencyKey,
    relay::RequestGuards,
    reply::Refusal,
    request::idempotency_key,
    service_pool::ServicePool,
    target::{ChatRequest, Target, parse_target},
};

/// A request that was admitted with one version of the configuration.
pub(crate) struct Call {
    pub(crate) id: RequestId,
    /// Identifies requests with the same content, whatever their idempotency keys.
    pub(crate) identity: CallIdentity,
    pub(crate) team: Arc<Team>,
    pub(crate) service: Arc<Service>,
    pub(crate) pool: Arc<ServicePool>,
    pub(crate) config_version: u64,
    pub(crate) path: String,
    pub(crate) method: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) prefix: Option<String>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) wait_until: Deadline,
    pub(crate) deadline: Deadline,
    pub(crate) guards: RequestGuards,
}

/// The target of a request, checked against the configuration.
pub(crate) struct ResolvedRequest<'a> {
    pub(crate) team: &'a Arc<Team>,
    pub(crate) service: &'a Arc<Service>,
    pub(crate) path: String,
    pub(crate) prefix: Option<String>,
    pub(crate) key: Option<IdempotencyKey>,
}

impl Call {
    /// Builds the message that sends one attempt to an endpoint.
    pub(crate) fn dispatch(&self, attempt: u32, binding: Option<Binding>) -> Dispatch {
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

    /// Records that the endpoint of this claim has revoked the key and will never run it.
    pub(crate) fn set_revoked_claim(&mut self, claim_offset: Option<u64>) {
        if let Some(key) = &mut self.key {
            key.revoked_claim = claim_offset;
        }
    }
}

/// Resolves the target of a request and checks that its team may call it.
///
/// Fails with the outcome *not run*.
pub(crate) fn resolve<'a>(
    parts: &Parts,
    body: &Bytes,
    config: &'a ActiveConfig,
) -> Result<ResolvedRequest<'a>, Refusal> {
    let team = authenticated_team(parts, config)?;
    let (service, path, prefix) = resolve_service(parts, body, config)?;
    authorize_team(team, service)?;
    check_body_size(body, service)?;
    let key = required_key(parts, body, team, service, &path)?;
    Ok(ResolvedRequest { team, service, path, prefix, key })
}

fn authenticated_team<'a>(
    parts: &Parts,
    config: &'a ActiveConfig,
) -> Result<&'a Arc<Team>, Refusal> {
    authenticate(&parts.headers, config)
        .ok_or_else(|| Refusal::not_run(Reason::Unauthenticated, "no team has this token"))
}

/// The body size limit to apply while the body is read. The service of a chat request is only
/// known from its body, so the largest limit of all model services applies.
pub(crate) fn max_body_bytes(parts: &Parts, config: &ActiveConfig) -> Result<u64, Refusal> {
    let team = authenticated_team(parts, config)?;
    match parse_target(&parts.method, &parts.uri) {
        Target::Plain { service, .. } => {
            let service = find_service(config, &service)?;
            authorize_team(team, service)?;
            Ok(service.max_body_bytes)
        }
        Target::Chat => {
            let services = config.fleet.services.iter().filter(|s| s.kind == ServiceKind::Model);
            Ok(services.map(|service| service.max_body_bytes).max().unwrap_or(0))
        }
        Target::Unroutable => {
            Err(Refusal::not_run(Reason::UnknownService, "no service has this path"))
        }
    }
}

/// A service, the path at the service, and the prefix of the prompt.
type ResolvedService<'a> = (&'a Arc<Service>, String, Option<String>);

fn resolve_service<'a>(
    parts: &Parts,
    body: &Bytes,
    config: &'a ActiveConfig,
) -> Result<ResolvedService<'a>, Refusal> {
    match parse_target(&parts.method, &parts.uri) {
        Target::Plain { service, path } => match find_service(config, &service)? {
            service if service.kind == ServiceKind::Plain => Ok((service, path, None)),
            service => {
                let detail = format!("{} is a model service; name it in \"model\"", service.id);
                Err(Refusal::not_run(Reason::UnknownService, detail))
            }
        },
        Target::Chat => {
            let chat = ChatRequest::parse(body)
                .map_err(|detail| Refusal::not_run(Reason::Malformed, detail))?;
            let service = find_service(config, &chat.model)?;
            match service.kind {
                ServiceKind::Model => Ok((service, parts.uri.path().to_owned(), chat.prefix())),
                ServiceKind::Plain => {
                    let detail = format!("{} is no model service", service.id);
                    Err(Refusal::not_run(Reason::UnknownService, detail))
                }
            }
        }
        Target::Unroutable => {
            Err(Refusal::not_run(Reason::UnknownService, "no service has this path"))
        }
    }
}

fn find_service<'a>(config: &'a ActiveConfig, id: &str) -> Result<&'a Arc<Service>, Refusal> {
    config.service(id).ok_or_else(|| {
        Refusal::not_run(Reason::UnknownService, format!("there is no service \"{id}\""))
    })
}

fn authorize_team(team: &Team, service: &Service) -> Result<(), Refusal> {
    if team.services.contains(&service.id) {
        return Ok(());
    }
    let detail = format!("team {} may not call {}", team.id, service.id);
    Err(Refusal::not_run(Reason::TeamNotAllowed, detail))
}

fn check_body_size(body: &Bytes, service: &Service) -> Result<(), Refusal> {
    if body.len() as u64 <= service.max_body_bytes {
        return Ok(());
    }
    let detail = format!("{} takes bodies of at most {} bytes", service.id, service.max_body_bytes);
    Err(Refusal::not_run(Reason::BodyTooLarge, detail))
}

/// The idempotency key of a request. A request runs at most once if its route requires that or
/// if it carries a key.
fn required_key(
    parts: &Parts,
    body: &Bytes,
    team: &Team,
    service: &Service,
    path: &str,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let method = parts.method.as_str();
    let path_only = path.split('?').next().unwrap_or(path);
    match idempotency_key(&parts.headers)? {
        Some(key) => Ok(Some(IdempotencyKey {
            key_digest: key_digest(&team.id, &service.id, &key),
            request_digest: request_digest(method, path, body),
            revoked_claim: None,
        })),
        None if service.is_non_idempotent(method, path_only) => {
            let detail = format!("{method} {path_only} runs at most once, so it needs a key");
            Err(Refusal::not_run(Reason::MissingKey, detail))
        }
        None => Ok(None),
    }
}
