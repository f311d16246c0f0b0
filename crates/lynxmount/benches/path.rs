//! What the path through an entry and an endpoint process costs, against
//! calling the stand-in directly, side by side. Prints one JSON line a run.

#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use common::{Fleet, FleetOptions, TEAM, token_of};
use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt;
use lynxmount_standin::Caller;
use serde_json::json;
use support::{CountingRelay, Usage, histogram, p50_p99_ms, usage_of};
use tokio::task::JoinSet;

const STREAMS: [usize; 3] = [1, 100, 1_000];
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
const TOKENS_PER_STREAM: u32 = 75;
const LOOKUP_CALLERS: usize = 64;
const LOOKUP_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(5);
const PLAINS: usize = 4;
const ENTRY_THREADS: usize = 4;

#[tokio::main]
async fn main() {
    let wanted = FleetOptions {
        entries: 1,
        engines: 0,
        plain_services: PLAINS,
        max_running: 1_000,
        team_rate: 1_000_000,
        entry_threads: ENTRY_THREADS,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(wanted).await;
    measure_idle(&fleet).await;
    for streams in STREAMS {
        measure_streams(&fleet, streams).await;
    }
    measure_lookups(&fleet).await;
}

fn entry_usage(fleet: &Fleet) -> Usage {
    usage_of(fleet.entries[0].as_ref().expect("it runs").pid())
}

fn endpoint_usages(fleet: &Fleet) -> Vec<Usage> {
    fleet.endpoints.iter().flatten().map(|process| usage_of(process.pid())).collect()
}

fn mib(bytes: u64) -> f64 {
    bytes as f64 / (1024.0 * 1024.0)
}

/// Share of one core that a process used in a time.
fn core_percent(cpu: Duration, elapsed: Duration) -> f64 {
    100.0 * cpu.as_secs_f64() / elapsed.as_secs_f64()
}

async fn measure_idle(fleet: &Fleet) {
    let (entry, endpoints) = (entry_usage(fleet), endpoint_usages(fleet));
    tokio::time::sleep(IDLE_TIME).await;
    let entry = entry_usage(fleet).since(entry);
    let endpoint = endpoint_usages(fleet)[0].since(endpoints[0]);
    println!(
        "{}",
        json!({
            "run": "idle",
            "entry_core_percent": core_percent(entry.cpu, IDLE_TIME),
            "entry_control_core_percent": core_percent(entry.control_cpu, IDLE_TIME),
            "entry_resident_mib": mib(entry.resident_bytes),
            "endpoint_core_percent": core_percent(endpoint.cpu, IDLE_TIME),
            "endpoint_control_core_percent": core_percent(endpoint.control_cpu, IDLE_TIME),
            "endpoint_resident_mib": mib(endpoint.resident_bytes),
        })
    );
}

#[derive(Debug)]
struct StreamTimes {
    first: Histogram<u64>,
    transit: Histogram<u64>,
}

impl StreamTimes {
    fn new() -> StreamTimes {
        StreamTimes { first: histogram(), transit: histogram() }
    }

    fn add(&mut self, other: &StreamTimes) {
        self.first.add(&other.first).expect("the histograms are alike");
        self.transit.add(&other.transit).expect("the histograms are alike");
    }
}

/// Reads one stream: the time to its first event, and of each further event
/// the time since it was sent.
async fn read_stream(caller: Caller, path: String) -> StreamTimes {
    let mut times = StreamTimes::new();
    let started = Instant::now();
    let response = caller.open(Method::GET, &path, &[], "").await.expect("the call works");
    assert_eq!(response.status(), 200);
    let mut body = response.into_body();
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.expect("the stream is whole").into_data().expect("it is data");
        let now_ns = SystemTime::now().duration_since(UNIX_EPOCH).expect("it is later").as_nanos();
        let text = String::from_utf8_lossy(&data).into_owned();
        for event in text.split("\n\n").filter(|event| !event.is_empty()) {
            let sent_ns: u128 = event.trim_start_matches("data: ").parse().expect("it is a time");
            match events {
                0 => times.first.record(started.elapsed().as_nanos() as u64),
                _ => times.transit.record(now_ns.saturating_sub(sent_ns) as u64),
            }
            .expect("the time fits");
            events += 1;
        }
    }
    assert_eq!(events, TOKENS_PER_STREAM);
    times
}

/// Opens streams spread over one interval and reads them all.
async fn run_streams(addresses: &[SocketAddr], path: &str, streams: usize) -> StreamTimes {
    let mut readers = JoinSet::new();
    for number in 0..streams {
        let caller = Caller::new(addresses[number % addresses.len()], token_of(TEAM));
        let path = path.to_owned();
        let pause = TOKEN_INTERVAL.mul_f64(number as f64 / streams as f64 * 10.0);
        readers.spawn(async move {
            tokio::time::sleep(pause).await;
            read_stream(caller, path).await
        });
    }
    let mut all = StreamTimes::new();
    while let Some(times) = readers.join_next().await {
        all.add(&times.expect("the reader ends well"));
    }
    all
}

async fn measure_streams(fleet: &Fleet, streams: usize) {
    let path = format!("/stream/{TOKENS_PER_STREAM}/{}", TOKEN_INTERVAL.as_micros());
    let plains: Vec<SocketAddr> =
        fleet.plain_services.iter().map(|plain| plain.address()).collect();
    let direct = run_streams(&plains, &path, streams).await;
    let relayed = run_streams(&[bare_relays(plains[0]).await], &path, streams).await;
    let before = entry_usage(fleet);
    let started = Instant::now();
    let sampler = tokio::spawn(peak_resident(fleet.entries[0].as_ref().expect("it runs").pid()));
    let entries = [fleet.callers_address(0)];
    let through = run_streams(&entries, &format!("/bookings{path}"), streams).await;
    let elapsed = started.elapsed();
    let peak_bytes = sampler.await.expect("the sampler ends well");
    let used = entry_usage(fleet).since(before);
    let ((direct_first, direct_first_p99), (first, first_p99)) =
        (p50_p99_ms(&direct.first), p50_p99_ms(&through.first));
    let ((direct_token, direct_token_p99), (token, token_p99)) =
        (p50_p99_ms(&direct.transit), p50_p99_ms(&through.transit));
    let (relayed_token, relayed_token_p99) = p50_p99_ms(&relayed.transit);
    let tokens = streams as f64 * f64::from(TOKENS_PER_STREAM);
    println!(
        "{}",
        json!({
            "run": "streams",
            "streams": streams,
            "first_token_ms": { "direct_p50": direct_first, "direct_p99": direct_first_p99, "p50": first, "p99": first_p99 },
            "added_first_token_ms": { "p50": first - direct_first, "p99": first_p99 - direct_first_p99 },
            "token_transit_ms": { "direct_p50": direct_token, "direct_p99": direct_token_p99, "p50": token, "p99": token_p99 },
            "added_token_ms": { "p50": token - direct_token, "p99": token_p99 - direct_token_p99 },
            "added_token_ms_by_two_bare_relays": { "p50": relayed_token - direct_token, "p99": relayed_token_p99 - direct_token_p99 },
            "entry_cpu_us_per_token": used.cpu.as_secs_f64() * 1e6 / tokens,
            "entry_control_core_percent": core_percent(used.control_cpu, elapsed),
            "entry_peak_resident_mib": mib(peak_bytes),
            "entry_memory_kib_per_stream": peak_bytes.saturating_sub(before.resident_bytes) as f64 / 1024.0 / streams as f64,
        })
    );
}

/// Two relays in a row that do nothing but pass bytes on: what two more hops
/// cost on this machine, whatever runs there.
async fn bare_relays(to: SocketAddr) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let inner = CountingRelay::start(any, to).await;
    CountingRelay::start(any, inner.address).await.address
}

/// The largest resident memory while the streams last.
async fn peak_resident(pid: u32) -> u64 {
    let mut peak_bytes = 0;
    let lasts = TOKEN_INTERVAL * (TOKENS_PER_STREAM + 10);
    let started = Instant::now();
    while started.elapsed() < lasts {
        peak_bytes = peak_bytes.max(usage_of(pid).resident_bytes);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    peak_bytes
}

/// Calls as fast as answers come, for a time; returns how many.
async fn run_lookups(addresses: &[SocketAddr], path: &str) -> (u64, Histogram<u64>) {
    let mut callers = JoinSet::new();
    for number in 0..LOOKUP_CALLERS {
        let caller = Caller::new(addresses[number % addresses.len()], token_of(TEAM));
        let path = path.to_owned();
        callers.spawn(async move {
            let (started, mut times) = (Instant::now(), histogram());
            while started.elapsed() < LOOKUP_TIME {
                let called = Instant::now();
                let answer = caller.call(Method::GET, &path, &[], "").await.expect("it works");
                assert_eq!(answer.status, 200, "{}", answer.body);
                times.record(called.elapsed().as_nanos() as u64).expect("the time fits");
            }
            times
        });
    }
    let mut all = histogram();
    while let Some(times) = callers.join_next().await {
        all.add(times.expect("the caller ends well")).expect("the histograms are alike");
    }
    (all.len(), all)
}

async fn measure_lookups(fleet: &Fleet) {
    let plains: Vec<SocketAddr> =
        fleet.plain_services.iter().map(|plain| plain.address()).collect();
    let (direct, direct_times) = run_lookups(&plains, "/claims/1").await;
    let (entry, endpoints) = (entry_usage(fleet), endpoint_usages(fleet));
    let (through, times) = run_lookups(&[fleet.callers_address(0)], "/bookings/claims/1").await;
    let entry = entry_usage(fleet).since(entry);
    let endpoint_cpu: Duration = endpoint_usages(fleet)
        .into_iter()
        .zip(endpoints)
        .map(|(after, before)| after.since(before).cpu)
        .sum();
    let seconds = LOOKUP_TIME.as_secs_f64();
    let cores = (entry.cpu + endpoint_cpu).as_secs_f64() / seconds;
    let ((direct_p50, direct_p99), (p50, p99)) = (p50_p99_ms(&direct_times), p50_p99_ms(&times));
    println!(
        "{}",
        json!({
            "run": "lookups",
            "callers": LOOKUP_CALLERS,
            "direct_per_s": direct as f64 / seconds,
            "per_s": through as f64 / seconds,
            "part_of_direct": through as f64 / direct as f64,
            "lynxmount_cores": cores,
            "per_s_per_core": through as f64 / seconds / cores,
            "entry_cpu_us_per_request": entry.cpu.as_secs_f64() * 1e6 / through as f64,
            "endpoint_cpu_us_per_request": endpoint_cpu.as_secs_f64() * 1e6 / through as f64,
            "entry_control_core_percent": core_percent(entry.control_cpu, LOOKUP_TIME),
            "latency_ms": { "direct_p50": direct_p50, "direct_p99": direct_p99, "p50": p50, "p99": p99 },
        })
    );
}
