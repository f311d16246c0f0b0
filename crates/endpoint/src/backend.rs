//! The back end beside this process, by its published HTTP interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri,
    header::{CONNECTION, HOST},
};
use http_body_util::{BodyExt, Full};
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

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the back end may take to tell its load, or to begin to resume.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Where back ends tell their load.
const LOAD_PATH: &str = "/load";

/// Where engines go on with streams and cancel them.
const STREAMS_PATH: &str = "/v1/streams/";

/// Names the attempt in the back end's records.
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("lynxmount-attempt");

/// The team's priority, which engines honour; 0 goes first.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("lynxmount-priority");

/// What a back end tells of its load. It lags.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Load {
    /// Requests that wait at the back end.
    pub(crate) waiting: u32,
}

/// A client of the back end; clones share their connections.
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

    /// Sends an attempt and waits for status and headers.
    ///
    /// Fails with `Cause::Unreachable` if the back end has not seen it, and
    /// with `Cause::Indeterminate` if it may have.
    pub(crate) async fn call(&self, dispatch: &Dispatch) -> Result<Response<Incoming>> {
        let request = self.request_of(dispatch)?;
        self.http.request(request).await.map_err(|e| self.transport_error(&e))
    }

    /// Goes on with an attempt's stream of events after those that have come.
    ///
    /// Fails if the engine doesn't answer, or has the stream no more.
    pub(crate) async fn resume(&self, id: AttemptId, events: u64) -> Result<Response<Incoming>> {
        let path = format!("{STREAMS_PATH}{}?from={events}", attempt_name(id));
        let response = self.bare(Method::GET, &path).await?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(refused(Step::CallBackend, self.address, status)),
        }
    }

    /// Tells an engine that nobody waits for an attempt's stream any more.
    ///
    /// Fails if the engine doesn't answer.
    pub(crate) async fn cancel(&self, id: AttemptId) -> Result<()> {
        let path = format!("{STREAMS_PATH}{}", attempt_name(id));
        self.bare(Method::DELETE, &path).await.map(drop)
    }

    async fn bare(&self, method: Method, path: &str) -> Result<Response<Incoming>> {
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = self.uri(path)?;
        let answer = self.http.request(request);
        let answer = tokio::time::timeout(LOAD_TIMEOUT, answer).await;
        let answer =
            answer.map_err(|_| timed_out(Step::CallBackend, self.address, "no answer in time"))?;
        answer.map_err(|e| self.transport_error(&e))
    }

    /// Opens a connection of its own, on which loads are asked for.
    ///
    /// Fails if the back end takes none.
    pub(crate) async fn connect(&self) -> Result<Connection> {
        Connection::open(self.address, CONNECT_TIMEOUT).await
    }

    /// Sees whether a process takes connections.
    pub(crate) async fn probe(&self) -> ProbeResult {
        probe(self.address, CONNECT_TIMEOUT).await
    }

    /// Asks for the back end's load.
    ///
    /// Fails with `Cause::TimedOut` if it doesn't answer in time.
    pub(crate) async fn load(&self, connection: &mut Connection) -> Result<Load> {
        let answered = tokio::time::timeout(LOAD_TIMEOUT, self.ask_load(connection)).await;
        answered.map_err(|_| timed_out(Step::CallBackend, self.address, "no load in time"))?
    }

    async fn ask_load(&self, connection: &mut Connection) -> Result<Load> {
        let fail = |e: hyper::Error| indeterminate(Step::CallBackend, self.address, e);
        let request = Request::get(LOAD_PATH)
            .header(HOST, self.address.to_string())
            .body(Full::default())
            .map_err(|e| invalid(Step::CallBackend, self.address, e))?;
        connection.ready().await.map_err(fail)?;
        let response = connection.send(request).await.map_err(fail)?;
        let body = response.into_body().collect().await.map_err(fail)?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| invalid(Step::CallBackend, self.address, e))
    }

    fn request_of(&self, dispatch: &Dispatch) -> Result<Request<Full<Bytes>>> {
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
            HeaderValue::from_str(&attempt_name(dispatch.id)).map(|value| (ATTEMPT_HEADER, value)),
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

/// An attempt's name in the back end's records.
fn attempt_name(id: AttemptId) -> String {
    format!("{}.{}", id.request, id.attempt)
}

/// Collects the headers that the caller gets; those of the connection to the
/// back end (RFC 9110, 7.6.1) are left out.
pub(crate) fn headers_to_pass(response: &Response<Incoming>) -> Vec<Header> {
    use http::header::{CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
    let not_passed_on = [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    response
        .headers()
        .iter()
        .filter(|(name, _)| !not_passed_on.contains(name))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
