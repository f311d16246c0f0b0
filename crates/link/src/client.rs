//! A minimal HTTP client for one address.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use lynxmount_core::{Result, Step, indeterminate, timed_out, unreachable};
use tokio::sync::Mutex;

use crate::Connection;

/// Timeout of opening a connection; round trips take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest response: a snapshot of 10,000 endpoints, a configuration and all crash reports.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A client of one address. It keeps one connection alive and drops it when a response
/// times out, as no further response can arrive on such a connection.
pub struct HttpClient {
    address: SocketAddr,
    /// Whether connections use TCP keepalive.
    has_keepalive: bool,
    idle: Mutex<Option<Connection>>,
}

/// A response whose body was received completely.
pub struct BufferedResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client that connects on its first call.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, has_keepalive: false, idle: Mutex::default() }
    }

    /// Creates a client for long polls. It uses TCP keepalive to detect a lost peer while
    /// it waits for a response.
    pub fn new_long_poll(address: SocketAddr) -> HttpClient {
        HttpClient { has_keepalive: true, ..HttpClient::new(address) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request once, without retries.
    ///
    /// Fails if there is no complete response within the timeout. The call may have taken
    /// effect unless the cause is `Cause::Unreachable`.
    pub async fn call(
        &self,
        step: Step,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<BufferedResponse> {
        let idle = self.idle.lock().await.take();
        let exchange = self.exchange(step, idle, method, path, body);
        let result = tokio::time::timeout(timeout, exchange).await;
        let late = |_| timed_out(step, self.address, format!("no answer to {path} in time"));
        let (response, connection) = result.map_err(late)??;
        *self.idle.lock().await = connection;
        Ok(response)
    }

    async fn exchange(
        &self,
        step: Step,
        idle: Option<Connection>,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(BufferedResponse, Option<Connection>)> {
        let mut connection = match idle {
            Some(connection) if !connection.is_closed() => connection,
            _ if self.has_keepalive => {
                Connection::open_with_keepalive(self.address, CONNECT_TIMEOUT).await?
            }
            _ => Connection::open(self.address, CONNECT_TIMEOUT).await?,
        };
        let fail = |e: &dyn std::fmt::Display| indeterminate(step, self.address, e);
        connection.ready().await.map_err(|e| unreachable(step, self.address, e))?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| fail(&e))?;
        let response = connection.send(request).await.map_err(|e| fail(&e))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| fail(&e))?.to_bytes();
        let is_reusable = !connection.is_closed();
        let response = BufferedResponse { status: head.status, headers: head.headers, body };
        Ok((response, is_reusable.then_some(connection)))
    }
}
