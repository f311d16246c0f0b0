//! A cached copy of the endpoint registrations, restricted to the engine's own service.
//!
//! Rendezvous hashing of a group's name selects the group's directories among them.

use std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{
    Clock, ConfigVersion, EndpointList, EndpointRecord, FailureDomainId, Result, ServiceId,
    adapter::FleetSource,
};
use lynxmount_link::{FleetQuery, query_fleet};
use lynxmount_policy::{Membership, rendezvous};
use parking_lot::Mutex;

/// How often registrations are read. Only the replacement of a machine changes a group's
/// directories, so they may be stale for that long.
const REFRESH_PERIOD: Duration = Duration::from_secs(12);

/// How often registrations are read while the own engine is not registered or ranks of its
/// group are missing. Entries know no endpoints just after a failure of all processes: with
/// 700 ms the first leader began 0.77 s after its start. Processes that had read while engines
/// were still registering selected different directories, and a group was not balanced for
/// 12 s.
const STARTUP_PERIOD: Duration = Duration::from_millis(200);

/// How often registrations are read after the store was restored from an older copy: live engines
/// have registered again by then.
const RESTORED_PERIOD: Duration = Duration::from_secs(3);

/// How late a read of registrations may be where some entries do not answer.
const MAX_READ_DELAY: Duration = Duration::from_secs(2);

/// Heartbeats that an engine has missed when its registration expires.
const LEASE_HEARTBEATS: u32 = 3;

/// How many directories a group has: one, and a spare.
const DIRECTORIES: usize = 2;

/// A registered engine. Its name, the address as text, is the hash key.
struct RegisteredEngine {
    address: SocketAddr,
    failure_domain: FailureDomainId,
    name: String,
}

#[derive(Default)]
struct ServiceEndpoints {
    service: Option<ServiceId>,
    engines: Vec<RegisteredEngine>,
}

/// The registered engines of the own service.
pub(crate) struct Registry {
    clock: Clock,
    /// The own service, if the settings name it.
    configured_service: Option<ServiceId>,
    membership: Mutex<Membership>,
    endpoints: Mutex<ServiceEndpoints>,
}

impl Registry {
    /// Starts without engines. They renew their registrations with every heartbeat.
    pub(crate) fn new(
        clock: Clock,
        heartbeat: Duration,
        configured_service: Option<ServiceId>,
    ) -> Registry {
        let lease = heartbeat * LEASE_HEARTBEATS;
        let membership = Membership::new(true, REFRESH_PERIOD + MAX_READ_DELAY, lease);
        let (membership, endpoints) = (Mutex::new(membership), Mutex::default());
        Registry { clock, configured_service, membership, endpoints }
    }

    /// The registered engines.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.endpoints.lock().engines.iter().map(|engine| engine.address).collect()
    }

    /// The own service; `None` until the own engine is found registered.
    pub(crate) fn service(&self) -> Option<ServiceId> {
        self.endpoints.lock().service.clone()
    }

    /// The engines whose processes are directories of a group.
    pub(crate) fn directories(&self, group: &str) -> Vec<SocketAddr> {
        let endpoints = self.endpoints.lock();
        let selected = rendezvous(group, &endpoints.engines, |engine| &engine.name, DIRECTORIES);
        selected.into_iter().map(|engine| engine.address).collect()
    }

    /// The failure domain of a registered engine.
    pub(crate) fn failure_domain(&self, engine: SocketAddr) -> Option<FailureDomainId> {
        let endpoints = self.endpoints.lock();
        let index = endpoints.engines.binary_search_by_key(&engine, |e| e.address).ok()?;
        Some(endpoints.engines[index].failure_domain.clone())
    }

    fn is_registered(&self, engine: SocketAddr) -> bool {
        self.endpoints.lock().engines.iter().any(|registered| registered.address == engine)
    }

    /// Replaces the cached registrations, unless the own engine is not among the new ones.
    fn update(&self, list: &EndpointList, service: Option<ServiceId>) {
        let mut membership = self.membership.lock();
        membership.update(list, self.clock.now());
        let Some(service) = service else { return };
        let of_service = membership.endpoints(|configured| *configured == service);
        let to_engine = |endpoint: &EndpointRecord| RegisteredEngine {
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.clone(),
            name: endpoint.address.to_string(),
        };
        let mut engines: Vec<RegisteredEngine> = of_service.iter().map(to_engine).collect();
        engines.sort_by_key(|engine| engine.address);
        engines.dedup_by_key(|engine| engine.address);
        *self.endpoints.lock() = ServiceEndpoints { service: Some(service), engines };
    }

    /// The service of the own engine, once it is registered. A registration at its address may come
    /// from another writer, or be left from another service that had the address, so that the settings
    /// are asked first. Without them, of several services a configured one is valid, and one with
    /// engines goes before a plain one.
    async fn own_service(
        &self,
        source: &impl FleetSource,
        list: &EndpointList,
        own: SocketAddr,
    ) -> Option<ServiceId> {
        let at_own_address = list.endpoints.iter().filter(|endpoint| endpoint.address == own);
        let services: BTreeSet<&ServiceId> = at_own_address.map(|e| &e.service).collect();
        if let Some(configured) = &self.configured_service {
            return services.get(configured).map(|service| ServiceId::clone(service));
        }
        if services.len() < 2 {
            return services.into_iter().next().cloned();
        }
        match source.config_from(None, Duration::ZERO).await {
            Ok(config) => {
                let config = config.value?;
                let specs = config.services.iter().filter(|spec| services.contains(&spec.id));
                let preferred = specs.min_by_key(|spec| (Reverse(spec.engine.is_some()), &spec.id));
                preferred.map(|spec| ServiceId::clone(&spec.id))
            }
            Err(error) => {
                log::warn!(error:% = error; "configuration read failed");
                None
            }
        }
    }

    /// Refreshes the registrations until the task is dropped.
    pub(crate) async fn run(
        self: Arc<Registry>,
        source: Arc<impl FleetSource>,
        seeds: Vec<SocketAddr>,
        own: SocketAddr,
        is_discovering: impl Fn() -> bool,
    ) {
        let mut list = EndpointList::default();
        let mut is_restored = false;
        loop {
            match read(&*source, &seeds, &list).await {
                Ok(read) => {
                    is_restored = read.as_of.era > list.as_of.era;
                    list = read;
                    self.update(&list, self.own_service(&*source, &list, own).await);
                }
                Err(error) => log::warn!(error:% = error; "registration refresh failed"),
            }
            let is_settled = self.is_registered(own) && !is_discovering();
            let period = match is_settled {
                true if is_restored => RESTORED_PERIOD,
                true => REFRESH_PERIOD,
                false => STARTUP_PERIOD,
            };
            tokio::time::sleep(period).await;
        }
    }
}

/// Reads the registrations from the first entry that answers, which has a copy of its own, or
/// else from the platform.
async fn read(
    source: &impl FleetSource,
    seeds: &[SocketAddr],
    list: &EndpointList,
) -> Result<EndpointList> {
    for seed in seeds {
        let asked = FleetQuery {
            config_after: Some(ConfigVersion::MAX),
            endpoints_after: Some(list.as_of),
            crash_reports_digest: None,
        };
        match query_fleet(*seed, asked).await {
            Ok(known) => return Ok(known.endpoints.unwrap_or_else(|| list.clone())),
            Err(error) => log::debug!("{error}"),
        }
    }
    source.refresh_endpoints(list).await
}
