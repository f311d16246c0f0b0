//! Poison requests: sends them, restarts the endpoints that they crash, and checks the quarantine.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lynxmount_platform_standin::{Call, CallerStandin, fixture::REGISTRATIONS_TOPIC};
use lynxmount_standin::CrashKind;

use crate::{
    callers::call,
    fleet::{Fleet, route_of},
    history::{CallClass, Disturbed, History, PoisonRecord},
    plan::{LinkId, ProcessId},
    promises::{AFTEREFFECT_TIME, Promise, Violation, record_violation},
};

/// A part of the path of poison requests.
pub(crate) const POISON_PATH: &str = "poison";

/// The gap between two calls of a poison request.
const CALL_GAP: Duration = Duration::from_millis(20);

/// How long a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a crashed process is down, unless it restarts at once.
const DOWN_TIME: Duration = Duration::from_millis(1200);

/// How long an instance that restarts at once stays unregistered.
const REGISTRATION_DELAY: Duration = Duration::from_millis(100);

/// How long a registration may take to reach all entries.
const REGISTRATION_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// The interval at which endpoints are polled for crashes.
const WATCH_PERIOD: Duration = Duration::from_millis(10);

/// The number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 3;

/// The number of crashes that it may cause until the quarantine has reached all entries.
const LATE_CRASHES: u32 = 3;

/// Repeats a request that crashes endpoints at all entries in turn.
pub(crate) async fn repeat_poison(
    fleet: &Fleet,
    service: usize,
    crash: CrashKind,
    length: Duration,
) {
    let first = service * fleet.size.endpoints;
    let endpoints = first..first + fleet.size.endpoints;
    let disturbances: Vec<usize> =
        endpoints.clone().map(|index| fleet.start_disturbance(Disturbed::Crash(index))).collect();
    let service_endpoints = &fleet.endpoints[endpoints.clone()];
    service_endpoints.iter().for_each(|endpoint| endpoint.set_crash_kind(crash));
    let crashes = || service_endpoints.iter().map(|endpoint| endpoint.crash_count()).sum::<u32>();
    let (from, crashes_before) = (fleet.now(), crashes());
    let path = format!("/{}/{POISON_PATH}-{}", route_of(first, fleet.size), from.as_millis());
    let mut number = 0;
    while fleet.now() < from + length {
        let id = format!("{POISON_PATH}-{}-{number}", from.as_millis());
        let call = Call { path: path.clone(), ..call(&id, class_of(service)) };
        let link = &fleet.callers_links[number % fleet.size.entries];
        let mut caller = CallerStandin::new(link.address());
        // The request is repeated whatever its outcome is.
        let _ = tokio::time::timeout(RESPONSE_TIMEOUT, caller.call(&call)).await;
        number += 1;
        tokio::time::sleep(CALL_GAP).await;
    }
    let (to, crashes) = (fleet.now(), crashes() - crashes_before);
    disturbances.into_iter().for_each(|index| fleet.end_disturbance(index));
    fleet.history.lock().poisons.push(PoisonRecord { endpoints, from, to, crashes });
}

fn class_of(service: usize) -> CallClass {
    [CallClass::Lookup, CallClass::Booking, CallClass::Draft][service]
}

/// Restarts crashed endpoints and registers their new instances.
pub(crate) async fn restart_crashed(fleet: Arc<Fleet>, is_stopped: Arc<AtomicBool>) {
    let mut counted = vec![0; fleet.endpoints.len()];
    while !is_stopped.load(Ordering::Relaxed) {
        tokio::time::sleep(WATCH_PERIOD).await;
        for (index, endpoint) in fleet.endpoints.iter().enumerate() {
            let crashes = endpoint.crash_count();
            if crashes > std::mem::replace(&mut counted[index], crashes) {
                tokio::spawn(restart(Arc::clone(&fleet), index));
            }
        }
    }
}

async fn restart(fleet: Arc<Fleet>, index: usize) {
    let endpoint = &fleet.endpoints[index];
    let disturbance = fleet.start_disturbance(Disturbed::Crash(index));
    let delay = if endpoint.is_up() { REGISTRATION_DELAY } else { DOWN_TIME };
    tokio::time::sleep(delay).await;
    for incarnation in 0..endpoint.crash_count() {
        fleet.store.put(REGISTRATIONS_TOPIC, &endpoint.instance_id_after(incarnation), "");
    }
    endpoint.restart();
    fleet.register(index, "ready");
    tokio::time::sleep(REGISTRATION_PROPAGATION_TIME).await;
    fleet.end_disturbance(disturbance);
}

/// Checks that a poison request crashes no more endpoints than the quarantine allows; while entries
/// can't share crash reports, the bound applies to each entry.
pub(crate) fn check_quarantine(history: &History, violations: &mut Vec<Violation>) {
    for poison in &history.poisons {
        let from = poison.from.saturating_sub(AFTEREFFECT_TIME);
        // Crashes can't be attributed, or a quarantine is lost with its process.
        let is_excused = history.is_disturbed(from, poison.to, |what| match what {
            Disturbed::Endpoint(endpoint)
            | Disturbed::Link(LinkId::Endpoint(endpoint))
            | Disturbed::Responses(endpoint) => poison.endpoints.contains(&endpoint),
            Disturbed::Leaving(process) | Disturbed::Process(process) => is_entry(process),
            _ => false,
        });
        let is_partitioned = history.is_disturbed(from, poison.to, |what| match what {
            Disturbed::Store => true,
            Disturbed::Link(LinkId::Store(process)) => is_entry(process),
            _ => false,
        });
        let bound = match is_partitioned {
            true => QUARANTINE_CRASHES * entry_count(history),
            false => QUARANTINE_CRASHES + LATE_CRASHES,
        };
        if !is_excused && poison.crashes > bound {
            record_violation(
                violations,
                Promise::Quarantines,
                format!("more than {bound}: {poison:?}"),
            );
        }
    }
}

fn is_entry(process: ProcessId) -> bool {
    matches!(process, ProcessId::Entry(_))
}

fn entry_count(history: &History) -> u32 {
    let highest = history.calls.iter().map(|call| call.entry).max();
    highest.map_or(1, |entry| entry as u32 + 1)
}
