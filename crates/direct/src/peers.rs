//! Peer entries: anti-entropy pulls of fleet state, gossip, and the handler of peers' requests.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_core::{
    Clock, ConfigVersion, CrashReport, LogEra, LogPosition, Offset, PeerRegistration, Result,
    SegmentReport,
};
use lynxmount_link::{
    FleetQuery, FleetSnapshot, GossipTopic, RequestHandler, parse_fleet_query, publish,
    query_fleet, read_published,
};
use lynxmount_policy::{
    MembershipEvidence, MembershipTracker, Predecessor, RegisteredPeers, SharingMembers,
    SlotOwners, shows_first_start,
};
use lynxmount_quarantine::SharedQuarantine;
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use serde::Serialize;

use crate::{endpoint_set::EndpointSet, fleet::Fleet, limit_gossip::LimitReport};

/// Age up to which processes count as started together.
const STARTED_TOGETHER: Duration = Duration::from_millis(1500);

/// Number of random peers that a pull or a gossip round contacts.
const FANOUT: usize = 3;

/// All entries, as far as they are known, for what is divided among them.
#[derive(Clone, Debug)]
pub(crate) struct EntryShares {
    pub(crate) owners: SlotOwners,
    pub(crate) evidence: MembershipEvidence,
    pub(crate) predecessor: Predecessor,
}

/// Addresses of the entries.
pub(crate) struct Peers {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    registered: Mutex<RegisteredPeers>,
    lists: Mutex<MembershipTracker>,
    sharing: Mutex<SharingMembers>,
    /// Known from the first list of registrations that is read.
    predecessor: Mutex<Option<Predecessor>>,
}

impl Peers {
    pub(crate) fn new(own_address: SocketAddr, seeds: Vec<SocketAddr>) -> Peers {
        Peers {
            own_address,
            seeds,
            registered: Mutex::default(),
            lists: Mutex::default(),
            sharing: Mutex::default(),
            predecessor: Mutex::default(),
        }
    }

    /// Determines from the registry, as it was before this process registered, whether another process
    /// may have run in its place. Settings may say "first start" of a process that starts again, or
    /// replaces one elsewhere.
    pub(crate) async fn determine_predecessor(
        &self,
        end: LogPosition,
        registrations: &[PeerRegistration],
    ) {
        let addresses = registrations.iter().map(|registration| registration.address);
        let may_be_first = shows_first_start(end, addresses.clone(), self.own_address);
        let predecessor = match may_be_first && have_just_started(addresses).await {
            true => Predecessor::None,
            false => Predecessor::Possible,
        };
        log::info!(predecessor:? = predecessor, registry_end:? = end; "predecessor determined");
        self.predecessor.lock().get_or_insert(predecessor);
    }

    /// Applies the registrations at the platform in an era.
    pub(crate) fn set_registered(
        &self,
        era: LogEra,
        registrations: &[PeerRegistration],
        now: Duration,
    ) {
        self.registered.lock().update(era, registrations, now);
        self.lists.lock().on_list(self.is_listed(registrations), now);
    }

    /// Whether this process is registered.
    pub(crate) fn is_listed(&self, registrations: &[PeerRegistration]) -> bool {
        registrations.iter().any(|registration| registration.address == self.own_address)
    }

    /// Whether no registered peer is missing that may register again.
    pub(crate) fn are_settled(&self) -> bool {
        self.registered.lock().is_settled()
    }

    /// What the lists of entries show by now.
    pub(crate) fn evidence(&self, now: Duration) -> MembershipEvidence {
        self.lists.lock().evidence(now)
    }

    /// All entries: the registered ones, or the seeds while these are more.
    pub(crate) fn shares(&self, now: Duration) -> EntryShares {
        let predecessor = self.predecessor.lock().unwrap_or_default();
        let evidence = self.evidence(now);
        let registered = self.registered.lock().addresses();
        let sharing = self.sharing.lock().update(evidence, registered);
        EntryShares { owners: self.slot_owners(sharing), evidence, predecessor }
    }

    fn slot_owners(&self, registered: BTreeSet<SocketAddr>) -> SlotOwners {
        let seeds: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
        let entries = if registered.len() >= seeds.len() { registered } else { seeds };
        let names: Vec<String> = entries.iter().map(SocketAddr::to_string).collect();
        SlotOwners::new(&self.own_address.to_string(), names.iter().map(String::as_str))
    }

    fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.registered.lock().addresses();
        others.extend(&self.seeds);
        others.remove(&self.own_address);
        others.into_iter().collect()
    }

    /// Pulls newer state from random peers and applies it.
    pub(crate) async fn pull(&self, fleet: &Fleet, quarantine: &SharedQuarantine) {
        let pulls = self.sample().into_iter().map(|peer| async move {
            match pull_from(peer, fleet, quarantine).await {
                Ok(state) => apply(peer, state, fleet, quarantine),
                Err(error) => log::debug!(peer:% = peer, error:% = error; "peer pull failed"),
            }
        });
        futures::future::join_all(pulls).await;
    }

    /// Publishes items to random peers.
    pub(crate) async fn publish<T: Serialize>(&self, topic: GossipTopic, items: &[T]) {
        if items.is_empty() {
            return;
        }
        let sent = self.sample().into_iter().map(|peer| async move {
            if let Err(error) = publish(peer, topic, items).await {
                log::info!(peer:% = peer, topic:? = topic, error:% = error; "gossip not delivered");
            }
        });
        futures::future::join_all(sent).await;
    }

    fn sample(&self) -> Vec<SocketAddr> {
        let mut others = self.others();
        others.shuffle(&mut rand::rng());
        others.truncate(FANOUT);
        others
    }
}

/// Whether all of these processes answer, and have started only just now.
async fn have_just_started(peers: impl Iterator<Item = SocketAddr>) -> bool {
    let query = FleetQuery {
        config_after: Some(ConfigVersion::MAX),
        endpoints_after: Some(LogPosition { era: LogEra::MAX, offset: Offset::MAX }),
        crash_reports_digest: None,
    };
    let answers = futures::future::join_all(peers.map(|peer| query_fleet(peer, query))).await;
    let uptimes = answers.into_iter().map(|answer| answer.ok().and_then(|state| state.uptime_ms));
    uptimes.into_iter().all(|uptime| {
        uptime.is_some_and(|uptime_ms| Duration::from_millis(uptime_ms) <= STARTED_TOGETHER)
    })
}

async fn pull_from(
    peer: SocketAddr,
    fleet: &Fleet,
    quarantine: &SharedQuarantine,
) -> Result<FleetSnapshot> {
    let query = FleetQuery {
        config_after: fleet.config().map(|view| view.config.version),
        endpoints_after: fleet.endpoints().map(|list| list.as_of),
        crash_reports_digest: Some(quarantine.digest()),
    };
    query_fleet(peer, query).await
}

fn apply(peer: SocketAddr, state: FleetSnapshot, fleet: &Fleet, quarantine: &SharedQuarantine) {
    let read_ago_ms = state.read_ago_ms;
    quarantine.merge_from_peer(&state.crash_reports);
    quarantine.merge_segments_from_peer(&state.segment_reports);
    if let Some(config) = state.config {
        let version = config.version;
        if fleet.update_config(config) {
            log::info!(peer:% = peer, version, read_ago_ms;
                "configuration received from peer");
        }
    }
    if let Some(list) = state.endpoints {
        let as_of = list.as_of;
        if fleet.update_endpoints(list) {
            log::info!(peer:% = peer, as_of:? = as_of, read_ago_ms; "endpoint list received from peer");
        }
    }
}

/// Handles peers' pulls and gossip.
pub(crate) struct PeerHandler {
    pub(crate) endpoint_set: Arc<EndpointSet>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    /// When the platform was last read.
    pub(crate) last_read_at: Arc<Mutex<Option<Instant>>>,
    pub(crate) clock: Clock,
}

impl RequestHandler for PeerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if let Some(topic) = GossipTopic::of(&request) {
            return self.receive_gossip(topic, request).await;
        }
        let Some(query) = parse_fleet_query(request.uri()) else {
            return status(StatusCode::NOT_FOUND);
        };
        let state = self.state_for(query);
        match serde_json::to_vec(&state) {
            Ok(body) => Response::new(Full::new(body.into())),
            Err(error) => {
                log::error!(error:% = error; "fleet state serialization failed");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl PeerHandler {
    async fn receive_gossip(
        &self,
        topic: GossipTopic,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let result = match topic {
            GossipTopic::EndpointLimits => read_published(request)
                .await
                .map(|reports: Vec<LimitReport>| self.endpoint_set.on_limit_reports(&reports)),
            GossipTopic::CrashReports => read_published(request)
                .await
                .map(|reports: Vec<CrashReport>| self.quarantine.merge_from_peer(&reports)),
            GossipTopic::SegmentReports => {
                read_published(request).await.map(|reports: Vec<SegmentReport>| {
                    self.quarantine.merge_segments_from_peer(&reports)
                })
            }
        };
        match result {
            Ok(()) => status(StatusCode::NO_CONTENT),
            Err(error) => {
                log::warn!(topic:? = topic, error:% = error; "malformed gossip ignored");
                status(StatusCode::BAD_REQUEST)
            }
        }
    }

    /// The part of the state that is newer than what a peer has.
    fn state_for(&self, query: FleetQuery) -> FleetSnapshot {
        let config =
            self.fleet.config().filter(|view| Some(view.config.version) > query.config_after);
        let endpoints =
            self.fleet.endpoints().filter(|list| Some(list.as_of) > query.endpoints_after);
        let digest = query.crash_reports_digest;
        let is_different = digest.is_some_and(|digest| digest != self.quarantine.digest());
        let read_ago = self.last_read_at.lock().map(|at| at.elapsed());
        FleetSnapshot {
            config: config.map(|view| view.config.clone()),
            endpoints: endpoints.map(|list| (*list).clone()),
            crash_reports: if is_different { self.quarantine.crash_reports() } else { Vec::new() },
            segment_reports: match is_different {
                true => self.quarantine.segment_reports(),
                false => Vec::new(),
            },
            read_ago_ms: read_ago.map_or(u64::MAX, |ago| ago.as_millis() as u64),
            uptime_ms: Some(self.clock.now().as_millis() as u64),
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
