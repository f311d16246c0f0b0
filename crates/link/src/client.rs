//! Calls with small bodies to one address.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use lynxmount_core::{Result, Step, indeterminate, timed_out, unreachable};
use tokio::sync::Mutex;

use crate::Connection;

/// How long a connection may take to open; round trips take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client of one address. It keeps one connection, and drops it as soon as
/// an answer is late: a connection on which an answer is lost gives no further.
pub struct HttpClient {
    address: SocketAddr,
    /// Whether the peer is probed while an answer is waited for.
    is_probed: bool,
    kept: Mutex<Option<Connection>>,
}

/// A whole answer.
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl HttpClient {
    /// Makes a client that connects when it is first used.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, is_probed: false, kept: Mutex::default() }
    }

    /// Makes a client whose calls may wait long for their answers.
    pub fn new_long_poll(address: SocketAddr) -> HttpClient {
        HttpClient { is_probed: true, ..HttpClient::new(address) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call. It is never repeated here.
    ///
    /// Fails if there is no whole answer in time; the call may have taken effect
    /// unless the cause is that the peer is unreachable.
    pub async fn call(
        &self,
        step: Step,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<BufferedResponse> {
        let kept = self.kept.lock().await.take();
        let exchange = self.exchange(step, kept, method, path, body);
        let answered = tokio::time::timeout(timeout, exchange).await;
        let late = |_| timed_out(step, self.address, format!("no answer to {path} in time"));
        let (answer, connection) = answered.map_err(late)??;
        *self.kept.lock().await = connection;
        Ok(answer)
    }

    async fn exchange(
        &self,
        step: Step,
        kept: Option<Connection>,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(BufferedResponse, Option<Connection>)> {
        let mut connection = match kept {
            Some(connection) if !connection.is_closed() => connection,
            _ if self.is_probed => {
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
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|e| fail(&e))?.to_bytes();
        let is_reusable = !connection.is_closed();
        Ok((BufferedResponse { status, body }, is_reusable.then_some(connection)))
    }
}
