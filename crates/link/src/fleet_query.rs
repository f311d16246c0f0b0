//! Asking an entry what it knows of the fleet.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use lynxmount_core::{
    CrashReport, EndpointList, FleetConfig, Offset, Result, Step, invalid, refused,
};
use serde::{Deserialize, Serialize};

use crate::HttpClient;

/// How long a peer may take to answer; most take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The path of the question.
const FLEET_PATH: &str = "/v1/fleet";

/// What a process knows of the fleet.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct FleetSnapshot {
    /// The configuration, if the asker's is older.
    pub config: Option<(Offset, FleetConfig)>,
    /// The endpoints, if the asker's are older.
    pub endpoints: Option<EndpointList>,
    /// Calls under which endpoints have ended, if the asker knows others.
    #[serde(default, rename = "suspicions")]
    pub crash_reports: Vec<CrashReport>,
    /// How long ago the platform was last read, in milliseconds.
    pub read_ago_ms: u64,
}

/// What a process asks for: what it does not know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetQuery {
    /// A configuration from this offset on.
    pub config_from: Offset,
    /// Endpoints read after this offset.
    pub endpoints_after: Offset,
    /// Calls under which endpoints have ended, if the digest of what is known is another
    /// than this; `None` for none in any case.
    pub crash_reports_digest: Option<u64>,
}

/// Asks a process.
///
/// Fails if it can't be reached or does not answer in time.
pub async fn query_fleet(peer: SocketAddr, asked: FleetQuery) -> Result<FleetSnapshot> {
    let FleetQuery { config_from, endpoints_after, crash_reports_digest } = asked;
    let mut path = format!("{FLEET_PATH}?config={config_from}&endpoints={endpoints_after}");
    if let Some(digest) = crash_reports_digest {
        path.push_str(&format!("&suspicions={digest}"));
    }
    let client = HttpClient::new(peer);
    let answer =
        client.call(Step::ControlCall, Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT).await?;
    match answer.status {
        StatusCode::OK => {
            serde_json::from_slice(&answer.body).map_err(|e| invalid(Step::ControlCall, peer, e))
        }
        status => Err(refused(Step::ControlCall, peer, status)),
    }
}

/// What is asked for; `None` if it is another question.
pub fn parse_fleet_query(uri: &Uri) -> Option<FleetQuery> {
    let query = uri.query().unwrap_or_default();
    (uri.path() == FLEET_PATH).then(|| FleetQuery {
        config_from: number(query, "config").unwrap_or_default(),
        endpoints_after: number(query, "endpoints").unwrap_or_default(),
        crash_reports_digest: number(query, "suspicions"),
    })
}

fn number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).filter_map(|(_, v)| v.parse().ok());
    values.next()
}
