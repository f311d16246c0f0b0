//! The HTTP port for operators and the platform's load balancer: liveness and readiness
//! probes, and counters.

use std::{net::SocketAddr, sync::Arc};

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, RequestContext,
    ServerBuilder, endpoint,
};
use lynxmount_core::{Error, Step, invalid};
use schemars::JsonSchema;
use serde::Serialize;

use crate::{Readiness, control_port::PublishedStatus, counters::Counters};

/// The state that the handlers read.
#[derive(Debug)]
pub(crate) struct ProbeContext {
    pub(crate) published_status: Arc<PublishedStatus>,
    pub(crate) counters: Arc<Counters>,
}

/// Response to the liveness probe.
#[derive(Debug, JsonSchema, Serialize)]
struct Live {
    process_id: String,
}

/// Response to the readiness probe.
#[derive(Debug, JsonSchema, Serialize)]
struct Ready {
    process_id: String,
    config_version: Option<u64>,
}

/// The value of a counter since the process's start.
#[derive(Debug, JsonSchema, Serialize)]
struct CounterValue {
    name: String,
    count: u64,
}

/// Liveness probe: responds as long as the process runs.
#[endpoint { method = GET, path = "/live" }]
async fn live(context: RequestContext<ProbeContext>) -> Result<HttpResponseOk<Live>, HttpError> {
    let status = context.context().published_status.status.read().clone();
    Ok(HttpResponseOk(Live { process_id: status.process_id.to_string() }))
}

/// Readiness probe: 200 if the process accepts new work, 503 otherwise.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(context: RequestContext<ProbeContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    let status = context.context().published_status.status.read().clone();
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
    context: RequestContext<ProbeContext>,
) -> Result<HttpResponseOk<Vec<CounterValue>>, HttpError> {
    let totals = context.context().counters.totals();
    let values = totals.map(|(name, count)| CounterValue { name: name.to_owned(), count });
    Ok(HttpResponseOk(values.collect()))
}

/// Starts serving the operators' port.
///
/// Fails if the address can't be bound.
pub(crate) fn serve_operators(
    address: SocketAddr,
    probes: ProbeContext,
) -> Result<HttpServer<ProbeContext>, Error> {
    let bind = |e: String| invalid(Step::Bind, address, e);
    let mut api = ApiDescription::new();
    api.register(live).map_err(|e| bind(e.to_string()))?;
    api.register(ready).map_err(|e| bind(e.to_string()))?;
    api.register(counters).map_err(|e| bind(e.to_string()))?;
    // Probes arrive every second; logging each would obscure the changes of state.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(api, probes, log).config(config).start();
    server.map_err(|e| bind(e.to_string()))
}
