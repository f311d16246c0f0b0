//! Health check that also verifies the identity of an endpoint.

use std::time::Duration;

use http::{HeaderMap, Request, Response, header::HOST};
use http_body_util::Full;
use lynxmount_core::{
    EndpointRecord,
    adapter::{AttemptContext, Dialect, ResponseKind},
};
use lynxmount_link::Connection;

/// Result of a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthCheckResult {
    /// The endpoint has responded, whether healthy or not.
    Responded,
    /// The connection was closed without a response.
    Closed,
    /// Another endpoint has responded at the address.
    OtherEndpoint,
    /// There was no response in time.
    Silent,
    /// No connection could be opened.
    Unreachable,
}

/// Checks an endpoint's health on a new connection.
pub(crate) async fn check(
    dialect: &dyn Dialect,
    endpoint: &EndpointRecord,
    path: &str,
    timeout: Duration,
) -> HealthCheckResult {
    let result = tokio::time::timeout(timeout, request(dialect, endpoint, path, timeout)).await;
    result.unwrap_or(HealthCheckResult::Silent)
}

async fn request(
    dialect: &dyn Dialect,
    endpoint: &EndpointRecord,
    path: &str,
    time_left: Duration,
) -> HealthCheckResult {
    let context = AttemptContext {
        endpoint: &endpoint.id,
        team: None,
        time_left,
        last_event: None,
        priority: None,
    };
    let mut request = Request::new(Full::default());
    let Ok(uri) = path.parse() else { return HealthCheckResult::Silent };
    *request.uri_mut() = uri;
    let Ok(headers) = dialect.attempt_headers(&HeaderMap::new(), &context) else {
        return HealthCheckResult::Silent;
    };
    *request.headers_mut() = headers;
    if let Ok(host) = endpoint.address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let Ok(mut connection) = Connection::open(endpoint.address, time_left).await else {
        return HealthCheckResult::Unreachable;
    };
    let Ok(response) = connection.send(request).await else { return HealthCheckResult::Closed };
    let (parts, _) = response.into_parts();
    match dialect.read_response(None, &Response::from_parts(parts, ())).kind {
        ResponseKind::OtherEndpoint => HealthCheckResult::OtherEndpoint,
        ResponseKind::Foreign | ResponseKind::NotRun | ResponseKind::Ran => {
            HealthCheckResult::Responded
        }
    }
}
