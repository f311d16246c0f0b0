//! What callers see of a fault: the time from a fault to the next answer, the
//! slowest call, and how calls were told. Prints one JSON line a fault.

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

const CALLERS: usize = 8;
const BEFORE: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(5);
const SERVICE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
enum Fault {
    EndpointFrozen,
    EndpointKilled,
    EntryKilled,
    PlatformOut,
}

/// One call: when it began and ended, and what the caller was told.
struct Call {
    began: Instant,
    ended: Instant,
    told: String,
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
    let wanted = FleetOptions {
        engines: 0,
        plain_services: 3,
        plain_service_delay: SERVICE,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(wanted).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let entries = [0, 1].map(|entry| Caller::new(fleet.callers_address(entry), token_of(TEAM)));
        callers.spawn(call_on(entries, number, is_keyed, Arc::clone(&stop)));
    }
    tokio::time::sleep(BEFORE).await;
    let struck = Instant::now();
    strike(&mut fleet, fault);
    tokio::time::sleep(AFTER).await;
    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    while let Some(done) = callers.join_next().await {
        calls.extend(done.expect("the caller ends well"));
    }
    print(fault, is_keyed, struck, &calls);
}

fn strike(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::EndpointKilled => fleet.endpoints[0] = None,
        Fault::EntryKilled => fleet.entries[0] = None,
        Fault::EndpointFrozen => {
            fleet.endpoints[0].as_ref().expect("it runs").signal(Signal::SIGSTOP);
        }
        Fault::PlatformOut => {
            fleet.platform.log.set_faults(Faults { is_down: true, ..Faults::default() });
        }
    }
}

/// Calls one after another; a caller whose entry is gone goes to the other one.
async fn call_on(
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
        let began = Instant::now();
        let told = match entries[entry].call(method, path, headers, "").await {
            Ok(answer) => answer.outcome().to_owned(),
            Err(_) => {
                entry = 1 - entry;
                "connection lost".to_owned()
            }
        };
        // A caller that is refused does not hammer.
        if told != "complete" {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        calls.push(Call { began, ended: Instant::now(), told });
    }
    calls
}

fn print(fault: Fault, is_keyed: bool, struck: Instant, calls: &[Call]) {
    let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
    let after: Vec<&Call> = calls.iter().filter(|call| call.ended > struck).collect();
    let begun_after = after.iter().filter(|call| call.began > struck && call.told == "complete");
    let next = begun_after.map(|call| call.ended - struck).min();
    let slowest = after.iter().map(|call| call.ended - call.began).max();
    let mut told: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &after {
        *told.entry(&call.told).or_default() += 1;
    }
    let mut times: Vec<Instant> =
        calls.iter().filter(|call| call.told == "complete").map(|call| call.ended).collect();
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
            "told": told,
        })
    );
}
