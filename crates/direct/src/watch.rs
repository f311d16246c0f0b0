//! Keeping up with the platform: configurations, endpoints and peers.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    Clock, EndpointList, FleetConfig, Offset, Result, SiteBounds, edge::FleetSource,
};
use lynxmount_policy::{MEMBERSHIP_CONVERGENCE_TIME, Membership};
use lynxmount_suspects::SharedQuarantine;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{endpoint_set::EndpointSet, fleet::Fleet, peers::Peers};

/// The part of the time within which a leaving endpoint must get no more work
/// after which registrations are read again: it leaves time for one lost read.
const ENDPOINTS_PART: f64 = 0.425;

/// How soon a failed read is tried again.
const RETRY_PERIOD: Duration = Duration::from_millis(300);

/// How long a read of the store may take until peers are asked too. The store answers in
/// 4 ms, and in 240 ms while it is slow. What an entry knows is then at most as old as
/// its period, this time and a peer's period: 3.7 s where endpoints that leave must get
/// no more work after 4 s. Without peers it was as old as the outage.
const SLOW_READ: Duration = Duration::from_millis(300);

/// How often the addresses of peers are read.
const PEERS_PERIOD: Duration = Duration::from_secs(8);

// Limits of endpoints are shared among entries that know each other by then.
const _: () = assert!(PEERS_PERIOD.as_millis() < MEMBERSHIP_CONVERGENCE_TIME.as_millis());

/// How often registrations are read.
pub(crate) fn endpoints_period(bounds: &SiteBounds) -> Duration {
    bounds.drain.mul_f64(ENDPOINTS_PART)
}

/// What the watching tasks share.
pub(crate) struct Watch<S> {
    pub(crate) source: Arc<S>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) endpoint_set: Arc<EndpointSet>,
    pub(crate) suspects: Arc<SharedQuarantine>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) bounds: SiteBounds,
    /// When the platform was last read.
    pub(crate) last_read: Arc<Mutex<Option<Instant>>>,
    pub(crate) membership: Mutex<Membership>,
}

/// Tells the loss and the return of something that was read.
pub(crate) struct Reachability {
    what: &'static str,
    lost_at: Option<Instant>,
}

impl Reachability {
    pub(crate) fn new(what: &'static str) -> Reachability {
        Reachability { what, lost_at: None }
    }

    pub(crate) fn lost(&mut self, error: &lynxmount_core::Error) {
        if self.lost_at.is_none() {
            log::warn!(what = self.what, error:% = error; "dependency lost");
            self.lost_at = Some(Instant::now());
        }
    }

    pub(crate) fn regained(&mut self) {
        if let Some(at) = self.lost_at.take() {
            let out_ms = at.elapsed().as_millis() as u64;
            log::info!(what = self.what, out_ms; "dependency regained");
        }
    }
}

impl<S: FleetSource> Watch<S> {
    /// Follows configurations until the task is dropped.
    pub(crate) async fn follow_config(self: Arc<Watch<S>>) {
        let mut reachability = Reachability::new("configuration");
        loop {
            let after = self.fleet.config().map(|view| view.offset);
            // A connection that has gone silent is noticed within this wait and the
            // client's timeout.
            match self.source.config_after(after, self.bounds.config_apply).await {
                Ok(found) => {
                    reachability.regained();
                    self.note_read();
                    let is_waiting = found.is_none() && after.is_none();
                    self.take_config(found);
                    if is_waiting {
                        tokio::time::sleep(RETRY_PERIOD).await;
                    }
                }
                Err(error) => {
                    self.metrics.count("platform.config_read_failed");
                    reachability.lost(&error);
                    self.learn_from_peers().await;
                    tokio::time::sleep(RETRY_PERIOD).await;
                }
            }
        }
    }

    fn take_config(&self, found: Option<(Offset, FleetConfig)>) {
        let Some((offset, config)) = found else { return };
        let version = config.version;
        if self.fleet.offer_config(offset, config) {
            log::info!(version, offset; "configuration in force");
            self.update_places();
        }
    }

    /// Follows registrations until the task is dropped.
    pub(crate) async fn follow_endpoints(self: Arc<Watch<S>>) {
        let mut reachability = Reachability::new("endpoints");
        loop {
            let known = self.fleet.endpoints().map(|list| (*list).clone()).unwrap_or_default();
            match self.read_endpoints(&known).await {
                Ok(list) => {
                    reachability.regained();
                    self.note_read();
                    self.take_endpoints(list);
                    tokio::time::sleep(endpoints_period(&self.bounds)).await;
                }
                Err(error) => {
                    self.metrics.count("platform.endpoints_read_failed");
                    reachability.lost(&error);
                    self.learn_from_peers().await;
                    tokio::time::sleep(RETRY_PERIOD).await;
                }
            }
        }
    }

    /// Reads registrations from the platform, and asks peers too if that takes long.
    async fn read_endpoints(&self, known: &EndpointList) -> Result<EndpointList> {
        let mut reading = pin!(self.source.refresh_endpoints(known));
        match tokio::time::timeout(SLOW_READ, &mut reading).await {
            Ok(read) => read,
            Err(_) => tokio::join!(reading, self.learn_from_peers()).0,
        }
    }

    fn take_endpoints(&self, list: EndpointList) {
        self.membership.lock().update(&list, self.clock.now());
        self.fleet.offer_endpoints(list);
        self.update_places();
    }

    /// Follows the addresses of peers until the task is dropped.
    pub(crate) async fn follow_peers(self: Arc<Watch<S>>, name: String, own: SocketAddr) {
        let mut is_registered = false;
        loop {
            if !is_registered {
                match self.source.register_peer(&name, own).await {
                    Ok(()) => is_registered = true,
                    Err(error) => log::warn!(error:% = error; "not registered yet"),
                }
            }
            match self.source.peers().await {
                Ok(addresses) => {
                    self.peers.set_registered(addresses);
                    self.update_places();
                }
                Err(error) => log::warn!(error:% = error; "peers can't be read"),
            }
            tokio::time::sleep(PEERS_PERIOD).await;
        }
    }

    async fn learn_from_peers(&self) {
        self.peers.learn(&self.fleet, &self.suspects).await;
        if let Some(list) = self.fleet.endpoints() {
            self.membership.lock().update_from_peer(&list, self.clock.now());
        }
        self.update_places();
    }

    fn update_places(&self) {
        let Some(config) = self.fleet.config() else { return };
        let read_to = self.fleet.endpoints().map_or(0, |list| list.read_to);
        let endpoints = self.membership.lock().endpoints();
        let list = EndpointList { read_to, endpoints };
        self.endpoint_set.update(&config, &list, &self.peers.owners());
    }

    fn note_read(&self) {
        *self.last_read.lock() = Some(Instant::now());
    }
}
