//! Callers with connections that they keep, and probes of the configuration.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Call, CallerOutcome, CallerStandin,
    fixture::{CALLER_IDLE_TIMEOUT, IDEMPOTENT, NON_IDEMPOTENT, STREAM},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    history::{CallRecord, CallSort, Outcome, ProbeRecord},
    plan::ProcessId,
    world::{LASTING_KEY, World, version_key},
};

/// How long callers say that they will wait.
const TIME_LEFT: Duration = Duration::from_millis(3000);

/// How much longer they wait before the call counts as never answered.
const LATE_ANSWER: Duration = Duration::from_millis(5000);

/// The pause between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..120;

/// The longest time that a caller stays away when it is told to come back.
const MAX_STAY_AWAY: Duration = Duration::from_secs(1);

/// Of so many callers one repeats at once, whatever it is told.
const IMPATIENT_ONE_OF: usize = 4;

/// The pause between two questions which configuration is in force.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Calls until it is told to stop.
pub(crate) async fn run_caller(
    world: Arc<World>,
    number: usize,
    seed: u64,
    is_over: Arc<AtomicBool>,
) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1009) + number as u64);
    let mut entry = number % world.size.entries;
    let mut caller = CallerStandin::new(world.callers_links[entry].address());
    let mut calls = 0;
    while !is_over.load(Ordering::Relaxed) {
        calls += 1;
        let sort = draw_sort(&mut rng);
        let id = format!("c{number}-{calls}");
        let sent = world.now();
        let (limit, call) = (TIME_LEFT + LATE_ANSWER, call(&id, sort));
        let calling = caller.call_with_idle_timeout(&call, patience(sort));
        let told = tokio::time::timeout(limit, calling).await.ok();
        let has_connection =
            !matches!(told, None | Some(CallerOutcome::NoResponse | CallerOutcome::NoConnection));
        let stay_away = match number % IMPATIENT_ONE_OF {
            0 => Duration::ZERO,
            _ => stay_away(told.as_ref()),
        };
        let outcome = told.map_or(Outcome::Unanswered, outcome);
        let record = CallRecord { id, sort, entry, sent, ended: world.now(), outcome };
        world.history.lock().calls.push(record);
        if !has_connection {
            entry = (entry + 1) % world.size.entries;
            caller = CallerStandin::new(world.callers_links[entry].address());
        }
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause.max(stay_away)).await;
    }
}

/// Asks an entry again and again which configuration it has in force.
pub(crate) async fn run_probe(world: Arc<World>, entry: usize, is_over: Arc<AtomicBool>) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let newest = world.history.lock().configs.last().map_or(1, |config| config.version);
        for version in [newest, newest.saturating_sub(1)] {
            number += 1;
            probe(&world, entry, version, number).await;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

async fn probe(world: &World, entry: usize, version: u64, number: u64) {
    let process = world.process(ProcessId::Entry(entry));
    let life = process.lock().life();
    let sent = world.now();
    let call =
        Call { key: version_key(version), ..call(&format!("p{entry}-{number}"), CallSort::Lookup) };
    let mut caller = CallerStandin::new(world.callers_links[entry].address());
    let told = tokio::time::timeout(TIME_LEFT, caller.call(&call)).await;
    let is_known = match told {
        Ok(CallerOutcome::Response(answer)) if answer.status == StatusCode::OK => true,
        Ok(CallerOutcome::Response(answer)) if answer.status == StatusCode::UNAUTHORIZED => false,
        // Nothing is known of the configuration then.
        _ => return,
    };
    if process.lock().life() == life {
        let ended = world.now();
        let record = ProbeRecord { entry, life, version, sent, ended, is_known };
        world.history.lock().probes.push(record);
    }
}

fn draw_sort(rng: &mut SmallRng) -> CallSort {
    match rng.random_range(0..3) {
        0 => CallSort::Lookup,
        1 => CallSort::Booking,
        _ => CallSort::Draft,
    }
}

/// The pause after which a caller leaves.
fn patience(sort: CallSort) -> Duration {
    match sort {
        CallSort::Lookup | CallSort::Booking => Duration::MAX,
        CallSort::Draft => CALLER_IDLE_TIMEOUT,
    }
}

pub(crate) fn call(id: &str, sort: CallSort) -> Call {
    let (method, route) = match sort {
        CallSort::Lookup => (Method::GET, IDEMPOTENT),
        CallSort::Booking => (Method::POST, NON_IDEMPOTENT),
        CallSort::Draft => (Method::POST, STREAM),
    };
    Call {
        id: id.to_owned(),
        method,
        path: format!("/{route}/{id}"),
        key: LASTING_KEY.to_owned(),
        time_left: TIME_LEFT,
    }
}

/// How long a caller that is refused stays away.
fn stay_away(told: Option<&CallerOutcome>) -> Duration {
    match told {
        Some(CallerOutcome::Response(answer)) => {
            let asked_s = answer.retry_after_s.unwrap_or_default();
            Duration::try_from_secs_f64(asked_s).unwrap_or_default().min(MAX_STAY_AWAY)
        }
        _ => Duration::ZERO,
    }
}

fn outcome(told: CallerOutcome) -> Outcome {
    match told {
        CallerOutcome::Abandoned(received) => {
            Outcome::Left { received: String::from_utf8_lossy(&received).into_owned() }
        }
        CallerOutcome::NoResponse => Outcome::NoAnswer,
        CallerOutcome::NoConnection => Outcome::NoConnection,
        CallerOutcome::Response(answer) => {
            let status = answer.status.as_u16();
            let received = String::from_utf8_lossy(&answer.body).into_owned();
            match answer.is_complete {
                true => Outcome::Answered {
                    status,
                    is_signed: answer.signature.is_some(),
                    body: received,
                },
                false => Outcome::Cut { status, received },
            }
        }
    }
}
