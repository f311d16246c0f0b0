//! Measures how callers see a fault: the time from the fault to the next complete response, the
//! slowest call, and the outcomes of calls. Prints one JSON line per fault.

#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use common::{Fleet, FleetOptions, TEAM, token_of};
use http::Method;
use lynxmount_standin::{Caller, Faults};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::task::JoinSet;

const CALLER_COUNT: usize = 8;
const WARM_UP: Duration = Duration::from_secs(1);
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
const SERVICE_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
enum Fault {
    EndpointFrozen,
    EndpointKilled,
    EntryKilled,
    PlatformOut,
}

/// One call: when it started and ended, and the outcome that the caller saw.
struct Call {
    started: Instant,
    ended: Instant,
    outcome: String,
}

#[tokio::main]
async fn main() {
    let faults =
        [Fault::EndpointKilled, Fault::EndpointFrozen, Fault::EntryKilled, Fault::PlatformOut];
    for fault in faults {
        for is_keyed in [false, true] {
            measure(fault, is_keyed).await;
        }
    }
}

async fn measure(fault: Fault, is_keyed: bool) {
    let options = FleetOptions {
        engines: 0,
        plain_services: 3,
        plain_service_delay: SERVICE_DELAY,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..CALLER_COUNT {
        let entries = [0, 1].map(|entry| Caller::new(fleet.callers_address(entry), token_of(TEAM)));
        callers.spawn(run_caller(entries, number, is_keyed, Arc::clone(&stop)));
    }
    tokio::time::sleep(WARM_UP).await;
    let injected_at = Instant::now();
    inject(&mut fleet, fault);
    tokio::time::sleep(OBSERVATION_TIME).await;
    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    while let Some(done) = callers.join_next().await {
        calls.extend(done.expect("the caller does not panic"));
    }
    print_result(fault, is_keyed, injected_at, &calls);
}

fn inject(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::EndpointKilled => fleet.endpoints[0] = None,
        Fault::EntryKilled => fleet.entries[0] = None,
        Fault::EndpointFrozen => {
            fleet.endpoints[0].as_ref().expect("the endpoint runs").signal(Signal::SIGSTOP);
        }
        Fault::PlatformOut => {
            fleet.platform.log.set_faults(Faults { is_down: true, ..Faults::default() });
        }
    }
}

/// Calls in a closed loop; fails over to the other entry when the connection is lost.
async fn run_caller(
    entries: [Caller; 2],
    number: usize,
    is_keyed: bool,
    stop: Arc<AtomicBool>,
) -> Vec<Call> {
    let (mut calls, mut entry) = (Vec::new(), number % 2);
    while !stop.load(Ordering::Relaxed) {
        let key = format!("{number}-{}", calls.len());
        let headers = [("idempotency-key", key.as_str())];
        let (method, path, headers) = match is_keyed {
            true => (Method::POST, "/bookings/orders", &headers[..]),
            false => (Method::GET, "/bookings/1", &[][..]),
        };
        let started = Instant::now();
        let outcome = match entries[entry].call(method, path, headers, "").await {
            Ok(response) => response.outcome().to_owned(),
            Err(_) => {
                entry = 1 - entry;
                "connection lost".to_owned()
            }
        };
        // Backs off after a refusal.
        if outcome != "complete" {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        calls.push(Call { started, ended: Instant::now(), outcome });
    }
    calls
}

fn print_result(fault: Fault, is_keyed: bool, injected_at: Instant, calls: &[Call]) {
    let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
    let after: Vec<&Call> = calls.iter().filter(|call| call.ended > injected_at).collect();
    let started_after =
        after.iter().filter(|call| call.started > injected_at && call.outcome == "complete");
    let next = started_after.map(|call| call.ended - injected_at).min();
    let slowest = after.iter().map(|call| call.ended - call.started).max();
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &after {
        *outcomes.entry(&call.outcome).or_default() += 1;
    }
    let mut times: Vec<Instant> =
        calls.iter().filter(|call| call.outcome == "complete").map(|call| call.ended).collect();
    times.sort();
    let gap = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    println!(
        "{}",
        json!({
            "fault": format!("{fault:?}"),
            "keyed": is_keyed,
            "next_answer_ms": next.map(ms),
            "longest_time_without_any_answer_ms": gap.map(ms),
            "slowest_call_ms": slowest.map(ms),
            "calls_after": after.len(),
            "told": outcomes,
        })
    );
}
