//! Anti-entropy between processes: queries a peer for newer state of the fleet.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use lynxmount_core::{
    ConfigVersion, CrashReport, EndpointList, FleetConfig, LogPosition, Result, SegmentReport,
    Step, invalid, refused,
};
use serde::{Deserialize, Serialize};

use crate::HttpClient;

/// Timeout of a query; most peers respond within a few milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// The path of the query. Processes with another version of it do not answer.
const FLEET_PATH: &str = "/v2/fleet";

/// A peer's state of the fleet, as far as it is newer than the querying process's.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct FleetSnapshot {
    /// The configuration, if the querying process's is older.
    pub config: Option<FleetConfig>,
    /// The endpoints, if the querying process's are older.
    pub endpoints: Option<EndpointList>,
    /// All crash reports, if the querying process's differ.
    #[serde(default, rename = "suspicions")]
    pub crash_reports: Vec<CrashReport>,
    /// All evidence against prompt segments, likewise.
    #[serde(default)]
    pub segment_reports: Vec<SegmentReport>,
    /// Time since the peer last read the platform, in milliseconds.
    pub read_ago_ms: u64,
    /// Time since the peer's process started, in milliseconds; `None` if it does not say.
    #[serde(default)]
    pub uptime_ms: Option<u64>,
}

/// A query for the state that a process lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetQuery {
    /// The version after which a configuration is requested; `None` requests any.
    pub config_after: Option<ConfigVersion>,
    /// The position after which endpoints are requested; `None` requests any.
    pub endpoints_after: Option<LogPosition>,
    /// The digest of the querying process's crash reports; a peer whose digest differs sends
    /// all of its own. `None` requests none.
    pub crash_reports_digest: Option<u64>,
}

/// Queries a process.
///
/// Fails if it can't be reached or does not respond in time.
pub async fn query_fleet(peer: SocketAddr, query: FleetQuery) -> Result<FleetSnapshot> {
    let path = encode_fleet_query(query);
    let client = HttpClient::new(peer);
    let response =
        client.call(Step::ControlCall, Method::GET, &path, Bytes::new(), QUERY_TIMEOUT).await?;
    match response.status {
        StatusCode::OK => {
            serde_json::from_slice(&response.body).map_err(|e| invalid(Step::ControlCall, peer, e))
        }
        status => Err(refused(Step::ControlCall, peer, status)),
    }
}

fn encode_fleet_query(query: FleetQuery) -> String {
    let FleetQuery { config_after, endpoints_after, crash_reports_digest } = query;
    let fields = [
        ("config", config_after),
        ("era", endpoints_after.map(|position| position.era)),
        ("endpoints", endpoints_after.map(|position| position.offset)),
        ("suspicions", crash_reports_digest),
    ];
    let given = fields.iter().filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)));
    format!("{FLEET_PATH}?{}", given.collect::<Vec<String>>().join("&"))
}

/// Parses a query; `None` if the URI has another path.
pub fn parse_fleet_query(uri: &Uri) -> Option<FleetQuery> {
    let query = uri.query().unwrap_or_default();
    (uri.path() == FLEET_PATH).then(|| FleetQuery {
        config_after: number(query, "config"),
        endpoints_after: position(query),
        crash_reports_digest: number(query, "suspicions"),
    })
}

fn position(query: &str) -> Option<LogPosition> {
    Some(LogPosition { era: number(query, "era")?, offset: number(query, "endpoints")? })
}

fn number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).filter_map(|(_, v)| v.parse().ok());
    values.next()
}
