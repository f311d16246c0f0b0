//! What is checked of a request before an endpoint is chosen.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use lynxmount_core::{Route, RouteTarget, TeamId, adapter::CallHead};
use rand::Rng;

use crate::{fleet::ConfigView, reply::Refusal};

/// The host that a request names.
pub(crate) fn host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    parts.uri.host().or(named)
}

/// The name of a host, without a port and in lower case.
pub(crate) fn host_name(host: &str) -> String {
    host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase()
}

/// The team that holds a request's key, and the priority of its calls.
///
/// Fails if nobody holds it.
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

/// Draws one of a route's targets by weight.
pub(crate) fn draw_target(targets: &[RouteTarget]) -> Option<&RouteTarget> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return targets.first();
    }
    let mut drawn = rand::rng().random_range(0..total);
    targets.iter().find(|target| {
        let is_it = drawn < target.weight;
        drawn = drawn.saturating_sub(target.weight);
        is_it
    })
}

/// Reads the whole body.
///
/// Fails if it is too large, or does not come whole and in time.
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
