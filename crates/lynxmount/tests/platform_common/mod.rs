//! Starts real processes against test doubles of the users' platform, on loopback.

#![allow(dead_code, unreachable_pub)]

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin, GroupStandin, ReplicaStandin, StoreStandin,
    fixture::{
        CONFIG_KEY, EntryPorts, GroupService, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, config_text,
        endpoint_settings_text, entry_settings_text, registration_text, service_of,
        with_retry_slack,
    },
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tempfile::TempDir;

const BINARY: &str = env!("CARGO_BIN_EXE_lynxmount");

const LOG_FILE: &str = "log.jsonl";

pub const CALLERS_PORT: u16 = 8101;
pub const READINESS_PORT: u16 = 8102;
pub const CONTROL_PORT: u16 = 8103;
pub const INTERNAL_PORT: u16 = 8104;
pub const REPLICA_PORT: u16 = 8110;
pub const STORE_PORT: u16 = 8120;
const ENGINE_PORT: u16 = 8130;

pub const KEY: &str = "key-of-claims";

/// Far longer than any expected wait; reaching it fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Allocates a loopback network, so that tests of one binary run in parallel.
pub fn allocate_network() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    // Other test binaries use another second octet.
    NEXT.fetch_add(1, Ordering::Relaxed)
}

pub fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 91, network, host))
}

/// A process that is killed when the test ends.
pub struct Process {
    pub child: Child,
    directory: TempDir,
}

impl Process {
    pub fn start(command: &str, settings: &str) -> Process {
        Process::start_with(command, settings, &[])
    }

    /// Starts an entry without mechanisms, which are separated by commas.
    pub fn start_without(command: &str, settings: &str, mechanisms: &str) -> Process {
        Process::start_with(command, settings, &["--without", mechanisms])
    }

    fn start_with(command: &str, settings: &str, arguments: &[&str]) -> Process {
        let directory = TempDir::new().expect("temporary directory is created");
        let path = directory.path().join("local.conf");
        fs::write(&path, settings).expect("settings are written");
        let log = fs::File::create(directory.path().join(LOG_FILE)).expect("log file is created");
        let child = Command::new(BINARY)
            .arg(command)
            .arg("--settings")
            .arg(&path)
            .args(arguments)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("process starts");
        Process { child, directory }
    }

    /// Log records of the process whose message equals `message`.
    pub fn logged(&self, message: &str) -> Vec<serde_json::Value> {
        self.log_records(|logged| logged == message)
    }

    /// Log records of the process whose message starts with `prefix`.
    pub fn logged_with_prefix(&self, prefix: &str) -> Vec<serde_json::Value> {
        self.log_records(|logged| logged.starts_with(prefix))
    }

    fn log_records(&self, is_match: impl Fn(&str) -> bool) -> Vec<serde_json::Value> {
        let log =
            fs::read_to_string(self.directory.path().join(LOG_FILE)).expect("log is readable");
        let records = log.lines().filter_map(|line| serde_json::from_str(line).ok());
        records
            .filter(|record: &serde_json::Value| record["message"].as_str().is_some_and(&is_match))
            .collect()
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("process is running");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Text of an entry's settings file.
pub fn entry_settings(own_ip: IpAddr, store: SocketAddr, seeds: &[IpAddr]) -> String {
    let seeds: Vec<SocketAddr> = seeds.iter().map(|ip| (*ip, CONTROL_PORT).into()).collect();
    let ports = EntryPorts {
        callers: CALLERS_PORT,
        readiness: READINESS_PORT,
        control: CONTROL_PORT,
        internal: INTERNAL_PORT,
    };
    entry_settings_text(own_ip, ports, store, &seeds)
}

/// A configuration with one route of each call kind; `keys` are the team's API keys.
pub fn config(version: u64, keys: &[&str]) -> String {
    config_text(version, keys, None)
}

pub fn registration(replica: &ReplicaStandin, route: &str, state: &str) -> String {
    registration_text(replica.address, &service_of(route), state)
}

/// A store, replicas of one service and an entry process.
pub struct Fleet {
    pub network: u8,
    pub store: StoreStandin,
    pub replicas: Vec<ReplicaStandin>,
    pub entry: Process,
}

impl Fleet {
    /// Starts a fleet and waits until its entry is ready.
    pub async fn start(service: &str, behaviours: &[Behaviour]) -> Fleet {
        let fleet = Fleet::start_unready(service, behaviours).await;
        fleet.wait_until_ready(entry_ip(fleet.network, 0)).await;
        fleet
    }

    pub async fn start_unready(service: &str, behaviours: &[Behaviour]) -> Fleet {
        Fleet::start_with_settings(service, behaviours, |settings| settings).await
    }

    /// Starts a fleet whose entry allows no retry.
    pub async fn start_without_retries(service: &str, behaviours: &[Behaviour]) -> Fleet {
        let fleet = Fleet::start_with_settings(service, behaviours, |settings| {
            settings
                .replace("RetryRatio=0.2", "RetryRatio=0")
                .replace("RetrySlack=88", "RetrySlack=0")
        })
        .await;
        fleet.wait_until_ready(entry_ip(fleet.network, 0)).await;
        fleet
    }

    /// Starts a fleet whose entry allows this many retries in a window beyond a fifth of the calls.
    pub async fn start_with_retry_slack(
        service: &str,
        behaviours: &[Behaviour],
        retry_slack: u32,
    ) -> Fleet {
        let fleet = Fleet::start_with_settings(service, behaviours, |settings| {
            with_retry_slack(&settings, retry_slack)
        })
        .await;
        fleet.wait_until_ready(entry_ip(fleet.network, 0)).await;
        fleet
    }

    async fn start_with_settings(
        service: &str,
        behaviours: &[Behaviour],
        edit: impl FnOnce(String) -> String,
    ) -> Fleet {
        Fleet::start_with_arguments(service, behaviours, edit, &[]).await
    }

    /// Starts a fleet whose entry has other settings and further arguments. It need not be ready.
    pub async fn start_with_arguments(
        service: &str,
        behaviours: &[Behaviour],
        edit: impl FnOnce(String) -> String,
        arguments: &[&str],
    ) -> Fleet {
        let network = allocate_network();
        let store =
            StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("store starts");
        store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(1, &[KEY]));
        let mut replicas = Vec::new();
        for (index, behaviour) in behaviours.iter().enumerate() {
            let address = (ip(network, 100 + index as u8), REPLICA_PORT).into();
            let id = format!("i-{index}");
            let replica = ReplicaStandin::start(&id, address, behaviour.clone())
                .await
                .expect("replica starts");
            store.put(REGISTRATIONS_TOPIC, &id, &registration(&replica, service, "ready"));
            replicas.push(replica);
        }
        let own_ip = entry_ip(network, 0);
        let settings = edit(entry_settings(own_ip, store.address(), &[]));
        let entry = Process::start_with("platform-entry", &settings, arguments);
        Fleet { network, store, replicas, entry }
    }

    pub fn address(&self) -> SocketAddr {
        (entry_ip(self.network, 0), CALLERS_PORT).into()
    }

    pub async fn wait_until_ready(&self, entry: IpAddr) {
        let readiness = SocketAddr::new(entry, READINESS_PORT);
        wait_for("entry readiness", async || {
            get(readiness, "/lynxmount/readyz").await == Some(StatusCode::OK)
        })
        .await;
    }

    /// Number of requests that reached the replicas.
    pub fn arrivals(&self) -> usize {
        self.replicas.iter().map(|replica| replica.requests().len()).sum()
    }
}

/// A group of engines with their endpoint processes.
pub struct EngineGroup {
    pub group: GroupStandin,
    pub engines: Vec<SocketAddr>,
    pub processes: Vec<Process>,
    pub store: StoreStandin,
}

impl EngineGroup {
    /// Starts a group with one set of experts; a pass takes `pass_period`.
    pub async fn start(
        network: u8,
        ranks: u8,
        experts: usize,
        pass_period: Duration,
    ) -> EngineGroup {
        EngineGroup::start_with_arguments(network, ranks, experts, pass_period, "", &[]).await
    }

    /// Starts a group whose processes have additional lines in their settings, and arguments.
    pub async fn start_with_arguments(
        network: u8,
        ranks: u8,
        experts: usize,
        pass_period: Duration,
        settings_lines: &str,
        arguments: &[&str],
    ) -> EngineGroup {
        let store =
            StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("store starts");
        let service = service_of("model");
        let text = GroupService { service: &service, experts };
        store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(1, &[], Some(text)));
        let engines: Vec<SocketAddr> =
            (0..ranks).map(|rank| (ip(network, 10 + rank), ENGINE_PORT).into()).collect();
        let group =
            GroupStandin::start("group", &engines, experts, pass_period).await.expect("group");
        let mut processes = Vec::new();
        for (rank, engine) in engines.iter().enumerate() {
            let registration = registration_text(*engine, &service, "ready");
            store.put(REGISTRATIONS_TOPIC, &format!("i-{rank}"), &registration);
            let settings =
                endpoint_settings_text(*engine, &service, INTERNAL_PORT, store.address());
            let settings = format!("{settings}{settings_lines}");
            processes.push(Process::start_with("platform-endpoint", &settings, arguments));
        }
        EngineGroup { group, engines, processes, store }
    }
}

pub fn entry_ip(network: u8, index: u8) -> IpAddr {
    ip(network, 10 + index)
}

/// Polls a condition until it holds.
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    assert!(waited.is_ok(), "timed out waiting for {what}");
}

/// Waits until an entry has a share of what is divided among all entries, such as retries.
pub async fn wait_for_share(entry: &Process) {
    wait_for("a share of the retry budget", async || {
        let changes = entry.logged("membership evidence changed");
        changes.last().is_some_and(|change| change.to_string().contains("Current"))
    })
    .await;
}

/// A response as its caller received it; `body` is `None` if it was truncated.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub retry_after_s: Option<f64>,
    pub signature: Option<String>,
    pub body: Option<Bytes>,
}

/// Sends a request on a new connection. Returns `None` if no response head arrives.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: &str,
) -> Option<CallerResponse> {
    let call = Call {
        id: "attempt-1".to_owned(),
        method,
        path: path.to_owned(),
        key: key.to_owned(),
        time_left: Duration::from_millis(3000),
        prompt_parts: Vec::new(),
    };
    match CallerStandin::new(address).call(&call).await {
        CallerOutcome::Response(response) => Some(CallerResponse {
            status: response.status,
            retry_after_s: response.retry_after_s,
            signature: response.signature,
            body: response.is_complete.then_some(response.body),
        }),
        CallerOutcome::Abandoned(_) | CallerOutcome::NoResponse | CallerOutcome::NoConnection => {
            None
        }
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Option<StatusCode> {
    call(address, Method::GET, path, KEY).await.map(|response| response.status)
}
