//! Admission checks: host, authentication, weighted target choice and body limits.

use std::{sync::Arc, time::Duration};

use http::{header, request::Parts};
use hyper::body::Incoming;
use lynxmount_core::{Route, RouteTarget, TeamId, adapter::CallHead};
use lynxmount_resources::{BufferedBody, ReadError, TrackedConnection, read_body};
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

/// Reads a complete request body. `not_run` is the refusal if there is no memory for it.
///
/// Fails if the body exceeds the limit, ends early or does not arrive in time, or if its connection
/// is evicted.
pub(crate) async fn read_request_body(
    body: Incoming,
    connection: &Arc<TrackedConnection>,
    limit: usize,
    timeout: Duration,
    not_run: Refusal,
) -> Result<BufferedBody, Refusal> {
    let read = tokio::time::timeout(timeout, read_body(body, connection, limit));
    let read = tokio::select! {
        biased;
        () = connection.evicted() => return Err(not_run),
        read = read => read,
    };
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::Exhausted)) => return Err(not_run),
        Ok(Err(ReadError::TooLarge)) => return Err(Refusal::BodyTooLarge),
        Ok(Err(ReadError::Broken)) | Err(_) => return Err(Refusal::BadRequest),
    };
    connection.on_request_complete();
    Ok(body)
}
