//! Callers with persistent connections, and probes of the configuration in force.

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
    fixture::{
        CALLER_IDLE_TIMEOUT, IDEMPOTENT, LONG_ROUTE_TIMEOUT, LONG_STREAM, NON_IDEMPOTENT, STREAM,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    fleet::{COMMON_KEY, Fleet, version_key},
    history::{CallClass, CallRecord, Outcome, ProbeRecord},
    plan::ProcessId,
    promises::STREAM_EVENTS,
};

/// The deadline that callers send with a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(3000);

/// The duration of a long stream, in milliseconds.
const REPORT_LENGTH_MS: std::ops::Range<u64> = 1000..4000;

/// The gap between two events of a long stream, in milliseconds.
const REPORT_GAP_MS: std::ops::Range<u64> = 25..60;

/// How long after the deadline a call counts as timed out.
const RESPONSE_GRACE: Duration = Duration::from_millis(5000);

/// The gap between two calls of a caller, in milliseconds.
const CALL_GAP_MS: std::ops::Range<u64> = 20..120;

/// The upper bound of the retry-after time that callers honour.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// One of this many callers ignores retry-after times.
const IMMEDIATE_RETRY_ONE_OF: usize = 4;

/// The gap between two rounds of configuration probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Load {
    /// Long streams.
    LongStreams,
    /// Short calls of all kinds.
    Mixed,
}

/// Sends calls in a closed loop until the run is over.
pub(crate) async fn run_caller(
    fleet: Arc<Fleet>,
    number: usize,
    load: Load,
    seed: u64,
    is_stopped: Arc<AtomicBool>,
) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1009) + number as u64);
    let mut entry = number % fleet.size.entries;
    let mut caller = CallerStandin::new(fleet.callers_links[entry].address());
    let mut call_count = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        call_count += 1;
        let class = match load {
            Load::LongStreams => CallClass::Report,
            Load::Mixed => draw_class(&mut rng),
        };
        let id = format!("c{number}-{call_count}");
        let (call, events) = match class {
            CallClass::Report => report_call(&id, &mut rng),
            CallClass::Draft => (call(&id, class), STREAM_EVENTS),
            CallClass::Booking | CallClass::Lookup => (call(&id, class), 0),
        };
        let (sent, time_limit) = (fleet.now(), call.time_left);
        let limit = time_limit + RESPONSE_GRACE;
        let calling = caller.call_with_idle_timeout(&call, idle_timeout(class));
        let received = tokio::time::timeout(limit, calling).await.ok();
        let has_connection = !matches!(
            received,
            None | Some(CallerOutcome::NoResponse | CallerOutcome::NoConnection)
        );
        let retry_delay = match number % IMMEDIATE_RETRY_ONE_OF {
            0 => Duration::ZERO,
            _ => retry_delay(received.as_ref()),
        };
        let outcome = received.map_or(Outcome::TimedOut, to_outcome);
        let ended = fleet.now();
        let record = CallRecord { id, class, events, entry, sent, time_limit, ended, outcome };
        fleet.history.lock().calls.push(record);
        if !has_connection {
            entry = (entry + 1) % fleet.size.entries;
            caller = CallerStandin::new(fleet.callers_links[entry].address());
        }
        let gap = Duration::from_millis(rng.random_range(CALL_GAP_MS));
        tokio::time::sleep(gap.max(retry_delay)).await;
    }
}

/// Probes periodically which configuration an entry has in force, until the run is over.
pub(crate) async fn run_probe(fleet: Arc<Fleet>, entry: usize, is_stopped: Arc<AtomicBool>) {
    let mut number = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        let newest = fleet.history.lock().configs.last().map_or(1, |config| config.version);
        for version in [newest, newest.saturating_sub(1)] {
            number += 1;
            probe(&fleet, entry, version, number).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe(fleet: &Fleet, entry: usize, version: u64, number: u64) {
    let process = fleet.process(ProcessId::Entry(entry));
    let incarnation = process.lock().incarnation();
    let sent = fleet.now();
    let call = Call {
        key: version_key(version),
        ..call(&format!("p{entry}-{number}"), CallClass::Lookup)
    };
    let mut caller = CallerStandin::new(fleet.callers_links[entry].address());
    let received = tokio::time::timeout(CALL_TIMEOUT, caller.call(&call)).await;
    let is_known = match received {
        Ok(CallerOutcome::Response(response)) if response.status == StatusCode::OK => true,
        Ok(CallerOutcome::Response(response)) if response.status == StatusCode::UNAUTHORIZED => {
            false
        }
        // Any other outcome tells nothing about the configuration.
        _ => return,
    };
    if process.lock().incarnation() == incarnation {
        let ended = fleet.now();
        let record = ProbeRecord { entry, incarnation, version, sent, ended, is_known };
        fleet.history.lock().probes.push(record);
    }
}

fn draw_class(rng: &mut SmallRng) -> CallClass {
    match rng.random_range(0..3) {
        0 => CallClass::Lookup,
        1 => CallClass::Booking,
        _ => CallClass::Draft,
    }
}

/// The idle timeout after which a caller abandons its call.
fn idle_timeout(class: CallClass) -> Duration {
    match class {
        CallClass::Lookup | CallClass::Booking => Duration::MAX,
        CallClass::Draft | CallClass::Report => CALLER_IDLE_TIMEOUT,
    }
}

pub(crate) fn call(id: &str, class: CallClass) -> Call {
    let (method, route) = match class {
        CallClass::Lookup => (Method::GET, IDEMPOTENT),
        CallClass::Booking => (Method::POST, NON_IDEMPOTENT),
        CallClass::Draft => (Method::POST, STREAM),
        CallClass::Report => (Method::POST, LONG_STREAM),
    };
    Call {
        id: id.to_owned(),
        method,
        path: format!("/{route}/{id}"),
        key: COMMON_KEY.to_owned(),
        time_left: CALL_TIMEOUT,
        prompt_parts: Vec::new(),
    }
}

/// A long stream and the number of its events.
fn report_call(id: &str, rng: &mut SmallRng) -> (Call, u64) {
    let gap_ms = rng.random_range(REPORT_GAP_MS);
    let events = rng.random_range(REPORT_LENGTH_MS) / gap_ms;
    let path = format!("/{LONG_STREAM}/{events}x{gap_ms}/{id}");
    let call = Call { path, time_left: LONG_ROUTE_TIMEOUT, ..call(id, CallClass::Report) };
    (call, events)
}

/// The time that a refused caller waits before its next call.
fn retry_delay(received: Option<&CallerOutcome>) -> Duration {
    match received {
        Some(CallerOutcome::Response(response)) => {
            let retry_after_s = response.retry_after_s.unwrap_or_default();
            Duration::try_from_secs_f64(retry_after_s).unwrap_or_default().min(MAX_RETRY_DELAY)
        }
        _ => Duration::ZERO,
    }
}

fn to_outcome(received: CallerOutcome) -> Outcome {
    match received {
        CallerOutcome::Abandoned(received) => {
            Outcome::Abandoned { received: String::from_utf8_lossy(&received).into_owned() }
        }
        CallerOutcome::NoResponse => Outcome::NoResponse,
        CallerOutcome::NoConnection => Outcome::NoConnection,
        CallerOutcome::Response(response) => {
            let status = response.status.as_u16();
            let body = String::from_utf8_lossy(&response.body).into_owned();
            match response.is_complete {
                true => {
                    Outcome::Completed { status, is_signed: response.signature.is_some(), body }
                }
                false => Outcome::Truncated { status, received: body },
            }
        }
    }
}
