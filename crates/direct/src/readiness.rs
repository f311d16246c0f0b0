//! Readiness probe.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_core::{Clock, adapter::Dialect};
use lynxmount_link::RequestHandler;
use lynxmount_policy::is_entry_ready;

use crate::{drain::Drain, fleet::Fleet, peers::Peers};

/// Answers the platform's readiness probes: ready with a configuration, an endpoint list and a first
/// list of entries, or some time without the last, and while not draining.
pub(crate) struct ReadinessHandler<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) clock: Clock,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) drain: Arc<Drain>,
}

impl<D: Dialect> RequestHandler for ReadinessHandler<D> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, _) = request.into_parts();
        let now = self.clock.now();
        let is_ready = self.fleet.config().is_some()
            && self.fleet.endpoints().is_some()
            && is_entry_ready(self.peers.evidence(now), now)
            && !self.drain.is_draining();
        let mut response = Response::new(Full::default());
        *response.status_mut() = match self.dialect.is_readiness_probe(&parts) {
            true if is_ready => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::NOT_FOUND,
        };
        response
    }
}
