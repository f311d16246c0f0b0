//! HTTP client for the platform's log and VM list.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use lynxmount_core::{
    Error, Offset, Result, Step, indeterminate, invalid, refused, timed_out, unreachable,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    AppendRequest, AppendResponse, ReadQuery, StreamRead, VmList,
    stream_read::{log_unreadable, parse_page},
};

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

/// Largest response: a record, which is a fleet file at most.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Largest page of several records. One that is larger is read again with fewer records.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// A call of the platform.
struct Call<'a> {
    step: Step,
    method: Method,
    path_and_query: &'a str,
    body: Bytes,
    timeout: Duration,
    max_response_bytes: usize,
}

/// A complete response to a call that succeeded.
enum ResponseBody {
    Complete(Bytes),
    /// It was larger than allowed, and was not read.
    TooLarge,
}

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
        let call = Call {
            step,
            method: Method::POST,
            path_and_query: &path,
            body: body.into(),
            timeout: RESPONSE_TIMEOUT,
            max_response_bytes: MAX_RESPONSE_BYTES,
        };
        let response = self.call(call).await?;
        let AppendResponse { offset } = self.parse(step, response)?;
        Ok(offset)
    }

    /// Long-polls for records from an offset on. Records that can't be parsed are logged and skipped. A
    /// poll that is not answered soon after its wait is hedged by a read without wait on another
    /// connection, as its response may be lost.
    ///
    /// Fails if the platform can't be reached or doesn't respond in time.
    pub async fn read<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<StreamRead<T>> {
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

    async fn read_once<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<StreamRead<T>> {
        let mut query = ReadQuery { from, limit: MAX_PAGE_RECORDS, wait_ms: wait };
        loop {
            match self.read_page(stream, query).await? {
                ResponseBody::Complete(body) => {
                    let parsed = parse_page(stream, query.from, &body);
                    return parsed.map_err(|e| indeterminate(Step::ReadLog, self.address, e));
                }
                ResponseBody::TooLarge if query.limit > 1 => query.limit /= 2,
                ResponseBody::TooLarge => {
                    log_unreadable(stream, query.from, "it is larger than a response may be");
                    query = ReadQuery { from: query.from.saturating_add(1), ..query };
                    query.limit = MAX_PAGE_RECORDS;
                }
            }
        }
    }

    async fn read_page(&self, stream: &str, query: ReadQuery) -> Result<ResponseBody> {
        let path = format!(
            "/v1/streams/{stream}/records?from={}&limit={}&wait_ms={}",
            query.from,
            query.limit,
            query.wait_ms.as_millis()
        );
        let call = Call {
            step: Step::ReadLog,
            method: Method::GET,
            path_and_query: &path,
            body: Bytes::new(),
            timeout: query.wait_ms + RESPONSE_TIMEOUT,
            max_response_bytes: if query.limit > 1 { MAX_PAGE_BYTES } else { MAX_RESPONSE_BYTES },
        };
        self.call(call).await
    }

    /// Reads a stream up to the end that it has when the read starts, page by page.
    ///
    /// Fails as [`PlatformClient::read`] does.
    pub async fn read_pages_to_end<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: Offset,
        mut on_page: impl FnMut(StreamRead<T>),
    ) -> Result<()> {
        let mut next = from;
        let mut end = None;
        loop {
            let page = self.read(stream, next, Duration::ZERO).await?;
            let end = *end.get_or_insert(page.end);
            let is_last = page.next >= end || page.next <= next;
            next = page.next;
            on_page(page);
            if is_last {
                return Ok(());
            }
        }
    }

    /// Reads a stream up to the end that it has when the read starts.
    ///
    /// Fails as [`PlatformClient::read`] does.
    pub async fn read_to_end<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: Offset,
    ) -> Result<StreamRead<T>> {
        let mut result: Option<StreamRead<T>> = None;
        self.read_pages_to_end(stream, from, |page| match &mut result {
            Some(result) => {
                result.next = page.next;
                result.records.extend(page.records);
            }
            None => result = Some(page),
        })
        .await?;
        let empty = StreamRead { first: from, end: from, next: from, records: Vec::new() };
        Ok(result.unwrap_or(empty))
    }

    /// Reads the VM list, which is updated with a delay.
    ///
    /// Fails if the platform can't be reached or doesn't respond in time.
    pub async fn list_vms(&self) -> Result<VmList> {
        let step = Step::ListVms;
        let call = Call {
            step,
            method: Method::GET,
            path_and_query: "/v1/vms",
            body: Bytes::new(),
            timeout: RESPONSE_TIMEOUT,
            max_response_bytes: MAX_RESPONSE_BYTES,
        };
        let response = self.call(call).await?;
        self.parse(step, response)
    }

    fn parse<T: DeserializeOwned>(&self, step: Step, response: ResponseBody) -> Result<T> {
        match response {
            ResponseBody::Complete(body) => {
                serde_json::from_slice(&body).map_err(|e| indeterminate(step, self.address, e))
            }
            ResponseBody::TooLarge => {
                Err(indeterminate(step, self.address, "the response is too large"))
            }
        }
    }

    async fn call(&self, call: Call<'_>) -> Result<ResponseBody> {
        let (step, timeout) = (call.step, call.timeout);
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(timed_out(step, self.address, "no answer in time")),
        }
    }

    async fn exchange(&self, call: Call<'_>) -> Result<ResponseBody> {
        let Call { step, method, path_and_query, body, timeout: _, max_response_bytes } = call;
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
        let body = Limited::new(response.into_body(), max_response_bytes).collect().await;
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => return Ok(ResponseBody::TooLarge),
            Err(error) => return Err(indeterminate(step, self.address, error)),
        };
        match status {
            StatusCode::OK => Ok(ResponseBody::Complete(body)),
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
