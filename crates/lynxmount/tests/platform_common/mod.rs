//! Real processes against stand-ins of the users' platform, on loopback.

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
    Behaviour, Call, CallerStandin, ReplicaStandin, StoreStandin, Told,
    fixture::{
        CONFIG_KEY, EntryPorts, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, config_text,
        entry_settings_text, registration_text, service_of,
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

pub const KEY: &str = "key-of-claims";

/// Far longer than anything waits; reaching it fails the test.
pub const GIVE_UP_AFTER: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// A loopback network of its own for each test, so that tests run side by side.
pub fn network() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    // Other test binaries use networks with another second byte.
    NEXT.fetch_add(1, Ordering::Relaxed)
}

pub fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 91, network, host))
}

/// A process that is killed when the test ends.
pub struct Process {
    pub child: Child,
    folder: TempDir,
}

impl Process {
    pub fn start(command: &str, settings: &str) -> Process {
        let folder = TempDir::new().expect("a folder");
        let path = folder.path().join("local.conf");
        fs::write(&path, settings).expect("settings are written");
        let log = fs::File::create(folder.path().join(LOG_FILE)).expect("a file for the log");
        let child = Command::new(BINARY)
            .arg(command)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("the process starts");
        Process { child, folder }
    }

    /// The lines that the process has logged with this message.
    pub fn logged(&self, message: &str) -> Vec<serde_json::Value> {
        self.lines(|logged| logged == message)
    }

    /// The lines that the process has logged with a message that begins so.
    pub fn logged_beginning(&self, start: &str) -> Vec<serde_json::Value> {
        self.lines(|logged| logged.starts_with(start))
    }

    fn lines(&self, is_meant: impl Fn(&str) -> bool) -> Vec<serde_json::Value> {
        let log = fs::read_to_string(self.folder.path().join(LOG_FILE)).expect("a log");
        let lines = log.lines().filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &serde_json::Value| line["message"].as_str().is_some_and(&is_meant))
            .collect()
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process is there");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings of an entry.
pub fn entry_settings(own: IpAddr, store: SocketAddr, seeds: &[IpAddr]) -> String {
    let seeds: Vec<SocketAddr> = seeds.iter().map(|ip| (*ip, CONTROL_PORT).into()).collect();
    let ports = EntryPorts {
        callers: CALLERS_PORT,
        readiness: READINESS_PORT,
        control: CONTROL_PORT,
        internal: INTERNAL_PORT,
    };
    entry_settings_text(own, ports, store, &seeds)
}

/// A configuration with one route of each kind; `keys` are those of the team.
pub fn config(version: u64, keys: &[&str]) -> String {
    config_text(version, keys, None)
}

pub fn registration(replica: &ReplicaStandin, route: &str, state: &str) -> String {
    registration_text(replica.address, &service_of(route), state)
}

/// A store, two replicas of a service, and an entry.
pub struct Fleet {
    pub network: u8,
    pub store: StoreStandin,
    pub replicas: Vec<ReplicaStandin>,
    pub entry: Process,
}

impl Fleet {
    /// Starts a fleet whose entry is ready.
    pub async fn start(service: &str, behaviours: &[Behaviour]) -> Fleet {
        let fleet = Fleet::start_unready(service, behaviours).await;
        fleet.wait_until_ready(entry_ip(fleet.network, 0)).await;
        fleet
    }

    pub async fn start_unready(service: &str, behaviours: &[Behaviour]) -> Fleet {
        let network = network();
        let store =
            StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("a store");
        store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(1, &[KEY]));
        let mut replicas = Vec::new();
        for (index, behaviour) in behaviours.iter().enumerate() {
            let address = (ip(network, 100 + index as u8), REPLICA_PORT).into();
            let id = format!("i-{index}");
            let replica =
                ReplicaStandin::start(&id, address, behaviour.clone()).await.expect("a replica");
            store.put(REGISTRATIONS_TOPIC, &id, &registration(&replica, service, "ready"));
            replicas.push(replica);
        }
        let own = entry_ip(network, 0);
        let entry = Process::start("platform-entry", &entry_settings(own, store.address(), &[]));
        Fleet { network, store, replicas, entry }
    }

    pub fn address(&self) -> SocketAddr {
        (entry_ip(self.network, 0), CALLERS_PORT).into()
    }

    pub async fn wait_until_ready(&self, entry: IpAddr) {
        let readiness = SocketAddr::new(entry, READINESS_PORT);
        wait_for("the entry to be ready", async || {
            get(readiness, "/lynxmount/readyz").await == Some(StatusCode::OK)
        })
        .await;
    }

    /// How many requests the replicas have seen.
    pub fn arrivals(&self) -> usize {
        self.replicas.iter().map(|replica| replica.seen().len()).sum()
    }
}

pub fn entry_ip(network: u8, index: u8) -> IpAddr {
    ip(network, 10 + index)
}

/// Waits until something holds.
pub async fn wait_for(what: &str, holds: impl AsyncFn() -> bool) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    };
    let waited = tokio::time::timeout(GIVE_UP_AFTER, waiting).await;
    assert!(waited.is_ok(), "gave up waiting for {what}");
}

/// A caller's answer; `body` is `None` if it was cut.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub retry_after: Option<f64>,
    pub signature: Option<String>,
    pub body: Option<Bytes>,
}

/// Calls as a caller does, on a connection of its own. `None` if there is no head
/// of an answer.
pub async fn call(address: SocketAddr, method: Method, path: &str, key: &str) -> Option<Answer> {
    let call = Call {
        id: "attempt-1".to_owned(),
        method,
        path: path.to_owned(),
        key: key.to_owned(),
        time_left: Duration::from_millis(3000),
    };
    match CallerStandin::new(address).call(&call).await {
        Told::Answer(answer) => Some(Answer {
            status: answer.status,
            retry_after: answer.retry_after_s,
            signature: answer.signature,
            body: answer.is_whole.then_some(answer.received),
        }),
        Told::Left(_) | Told::NoAnswer | Told::NoConnection => None,
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Option<StatusCode> {
    call(address, Method::GET, path, KEY).await.map(|answer| answer.status)
}
