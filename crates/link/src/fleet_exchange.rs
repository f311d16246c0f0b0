//! Asking an entry what it knows of the fleet.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use lynxmount_core::{EndpointList, FleetConfig, Offset, Result, Step, invalid, refused};
use serde::{Deserialize, Serialize};

use crate::HttpClient;

/// How long a peer may take to answer; most take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The path of the question.
const FLEET_PATH: &str = "/v1/fleet";

/// What a process knows of the fleet.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct KnownFleet {
    /// The configuration, if the asker's is older.
    pub config: Option<(Offset, FleetConfig)>,
    /// The endpoints, if the asker's are older.
    pub endpoints: Option<EndpointList>,
    /// How long ago the platform was last read, in milliseconds.
    pub read_ago_ms: u64,
}

/// Asks a process for a configuration from an offset on, and for endpoints read
/// after an offset.
///
/// Fails if it can't be reached or does not answer in time.
pub async fn ask_fleet(
    peer: SocketAddr,
    config_from: Offset,
    endpoints_after: Offset,
) -> Result<KnownFleet> {
    let path = format!("{FLEET_PATH}?config={config_from}&endpoints={endpoints_after}");
    let client = HttpClient::new(peer);
    let answer = client.call(Step::Order, Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT).await?;
    match answer.status {
        StatusCode::OK => {
            serde_json::from_slice(&answer.body).map_err(|e| invalid(Step::Order, peer, e))
        }
        status => Err(refused(Step::Order, peer, status)),
    }
}

/// What is asked for: the offset of the configuration and that of the endpoints;
/// `None` if it is another question.
pub fn asked_fleet(uri: &Uri) -> Option<(Offset, Offset)> {
    let query = uri.query().unwrap_or_default();
    (uri.path() == FLEET_PATH).then(|| (number(query, "config"), number(query, "endpoints")))
}

fn number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).filter_map(|(_, v)| v.parse().ok());
    values.next().unwrap_or_default()
}
