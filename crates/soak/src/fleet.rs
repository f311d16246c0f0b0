//! The fleet under test: stand-ins, proxies and real processes.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::Range,
    path::Path,
    time::{Duration, Instant},
};

use lynxmount_platform_standin::{
    Behaviour, Gate, GroupStandin, ReplicaStandin, StoreStandin,
    fixture::{
        CONFIG_KEY, EntryPorts, GroupService, IDEMPOTENT, NON_IDEMPOTENT, OPERATOR_TOPIC,
        REGISTRATIONS_TOPIC, RETRY_SLACK, STREAM, config_text, endpoint_settings_text,
        entry_settings_text, registration_text, service_of, with_retry_slack,
    },
};
use parking_lot::Mutex;

use crate::{
    Options,
    history::{ConfigRecord, Disturbance, Disturbed, History},
    plan::{LinkId, ProcessId, Size},
    poison::POISON_PATH,
    process::{Process, Program},
    promises::STREAM_EVENTS,
    proxy::Proxy,
};

/// The number of experts of the group.
pub(crate) const EXPERTS: usize = 16;

/// The API key that all configurations contain.
pub(crate) const COMMON_KEY: &str = "lasting-key";

const ENTRY_PORTS: EntryPorts =
    EntryPorts { callers: 8201, readiness: 8202, control: 8203, internal: 8204 };
/// What an entry may take: less than the largest crowds would.
const ENTRY_LIMITS: &str = "Limits.MemoryMb=96\nLimits.MaxFds=700\n";
const CALLERS_PROXY_PORT: u16 = 8211;
const STORE_PROXY_PORT: u16 = 8212;
const STORE_PORT: u16 = 8220;
const ENGINE_PORT: u16 = 8221;
const INTERNAL_PORT: u16 = 8222;
const ENDPOINT_PORT: u16 = 8230;
const ENDPOINT_PROXY_PORT: u16 = 8231;

/// Retries of a service that a small budget allows beyond their ratio, from all entries in a window.
const SMALL_RETRY_SLACK: u32 = 12;

/// The service time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// The gap between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(25);

/// The duration of a pass of the group.
const PASS_TIME: Duration = Duration::from_millis(20);

/// All parts of the fleet under test, and the history of the run.
pub(crate) struct Fleet {
    pub(crate) size: Size,
    pub(crate) started: Instant,
    pub(crate) store: StoreStandin,
    pub(crate) group: GroupStandin,
    pub(crate) endpoints: Vec<ReplicaStandin>,
    /// Closed while all endpoints of streams are stalled.
    pub(crate) streams: Gate,
    pub(crate) callers_links: Vec<Proxy>,
    /// The callers' ports of the entries, without the proxies of their callers.
    pub(crate) callers_addresses: Vec<SocketAddr>,
    pub(crate) endpoint_links: Vec<Proxy>,
    /// Held by a fault that takes records away and writes them again.
    pub(crate) store_records: tokio::sync::Mutex<()>,
    store_links: HashMap<String, Proxy>,
    processes: HashMap<String, Mutex<Process>>,
    /// All configurations that were written, as text.
    configs: Mutex<Vec<String>>,
    /// When the newest incarnations of endpoints began, by endpoint; without those of the start.
    born_ms: Mutex<HashMap<usize, u64>>,
    pub(crate) history: Mutex<History>,
}

impl Fleet {
    /// Starts the whole fleet. Runs with different numbers use different addresses.
    pub(crate) async fn start(options: &Options, folder: &Path) -> anyhow::Result<Fleet> {
        let Options { number, size, .. } = *options;
        let store = StoreStandin::start((loopback_ip(number, 0, 1), STORE_PORT).into()).await?;
        let engines: Vec<SocketAddr> = (0..size.ranks)
            .map(|rank| (loopback_ip(number, 2, rank), ENGINE_PORT).into())
            .collect();
        let group = GroupStandin::start("group", &engines, EXPERTS, PASS_TIME).await?;
        let mut fleet = Fleet {
            size,
            started: Instant::now(),
            store,
            group,
            endpoints: Vec::new(),
            streams: Gate::default(),
            callers_links: Vec::new(),
            callers_addresses: Vec::new(),
            endpoint_links: Vec::new(),
            store_records: tokio::sync::Mutex::default(),
            store_links: HashMap::new(),
            processes: HashMap::new(),
            configs: Mutex::default(),
            born_ms: Mutex::default(),
            history: Mutex::default(),
        };
        fleet.put_config(1);
        fleet.start_endpoints(number).await?;
        fleet.start_entries(options, folder).await?;
        for (rank, engine) in engines.iter().enumerate() {
            let service = service_of("model");
            let registration = registration_text(*engine, &service, "ready");
            fleet.store.put(REGISTRATIONS_TOPIC, &format!("rank-{rank}"), &registration);
            let id = ProcessId::Endpoint(rank);
            let link = fleet.start_store_link(id, engine.ip()).await?;
            let settings = endpoint_settings_text(*engine, &service, INTERNAL_PORT, link);
            fleet.start_process(options, folder, id, &settings)?;
        }
        Ok(fleet)
    }

    async fn start_endpoints(&mut self, number: u8) -> anyhow::Result<()> {
        for index in 0..3 * self.size.endpoints {
            let own = loopback_ip(number, 3, index);
            let behaviour = normal_behaviour(index, self.size);
            let target = (own, ENDPOINT_PORT).into();
            let endpoint = ReplicaStandin::start(&format!("i-{index}"), target, behaviour).await?;
            if route_of(index, self.size) == STREAM {
                endpoint.join_group(&self.streams);
            }
            let link = Proxy::start((own, ENDPOINT_PROXY_PORT).into(), target).await?;
            self.endpoints.push(endpoint);
            self.endpoint_links.push(link);
            self.register(index, "ready");
        }
        Ok(())
    }

    async fn start_entries(&mut self, options: &Options, folder: &Path) -> anyhow::Result<()> {
        let number = options.number;
        let seeds: Vec<SocketAddr> = (0..self.size.entries.min(seed_count(options.seed)))
            .map(|entry| (loopback_ip(number, 1, entry), ENTRY_PORTS.control).into())
            .collect();
        for entry in 0..self.size.entries {
            let own = loopback_ip(number, 1, entry);
            let id = ProcessId::Entry(entry);
            let store = self.start_store_link(id, own).await?;
            let settings = entry_settings_text(own, ENTRY_PORTS, store, &seeds);
            let settings = with_retry_slack(&settings, retry_slack(options.seed));
            let settings = format!("{settings}{ENTRY_LIMITS}");
            self.start_process(options, folder, id, &settings)?;
            let target = (own, ENTRY_PORTS.callers).into();
            let link = Proxy::start((own, CALLERS_PROXY_PORT).into(), target).await?;
            self.callers_links.push(link);
            self.callers_addresses.push(target);
        }
        Ok(())
    }

    async fn start_store_link(&mut self, id: ProcessId, own: IpAddr) -> anyhow::Result<SocketAddr> {
        let link = Proxy::start((own, STORE_PROXY_PORT).into(), self.store.address()).await?;
        let address = link.address();
        self.store_links.insert(process_name(id), link);
        Ok(address)
    }

    fn start_process(
        &mut self,
        options: &Options,
        folder: &Path,
        id: ProcessId,
        settings: &str,
    ) -> anyhow::Result<()> {
        let (command, without) = match id {
            ProcessId::Endpoint(_) => ("platform-endpoint", &[][..]),
            ProcessId::Entry(_) => ("platform-entry", &options.without[..]),
        };
        let mut program =
            Program::new(&options.binary, command, folder, &process_name(id), settings)?;
        program.without = without.to_vec();
        self.processes.insert(process_name(id), Mutex::new(Process::start(program)?));
        Ok(())
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn process(&self, id: ProcessId) -> &Mutex<Process> {
        &self.processes[&process_name(id)]
    }

    pub(crate) fn link(&self, id: LinkId) -> &Proxy {
        match id {
            LinkId::Callers(entry) => &self.callers_links[entry],
            LinkId::Endpoint(endpoint) => &self.endpoint_links[endpoint],
            LinkId::Store(process) => &self.store_links[&process_name(process)],
        }
    }

    /// Writes a configuration with the common key and the version's own key.
    pub(crate) fn put_config(&self, version: u64) {
        let service = service_of("model");
        let group = GroupService { service: &service, experts: EXPERTS };
        let text = config_text(version, &[COMMON_KEY, &version_key(version)], Some(group));
        let mut configs = self.configs.lock();
        configs.push(text.clone());
        self.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
        self.history.lock().configs.push(ConfigRecord { version, at: self.now() });
    }

    /// Writes the newest configuration again.
    pub(crate) fn rewrite_newest_config(&self) {
        let configs = self.configs.lock();
        if let Some(newest) = configs.last() {
            self.store.put(OPERATOR_TOPIC, CONFIG_KEY, newest);
        }
    }

    /// Writes the registration of an endpoint's newest incarnation.
    pub(crate) fn register(&self, endpoint: usize, state: &str) {
        let route = route_of(endpoint, self.size);
        let address = self.endpoint_links[endpoint].address();
        let registration = registration_text(address, &service_of(route), state);
        let registration = match self.born_ms.lock().get(&endpoint) {
            Some(born_ms) => registration.replacen('{', &format!(r#"{{"born":{born_ms},"#), 1),
            None => registration,
        };
        self.store.put(REGISTRATIONS_TOPIC, &self.endpoints[endpoint].instance_id(), &registration);
    }

    /// Writes the registration of an endpoint's next incarnation.
    pub(crate) fn register_restarted(&self, endpoint: usize) {
        let born_ms = self.now().as_millis() as u64;
        self.born_ms.lock().insert(endpoint, born_ms);
        self.register(endpoint, "ready");
    }

    /// The indices of the endpoints of streams.
    pub(crate) fn stream_endpoints(&self) -> Range<usize> {
        2 * self.size.endpoints..3 * self.size.endpoints
    }

    /// Resets an endpoint to its normal behaviour.
    pub(crate) fn reset_behaviour(&self, endpoint: usize) {
        self.endpoints[endpoint].set_behaviour(normal_behaviour(endpoint, self.size));
    }

    /// Records the start of a disturbance; returns its index for [`Fleet::end_disturbance`].
    pub(crate) fn start_disturbance(&self, what: Disturbed) -> usize {
        let from = self.now();
        let mut history = self.history.lock();
        history.disturbances.push(Disturbance { what, from, to: Duration::MAX });
        history.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub(crate) fn end_disturbance(&self, index: usize) {
        let now = self.now();
        self.history.lock().disturbances[index].to = now;
    }
}

/// The API key that only one version contains.
pub(crate) fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}

/// The route whose service an endpoint belongs to.
pub(crate) fn route_of(endpoint: usize, size: Size) -> &'static str {
    [IDEMPOTENT, NON_IDEMPOTENT, STREAM][endpoint / size.endpoints]
}

fn normal_behaviour(endpoint: usize, size: Size) -> Behaviour {
    let otherwise = Box::new(match route_of(endpoint, size) {
        STREAM => Behaviour::EchoStream { events: STREAM_EVENTS, gap: EVENT_GAP },
        _ => Behaviour::Echo { delay: SERVICE_TIME },
    });
    Behaviour::CrashOnRequest { path: POISON_PATH.to_owned(), otherwise }
}

/// Every second seed has a small retry budget, which a few pauses exhaust.
pub(crate) fn retry_slack(seed: u64) -> u32 {
    if seed.is_multiple_of(2) { RETRY_SLACK } else { SMALL_RETRY_SLACK }
}

/// Every third seed names a single entry, so that entries know the others only by the store.
fn seed_count(seed: u64) -> usize {
    if seed.is_multiple_of(3) { 1 } else { 3 }
}

pub(crate) fn process_name(id: ProcessId) -> String {
    match id {
        ProcessId::Endpoint(rank) => format!("endpoint-{rank}"),
        ProcessId::Entry(entry) => format!("entry-{entry}"),
    }
}

/// Returns a loopback address that is unique to a run, a kind of socket and an index.
fn loopback_ip(number: u8, kind: u8, index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 100 + kind, number, index as u8 + 1))
}
