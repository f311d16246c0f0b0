//! Asks an endpoint whether it is the one that is registered at its address.

use std::time::Duration;

use http::{HeaderMap, Request, Response, header::HOST};
use http_body_util::Full;
use lynxmount_core::{
    EndpointRecord,
    adapter::{AttemptContext, Dialect, ResponseKind},
};
use lynxmount_link::Connection;

/// What has come of the question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthCheck {
    /// The endpoint has answered, whatever its health.
    Answered,
    /// The connection was closed without an answer.
    Closed,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// There was no answer in time.
    Silent,
    /// No connection was opened.
    Unreachable,
}

/// Asks an endpoint on a connection of its own.
pub(crate) async fn check(
    dialect: &dyn Dialect,
    endpoint: &EndpointRecord,
    path: &str,
    timeout: Duration,
) -> HealthCheck {
    let asked = tokio::time::timeout(timeout, ask(dialect, endpoint, path, timeout)).await;
    asked.unwrap_or(HealthCheck::Silent)
}

async fn ask(
    dialect: &dyn Dialect,
    endpoint: &EndpointRecord,
    path: &str,
    time_left: Duration,
) -> HealthCheck {
    let forward = AttemptContext {
        endpoint: &endpoint.id,
        team: None,
        time_left,
        last_event: None,
        priority: None,
    };
    let mut request = Request::new(Full::default());
    let Ok(uri) = path.parse() else { return HealthCheck::Silent };
    *request.uri_mut() = uri;
    *request.headers_mut() = dialect.attempt_headers(&HeaderMap::new(), &forward);
    if let Ok(host) = endpoint.address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let Ok(mut connection) = Connection::open(endpoint.address, time_left).await else {
        return HealthCheck::Unreachable;
    };
    let Ok(response) = connection.send(request).await else { return HealthCheck::Closed };
    let (parts, _) = response.into_parts();
    match dialect.read_response(None, &Response::from_parts(parts, ())).kind {
        ResponseKind::OtherEndpoint => HealthCheck::OtherEndpoint,
        ResponseKind::Foreign | ResponseKind::NotRun | ResponseKind::Ran => HealthCheck::Answered,
    }
}
