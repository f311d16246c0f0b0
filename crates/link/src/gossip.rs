//! Gossip: publishes batches of items to peers over HTTP.

use std::{net::SocketAddr, time::Duration};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use lynxmount_core::{Result, Step, invalid, refused};
use lynxmount_resources::read_body;
use serde::{Serialize, de::DeserializeOwned};

use crate::HttpClient;

/// Timeout of publishing to a peer; most respond within a few milliseconds.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest message in bytes; 64 calls with eight crashes each take 50 kB.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;

/// The type of the published items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipTopic {
    /// Rate limits that endpoints announced.
    EndpointLimits,
    /// Crashes of endpoints, by the calls that were in flight.
    CrashReports,
    /// Crashes of endpoints, by the prompt segments that were in flight.
    SegmentReports,
}

impl GossipTopic {
    const ALL: [GossipTopic; 3] =
        [GossipTopic::EndpointLimits, GossipTopic::CrashReports, GossipTopic::SegmentReports];

    fn path(self) -> &'static str {
        match self {
            GossipTopic::EndpointLimits => "/v1/endpoint-limits",
            GossipTopic::CrashReports => "/v1/suspicions",
            GossipTopic::SegmentReports => "/v1/segment-reports",
        }
    }

    /// Returns the topic of a publish request; `None` for any other request.
    pub fn of(request: &Request<Incoming>) -> Option<GossipTopic> {
        let is_named = |topic: &GossipTopic| request.uri().path() == topic.path();
        GossipTopic::ALL.into_iter().find(is_named).filter(|_| request.method() == Method::POST)
    }
}

/// Publishes items to a peer.
///
/// Fails if the peer can't be reached or does not accept them.
pub async fn publish<T: Serialize>(
    peer: SocketAddr,
    topic: GossipTopic,
    items: &[T],
) -> Result<()> {
    let body = serde_json::to_vec(items).map_err(|e| invalid(Step::ControlCall, peer, e))?;
    let client = HttpClient::new(peer);
    let sent =
        client.call(Step::ControlCall, Method::POST, topic.path(), body.into(), PUBLISH_TIMEOUT);
    match sent.await?.status {
        StatusCode::NO_CONTENT => Ok(()),
        status => Err(refused(Step::ControlCall, peer, status)),
    }
}

/// Reads the items of a publish request.
///
/// Fails if the body is incomplete, too large, or can't be parsed.
pub async fn read_published<T: DeserializeOwned>(request: Request<Incoming>) -> Result<Vec<T>> {
    let fail = |e: &dyn std::fmt::Display| invalid(Step::ControlCall, "a peer", e);
    let (head, body) = request.into_parts();
    let connection = head.extensions.get().ok_or_else(|| fail(&"not a tracked connection"))?;
    let body = read_body(body, connection, MAX_MESSAGE_BYTES).await.map_err(|e| fail(&e))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| fail(&e))
}
