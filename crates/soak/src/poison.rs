//! Requests that crash endpoints: sending them, starting what has crashed again, and judging.

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
    history::{CallSort, Disturbed, History, PoisonRecord},
    plan::{LinkId, ProcessId},
    promises::{Promise, STABLE, Violation, broken},
    world::{World, route_of},
};

/// A part of the path of requests that crash endpoints.
pub(crate) const POISON: &str = "poison";

/// The pause between two calls of a poison request.
const PAUSE: Duration = Duration::from_millis(20);

/// How long a caller waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// How long a crashed process is down, unless it is back at once.
const DOWN_TIME: Duration = Duration::from_millis(1200);

/// How long the instance that is back at once isn't registered.
const REGISTRATION_DELAY: Duration = Duration::from_millis(100);

/// How long entries may take to know of a registration.
const KNOWN_AFTER: Duration = Duration::from_secs(1);

/// How often endpoints are looked at.
const WATCH_PERIOD: Duration = Duration::from_millis(10);

/// Crashes after which a request is quarantined.
const VERDICT_CRASHES: u32 = 3;

/// Crashes that it may cause until all entries know that.
const LATE_CRASHES: u32 = 3;

/// Repeats a request at all entries in turn under which endpoints crash.
pub(crate) async fn repeat_poison(
    world: &World,
    service: usize,
    crash: CrashKind,
    length: Duration,
) {
    let first = service * world.size.endpoints;
    let endpoints = first..first + world.size.endpoints;
    let begun: Vec<usize> =
        endpoints.clone().map(|index| world.note_begin(Disturbed::Crash(index))).collect();
    let service_endpoints = &world.endpoints[endpoints.clone()];
    service_endpoints.iter().for_each(|endpoint| endpoint.set_crash_kind(crash));
    let crashes = || service_endpoints.iter().map(|endpoint| endpoint.crash_count()).sum::<u32>();
    let (from, crashes_before) = (world.now(), crashes());
    let path = format!("/{}/{POISON}-{}", route_of(first, world.size), from.as_millis());
    let mut number = 0;
    while world.now() < from + length {
        let id = format!("{POISON}-{}-{number}", from.as_millis());
        let call = Call { path: path.clone(), ..call(&id, sort_of(service)) };
        let link = &world.callers_links[number % world.size.entries];
        let mut caller = CallerStandin::new(link.address());
        // Whatever it is told, it comes again.
        let _ = tokio::time::timeout(ANSWER_LIMIT, caller.call(&call)).await;
        number += 1;
        tokio::time::sleep(PAUSE).await;
    }
    let (to, crashes) = (world.now(), crashes() - crashes_before);
    begun.into_iter().for_each(|index| world.note_end(index));
    world.history.lock().poisons.push(PoisonRecord { endpoints, from, to, crashes });
}

fn sort_of(service: usize) -> CallSort {
    [CallSort::Lookup, CallSort::Booking, CallSort::Draft][service]
}

/// Starts endpoints again that have crashed, and registers their new instances.
pub(crate) async fn restart_crashed(world: Arc<World>, is_over: Arc<AtomicBool>) {
    let mut known = vec![0; world.endpoints.len()];
    while !is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(WATCH_PERIOD).await;
        for (index, endpoint) in world.endpoints.iter().enumerate() {
            let crashes = endpoint.crash_count();
            if crashes > std::mem::replace(&mut known[index], crashes) {
                tokio::spawn(restart(Arc::clone(&world), index));
            }
        }
    }
}

async fn restart(world: Arc<World>, index: usize) {
    let endpoint = &world.endpoints[index];
    let begun = world.note_begin(Disturbed::Crash(index));
    let pause = if endpoint.is_up() { REGISTRATION_DELAY } else { DOWN_TIME };
    tokio::time::sleep(pause).await;
    for life in 0..endpoint.crash_count() {
        world.store.put(REGISTRATIONS_TOPIC, &endpoint.instance_id_after(life), "");
    }
    endpoint.restart();
    world.register(index, "ready");
    tokio::time::sleep(KNOWN_AFTER).await;
    world.note_end(begun);
}

/// A poison request crashes as many endpoints as the quarantine allows; while entries can't tell
/// each other, each by itself.
pub(crate) fn judge_poisons(history: &History, found: &mut Vec<Violation>) {
    for poison in &history.poisons {
        let from = poison.from.saturating_sub(STABLE);
        // Crashes don't show, or verdicts are lost with their process.
        let is_excused = history.is_disturbed(from, poison.to, |what| match what {
            Disturbed::Endpoint(endpoint) | Disturbed::Link(LinkId::Endpoint(endpoint)) => {
                poison.endpoints.contains(&endpoint)
            }
            Disturbed::Leaving(process) | Disturbed::Process(process) => is_entry(process),
            _ => false,
        });
        let is_apart = history.is_disturbed(from, poison.to, |what| match what {
            Disturbed::Store => true,
            Disturbed::Link(LinkId::Store(process)) => is_entry(process),
            _ => false,
        });
        let bound = match is_apart {
            true => VERDICT_CRASHES * entries(history),
            false => VERDICT_CRASHES + LATE_CRASHES,
        };
        if !is_excused && poison.crashes > bound {
            broken(found, Promise::Quarantines, format!("more than {bound}: {poison:?}"));
        }
    }
}

fn is_entry(process: ProcessId) -> bool {
    matches!(process, ProcessId::Entry(_))
}

fn entries(history: &History) -> u32 {
    let highest = history.calls.iter().map(|call| call.entry).max();
    highest.map_or(1, |entry| entry as u32 + 1)
}
