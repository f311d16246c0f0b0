//! Other entries: what they know while the platform can't be reached.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_core::{Result, Suspicion};
use lynxmount_link::{
    AskedFleet, Handle, KnownFleet, Topic, ask_fleet, asked_fleet, publish, published,
};
use lynxmount_policy::SlotOwners;
use lynxmount_suspects::SharedQuarantine;
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use serde::Serialize;

use crate::{endpoint_set::EndpointSet, fleet::Fleet, limit_gossip::LimitReport};

/// Peers that are asked for what they know at one time.
const PEERS_ASKED: usize = 3;

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

    /// All entries: those that are registered, or the seeds as long as these are more.
    pub(crate) fn owners(&self) -> SlotOwners {
        let registered: BTreeSet<SocketAddr> = self.registered.lock().clone();
        let seeds: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
        let entries = if registered.len() >= seeds.len() { registered } else { seeds };
        let names: Vec<String> = entries.iter().map(SocketAddr::to_string).collect();
        SlotOwners::new(&self.own.to_string(), names.iter().map(String::as_str))
    }

    fn others(&self) -> Vec<SocketAddr> {
        let mut others: BTreeSet<SocketAddr> = self.registered.lock().clone();
        others.extend(&self.seeds);
        others.remove(&self.own);
        others.into_iter().collect()
    }

    /// Asks some peers for what is newer than what this process knows, and takes
    /// it over.
    pub(crate) async fn learn(&self, fleet: &Fleet, suspects: &SharedQuarantine) {
        let asked = self.some_others().into_iter().map(|peer| async move {
            match ask(peer, fleet, suspects).await {
                Ok(known) => take_over(peer, known, fleet, suspects),
                Err(error) => log::debug!("{error}"),
            }
        });
        futures::future::join_all(asked).await;
    }

    /// Publishes to some peers.
    pub(crate) async fn publish<T: Serialize>(&self, topic: Topic, items: &[T]) {
        if items.is_empty() {
            return;
        }
        let sent = self.some_others().into_iter().map(|peer| async move {
            if let Err(error) = publish(peer, topic, items).await {
                log::info!(peer:% = peer, topic:? = topic, error:% = error; "gossip not delivered");
            }
        });
        futures::future::join_all(sent).await;
    }

    fn some_others(&self) -> Vec<SocketAddr> {
        let mut others = self.others();
        others.shuffle(&mut rand::rng());
        others.truncate(PEERS_ASKED);
        others
    }
}

async fn ask(peer: SocketAddr, fleet: &Fleet, suspects: &SharedQuarantine) -> Result<KnownFleet> {
    let asked = AskedFleet {
        config_from: fleet.config().map_or(0, |view| view.offset + 1),
        endpoints_after: fleet.endpoints().map_or(0, |list| list.read_to),
        suspicions_digest: Some(suspects.digest()),
    };
    ask_fleet(peer, asked).await
}

fn take_over(peer: SocketAddr, known: KnownFleet, fleet: &Fleet, suspects: &SharedQuarantine) {
    let read_ago_ms = known.read_ago_ms;
    suspects.merge_from_peer(&known.suspicions);
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
    pub(crate) endpoint_set: Arc<EndpointSet>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) suspects: Arc<SharedQuarantine>,
    pub(crate) last_read: Arc<Mutex<Option<Instant>>>,
}

impl Handle for PeerPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if let Some(topic) = Topic::of(&request) {
            return self.take_gossip(topic, request).await;
        }
        let Some(asked) = asked_fleet(request.uri()) else {
            return status(StatusCode::NOT_FOUND);
        };
        let known = self.known(asked);
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
    async fn take_gossip(&self, topic: Topic, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let taken = match topic {
            Topic::EndpointLimits => published(request)
                .await
                .map(|reports: Vec<LimitReport>| self.endpoint_set.on_limit_reports(&reports)),
            Topic::Suspicions => published(request)
                .await
                .map(|suspicions: Vec<Suspicion>| self.suspects.merge_from_peer(&suspicions)),
        };
        match taken {
            Ok(()) => status(StatusCode::NO_CONTENT),
            Err(error) => {
                log::warn!(topic:? = topic, error:% = error; "malformed gossip ignored");
                status(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn known(&self, asked: AskedFleet) -> KnownFleet {
        let config = self.fleet.config().filter(|view| view.offset >= asked.config_from);
        let endpoints = self.fleet.endpoints().filter(|list| list.read_to > asked.endpoints_after);
        let digest = asked.suspicions_digest;
        let are_others = digest.is_some_and(|digest| digest != self.suspects.digest());
        let read_ago = self.last_read.lock().map(|at| at.elapsed());
        KnownFleet {
            config: config.map(|view| (view.offset, view.config.clone())),
            endpoints: endpoints.map(|list| (*list).clone()),
            suspicions: if are_others { self.suspects.suspicions() } else { Vec::new() },
            read_ago_ms: read_ago.map_or(u64::MAX, |ago| ago.as_millis() as u64),
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
