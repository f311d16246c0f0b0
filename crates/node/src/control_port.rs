//! The control port: JSON-RPC between the system's processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use jsonrpsee::{
    Methods,
    core::{RpcResult, async_trait},
    http_client::{HttpClient, HttpClientBuilder},
    proc_macros::rpc,
};
use lynxmount_audit::Actor;
use lynxmount_config::Head;
use lynxmount_core::{
    ChangeId, Error, FailureDomainId, Incarnation, Offset, ProcessId, Result, Step, invalid,
    unreachable,
};
use lynxmount_link::RequestHandler;
use lynxmount_resources::read_body;
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::control_state::Event;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response in bytes: well above a fleet of the maximum size.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// Largest request in bytes. The longest ones carry an operator's name.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessKind {
    /// Sidecar of one back end.
    Endpoint,
    /// Accepts callers' requests.
    Entry,
}

/// Whether a process accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// The process is shutting down.
    Draining,
    /// The process has no configuration yet.
    NoConfig,
    /// The process accepts new work.
    Ready,
}

/// The status that a process reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// The process's id in its settings.
    pub process_id: ProcessId,
    /// Its role.
    pub kind: ProcessKind,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The version of the configuration in force.
    pub config_version: Option<Offset>,
    /// The id of the change that introduced this version.
    pub change_id: Option<ChangeId>,
    /// Whether it accepts new work.
    pub readiness: Readiness,
    /// Requests in progress.
    pub running: u64,
    /// Whether the last request to the platform's log succeeded.
    pub platform_up: bool,
}

/// The methods of the control port.
#[rpc(client, server)]
pub trait ControlApi {
    /// Returns the configuration in force.
    #[method(name = "config_head")]
    async fn config_head(&self) -> RpcResult<Option<Head>>;

    /// Requests that the process finish its work and exit.
    #[method(name = "drain")]
    async fn drain(&self, author: String) -> RpcResult<()>;

    /// Returns the process's status.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<ProcessStatus>;
}

/// What the control port returns, kept up to date by the control thread.
#[derive(Debug)]
pub(crate) struct PublishedStatus {
    pub(crate) status: RwLock<ProcessStatus>,
    pub(crate) head: RwLock<Option<Head>>,
}

struct ControlServer {
    published_status: Arc<PublishedStatus>,
    events: mpsc::UnboundedSender<Event>,
}

#[async_trait]
impl ControlApiServer for ControlServer {
    async fn config_head(&self) -> RpcResult<Option<Head>> {
        Ok(self.published_status.head.read().clone())
    }

    async fn drain(&self, author: String) -> RpcResult<()> {
        let _ = self.events.send(Event::Drain(Actor::Operator(author)));
        Ok(())
    }

    async fn status(&self) -> RpcResult<ProcessStatus> {
        Ok(self.published_status.status.read().clone())
    }
}

/// Answers the requests of the control port.
pub(crate) struct ControlPort(Methods);

impl ControlPort {
    pub(crate) fn new(
        published_status: Arc<PublishedStatus>,
        events: mpsc::UnboundedSender<Event>,
    ) -> ControlPort {
        ControlPort(ControlServer { published_status, events }.into_rpc().into())
    }

    async fn call(&self, request: Request<Incoming>) -> Option<String> {
        let (head, body) = request.into_parts();
        let connection = head.extensions.get()?;
        let body = read_body(body, connection, MAX_REQUEST_BYTES).await.ok()?.to_bytes();
        let call = std::str::from_utf8(&body).ok()?;
        let (answer, _) = self.0.raw_json_request(call, 1).await.ok()?;
        Some(answer.get().to_owned())
    }
}

impl RequestHandler for ControlPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(answer) = self.call(request).await else {
            let mut malformed = Response::new(Full::default());
            *malformed.status_mut() = StatusCode::BAD_REQUEST;
            return malformed;
        };
        let mut response = Response::new(Full::new(answer.into()));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

/// A client for the control port of another process.
#[derive(Clone, Debug)]
pub struct ControlClient {
    address: SocketAddr,
    client: HttpClient,
}

impl ControlClient {
    /// Creates a client that connects on its first call.
    ///
    /// Fails if the address can't form a URL.
    pub fn new(address: SocketAddr) -> Result<ControlClient> {
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .map_err(|e| invalid(Step::ControlCall, address, e))?;
        Ok(ControlClient { address, client })
    }

    /// Fetches the configuration in force.
    ///
    /// Fails if the process doesn't respond.
    pub async fn config_head(&self) -> Result<Option<Head>> {
        self.client.config_head().await.map_err(|e| self.error(&e))
    }

    /// Requests that the process finish its work and exit.
    ///
    /// Fails if the process doesn't respond.
    pub async fn drain(&self, author: &str) -> Result<()> {
        self.client.drain(author.to_owned()).await.map_err(|e| self.error(&e))
    }

    /// Fetches the process's status.
    ///
    /// Fails if the process doesn't respond.
    pub async fn status(&self) -> Result<ProcessStatus> {
        self.client.status().await.map_err(|e| self.error(&e))
    }

    fn error(&self, error: &jsonrpsee::core::ClientError) -> Error {
        unreachable(Step::ControlCall, self.address, error)
    }
}
