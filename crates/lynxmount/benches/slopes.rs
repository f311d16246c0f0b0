//! Measures how state, messages, processor time and memory grow with load, at three or more sizes
//! each, and fits a line through the points. docs/CAPACITY.md is derived from these figures. Prints
//! one JSON line per measured point and one per fitted line.

#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;
mod support;

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use common::{Fleet, FleetOptions, Process, SCOPE};
use lynxmount_config::{ChangeRecord, ConfigRecord, Head, Team, parse_fleet};
use lynxmount_core::TeamId;
use lynxmount_idempotency::{
    Claim, ClaimBatch, ClaimTable, DedupOptions, DedupTable, key_digest, request_digest,
};
use lynxmount_policy::{
    Candidate, ChoiceOptions, ServiceQueue, TeamLimits, TeamQuota, Waiter, choose,
};
use lynxmount_wire::{FrameReader, FrameWriter, LoadReport, PROTOCOL_VERSION, ToEndpoint, ToEntry};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use support::{CountingRelay, fit, resident_bytes, usage_of};
use tokio::net::{TcpListener, TcpStream};
use uuid::Uuid;

const PEER_COUNTS: [usize; 3] = [10, 40, 160];
const TEAM_COUNTS: [usize; 4] = [160, 640, 2_560, 10_240];
const LIMITED_TEAM_COUNTS: [usize; 3] = [10_000, 40_000, 160_000];
const KEY_COUNTS: [usize; 3] = [10_000, 40_000, 160_000];
const CANDIDATE_COUNTS: [usize; 3] = [10, 40, 160];
const OBSERVATION_TIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const CHANGE_COUNT: usize = 5;
const REPORT_PERIOD: Duration = Duration::from_millis(600);
const ENDPOINTS_PER_SERVICE: usize = 10;

#[tokio::main]
async fn main() {
    measure_claims();
    measure_dedup_table();
    measure_limits();
    measure_choice();
    measure_queue();
    measure_links().await;
    measure_entries().await;
    measure_changes().await;
}

/// Prints the points, and for each of their figures the line fitted through it.
fn print_points(run: &str, unit: &str, points: &[(usize, Value)]) {
    for (size, figures) in points {
        println!("{}", json!({ "run": run, unit: size, "figures": figures }));
    }
    let names: Vec<&String> =
        points[0].1.as_object().expect("the figures are an object").keys().collect();
    for name in names {
        let line: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, figures)| (*size as f64, figures[name.as_str()].as_f64().unwrap_or(0.0)))
            .collect();
        let fit = fit(&line);
        println!(
            "{}",
            json!({ "run": run, "fit": name, "per": unit, "slope": fit.slope, "intercept": fit.intercept, "error": fit.error })
        );
    }
}

/// Runs `work` and returns its result, the memory that the result occupies, and the elapsed time.
///
/// The result is leaked: memory that was freed would be reused by the next measurement, which would
/// then seem to need none.
fn measure_memory<T>(work: impl FnOnce() -> T) -> (&'static mut T, u64, Duration) {
    let before = resident_bytes("self");
    let started = Instant::now();
    let result = Box::leak(Box::new(work()));
    let elapsed = started.elapsed();
    (result, resident_bytes("self").saturating_sub(before), elapsed)
}

fn claim(number: usize) -> Claim {
    Claim {
        key_digest: key_digest("team", "service", &number.to_le_bytes()),
        request_digest: request_digest("POST", "/estimates", &number.to_le_bytes()),
        endpoint: "estimate-lm-01".into(),
        incarnation: Uuid::from_u128(number as u128),
        claimed_at_ms: 1_796_000_000_000,
        replaces: None,
    }
}

fn measure_claims() {
    let points: Vec<(usize, Value)> = KEY_COUNTS
        .iter()
        .map(|&count| {
            let (table, bytes, elapsed) = measure_memory(|| {
                let mut table = ClaimTable::default();
                for number in 0..count {
                    table.apply(number as u64, ClaimBatch { claims: vec![claim(number)] });
                }
                table
            });
            assert_eq!(table.len(), count);
            let record_bytes = serde_json::to_vec(&claim(7)).expect("it serializes to JSON").len();
            let figures = json!({
                "table_bytes": bytes,
                "take_us": elapsed.as_secs_f64() * 1e6,
                "log_bytes": record_bytes * count,
            });
            (count, figures)
        })
        .collect();
    print_points("claim table of an entry", "claims", &points);
}

fn measure_dedup_table() {
    let points: Vec<(usize, Value)> = KEY_COUNTS
        .iter()
        .map(|&count| {
            let incarnation = Uuid::from_u128(1);
            let (table, bytes, elapsed) = measure_memory(|| {
                let mut table = DedupTable::new(incarnation, DedupOptions { max_keys: count });
                for number in 0..count {
                    let claim = claim(number);
                    let (key, request) = (claim.key_digest, claim.request_digest);
                    table.admit(
                        key,
                        request,
                        incarnation,
                        claim.claimed_at_ms,
                        claim.claimed_at_ms,
                    );
                }
                table
            });
            assert_eq!(table.len(), count);
            let figures = json!({ "ledger_bytes": bytes, "admit_us": elapsed.as_secs_f64() * 1e6 });
            (count, figures)
        })
        .collect();
    print_points("ledger of an endpoint", "keys", &points);
}

fn measure_limits() {
    let quota = TeamQuota { rate_per_s: 1.0, burst: 1e9, max_concurrent: u32::MAX };
    let points: Vec<(usize, Value)> = LIMITED_TEAM_COUNTS
        .iter()
        .map(|&count| {
            let teams: Vec<TeamId> =
                (0..count).map(|n| TeamId::from(format!("team-{n}"))).collect();
            let (limits, bytes, _) = measure_memory(|| {
                let mut limits = TeamLimits::default();
                for team in &teams {
                    let _ = limits.admit(team, quota, Duration::ZERO);
                }
                limits
            });
            let started = Instant::now();
            for team in &teams {
                let _ = black_box(limits.admit(team, quota, Duration::from_secs(1)));
                limits.release(team);
            }
            let per_decision = started.elapsed().as_secs_f64() * 1e9 / count as f64;
            (count, json!({ "limits_bytes": bytes, "decision_ns": per_decision }))
        })
        .collect();
    print_points("team limits of an entry", "teams", &points);
}

fn measure_choice() {
    const ROUNDS: u32 = 20_000;
    let points: Vec<(usize, Value)> = CANDIDATE_COUNTS
        .iter()
        .map(|&count| {
            let candidates: Vec<Candidate> = (0..count)
                .map(|n| Candidate {
                    own_load: n as f64 / count as f64,
                    others_load: 0.5,
                    report_age: Duration::from_millis(100),
                    last_chosen: n as u64,
                    is_local: n % 3 == 0,
                })
                .collect();
            let mut rng = SmallRng::seed_from_u64(1);
            let started = Instant::now();
            for _ in 0..ROUNDS {
                black_box(choose(&candidates, &[], ChoiceOptions::default(), &mut rng));
            }
            let per_choice = started.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS);
            (count, json!({ "choice_ns": per_choice }))
        })
        .collect();
    print_points("choice of endpoint", "candidates", &points);
}

fn measure_queue() {
    let points: Vec<(usize, Value)> = PEER_COUNTS
        .iter()
        .map(|&count| {
            let mut queue = ServiceQueue::default();
            let waiter = |n: usize| Waiter {
                team: TeamId::from(format!("team-{}", n % 10)),
                priority: (n % 3) as u8,
                wait_until: Duration::from_secs(3_600),
            };
            for n in 0..count {
                queue.try_admit(waiter(n), false, Duration::ZERO);
            }
            let started = Instant::now();
            for n in 0..10_000 {
                queue.try_admit(waiter(n), false, Duration::ZERO);
                black_box(queue.dequeue(Duration::ZERO));
            }
            (count, json!({ "offer_and_start_ns": started.elapsed().as_secs_f64() * 1e9 / 1e4 }))
        })
        .collect();
    print_points("queue of a service", "waiting", &points);
}

/// Writes a fleet file with one endpoint for each address, in services of
/// [`ENDPOINTS_PER_SERVICE`]; the bench itself listens at the addresses.
fn file_with_endpoints(fleet: &Fleet, addresses: &[SocketAddr]) -> String {
    let services = addresses.len().div_ceil(ENDPOINTS_PER_SERVICE);
    let services: Vec<String> = (0..services)
        .map(|n| format!(r#"{{ "id": "s-{n}", "kind": "plain", "request_timeout_ms": 1000, "max_running_per_endpoint": 8 }}"#))
        .collect();
    let endpoints: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(n, address)| {
            format!(
                r#"{{ "id": "e-{n}", "service": "s-{}", "failure_domain": "north", "data_address": "{address}", "control_address": "{}" }}"#,
                n / ENDPOINTS_PER_SERVICE,
                fleet.address(20_000 + n as u16),
            )
        })
        .collect();
    format!(
        r#"{{ "scope": "{SCOPE}", "regions": [{{ "id": "r", "failure_domains": ["north", "south"] }}],
             "entries": [], "services": [{}], "endpoints": [{}], "teams": [] }}"#,
        services.join(","),
        endpoints.join(",")
    )
}

/// Starts a fake of an idle endpoint process; counts the report frames that it sends.
async fn fake_endpoint(frames: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (read, write) = stream.into_split();
            let mut reader: FrameReader<_, ToEndpoint> = FrameReader::new(read, "entry");
            let mut writer = FrameWriter::new(write, "entry");
            let frames = Arc::clone(&frames);
            tokio::spawn(async move {
                let _ = reader.next().await;
                let welcome = ToEntry::Welcome { incarnation: Uuid::new_v4() };
                let _ = writer.send(&welcome).await;
                let report = LoadReport { backend_up: true, ..LoadReport::default() };
                let mut ticks = tokio::time::interval(REPORT_PERIOD);
                loop {
                    ticks.tick().await;
                    if writer.send(&ToEntry::Report(report)).await.is_err() {
                        return;
                    }
                    frames.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    address
}

fn pid_of(process: Option<&Process>) -> u32 {
    process.expect("the process runs").pid()
}

async fn observe(pid: u32) -> Value {
    tokio::time::sleep(SETTLE_TIME).await;
    let before = usage_of(pid);
    tokio::time::sleep(OBSERVATION_TIME).await;
    let used = usage_of(pid).since(before);
    let percent = |cpu: Duration| 100.0 * cpu.as_secs_f64() / OBSERVATION_TIME.as_secs_f64();
    json!({
        "core_percent": percent(used.cpu),
        "control_core_percent": percent(used.control_cpu),
        "resident_bytes": used.resident_bytes,
    })
}

async fn measure_links() {
    let mut points = Vec::new();
    for count in PEER_COUNTS {
        let options =
            FleetOptions { entries: 1, engines: 0, plain_services: 0, ..FleetOptions::default() };
        let fleet = Fleet::start_without_config(options).await;
        let frames = Arc::new(AtomicU64::new(0));
        let mut addresses = Vec::new();
        for _ in 0..count {
            addresses.push(fake_endpoint(Arc::clone(&frames)).await);
        }
        fleet.write_file("fleet.jsonc", &file_with_endpoints(&fleet, &addresses));
        fleet.apply_config();
        let entry = fleet.spawn_entry(0);
        tokio::time::sleep(SETTLE_TIME).await;
        let before = frames.load(Ordering::Relaxed);
        let started = Instant::now();
        let mut figures = observe(entry.pid()).await;
        let frames = frames.load(Ordering::Relaxed) - before;
        let per_s = frames as f64 / started.elapsed().as_secs_f64();
        figures["report_frames_per_s"] = per_s.into();
        figures["report_bytes_per_s"] = (per_s * frame_bytes()).into();
        points.push((count, figures));
    }
    print_points("idle entry", "connected endpoints", &points);
}

/// The size of a report frame including its length prefix, without TCP headers.
fn frame_bytes() -> f64 {
    let report = LoadReport {
        config_version: 100_000,
        running: 32,
        waiting: 4,
        draining: false,
        backend_up: true,
    };
    let frame = postcard::to_stdvec(&ToEntry::Report(report)).expect("it serializes");
    (frame.len() + size_of::<u32>()) as f64
}

async fn fake_entry(address: SocketAddr) {
    let stream = TcpStream::connect(address).await.expect("the endpoint listens");
    let (read, write) = stream.into_split();
    let mut writer = FrameWriter::new(write, "endpoint");
    let hello = ToEndpoint::Hello { protocol_version: PROTOCOL_VERSION, process: "fake".into() };
    writer.send(&hello).await.expect("the endpoint reads");
    let mut reader: FrameReader<_, ToEntry> = FrameReader::new(read, "endpoint");
    while let Ok(Some(_)) = reader.next().await {}
}

async fn measure_entries() {
    let mut points = Vec::new();
    for count in PEER_COUNTS {
        let fleet = Fleet::start(FleetOptions {
            entries: 0,
            engines: 0,
            plain_services: 1,
            ..FleetOptions::default()
        })
        .await;
        fleet.wait_until_ready(async || fleet.endpoint_status(0).await).await;
        let readers: Vec<_> =
            (0..count).map(|_| tokio::spawn(fake_entry(fleet.address(7_400)))).collect();
        points.push((count, observe(pid_of(fleet.endpoints[0].as_ref())).await));
        readers.iter().for_each(|reader| reader.abort());
    }
    print_points("idle endpoint", "connected entries", &points);
}

fn file_with_teams(count: usize) -> String {
    let teams: Vec<String> = (0..count)
        .map(|n| {
            format!(
                r#"{{ "id": "team-{n}", "token_sha256": "{n:064x}", "priority": 3, "services": ["s"],
                      "rate_per_s": 10, "burst_requests": 20, "max_concurrent": 10 }}"#
            )
        })
        .collect();
    format!(
        r#"{{ "scope": "{SCOPE}", "regions": [{{ "id": "r", "failure_domains": ["north"] }}], "entries": [],
             "services": [{{ "id": "s", "kind": "plain", "request_timeout_ms": 1000, "max_running_per_endpoint": 8 }}],
             "endpoints": [], "teams": [{}] }}"#,
        teams.join(",")
    )
}

/// Applies changes one after another and measures the cost of each at an entry.
async fn measure_changes() {
    let mut points = Vec::new();
    for count in TEAM_COUNTS {
        let options =
            FleetOptions { entries: 1, engines: 0, plain_services: 0, ..FleetOptions::default() };
        let mut fleet = Fleet::start_without_config(options).await;
        let relay = CountingRelay::start(fleet.address(0), fleet.platform.address()).await;
        fleet.platform_address = relay.address;
        let entry = fleet.spawn_entry(0);
        let mut head = None;
        append_change(&fleet, count, 0, &mut head);
        tokio::time::sleep(SETTLE_TIME).await;
        let (before, bytes) = (usage_of(entry.pid()), relay.bytes());
        let mut slowest = Duration::ZERO;
        for change in 1..=CHANGE_COUNT {
            let offset = append_change(&fleet, count, change, &mut head);
            let started = Instant::now();
            while fleet.entry_status(0).await.and_then(|s| s.config_version) != Some(offset) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            slowest = slowest.max(started.elapsed());
        }
        let used = usage_of(entry.pid()).since(before);
        points.push((
            count,
            json!({
                "control_cpu_ms_per_change": used.control_cpu.as_secs_f64() * 1e3 / CHANGE_COUNT as f64,
                "platform_bytes_per_change": (relay.bytes() - bytes) as f64 / CHANGE_COUNT as f64,
                "slowest_in_force_ms": slowest.as_secs_f64() * 1e3,
                "resident_bytes": used.resident_bytes,
            }),
        ));
    }
    print_points("changes at an entry", "teams", &points);
}

/// Appends the whole fleet with a change of one team.
fn append_change(fleet: &Fleet, teams: usize, change: usize, head: &mut Option<Head>) -> u64 {
    let mut changed = parse_fleet("fleet", &file_with_teams(teams)).expect("the file is valid");
    let team = &mut changed.teams[change % teams];
    *team = Arc::new(Team { rate_per_s: change as u32 + 1, ..Team::clone(team) });
    let record = ChangeRecord::new(Uuid::new_v4(), head.as_ref(), "bench".to_owned(), &changed);
    let (change_id, digest) = (record.change_id, record.digest);
    let record = ConfigRecord::Change(Box::new(record));
    let value = serde_json::to_value(record).expect("it serializes to JSON");
    let offset = fleet.platform.log.append("config", value);
    let (author, changed) = ("bench".to_owned(), Arc::new(changed));
    *head = Some(Head { offset, change_id, author, digest, fleet: changed });
    offset
}
