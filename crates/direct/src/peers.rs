//! Other entries: what they know while the platform can't be reached.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_core::{EndpointList, FleetConfig, Offset, Result, Step, invalid, refused};
use lynxmount_link::{Handle, HttpClient};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;

/// How long a peer may take to answer; most take a few milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Peers that are asked for what they know at one time.
const PEERS_ASKED: usize = 3;

/// The path of the only question.
const FLEET_PATH: &str = "/v1/fleet";

/// What a process knows of the fleet.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct Known {
    /// The configuration, if the asker's is older.
    pub(crate) config: Option<(Offset, FleetConfig)>,
    /// The endpoints, if the asker's are older.
    pub(crate) endpoints: Option<EndpointList>,
    /// How long ago the platform was last read, in milliseconds.
    pub(crate) read_ago_ms: u64,
}

/// Addresses of other entries.
pub(crate) struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    registered: Mutex<BTreeSet<SocketAddr>>,
}

impl Peers {
    pub(crate) fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Peers {
        Peers { own, seeds, registered: Mutex::default() }
    }

    /// Takes over the addresses that are registered at the platform.
    pub(crate) fn set_registered(&self, addresses: Vec<SocketAddr>) {
        *self.registered.lock() = addresses.into_iter().collect();
    }

    /// How many entries there are, this one included.
    pub(crate) fn count(&self) -> usize {
        let others = self.registered.lock().iter().filter(|a| **a != self.own).count();
        others.max(self.seeds.iter().filter(|a| **a != self.own).count()) + 1
    }

    fn others(&self) -> Vec<SocketAddr> {
        let mut others: BTreeSet<SocketAddr> = self.registered.lock().clone();
        others.extend(&self.seeds);
        others.remove(&self.own);
        others.into_iter().collect()
    }

    /// Asks some peers for what is newer than what this process knows, and takes
    /// it over.
    pub(crate) async fn learn(&self, fleet: &Fleet) {
        let mut others = self.others();
        others.shuffle(&mut rand::rng());
        let asked = others.into_iter().take(PEERS_ASKED).map(|peer| async move {
            match ask(peer, fleet).await {
                Ok(known) => take_over(peer, known, fleet),
                Err(error) => log::debug!("{error}"),
            }
        });
        futures::future::join_all(asked).await;
    }
}

async fn ask(peer: SocketAddr, fleet: &Fleet) -> Result<Known> {
    let config = fleet.config().map_or(0, |view| view.offset + 1);
    let endpoints = fleet.endpoints().map_or(0, |list| list.read_to);
    let path = format!("{FLEET_PATH}?config={config}&endpoints={endpoints}");
    let client = HttpClient::new(peer);
    let answer = client.call(Step::Order, Method::GET, &path, Bytes::new(), PEER_TIMEOUT).await?;
    match answer.status {
        StatusCode::OK => {
            serde_json::from_slice(&answer.body).map_err(|e| invalid(Step::Order, peer, e))
        }
        status => Err(refused(Step::Order, peer, status)),
    }
}

fn take_over(peer: SocketAddr, known: Known, fleet: &Fleet) {
    let read_ago_ms = known.read_ago_ms;
    if let Some((offset, config)) = known.config {
        let version = config.version;
        if fleet.offer_config(offset, config) {
            log::info!(peer:% = peer, version, offset, read_ago_ms; "configuration from a peer");
        }
    }
    if let Some(list) = known.endpoints {
        let read_to = list.read_to;
        if fleet.offer_endpoints(list) {
            log::info!(peer:% = peer, read_to, read_ago_ms; "endpoints from a peer");
        }
    }
}

/// Answers peers.
pub(crate) struct PeerPort {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) last_read: Arc<Mutex<Option<Instant>>>,
}

impl Handle for PeerPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != FLEET_PATH {
            return status(StatusCode::NOT_FOUND);
        }
        let query = request.uri().query().unwrap_or_default();
        let known = self.known(number(query, "config"), number(query, "endpoints"));
        match serde_json::to_vec(&known) {
            Ok(body) => Response::new(Full::new(body.into())),
            Err(error) => {
                log::error!("what is known can't be written: {error}");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl PeerPort {
    fn known(&self, config_from: Offset, endpoints_from: Offset) -> Known {
        let config = self.fleet.config().filter(|view| view.offset >= config_from);
        let endpoints = self.fleet.endpoints().filter(|list| list.read_to > endpoints_from);
        let read_ago = self.last_read.lock().map(|at| at.elapsed());
        Known {
            config: config.map(|view| (view.offset, view.config.clone())),
            endpoints: endpoints.map(|list| (*list).clone()),
            read_ago_ms: read_ago.map_or(u64::MAX, |ago| ago.as_millis() as u64),
        }
    }
}

fn number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).filter_map(|(_, v)| v.parse().ok());
    values.next().unwrap_or_default()
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
