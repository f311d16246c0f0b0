//! Measures the overhead of the path through an entry and an endpoint process, compared with
//! calling the stand-in directly. Prints one JSON line per run.

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

const STREAM_COUNTS: [usize; 3] = [1, 100, 1_000];
const TOKEN_INTERVAL: Duration = Duration::from_millis(40);
const TOKENS_PER_STREAM: u32 = 75;
const LOOKUP_CALLER_COUNT: usize = 64;
const LOOKUP_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(5);
const PLAIN_SERVICE_COUNT: usize = 4;
const ENTRY_THREADS: usize = 4;

#[tokio::main]
async fn main() {
    let options = FleetOptions {
        entries: 1,
        engines: 0,
        plain_services: PLAIN_SERVICE_COUNT,
        max_running: 1_000,
        team_rate: 1_000_000,
        entry_threads: ENTRY_THREADS,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await;
    measure_idle(&fleet).await;
    for streams in STREAM_COUNTS {
        measure_streams(&fleet, streams).await;
    }
    measure_lookups(&fleet).await;
}

fn entry_usage(fleet: &Fleet) -> Usage {
    usage_of(fleet.entries[0].as_ref().expect("the entry runs").pid())
}

fn endpoint_usages(fleet: &Fleet) -> Vec<Usage> {
    fleet.endpoints.iter().flatten().map(|process| usage_of(process.pid())).collect()
}

fn mib(bytes: u64) -> f64 {
    bytes as f64 / (1024.0 * 1024.0)
}

/// Processor time as a percentage of one core.
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
    first_event: Histogram<u64>,
    transit: Histogram<u64>,
}

impl StreamTimes {
    fn new() -> StreamTimes {
        StreamTimes { first_event: histogram(), transit: histogram() }
    }

    fn merge(&mut self, other: &StreamTimes) {
        self.first_event.add(&other.first_event).expect("the histograms have the same bounds");
        self.transit.add(&other.transit).expect("the histograms have the same bounds");
    }
}

/// Reads one stream and records the time to its first event, and for each further event the time
/// since it was sent.
async fn read_stream(caller: Caller, path: String) -> StreamTimes {
    let mut times = StreamTimes::new();
    let started = Instant::now();
    let response = caller.open(Method::GET, &path, &[], "").await.expect("the call succeeds");
    assert_eq!(response.status(), 200);
    let mut body = response.into_body();
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        let data =
            frame.expect("the stream is complete").into_data().expect("the frame is a data frame");
        let now_ns = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock is after the epoch")
            .as_nanos();
        let text = String::from_utf8_lossy(&data).into_owned();
        for event in text.split("\n\n").filter(|event| !event.is_empty()) {
            let sent_ns: u128 =
                event.trim_start_matches("data: ").parse().expect("the event holds a timestamp");
            match events {
                0 => times.first_event.record(started.elapsed().as_nanos() as u64),
                _ => times.transit.record(now_ns.saturating_sub(sent_ns) as u64),
            }
            .expect("the time is within the histogram's bounds");
            events += 1;
        }
    }
    assert_eq!(events, TOKENS_PER_STREAM);
    times
}

/// Opens streams staggered over ten token intervals and reads them all.
async fn run_streams(addresses: &[SocketAddr], path: &str, streams: usize) -> StreamTimes {
    let mut readers = JoinSet::new();
    for number in 0..streams {
        let caller = Caller::new(addresses[number % addresses.len()], token_of(TEAM));
        let path = path.to_owned();
        let start_offset = TOKEN_INTERVAL.mul_f64(number as f64 / streams as f64 * 10.0);
        readers.spawn(async move {
            tokio::time::sleep(start_offset).await;
            read_stream(caller, path).await
        });
    }
    let mut all = StreamTimes::new();
    while let Some(times) = readers.join_next().await {
        all.merge(&times.expect("the reader does not panic"));
    }
    all
}

async fn measure_streams(fleet: &Fleet, streams: usize) {
    let path = format!("/stream/{TOKENS_PER_STREAM}/{}", TOKEN_INTERVAL.as_micros());
    let services: Vec<SocketAddr> =
        fleet.plain_services.iter().map(|service| service.address()).collect();
    let direct = run_streams(&services, &path, streams).await;
    let relayed = run_streams(&[bare_relays(services[0]).await], &path, streams).await;
    let before = entry_usage(fleet);
    let started = Instant::now();
    let sampler =
        tokio::spawn(peak_resident(fleet.entries[0].as_ref().expect("the entry runs").pid()));
    let entries = [fleet.callers_address(0)];
    let through = run_streams(&entries, &format!("/bookings{path}"), streams).await;
    let elapsed = started.elapsed();
    let peak_bytes = sampler.await.expect("the sampler does not panic");
    let used = entry_usage(fleet).since(before);
    let ((direct_first, direct_first_p99), (first, first_p99)) =
        (p50_p99_ms(&direct.first_event), p50_p99_ms(&through.first_event));
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

/// Starts two chained relays that only forward bytes: the baseline cost of two more hops on this
/// machine.
async fn bare_relays(to: SocketAddr) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let inner = CountingRelay::start(any, to).await;
    CountingRelay::start(any, inner.address).await.address
}

/// Samples the peak resident memory for the duration of the streams.
async fn peak_resident(pid: u32) -> u64 {
    let mut peak_bytes = 0;
    let duration = TOKEN_INTERVAL * (TOKENS_PER_STREAM + 10);
    let started = Instant::now();
    while started.elapsed() < duration {
        peak_bytes = peak_bytes.max(usage_of(pid).resident_bytes);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    peak_bytes
}

/// Calls in a closed loop for [`LOOKUP_TIME`]; returns the number of calls and their latencies.
async fn run_lookups(addresses: &[SocketAddr], path: &str) -> (u64, Histogram<u64>) {
    let mut callers = JoinSet::new();
    for number in 0..LOOKUP_CALLER_COUNT {
        let caller = Caller::new(addresses[number % addresses.len()], token_of(TEAM));
        let path = path.to_owned();
        callers.spawn(async move {
            let (started, mut times) = (Instant::now(), histogram());
            while started.elapsed() < LOOKUP_TIME {
                let sent_at = Instant::now();
                let response =
                    caller.call(Method::GET, &path, &[], "").await.expect("the call succeeds");
                assert_eq!(response.status, 200, "{}", response.body);
                times
                    .record(sent_at.elapsed().as_nanos() as u64)
                    .expect("the time is within the histogram's bounds");
            }
            times
        });
    }
    let mut all = histogram();
    while let Some(times) = callers.join_next().await {
        all.add(times.expect("the caller does not panic"))
            .expect("the histograms have the same bounds");
    }
    (all.len(), all)
}

async fn measure_lookups(fleet: &Fleet) {
    let services: Vec<SocketAddr> =
        fleet.plain_services.iter().map(|service| service.address()).collect();
    let (direct, direct_times) = run_lookups(&services, "/claims/1").await;
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
            "callers": LOOKUP_CALLER_COUNT,
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
