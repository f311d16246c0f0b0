//! Watches the platform for configurations, endpoint registrations and peers.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use lynxmount_core::{
    Clock, EndpointList, FleetConfig, LogEra, Result, ServiceId, SiteBounds, adapter::FleetSource,
};
use lynxmount_policy::{
    MEMBERSHIP_CONVERGENCE_TIME, Membership, MembershipEvidence, PEER_RENEWAL_PERIOD,
};
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    config_poll::ConfigPoll,
    endpoint_set::EndpointSet,
    fleet::Fleet,
    misdirections::Misdirections,
    peers::{EntryShares, Peers},
};

/// Polling period of registrations, as a fraction of the time within which a draining endpoint must
/// get no more calls. It leaves time for one lost read.
const ENDPOINTS_PERIOD_FRACTION: f64 = 0.425;

/// Heartbeats that an endpoint has missed when its registration expires.
const LEASE_HEARTBEATS: u32 = 3;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Duration of a read from the store after which peers are queried, too. The store responds in
/// 4 ms, and in 240 ms while it is slow. The endpoint list is then at most as old as its polling
/// period, this time and a peer's polling period together: 3.7 s where draining endpoints must get
/// no more calls after 4 s. Without peers, it would be as old as the outage.
const SLOW_READ: Duration = Duration::from_millis(300);

/// Polling period of peers' addresses.
const PEERS_PERIOD: Duration = Duration::from_secs(8);

/// The same at the start and while registrations are missing; it doubles with each complete read.
const MIN_PEERS_PERIOD: Duration = Duration::from_secs(1);

// Endpoints' rate limits are shared among all entries, which must know each other by then.
const _: () = assert!(PEERS_PERIOD.as_millis() < MEMBERSHIP_CONVERGENCE_TIME.as_millis());

/// Polling period of registrations.
pub(crate) fn endpoints_period(bounds: &SiteBounds) -> Duration {
    bounds.drain.mul_f64(ENDPOINTS_PERIOD_FRACTION)
}

/// Time after which the registration of an endpoint that does not renew it expires.
pub(crate) fn registration_lease(bounds: &SiteBounds) -> Duration {
    bounds.heartbeat * LEASE_HEARTBEATS
}

/// Watches the platform; shared by the watching tasks.
pub(crate) struct FleetWatch<S> {
    pub(crate) source: Arc<S>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) endpoint_set: Arc<EndpointSet>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) bounds: SiteBounds,
    /// When the platform was last read.
    pub(crate) last_read_at: Arc<Mutex<Option<Instant>>>,
    pub(crate) membership: Mutex<Membership>,
    /// Notified when registrations can be read again.
    pub(crate) store_regained: Notify,
    /// Notified when a read of the platform is slow or has failed.
    pub(crate) pull_requested: Notify,
    /// Notified when other long polls at the platform may have been lost, too.
    pub(crate) poll_loss_suspected: Arc<Notify>,
    /// The latest era of the store that a read has shown.
    pub(crate) era: Mutex<Option<LogEra>>,
    /// Notified when registrations of peers may have been lost.
    pub(crate) peers_read_requested: Notify,
    /// The number of entries, including this one, that was last applied; 0 before.
    pub(crate) entry_count: AtomicUsize,
    /// The evidence that was last applied.
    pub(crate) evidence: Mutex<MembershipEvidence>,
}

/// Logs when a dependency becomes unreachable and when it is reachable again.
pub(crate) struct Reachability {
    dependency: &'static str,
    lost_at: Option<Instant>,
}

impl Reachability {
    pub(crate) fn new(dependency: &'static str) -> Reachability {
        Reachability { dependency, lost_at: None }
    }

    pub(crate) fn on_failure(&mut self, error: &lynxmount_core::Error) {
        if self.lost_at.is_none() {
            log::warn!(what = self.dependency, error:% = error; "dependency lost");
            self.lost_at = Some(Instant::now());
        }
    }

    /// Records a success. Returns whether the dependency was unreachable before.
    pub(crate) fn on_success(&mut self) -> bool {
        let Some(at) = self.lost_at.take() else { return false };
        let out_ms = at.elapsed().as_millis() as u64;
        log::info!(what = self.dependency, out_ms; "dependency regained");
        true
    }
}

impl<S: FleetSource> FleetWatch<S> {
    /// Watches the configuration until the task is dropped.
    pub(crate) async fn watch_config(self: Arc<FleetWatch<S>>) {
        let mut reachability = Reachability::new("configuration");
        let mut poll = ConfigPoll::new(&self.bounds);
        loop {
            let read = tokio::select! {
                read = poll.read(&*self.source, || self.on_poll_hedged()) => read,
                // A hint only: a poll that the store received during its outage is not answered.
                () = self.store_regained.notified() => continue,
            };
            match read {
                Ok(update) => {
                    reachability.on_success();
                    self.record_read(poll.next().map(|next| next.era));
                    update.into_iter().for_each(|config| self.apply_config(config));
                }
                Err(error) => {
                    self.metrics.count("platform.config_read_failed");
                    reachability.on_failure(&error);
                    self.pull_requested.notify_one();
                }
            }
        }
    }

    fn on_poll_hedged(&self) {
        self.metrics.count("platform.config_poll_hedged");
        log::info!("configuration poll hedged");
        self.pull_requested.notify_one();
        self.poll_loss_suspected.notify_one();
    }

    fn apply_config(&self, config: FleetConfig) {
        let version = config.version;
        if self.fleet.update_config(config) {
            log::info!(version; "configuration applied");
            self.update_endpoint_set();
            return;
        }
        let in_force = self.fleet.config().map(|view| view.config.version);
        if in_force > Some(version) {
            self.metrics.count("platform.config_ignored");
            log::info!(version, in_force; "older configuration ignored");
        }
    }

    /// Watches registrations until the task is dropped.
    pub(crate) async fn watch_endpoints(self: Arc<FleetWatch<S>>) {
        let mut reachability = Reachability::new("endpoints");
        loop {
            let current = self.fleet.endpoints().map(|list| (*list).clone()).unwrap_or_default();
            match self.read_endpoints(&current).await {
                Ok(list) => {
                    if reachability.on_success() {
                        self.store_regained.notify_one();
                        self.peers_read_requested.notify_one();
                        self.poll_loss_suspected.notify_one();
                    }
                    self.record_read(Some(list.as_of.era));
                    self.apply_endpoints(list);
                    tokio::time::sleep(endpoints_period(&self.bounds)).await;
                }
                Err(error) => {
                    self.metrics.count("platform.endpoints_read_failed");
                    reachability.on_failure(&error);
                    self.pull_requested.notify_one();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads registrations from the platform, and requests a pull from peers if that is slow.
    async fn read_endpoints(&self, current: &EndpointList) -> Result<EndpointList> {
        let mut read = pin!(self.source.refresh_endpoints(current));
        match tokio::time::timeout(SLOW_READ, &mut read).await {
            Ok(result) => result,
            Err(_) => {
                self.pull_requested.notify_one();
                read.await
            }
        }
    }

    fn apply_endpoints(&self, list: EndpointList) {
        self.membership.lock().update(&list, self.clock.now());
        self.fleet.update_endpoints(list);
        self.update_endpoint_set();
    }

    /// Lets other registrations take the addresses at which calls were misdirected, until the task is
    /// dropped.
    pub(crate) async fn apply_misdirections(
        self: Arc<FleetWatch<S>>,
        misdirections: Arc<Misdirections>,
    ) {
        loop {
            let endpoints = misdirections.next().await;
            let now = self.clock.now();
            let mut membership = self.membership.lock();
            let is_contested = |(id, started_ms)| membership.on_misdirected(id, started_ms, now);
            let contested = endpoints.into_iter().map(is_contested).filter(|c| *c).count();
            drop(membership);
            if contested > 0 {
                log::warn!(contested; "registrations disproved");
                self.update_endpoint_set();
            }
        }
    }

    /// Registers this process and watches the addresses of its peers until the task is dropped.
    pub(crate) async fn watch_peers(self: Arc<FleetWatch<S>>, name: String, own: SocketAddr) {
        if let Ok((end, registrations)) = self.source.peers().await {
            self.peers.determine_predecessor(end, &registrations).await;
        }
        let mut registered_at: Option<Duration> = None;
        let mut period = MIN_PEERS_PERIOD;
        loop {
            let is_due = |at: Duration| self.clock.now() >= at + PEER_RENEWAL_PERIOD;
            if registered_at.is_none_or(is_due) {
                registered_at = self.register(&name, own).await.or(registered_at);
            }
            let is_listed = self.read_peers().await;
            registered_at = registered_at.filter(|_| is_listed != Some(false));
            let is_complete =
                registered_at.is_some() && is_listed.is_some() && self.peers.are_settled();
            period = if is_complete { (period * 2).min(PEERS_PERIOD) } else { MIN_PEERS_PERIOD };
            // A hint only: each read shows by itself whether registrations were lost.
            let _ = tokio::time::timeout(period, self.peers_read_requested.notified()).await;
        }
    }

    /// Registers this process, and returns when it did.
    async fn register(&self, name: &str, own: SocketAddr) -> Option<Duration> {
        let result = self.source.register_peer(name, own).await;
        let registered = result.map_err(|e| log::warn!(error:% = e; "peer registration failed"));
        registered.ok().map(|()| self.clock.now())
    }

    /// Reads the registrations of peers, and returns whether this process is among them; `None` if
    /// they can't be read.
    async fn read_peers(&self) -> Option<bool> {
        let read = self.source.peers().await;
        let (end, registrations) =
            read.map_err(|e| log::warn!(error:% = e; "peer registrations not read")).ok()?;
        self.peers.set_registered(end.era, &registrations, self.clock.now());
        self.update_endpoint_set();
        Some(self.peers.is_listed(&registrations))
    }

    /// Pulls state from peers at the start and when it is requested, until the task is dropped. Reads
    /// of the platform do not wait for it, as peers that are down respond late.
    pub(crate) async fn serve_pull_requests(self: Arc<FleetWatch<S>>) {
        loop {
            self.pull_from_peers().await;
            self.pull_requested.notified().await;
        }
    }

    async fn pull_from_peers(&self) {
        self.peers.pull(&self.fleet, &self.quarantine).await;
        if let Some(list) = self.fleet.endpoints() {
            self.membership.lock().update_from_peer(&list, self.clock.now());
        }
        self.update_endpoint_set();
    }

    fn update_endpoint_set(&self) {
        let Some(config) = self.fleet.config() else { return };
        let as_of = self.fleet.endpoints().map(|list| list.as_of).unwrap_or_default();
        let is_configured = |service: &ServiceId| {
            config.config.services.iter().any(|configured| configured.id == *service)
        };
        let endpoints = self.membership.lock().endpoints(is_configured);
        let list = EndpointList { as_of, endpoints };
        let shares = self.peers.shares(self.clock.now());
        self.record_shares(&shares);
        self.endpoint_set.update(&config, &list, &shares);
    }

    /// Logs what limits and budgets are divided by, and whether all entries are known.
    fn record_shares(&self, shares: &EntryShares) {
        let (entries, evidence) = (shares.owners.entries(), shares.evidence);
        let before = self.entry_count.swap(entries, Ordering::Relaxed);
        if before != entries {
            log::info!(entries, before, evidence:? = evidence; "entry count changed");
        }
        let before = std::mem::replace(&mut *self.evidence.lock(), evidence);
        if before != evidence {
            self.metrics.count("entries.evidence_changed");
            log::info!(entries, evidence:? = evidence, before:? = before;
                "membership evidence changed");
        }
    }

    fn record_read(&self, era: Option<LogEra>) {
        *self.last_read_at.lock() = Some(Instant::now());
        let mut known = self.era.lock();
        let is_restored = known.is_some() && *known < era;
        *known = era.max(*known);
        drop(known);
        if is_restored {
            self.on_store_restored();
        }
    }

    /// Peers may have read what the store has lost, and other reads need not wait until their polls
    /// end.
    fn on_store_restored(&self) {
        self.metrics.count("platform.store_restored");
        self.pull_requested.notify_one();
        self.poll_loss_suspected.notify_one();
        self.peers_read_requested.notify_one();
    }
}
