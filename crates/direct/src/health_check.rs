//! Asks an endpoint whether it is the one that is registered at its address.

use std::time::Duration;

use http::{HeaderMap, Request, Response, header::HOST};
use http_body_util::Full;
use lynxmount_core::{
    EndpointRecord,
    edge::{AnswerKind, Dialect, Forward},
};
use lynxmount_link::Connection;

/// What has come of the question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthCheck {
    /// The endpoint has answered, whatever its health.
    Answered,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// There was no answer in time.
    NoAnswer,
}

/// Asks an endpoint on a connection of its own.
pub(crate) async fn check(
    dialect: &dyn Dialect,
    endpoint: &EndpointRecord,
    path: &str,
    timeout: Duration,
) -> HealthCheck {
    let asked = tokio::time::timeout(timeout, ask(dialect, endpoint, path, timeout)).await;
    match asked.ok().flatten() {
        Some(AnswerKind::OtherEndpoint) => HealthCheck::OtherEndpoint,
        Some(_) => HealthCheck::Answered,
        None => HealthCheck::NoAnswer,
    }
}

async fn ask(
    dialect: &dyn Dialect,
    endpoint: &EndpointRecord,
    path: &str,
    time_left: Duration,
) -> Option<AnswerKind> {
    let forward =
        Forward { endpoint: &endpoint.id, team: None, time_left, last_event: None, priority: None };
    let mut request =
        Request::get(path).header(HOST, endpoint.address.to_string()).body(Full::default()).ok()?;
    request.headers_mut().extend(dialect.write_attempt(&HeaderMap::new(), &forward));
    let mut connection = Connection::open(endpoint.address, time_left).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let (parts, _) = response.into_parts();
    Some(dialect.read_answer(None, &Response::from_parts(parts, ())).kind)
}
