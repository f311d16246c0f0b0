//! Admission checks: host, authentication, weighted target choice and body limits.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use lynxmount_core::{Route, RouteTarget, TeamId, adapter::CallHead};
use rand::Rng;

use crate::{fleet::ConfigView, reply::Refusal};

/// The host of a request, from its URI or else its `Host` header.
pub(crate) fn host(parts: &Parts) -> Option<&str> {
    let from_header = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    parts.uri.host().or(from_header)
}

/// The host name in lower case, without the port.
pub(crate) fn host_name(host: &str) -> String {
    host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase()
}

/// The team of a request's API key, and the priority of its calls.
///
/// Fails if the key is missing or unknown.
pub(crate) fn authenticate(
    config: &ConfigView,
    route: &Route,
    head: &CallHead,
) -> Result<(Option<TeamId>, u8), Refusal> {
    if route.is_public || config.config.teams.is_empty() {
        return Ok((None, route.priority));
    }
    let key = head.key.as_deref().ok_or(Refusal::UnknownKey)?;
    let caller = config.caller(key).ok_or(Refusal::UnknownKey)?;
    Ok((Some(TeamId::clone(caller.team)), caller.priority.unwrap_or(route.priority)))
}

/// Chooses one of a route's targets by weighted random selection.
pub(crate) fn draw_target(targets: &[RouteTarget]) -> Option<&RouteTarget> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return targets.first();
    }
    let mut drawn = rand::rng().random_range(0..total);
    targets.iter().find(|target| {
        let is_drawn = drawn < target.weight;
        drawn = drawn.saturating_sub(target.weight);
        is_drawn
    })
}

/// Reads a complete request body.
///
/// Fails if the body exceeds the limit, ends early or does not arrive in time.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    match tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BadRequest),
    }
}
