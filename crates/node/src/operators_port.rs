//! Probes for the platform's balancer and for operators, by HTTP.

use std::{net::SocketAddr, sync::Arc};

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, RequestContext,
    ServerBuilder, endpoint,
};
use lynxmount_core::{Error, Step, invalid};
use schemars::JsonSchema;
use serde::Serialize;

use crate::{Readiness, control_port::PublishedStatus, counters::Counters};

/// What the handlers read.
#[derive(Debug)]
pub(crate) struct Probes {
    pub(crate) told: Arc<PublishedStatus>,
    pub(crate) counters: Arc<Counters>,
}

/// Answer to the liveness probe.
#[derive(Debug, JsonSchema, Serialize)]
struct Live {
    process_id: String,
}

/// Answer to the readiness probe.
#[derive(Debug, JsonSchema, Serialize)]
struct Ready {
    process_id: String,
    config_version: Option<u64>,
}

/// One counter since the process's start.
#[derive(Debug, JsonSchema, Serialize)]
struct CounterValue {
    name: String,
    count: u64,
}

/// Answers as long as the process runs.
#[endpoint { method = GET, path = "/live" }]
async fn live(context: RequestContext<Probes>) -> Result<HttpResponseOk<Live>, HttpError> {
    let status = context.context().told.status.read().clone();
    Ok(HttpResponseOk(Live { process_id: status.process_id.to_string() }))
}

/// Answers 200 if the process takes new work, and 503 if not.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(context: RequestContext<Probes>) -> Result<HttpResponseOk<Ready>, HttpError> {
    let status = context.context().told.status.read().clone();
    match status.readiness {
        Readiness::Ready => Ok(HttpResponseOk(Ready {
            process_id: status.process_id.to_string(),
            config_version: status.config_version,
        })),
        Readiness::Draining => Err(HttpError::for_unavail(None, "draining".to_owned())),
        Readiness::NoConfig => Err(HttpError::for_unavail(None, "no configuration".to_owned())),
    }
}

/// Lists all counters.
#[endpoint { method = GET, path = "/counters" }]
async fn counters(
    context: RequestContext<Probes>,
) -> Result<HttpResponseOk<Vec<CounterValue>>, HttpError> {
    let totals = context.context().counters.totals();
    let values = totals.map(|(name, count)| CounterValue { name: name.to_owned(), count });
    Ok(HttpResponseOk(values.collect()))
}

/// Starts to listen on the operators' port.
///
/// Fails if the address can't be bound.
pub(crate) fn serve_operators(
    address: SocketAddr,
    probes: Probes,
) -> Result<HttpServer<Probes>, Error> {
    let bind = |e: String| invalid(Step::Bind, address, e);
    let mut api = ApiDescription::new();
    api.register(live).map_err(|e| bind(e.to_string()))?;
    api.register(ready).map_err(|e| bind(e.to_string()))?;
    api.register(counters).map_err(|e| bind(e.to_string()))?;
    // Probes come every second; a line for each would drown the state changes.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(api, probes, log).config(config).start();
    server.map_err(|e| bind(e.to_string()))
}
