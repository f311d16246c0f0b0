//! The HTTP port for operators and the platform's load balancer: liveness and readiness
//! probes, and counters.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_link::RequestHandler;
use serde::Serialize;

use crate::{ProcessStatus, Readiness, control_port::PublishedStatus, counters::Counters};

const JSON: &str = "application/json";

/// Answers the requests of the operators' port.
#[derive(Debug)]
pub(crate) struct OperatorsPort {
    pub(crate) published_status: Arc<PublishedStatus>,
    pub(crate) counters: Arc<Counters>,
}

/// Response to the liveness probe.
#[derive(Debug, Serialize)]
struct Live {
    process_id: String,
}

/// Response to the readiness probe.
#[derive(Debug, Serialize)]
struct Ready {
    process_id: String,
    config_version: Option<u64>,
}

/// The value of a counter since the process's start.
#[derive(Debug, Serialize)]
struct CounterValue {
    name: &'static str,
    count: u64,
}

/// Why a request is not answered with what it asked for.
#[derive(Debug, Serialize)]
struct Failure {
    message: &'static str,
}

impl RequestHandler for OperatorsPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => self.live(),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/counters") => self.counters(),
            (_, "/live" | "/ready" | "/counters") => {
                failure(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed")
            }
            _ => failure(StatusCode::NOT_FOUND, "there is no such path"),
        }
    }
}

impl OperatorsPort {
    /// Liveness probe: responds as long as the process runs.
    fn live(&self) -> Response<Full<Bytes>> {
        let ProcessStatus { process_id, .. } = self.published_status.status.read().clone();
        json(StatusCode::OK, &Live { process_id: process_id.to_string() })
    }

    /// Readiness probe: 200 if the process accepts new work, 503 otherwise.
    fn ready(&self) -> Response<Full<Bytes>> {
        let ProcessStatus { process_id, config_version, readiness, .. } =
            self.published_status.status.read().clone();
        match readiness {
            Readiness::Ready => {
                let process_id = process_id.to_string();
                json(StatusCode::OK, &Ready { process_id, config_version })
            }
            Readiness::Draining => failure(StatusCode::SERVICE_UNAVAILABLE, "draining"),
            Readiness::NoConfig => failure(StatusCode::SERVICE_UNAVAILABLE, "no configuration"),
        }
    }

    /// Lists all counters.
    fn counters(&self) -> Response<Full<Bytes>> {
        let totals = self.counters.totals();
        let values: Vec<_> = totals.map(|(name, count)| CounterValue { name, count }).collect();
        json(StatusCode::OK, &values)
    }
}

fn failure(status: StatusCode, message: &'static str) -> Response<Full<Bytes>> {
    json(status, &Failure { message })
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("strings and numbers are serializable");
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, http::HeaderValue::from_static(JSON));
    response
}
