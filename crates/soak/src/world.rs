//! The fleet of a run: stand-ins, proxies and real processes.

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
        REGISTRATIONS_TOPIC, STREAM, config_text, endpoint_settings_text, entry_settings_text,
        registration_text, restarted_registration_text, service_of,
    },
};
use parking_lot::Mutex;

use crate::{
    Options,
    history::{ConfigRecord, Disturbance, Disturbed, History},
    plan::{LinkId, ProcessId, Size},
    poison::POISON,
    process::{Process, Program},
    promises::STREAM_EVENTS,
    proxy::Proxy,
};

/// Experts of the group.
pub(crate) const EXPERTS: usize = 16;

/// The key that all configurations have.
pub(crate) const LASTING_KEY: &str = "lasting-key";

const ENTRY_PORTS: EntryPorts =
    EntryPorts { callers: 8201, readiness: 8202, control: 8203, internal: 8204 };
const CALLERS_PROXY_PORT: u16 = 8211;
const STORE_PROXY_PORT: u16 = 8212;
const STORE_PORT: u16 = 8220;
const ENGINE_PORT: u16 = 8221;
const INTERNAL_PORT: u16 = 8222;
const ENDPOINT_PORT: u16 = 8230;
const ENDPOINT_PROXY_PORT: u16 = 8231;

/// How long an endpoint takes for a call, and for each event of a stream.
const WORK: Duration = Duration::from_millis(20);
const EVENT_PAUSE: Duration = Duration::from_millis(25);

/// How long a pass of the group takes.
const PASS: Duration = Duration::from_millis(20);

/// Everything of a run.
pub(crate) struct World {
    pub(crate) size: Size,
    pub(crate) started: Instant,
    pub(crate) store: StoreStandin,
    pub(crate) group: GroupStandin,
    pub(crate) endpoints: Vec<ReplicaStandin>,
    /// Closed while all endpoints of streams stand still.
    pub(crate) streams: Gate,
    pub(crate) callers_links: Vec<Proxy>,
    pub(crate) endpoint_links: Vec<Proxy>,
    store_links: HashMap<String, Proxy>,
    processes: HashMap<String, Mutex<Process>>,
    pub(crate) history: Mutex<History>,
}

impl World {
    /// Starts everything. Runs with other numbers use other addresses.
    pub(crate) async fn start(options: &Options, folder: &Path) -> anyhow::Result<World> {
        let Options { number, size, .. } = *options;
        let store = StoreStandin::start((ip(number, 0, 1), STORE_PORT).into()).await?;
        let engines: Vec<SocketAddr> =
            (0..size.ranks).map(|rank| (ip(number, 2, rank), ENGINE_PORT).into()).collect();
        let group = GroupStandin::start("group", &engines, EXPERTS, PASS).await?;
        let mut world = World {
            size,
            started: Instant::now(),
            store,
            group,
            endpoints: Vec::new(),
            streams: Gate::default(),
            callers_links: Vec::new(),
            endpoint_links: Vec::new(),
            store_links: HashMap::new(),
            processes: HashMap::new(),
            history: Mutex::default(),
        };
        world.put_config(1);
        world.start_endpoints(number).await?;
        world.start_entries(options, folder).await?;
        for (rank, engine) in engines.iter().enumerate() {
            let registration = registration_text(*engine, &service_of("model"), "ready");
            world.store.put(REGISTRATIONS_TOPIC, &format!("rank-{rank}"), &registration);
            let id = ProcessId::Endpoint(rank);
            let link = world.start_store_link(id, engine.ip()).await?;
            let settings = endpoint_settings_text(*engine, INTERNAL_PORT, link);
            world.start_process(options, folder, id, &settings)?;
        }
        Ok(world)
    }

    async fn start_endpoints(&mut self, number: u8) -> anyhow::Result<()> {
        for index in 0..3 * self.size.endpoints {
            let own = ip(number, 3, index);
            let behaviour = good_behaviour(index, self.size);
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
        let seeds: Vec<SocketAddr> = (0..self.size.entries.min(3))
            .map(|entry| (ip(number, 1, entry), ENTRY_PORTS.control).into())
            .collect();
        for entry in 0..self.size.entries {
            let own = ip(number, 1, entry);
            let id = ProcessId::Entry(entry);
            let store = self.start_store_link(id, own).await?;
            let settings = entry_settings_text(own, ENTRY_PORTS, store, &seeds);
            self.start_process(options, folder, id, &settings)?;
            let target = (own, ENTRY_PORTS.callers).into();
            let link = Proxy::start((own, CALLERS_PROXY_PORT).into(), target).await?;
            self.callers_links.push(link);
        }
        Ok(())
    }

    async fn start_store_link(&mut self, id: ProcessId, own: IpAddr) -> anyhow::Result<SocketAddr> {
        let link = Proxy::start((own, STORE_PROXY_PORT).into(), self.store.address()).await?;
        let address = link.address();
        self.store_links.insert(name(id), link);
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
        let mut program = Program::new(&options.binary, command, folder, &name(id), settings)?;
        program.without = without.to_vec();
        self.processes.insert(name(id), Mutex::new(Process::start(program)?));
        Ok(())
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn process(&self, id: ProcessId) -> &Mutex<Process> {
        &self.processes[&name(id)]
    }

    pub(crate) fn link(&self, id: LinkId) -> &Proxy {
        match id {
            LinkId::Callers(entry) => &self.callers_links[entry],
            LinkId::Endpoint(endpoint) => &self.endpoint_links[endpoint],
            LinkId::Store(process) => &self.store_links[&name(process)],
        }
    }

    /// Writes a configuration: one key of its own, and the lasting one.
    pub(crate) fn put_config(&self, version: u64) {
        let service = service_of("model");
        let group = GroupService { service: &service, experts: EXPERTS };
        let text = config_text(version, &[LASTING_KEY, &version_key(version)], Some(group));
        self.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
        self.history.lock().configs.push(ConfigRecord { version, at: self.now() });
    }

    /// Writes an endpoint's registration.
    pub(crate) fn register(&self, endpoint: usize, state: &str) {
        let route = route_of(endpoint, self.size);
        let address = self.endpoint_links[endpoint].address();
        let registration = registration_text(address, &service_of(route), state);
        self.store.put(REGISTRATIONS_TOPIC, &self.endpoints[endpoint].instance_id(), &registration);
    }

    /// Writes the registration of a later life of an endpoint.
    pub(crate) fn register_later_life(&self, endpoint: usize) {
        let address = self.endpoint_links[endpoint].address();
        let service = service_of(route_of(endpoint, self.size));
        let born_ms = self.now().as_millis() as u64;
        let registration = restarted_registration_text(address, &service, born_ms);
        self.store.put(REGISTRATIONS_TOPIC, &self.endpoints[endpoint].instance_id(), &registration);
    }

    /// The endpoints of streams.
    pub(crate) fn stream_endpoints(&self) -> Range<usize> {
        2 * self.size.endpoints..3 * self.size.endpoints
    }

    /// Lets an endpoint answer well.
    pub(crate) fn mend(&self, endpoint: usize) {
        self.endpoints[endpoint].set_behaviour(good_behaviour(endpoint, self.size));
    }

    /// Notes what is disturbed from now on; its end is set later.
    pub(crate) fn note_begin(&self, what: Disturbed) -> usize {
        let from = self.now();
        let mut history = self.history.lock();
        history.disturbances.push(Disturbance { what, from, to: Duration::MAX });
        history.disturbances.len() - 1
    }

    pub(crate) fn note_end(&self, index: usize) {
        let now = self.now();
        self.history.lock().disturbances[index].to = now;
    }
}

/// The key that only one version has.
pub(crate) fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}

/// The route whose service an endpoint belongs to.
pub(crate) fn route_of(endpoint: usize, size: Size) -> &'static str {
    [IDEMPOTENT, NON_IDEMPOTENT, STREAM][endpoint / size.endpoints]
}

fn good_behaviour(endpoint: usize, size: Size) -> Behaviour {
    let otherwise = Box::new(match route_of(endpoint, size) {
        STREAM => Behaviour::EchoStream { events: STREAM_EVENTS, gap: EVENT_PAUSE },
        _ => Behaviour::Echo { delay: WORK },
    });
    Behaviour::CrashOnRequest { path: POISON.to_owned(), otherwise }
}

pub(crate) fn name(id: ProcessId) -> String {
    match id {
        ProcessId::Endpoint(rank) => format!("endpoint-{rank}"),
        ProcessId::Entry(entry) => format!("entry-{entry}"),
    }
}

/// An address of its own for each; `kind` tells what it is for.
fn ip(number: u8, kind: u8, index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 100 + kind, number, index as u8 + 1))
}
