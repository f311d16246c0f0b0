//! Test fixture: a small fleet of real processes on loopback addresses, with stand-ins for the
//! platform, the engines and the plain services in the test process.

#![allow(dead_code, unreachable_pub)]

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use lynxmount_node::{ControlClient, ProcessStatus, Readiness};
use lynxmount_standin::{
    BatchOptions, Caller, Engine, PlainService, PlainServiceOptions, PlatformLog, PlatformServer,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use sha2::{Digest, Sha256};
use tempfile::TempDir;

pub const SCOPE: &str = "trial";
pub const MODEL_SERVICE: &str = "lm";
pub const PLAIN_SERVICE: &str = "bookings";
pub const TEAM: &str = "handlers";
pub const OTHER_TEAM: &str = "guests";

const BINARY: &str = env!("CARGO_BIN_EXE_lynxmount");
const PLATFORM_PORT: u16 = 7000;
const CALLERS_PORT: u16 = 7100;
const CONTROL_PORT: u16 = 7200;
const OPERATORS_PORT: u16 = 7300;
const DATA_PORT: u16 = 7400;

/// The time limit of every wait; far longer than any condition takes to hold.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size and the settings of a test's fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub entries: usize,
    pub engines: usize,
    pub plain_services: usize,
    pub max_running: u32,
    pub max_queue_ms: u64,
    pub plain_service_timeout_ms: u64,
    pub model_timeout_ms: u64,
    pub team_rate: u32,
    pub plain_service_delay: Duration,
    pub batch: BatchOptions,
    pub log_retention_ms: u64,
    pub entry_threads: usize,
    pub drain_timeout_ms: u64,
    pub header_timeout_ms: u64,
    /// The largest body that services take.
    pub max_body_bytes: usize,
    /// The limit of descriptors of each process, if there is one.
    pub max_descriptors: Option<usize>,
    pub statsd_address: Option<SocketAddr>,
    /// A proxy in front of all back ends, if there is one.
    pub backend_address: Option<SocketAddr>,
    /// The back end of the first plain service's endpoint, if it is another one.
    pub first_plain_backend: Option<SocketAddr>,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            entries: 2,
            engines: 2,
            plain_services: 2,
            max_running: 64,
            max_queue_ms: 2_000,
            plain_service_timeout_ms: 10_000,
            model_timeout_ms: 30_000,
            team_rate: 100_000,
            plain_service_delay: Duration::ZERO,
            batch: BatchOptions::default(),
            log_retention_ms: 604_800_000,
            entry_threads: 1,
            drain_timeout_ms: 300_000,
            header_timeout_ms: 500,
            max_body_bytes: 4096,
            max_descriptors: None,
            statsd_address: None,
            backend_address: None,
            first_plain_backend: None,
        }
    }
}

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("signal the process");
    }

    /// Waits until no thread runs any more after a `SIGSTOP`: one that runs at another processor
    /// does so for a while, and may still take requests.
    pub fn wait_until_stopped(&self) {
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: &Path| {
            let stat = std::fs::read_to_string(task.join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        };
        let all_stopped = || {
            let tasks = std::fs::read_dir(&tasks).expect("the process runs");
            tasks.flatten().all(|task| is_stopped(&task.path()))
        };
        while !all_stopped() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("wait for the process").is_some()
    }

    /// Waits for the exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        eventually("the process exits", async || self.has_exited()).await;
        self.child.wait().expect("wait for the process").code()
    }
}

/// A fleet of processes, which are killed when it is dropped.
pub struct Fleet {
    pub options: FleetOptions,
    pub platform: PlatformServer,
    pub engines: Vec<Engine>,
    pub plain_services: Vec<PlainService>,
    pub entries: Vec<Option<Process>>,
    pub endpoints: Vec<Option<Process>>,
    pub directory: TempDir,
    /// The platform's address in the settings of all processes.
    pub platform_address: SocketAddr,
    ip: IpAddr,
}

/// A loopback address that no other fleet uses.
fn next_loopback_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 200, low, number))
}

/// Polls a condition until it holds; panics when the time limit is reached.
pub async fn eventually(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(EVENTUALLY_TIMEOUT, waiting).await.is_err() {
        panic!("timed out waiting for: {description}");
    }
}

pub fn token_of(team: &str) -> String {
    format!("{team}-token")
}

impl Fleet {
    /// Starts all processes, applies the fleet file and waits until every entry serves requests.
    pub async fn start(options: FleetOptions) -> Fleet {
        let mut fleet = Fleet::start_without_config(options).await;
        fleet.start_serving().await;
        fleet
    }

    /// Starts all processes beside stand-ins that run, and waits until every entry serves requests.
    pub async fn start_serving(&mut self) {
        self.start_processes();
        self.apply_config();
        self.wait_until_serving().await;
    }

    /// Starts only the stand-ins; no process is started and no configuration is applied.
    pub async fn start_without_config(options: FleetOptions) -> Fleet {
        let ip = next_loopback_ip();
        let address = |port| SocketAddr::new(ip, port);
        let platform = PlatformServer::start(address(PLATFORM_PORT), PlatformLog::default());
        let mut engines = Vec::new();
        for _ in 0..options.engines {
            let engine = Engine::start(address(0), options.batch).await;
            engines.push(engine.expect("start the engine"));
        }
        let mut plain_services = Vec::new();
        for _ in 0..options.plain_services {
            let plain = PlainService::start(
                address(0),
                PlainServiceOptions { delay: options.plain_service_delay },
            )
            .await;
            plain_services.push(plain.expect("start the service"));
        }
        let platform = platform.expect("start the platform");
        let fleet = Fleet {
            platform_address: platform.address(),
            platform,
            engines,
            plain_services,
            entries: Vec::new(),
            endpoints: Vec::new(),
            directory: TempDir::new().expect("create a temporary directory"),
            ip,
            options,
        };
        fleet.write_file("operator.jsonc", &fleet.operator_settings("operator"));
        fleet.write_file("fleet.jsonc", &fleet.fleet_file());
        fleet
    }

    fn start_processes(&mut self) {
        for number in 0..self.options.engines + self.options.plain_services {
            let process = self.spawn_endpoint(number);
            self.endpoints.push(Some(process));
        }
        for number in 0..self.options.entries {
            let process = self.spawn_entry(number);
            self.entries.push(Some(process));
        }
    }

    /// Waits until every entry gets answers from each service.
    pub async fn wait_until_serving(&self) {
        for number in 0..self.entries.len() {
            self.wait_until_entry_serves(number).await;
        }
    }

    /// Waits until an entry gets answers from each service.
    pub async fn wait_until_entry_serves(&self, number: usize) {
        let caller = self.caller(number);
        eventually("the entry serves lookups", async || {
            let answer = caller.call(http::Method::GET, "/bookings/1", &[], "").await;
            self.options.plain_services == 0 || answer.is_ok_and(|a| a.status == 200)
        })
        .await;
        eventually("the entry serves chats", async || {
            let body = chat_request("ready?", 1, false);
            let answer = caller.call(http::Method::POST, "/v1/chat/completions", &[], body).await;
            self.options.engines == 0 || answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn callers_address(&self, number: usize) -> SocketAddr {
        self.address(CALLERS_PORT + number as u16)
    }

    /// The operators' port of an entry.
    pub fn operators_address(&self, number: usize) -> SocketAddr {
        self.address(OPERATORS_PORT + number as u16)
    }

    pub fn endpoint_operators_address(&self, number: usize) -> SocketAddr {
        self.address(OPERATORS_PORT + 50 + number as u16)
    }

    pub fn endpoint_data_address(&self, number: usize) -> SocketAddr {
        self.address(DATA_PORT + number as u16)
    }

    pub fn endpoint_control_address(&self, number: usize) -> SocketAddr {
        self.address(self.endpoint_control_port(number))
    }

    pub fn entry_control_address(&self, number: usize) -> SocketAddr {
        self.address(CONTROL_PORT + number as u16)
    }

    pub fn caller(&self, number: usize) -> Caller {
        Caller::new(self.callers_address(number), token_of(TEAM))
    }

    pub fn endpoint_id(&self, number: usize) -> String {
        match number.checked_sub(self.options.engines) {
            None => format!("{MODEL_SERVICE}-{number}"),
            Some(number) => format!("{PLAIN_SERVICE}-{number}"),
        }
    }

    fn endpoint_control_port(&self, number: usize) -> u16 {
        CONTROL_PORT + 50 + number as u16
    }

    pub async fn entry_status(&self, number: usize) -> Option<ProcessStatus> {
        self.status(CONTROL_PORT + number as u16).await
    }

    pub async fn endpoint_status(&self, number: usize) -> Option<ProcessStatus> {
        self.status(self.endpoint_control_port(number)).await
    }

    async fn status(&self, port: u16) -> Option<ProcessStatus> {
        ControlClient::new(self.address(port)).ok()?.status().await.ok()
    }

    pub async fn wait_until_ready(&self, status: impl AsyncFn() -> Option<ProcessStatus>) {
        eventually("the process is ready", async || {
            status().await.is_some_and(|s| s.readiness == Readiness::Ready)
        })
        .await;
    }

    pub fn spawn_entry(&self, number: usize) -> Process {
        let name = format!("entry-{number}");
        let settings = format!(
            "{{ {}, \"callers_address\": \"{}\", \"traffic_threads\": {}, \"idle_timeout_ms\": 500, \"header_timeout_ms\": {} }}",
            self.process_settings(
                &name,
                CONTROL_PORT + number as u16,
                OPERATORS_PORT + number as u16
            ),
            self.callers_address(number),
            self.options.entry_threads,
            self.options.header_timeout_ms,
        );
        self.spawn("entry", &name, &settings)
    }

    pub fn spawn_endpoint(&self, number: usize) -> Process {
        let name = self.endpoint_id(number);
        let (service, backend) = match number.checked_sub(self.options.engines) {
            None => (MODEL_SERVICE, self.engines[number].address()),
            Some(plain) => (PLAIN_SERVICE, self.plain_services[plain].address()),
        };
        let is_first_plain = number == self.options.engines;
        let first_plain = self.options.first_plain_backend.filter(|_| is_first_plain);
        let backend = self.options.backend_address.or(first_plain).unwrap_or(backend);
        let control = self.endpoint_control_port(number);
        let operators = OPERATORS_PORT + 50 + number as u16;
        let settings = format!(
            "{{ {}, \"traffic_threads\": 1, \"service\": \"{service}\", \"data_address\": \"{}\", \"backend_address\": \"{backend}\" }}",
            self.process_settings(&name, control, operators),
            self.address(DATA_PORT + number as u16),
        );
        self.spawn("endpoint", &name, &settings)
    }

    /// The addresses of an entry's peers.
    pub fn peers_of_entry(&self, number: usize) -> Vec<SocketAddr> {
        self.peers_of(CONTROL_PORT + number as u16)
    }

    /// The control addresses of up to three processes, without the process itself.
    fn peers_of(&self, control: u16) -> Vec<SocketAddr> {
        let ports = [CONTROL_PORT, CONTROL_PORT + 1, CONTROL_PORT + 50];
        let others = ports.into_iter().filter(|port| *port != control);
        others.map(|port| self.address(port)).collect()
    }

    fn process_settings(&self, name: &str, control: u16, operators: u16) -> String {
        let peers = self.peers_of(control);
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let statsd = self.options.statsd_address;
        let statsd = statsd.map(|to| format!("\"statsd_address\": \"{to}\", ")).unwrap_or_default();
        format!(
            "{statsd}\"process_id\": \"{name}\", \"failure_domain\": \"north\", \"scope\": \"{SCOPE}\", \
             \"platform_address\": \"{}\", \"control_address\": \"{}\", \
             \"operators_address\": \"{}\", \"peers\": [{}], \
             \"log_retention_ms\": {}, \"drain_timeout_ms\": {}",
            self.platform_address,
            self.address(control),
            self.address(operators),
            peers.join(", "),
            self.options.log_retention_ms,
            self.options.drain_timeout_ms,
        )
    }

    fn spawn(&self, kind: &str, name: &str, settings: &str) -> Process {
        let path = self.write_file(&format!("{name}.jsonc"), settings);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.path().join(format!("{name}.log")))
            .expect("open the log file");
        let child = self
            .command()
            .args([kind, "--settings"])
            .arg(path)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start the process");
        Process { child }
    }

    /// The binary, with the limit of descriptors.
    fn command(&self) -> Command {
        let Some(descriptors) = self.options.max_descriptors else { return Command::new(BINARY) };
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        shell.args(["-c", &script, BINARY]);
        shell
    }

    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).expect("write the file");
        path
    }

    pub fn operator_settings(&self, author: &str) -> String {
        format!(
            "{{ \"author\": \"{author}\", \"scope\": \"{SCOPE}\", \"platform_address\": \"{}\" }}",
            self.platform.address()
        )
    }

    /// The fleet file for the options.
    pub fn fleet_file(&self) -> String {
        let options = &self.options;
        let entries: Vec<String> = (0..options.entries).map(|n| self.entry_section(n)).collect();
        let endpoints: Vec<String> = (0..options.engines + options.plain_services)
            .map(|n| self.endpoint_section(n))
            .collect();
        format!(
            r#"{{
  "scope": "{SCOPE}",
  "regions": [{{ "id": "home", "failure_domains": ["north", "south"] }}],
  "entries": [{}],
  "services": [
    {{ "id": "{MODEL_SERVICE}", "kind": "model", "request_timeout_ms": {model_timeout}, "max_running_per_endpoint": {max},
       "max_queue_ms": {queue}, "max_body_bytes": {body} }},
    {{ "id": "{PLAIN_SERVICE}", "kind": "plain", "request_timeout_ms": {timeout}, "max_running_per_endpoint": {max},
       "max_queue_ms": {queue}, "max_body_bytes": {body},
       "non_idempotent_routes": [{{ "method": "POST", "path_prefix": "/orders" }}] }}
  ],
  "endpoints": [{}],
  "teams": [
    {{ "id": "{TEAM}", "token_sha256": "{}", "priority": 0, "services": ["{MODEL_SERVICE}", "{PLAIN_SERVICE}"],
       "rate_per_s": {rate}, "burst_requests": {rate}, "max_concurrent": 10000 }},
    {{ "id": "{OTHER_TEAM}", "token_sha256": "{}", "priority": 5, "services": ["{PLAIN_SERVICE}"],
       "rate_per_s": 2, "burst_requests": 2, "max_concurrent": 100 }}
  ]
}}"#,
            entries.join(", "),
            endpoints.join(", "),
            digest(TEAM),
            digest(OTHER_TEAM),
            max = options.max_running,
            queue = options.max_queue_ms,
            timeout = options.plain_service_timeout_ms,
            model_timeout = options.model_timeout_ms,
            rate = options.team_rate,
            body = options.max_body_bytes,
        )
    }

    fn entry_section(&self, number: usize) -> String {
        let control = self.address(CONTROL_PORT + number as u16);
        format!(
            r#"{{ "id": "entry-{number}", "failure_domain": "north", "control_address": "{control}" }}"#
        )
    }

    fn endpoint_section(&self, number: usize) -> String {
        let service = if number < self.options.engines { MODEL_SERVICE } else { PLAIN_SERVICE };
        let domain = if number.is_multiple_of(2) { "north" } else { "south" };
        format!(
            r#"{{ "id": "{}", "service": "{service}", "failure_domain": "{domain}", "data_address": "{}", "control_address": "{}" }}"#,
            self.endpoint_id(number),
            self.address(DATA_PORT + number as u16),
            self.address(self.endpoint_control_port(number)),
        )
    }

    /// Runs a command with the settings of the operator.
    pub fn run_command(&self, arguments: &[&str]) -> Output {
        self.run_command_as("operator.jsonc", arguments)
    }

    pub fn run_command_as(&self, settings: &str, arguments: &[&str]) -> Output {
        Command::new(BINARY)
            .current_dir(self.directory.path())
            .args(arguments)
            .args(["--settings", settings])
            .output()
            .expect("run the command")
    }

    /// Applies the fleet file without waiting until the change is in force everywhere.
    pub fn apply_config(&self) {
        let output = self.run_command(&["config", "apply", "fleet.jsonc", "--timeout-ms", "0"]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(stderr.contains("accepted"), "{stderr}");
    }
}

fn digest(team: &str) -> String {
    Sha256::digest(token_of(team)).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The body of a chat request.
pub fn chat_request(prompt: &str, max_tokens: u32, stream: bool) -> String {
    format!(
        r#"{{ "model": "{MODEL_SERVICE}", "stream": {stream}, "max_tokens": {max_tokens},
              "messages": [{{ "role": "user", "content": "{prompt}" }}] }}"#
    )
}

/// The text of the complete answer to [`chat_request`].
pub fn answer_text(prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens).map(|number| lynxmount_standin::token_text(prompt, number)).collect()
}

/// The text that an event stream carries, and whether its end marker was received.
pub fn streamed_text(body: &str) -> (String, bool) {
    let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let mut text = String::new();
    let mut has_end_marker = false;
    for event in events {
        match serde_json::from_str::<serde_json::Value>(event) {
            Ok(chunk) => {
                let content = &chunk["choices"][0]["delta"]["content"];
                text.push_str(content.as_str().unwrap_or_default());
            }
            Err(_) => has_end_marker = event == "[DONE]",
        }
    }
    (text, has_end_marker)
}
