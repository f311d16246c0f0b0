//! The HTTP client of the back end that this process is a sidecar of.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri,
    header::{CONNECTION, HOST},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use lynxmount_core::{
    Error, Result, Step, indeterminate, invalid, refused, timed_out, unreachable,
};
use lynxmount_link::{Connection, ProbeResult, probe};
use lynxmount_wire::{AttemptId, Dispatch, Header};
use serde::Deserialize;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the back end may take to report its load, to cancel a stream or to start resuming one.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The path at which back ends report their load.
const LOAD_PATH: &str = "/load";

/// Largest load report.
const MAX_LOAD_REPORT_BYTES: usize = 64 * 1024;

/// The path at which engines resume and cancel streams.
const STREAMS_PATH: &str = "/v1/streams/";

/// The id of the attempt, for the back end's logs.
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("lynxmount-attempt");

/// The priority of the team, by which engines schedule; 0 is the highest.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("lynxmount-priority");

/// A load report of a back end. It lags behind the actual load.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Load {
    /// Requests queued at the back end.
    pub(crate) waiting: u32,
}

/// A client of the back end; clones share their connection pool.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Backend {
    pub(crate) fn new(address: SocketAddr) -> Backend {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http =
            Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        Backend { address, http }
    }

    /// Sends an attempt and waits for the status and headers of the response.
    ///
    /// Fails with `Cause::Unreachable` if the back end has not received the request, and with
    /// `Cause::Indeterminate` if it may have.
    pub(crate) async fn call(&self, dispatch: &Dispatch) -> Result<Response<Incoming>> {
        let request = self.build_request(dispatch)?;
        self.http.request(request).await.map_err(|e| self.transport_error(&e))
    }

    /// Resumes the event stream of an attempt after the events received so far.
    ///
    /// Fails if the engine does not respond or no longer has the stream.
    pub(crate) async fn resume(
        &self,
        id: AttemptId,
        received_events: u64,
    ) -> Result<Response<Incoming>> {
        let path = format!("{STREAMS_PATH}{}?from={received_events}", format_attempt_id(id));
        let response = self.send_without_body(Method::GET, &path).await?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(refused(Step::CallBackend, self.address, status)),
        }
    }

    /// Cancels the stream of an attempt at the engine.
    ///
    /// Fails if the engine does not respond.
    pub(crate) async fn cancel(&self, id: AttemptId) -> Result<()> {
        let path = format!("{STREAMS_PATH}{}", format_attempt_id(id));
        self.send_without_body(Method::DELETE, &path).await.map(drop)
    }

    async fn send_without_body(&self, method: Method, path: &str) -> Result<Response<Incoming>> {
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = self.uri(path)?;
        let response = self.http.request(request);
        let response = tokio::time::timeout(CONTROL_TIMEOUT, response).await;
        let response = response
            .map_err(|_| timed_out(Step::CallBackend, self.address, "no response in time"))?;
        response.map_err(|e| self.transport_error(&e))
    }

    /// Opens a dedicated connection for load queries.
    ///
    /// Fails if the back end does not accept it.
    pub(crate) async fn connect(&self) -> Result<Connection> {
        Connection::open(self.address, CONNECT_TIMEOUT).await
    }

    /// Probes whether a process accepts connections at the back end's address.
    pub(crate) async fn probe(&self) -> ProbeResult {
        probe(self.address, CONNECT_TIMEOUT).await
    }

    /// Queries the back end's load.
    ///
    /// Fails with `Cause::TimedOut` if it does not respond in time.
    pub(crate) async fn load(&self, connection: &mut Connection) -> Result<Load> {
        let load = tokio::time::timeout(CONTROL_TIMEOUT, self.query_load(connection)).await;
        load.map_err(|_| timed_out(Step::CallBackend, self.address, "no load report in time"))?
    }

    async fn query_load(&self, connection: &mut Connection) -> Result<Load> {
        let fail = |e: hyper::Error| indeterminate(Step::CallBackend, self.address, e);
        let request = Request::get(LOAD_PATH)
            .header(HOST, self.address.to_string())
            .body(Full::default())
            .map_err(|e| invalid(Step::CallBackend, self.address, e))?;
        connection.ready().await.map_err(fail)?;
        let response = connection.send(request).await.map_err(fail)?;
        let body = Limited::new(response.into_body(), MAX_LOAD_REPORT_BYTES).collect().await;
        let body = body.map_err(|e| indeterminate(Step::CallBackend, self.address, e))?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| invalid(Step::CallBackend, self.address, e))
    }

    fn build_request(&self, dispatch: &Dispatch) -> Result<Request<Full<Bytes>>> {
        let fail = |e: String| invalid(Step::CallBackend, self.address, e);
        let method =
            Method::from_bytes(dispatch.method.as_bytes()).map_err(|e| fail(e.to_string()))?;
        let mut request = Request::new(Full::new(dispatch.body.clone()));
        *request.method_mut() = method;
        *request.uri_mut() = self.uri(&dispatch.path)?;
        let headers = request.headers_mut();
        for header in &dispatch.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_maybe_shared(header.value.clone());
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        headers.extend(
            HeaderValue::from_str(&format_attempt_id(dispatch.id))
                .map(|value| (ATTEMPT_HEADER, value)),
        );
        headers.insert(PRIORITY_HEADER, HeaderValue::from(u16::from(dispatch.priority)));
        Ok(request)
    }

    fn uri(&self, path_and_query: &str) -> Result<Uri> {
        Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path_and_query)
            .build()
            .map_err(|e| invalid(Step::CallBackend, self.address, e))
    }

    fn transport_error(&self, error: &hyper_util::client::legacy::Error) -> Error {
        match error.is_connect() {
            true => unreachable(Step::CallBackend, self.address, error),
            false => indeterminate(Step::CallBackend, self.address, error),
        }
    }
}

/// The id of an attempt, as the back end sees it.
fn format_attempt_id(id: AttemptId) -> String {
    format!("{}.{}", id.request, id.attempt)
}

/// Selects the headers that are forwarded to the caller: all but the hop-by-hop headers (RFC 9110,
/// 7.6.1).
pub(crate) fn forwarded_headers(response: &Response<Incoming>) -> Vec<Header> {
    use http::header::{CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
    let hop_by_hop = [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    response
        .headers()
        .iter()
        .filter(|(name, _)| !hop_by_hop.contains(name))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
