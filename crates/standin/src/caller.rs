//! A minimal HTTP client that acts as a caller.

use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// A caller with one token; clones share its connections.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    token: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as text.
    pub body: String,
}

impl ReceivedResponse {
    /// The outcome header; empty if there is none.
    pub fn outcome(&self) -> &str {
        self.header("lynxmount-outcome")
    }

    /// A header as text; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

impl Caller {
    /// Creates a caller of one address.
    pub fn new(address: SocketAddr, token: impl Into<String>) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Caller { address, token: token.into(), http }
    }

    /// Sends a request and returns its response with an unread body.
    ///
    /// Fails if the connection does.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        self.http.request(request).await.with_context(|| format!("call {}", self.address))
    }

    /// Sends a request and reads its complete response.
    ///
    /// Fails if the connection does, also in the middle of the body.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<ReceivedResponse> {
        let response = self.open(method, path, headers, body).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context("the response was truncated")?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(ReceivedResponse { status: parts.status, headers: parts.headers, body })
    }
}
