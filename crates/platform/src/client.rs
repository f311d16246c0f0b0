//! HTTP client for the platform's log and VM list.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use lynxmount_core::{
    Error, Offset, Result, Step, indeterminate, invalid, refused, timed_out, unreachable,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{AppendRequest, AppendResponse, Page, ReadQuery, VmList};

/// Timeout of a response, in addition to the wait time of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the wait of a long poll at which it is hedged.
const HEDGE_DELAY: Duration = Duration::from_millis(500);

// The hedge starts while the poll may still be answered.
const _: () = assert!(HEDGE_DELAY.as_millis() < RESPONSE_TIMEOUT.as_millis());

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper limit of records per read.
const MAX_PAGE_RECORDS: u32 = 1000;

/// Largest response: a page of records, each a fleet file at most.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A client for one platform address; clones share a connection pool.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client that connects on its first call.
    pub fn new(address: SocketAddr) -> PlatformClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http =
            Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        PlatformClient { address, http }
    }

    /// Appends a record and returns its offset.
    ///
    /// Fails with `Cause::Unreachable` or `Cause::Refused` if nothing was appended. After any
    /// other error it is unknown whether the record was appended.
    pub async fn append(&self, stream: &str, data: &impl Serialize) -> Result<Offset> {
        let step = Step::AppendLog;
        let data = serde_json::to_value(data).map_err(|e| invalid(step, self.address, e))?;
        let path = format!("/v1/streams/{stream}/records");
        let body = serde_json::to_vec(&AppendRequest { data })
            .map_err(|e| invalid(step, self.address, e))?;
        let response: AppendResponse =
            self.call(step, Method::POST, &path, body.into(), RESPONSE_TIMEOUT).await?;
        Ok(response.offset)
    }

    /// Long-polls for records from an offset on. A poll that is not answered soon after its wait is
    /// hedged by a read without wait on another connection, as its response may be lost.
    ///
    /// Fails if the platform can't be reached or doesn't respond in time.
    pub async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
        if wait.is_zero() {
            return self.read_once(stream, from, wait).await;
        }
        let mut poll = pin!(self.read_once(stream, from, wait));
        if let Ok(result) = tokio::time::timeout(wait + HEDGE_DELAY, &mut poll).await {
            return result;
        }
        tokio::select! {
            result = poll => result,
            result = self.read_once(stream, from, Duration::ZERO) => result,
        }
    }

    async fn read_once(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page> {
        let query = ReadQuery { from, limit: MAX_PAGE_RECORDS, wait_ms: wait };
        let path = format!(
            "/v1/streams/{stream}/records?from={}&limit={}&wait_ms={}",
            query.from,
            query.limit,
            query.wait_ms.as_millis()
        );
        self.call(Step::ReadLog, Method::GET, &path, Bytes::new(), wait + RESPONSE_TIMEOUT).await
    }

    /// Reads a stream up to the end that it has when the read starts.
    ///
    /// Fails as [`PlatformClient::read`] does.
    pub async fn read_to_end(&self, stream: &str, from: Offset) -> Result<Page> {
        let mut result = self.read(stream, from, Duration::ZERO).await?;
        let end = result.end;
        while let Some(next) = result.records.last().map(|r| r.offset + 1).filter(|&o| o < end) {
            let page = self.read(stream, next, Duration::ZERO).await?;
            if page.records.is_empty() {
                break;
            }
            result.records.extend(page.records);
        }
        Ok(result)
    }

    /// Reads the VM list, which is updated with a delay.
    ///
    /// Fails if the platform can't be reached or doesn't respond in time.
    pub async fn list_vms(&self) -> Result<VmList> {
        self.call(Step::ListVms, Method::GET, "/v1/vms", Bytes::new(), RESPONSE_TIMEOUT).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: Step,
        method: Method,
        path_and_query: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T> {
        let exchange = self.exchange(step, method, path_and_query, body);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(timed_out(step, self.address, "no answer in time")),
        }
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        step: Step,
        method: Method,
        path_and_query: &str,
        body: Bytes,
    ) -> Result<T> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path_and_query)
            .build()
            .map_err(|e| invalid(step, self.address, e))?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| invalid(step, self.address, e))?;
        let response =
            self.http.request(request).await.map_err(|e| self.transport_error(step, &e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| indeterminate(step, self.address, e))?.to_bytes();
        match status {
            StatusCode::OK => {
                serde_json::from_slice(&body).map_err(|e| indeterminate(step, self.address, e))
            }
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(refused(step, self.address, status))
            }
            status => Err(indeterminate(step, self.address, status)),
        }
    }

    fn transport_error(&self, step: Step, error: &hyper_util::client::legacy::Error) -> Error {
        match error.is_connect() {
            true => unreachable(step, self.address, error),
            false => indeterminate(step, self.address, error),
        }
    }
}
