//! Orders and questions between processes, by JSON-RPC.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{RpcResult, async_trait},
    http_client::{HttpClient, HttpClientBuilder},
    proc_macros::rpc,
    server::{Server, ServerConfig, ServerHandle},
};
use lynxmount_audit::Actor;
use lynxmount_config::Head;
use lynxmount_core::{
    ChangeId, Error, FailureDomainId, Incarnation, Offset, ProcessId, Result, Step, invalid,
    unreachable,
};
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::control_state::Event;

/// How long an answer may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest message: a fleet of the largest size and room to spare.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// What a process is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessKind {
    /// It stands beside one back end.
    Endpoint,
    /// It takes callers' requests.
    Entry,
}

/// Whether a process takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It is leaving.
    Draining,
    /// It has not learnt a configuration yet.
    NoConfig,
    /// It takes new work.
    Ready,
}

/// What a process says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// The process, as its settings name it.
    pub process_id: ProcessId,
    /// What it is.
    pub kind: ProcessKind,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The version in force there.
    pub config_version: Option<Offset>,
    /// The change that brought it.
    pub change_id: Option<ChangeId>,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// Requests in progress.
    pub running: u64,
    /// Whether the platform's log answered at the last try.
    pub platform_up: bool,
}

/// The methods of the control port.
#[rpc(client, server)]
pub trait ControlApi {
    /// The configuration in force.
    #[method(name = "config_head")]
    async fn config_head(&self) -> RpcResult<Option<Head>>;

    /// Asks the process to finish its work and exit.
    #[method(name = "drain")]
    async fn drain(&self, author: String) -> RpcResult<()>;

    /// What the process says of itself.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<ProcessStatus>;
}

/// What the control port tells; the control thread keeps it up to date.
#[derive(Debug)]
pub(crate) struct PublishedStatus {
    pub(crate) status: RwLock<ProcessStatus>,
    pub(crate) head: RwLock<Option<Head>>,
}

struct ControlServer {
    told: Arc<PublishedStatus>,
    events: mpsc::UnboundedSender<Event>,
}

#[async_trait]
impl ControlApiServer for ControlServer {
    async fn config_head(&self) -> RpcResult<Option<Head>> {
        Ok(self.told.head.read().clone())
    }

    async fn drain(&self, author: String) -> RpcResult<()> {
        let _ = self.events.send(Event::Drain(Actor::Operator(author)));
        Ok(())
    }

    async fn status(&self) -> RpcResult<ProcessStatus> {
        Ok(self.told.status.read().clone())
    }
}

/// Starts to listen on the control port.
///
/// Fails if the address can't be bound.
pub(crate) async fn serve_control(
    address: SocketAddr,
    told: Arc<PublishedStatus>,
    events: mpsc::UnboundedSender<Event>,
) -> Result<ServerHandle> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(address).await;
    let server = server.map_err(|e| invalid(Step::Bind, address, e))?;
    Ok(server.start(ControlServer { told, events }.into_rpc()))
}

/// A client of another process's control port.
#[derive(Clone, Debug)]
pub struct ControlClient {
    address: SocketAddr,
    client: HttpClient,
}

impl ControlClient {
    /// Makes a client that connects when it is first used.
    ///
    /// Fails if the address makes no URL.
    pub fn new(address: SocketAddr) -> Result<ControlClient> {
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .map_err(|e| invalid(Step::ControlCall, address, e))?;
        Ok(ControlClient { address, client })
    }

    /// Asks for the configuration in force.
    ///
    /// Fails if the process doesn't answer.
    pub async fn config_head(&self) -> Result<Option<Head>> {
        self.client.config_head().await.map_err(|e| self.error(&e))
    }

    /// Asks the process to finish its work and exit.
    ///
    /// Fails if the process doesn't answer.
    pub async fn drain(&self, author: &str) -> Result<()> {
        self.client.drain(author.to_owned()).await.map_err(|e| self.error(&e))
    }

    /// Asks what the process says of itself.
    ///
    /// Fails if the process doesn't answer.
    pub async fn status(&self) -> Result<ProcessStatus> {
        self.client.status().await.map_err(|e| self.error(&e))
    }

    fn error(&self, error: &jsonrpsee::core::ClientError) -> Error {
        unreachable(Step::ControlCall, self.address, error)
    }
}
