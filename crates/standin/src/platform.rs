//! The HTTP interface of the platform's stand-in.

use std::{net::SocketAddr, time::Duration};

use anyhow::anyhow;
use dropshot::{
    ApiDescription, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, HttpServer, Path, Query, RequestContext, ServerBuilder,
    TypedBody, endpoint,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Faults, PlatformLog};

/// The maximum size of a record; a fleet of the target size fits.
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// The maximum time that a long-poll read waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A running stand-in of the platform.
pub struct PlatformServer {
    /// The state that the server exposes.
    pub log: PlatformLog,
    server: HttpServer<PlatformLog>,
}

#[derive(Deserialize, JsonSchema)]
struct StreamPath {
    stream: String,
}

#[derive(Deserialize, JsonSchema)]
struct ReadParameters {
    from: u64,
    limit: u32,
    wait_ms: u64,
}

#[derive(Deserialize, JsonSchema)]
struct AppendBody {
    data: Value,
}

#[derive(JsonSchema, Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize, JsonSchema)]
struct FaultsBody {
    down: bool,
    #[serde(default)]
    lose_answers: u32,
    #[serde(default)]
    delay_ms: u64,
}

type JsonResult = Result<HttpResponseOk<Value>, HttpError>;

fn json(value: impl Serialize) -> JsonResult {
    let value = serde_json::to_value(value);
    value.map(HttpResponseOk).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

async fn apply_faults(log: &PlatformLog) -> Result<(), HttpError> {
    let faults = log.faults();
    if faults.is_silent {
        return std::future::pending().await;
    }
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    match log.faults().is_down {
        true => Err(HttpError::for_unavail(None, "outage".to_owned())),
        false => Ok(()),
    }
}

#[endpoint { method = POST, path = "/v1/streams/{stream}/records", request_body_max_bytes = MAX_RECORD_BYTES }]
async fn append(
    context: RequestContext<PlatformLog>,
    path: Path<StreamPath>,
    body: TypedBody<AppendBody>,
) -> Result<HttpResponseOk<Appended>, HttpError> {
    let log = context.context();
    apply_faults(log).await?;
    let offset = log.append(&path.into_inner().stream, body.into_inner().data);
    match log.take_lost_response() {
        true => Err(HttpError::for_internal_error("the answer is lost".to_owned())),
        false => Ok(HttpResponseOk(Appended { offset })),
    }
}

#[endpoint { method = GET, path = "/v1/streams/{stream}/records" }]
async fn read(
    context: RequestContext<PlatformLog>,
    path: Path<StreamPath>,
    query: Query<ReadParameters>,
) -> JsonResult {
    let log = context.context();
    let stream = path.into_inner().stream;
    let query = query.into_inner();
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let mut changes = log.subscribe();
    let mut is_lost = false;
    let waited = tokio::time::timeout(wait, async {
        loop {
            if log.faults().is_silent {
                is_lost = true;
                log.record_lost_read(&stream);
            }
            apply_faults(log).await?;
            let page = log.read(&stream, query.from, query.limit as usize);
            if !page.records.is_empty() || changes.changed().await.is_err() {
                return Ok(page);
            }
        }
    });
    let waited = waited.await;
    if is_lost {
        return std::future::pending().await;
    }
    match waited {
        Ok(Ok(page)) => json(page),
        Ok(Err(error)) => Err(error),
        Err(_) => {
            apply_faults(log).await?;
            json(log.read(&stream, query.from, query.limit as usize))
        }
    }
}

#[endpoint { method = GET, path = "/v1/vms" }]
async fn vms(context: RequestContext<PlatformLog>) -> JsonResult {
    let log = context.context();
    apply_faults(log).await?;
    json(lynxmount_platform::VmList { vms: log.vms() })
}

#[endpoint { method = PUT, path = "/faults" }]
async fn set_faults(
    context: RequestContext<PlatformLog>,
    body: TypedBody<FaultsBody>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let body = body.into_inner();
    if body.delay_ms > MAX_WAIT.as_millis() as u64 {
        let message = "delay_ms is too long".to_owned();
        return Err(HttpError::for_client_error(None, ClientErrorStatusCode::BAD_REQUEST, message));
    }
    context.context().set_faults(Faults {
        is_down: body.down,
        responses_to_lose: body.lose_answers,
        delay: Duration::from_millis(body.delay_ms),
        is_silent: false,
    });
    Ok(HttpResponseUpdatedNoContent())
}

impl PlatformServer {
    /// Starts the stand-in; port 0 selects a free port.
    ///
    /// Fails if the address can't be bound.
    pub fn start(address: SocketAddr, log: PlatformLog) -> anyhow::Result<PlatformServer> {
        let mut api = ApiDescription::new();
        api.register(append).map_err(|e| anyhow!("{e}"))?;
        api.register(read).map_err(|e| anyhow!("{e}"))?;
        api.register(vms).map_err(|e| anyhow!("{e}"))?;
        api.register(set_faults).map_err(|e| anyhow!("{e}"))?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
        let server = ServerBuilder::new(api, log.clone(), logger)
            .config(config)
            .start()
            .map_err(|e| anyhow!("{e}"))?;
        Ok(PlatformServer { log, server })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Runs until the server fails.
    pub async fn join(self) -> anyhow::Result<()> {
        self.server.await.map_err(|e| anyhow!("{e}"))
    }
}
