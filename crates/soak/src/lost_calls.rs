//! Checks that entries leave no call that they have forwarded without a complete response. The
//! silence of an endpoint is no reason to truncate a response.

use std::{collections::BTreeSet, time::Duration};

use lynxmount_platform_standin::fixture::SHUTDOWN_GRACE;

use crate::{
    history::{CallRecord, Disturbance, Disturbed, History, Outcome},
    plan::{LinkId, ProcessId},
    promises::{Promise, Violation, record_violation},
};

/// How long after SIGTERM an entry may still accept a call that outlasts its grace time.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_secs(3);

/// How long after SIGTERM the last sixth of the grace time begins.
const LAST_SIXTH_AFTER: Duration = Duration::from_millis(SHUTDOWN_GRACE.as_millis() as u64 * 5 / 6);

/// Checks all calls that ended without a complete response.
pub(crate) fn check_lost_calls(history: &History, violations: &mut Vec<Violation>) {
    for call in &history.calls {
        let endpoints = reached_endpoints(history, call);
        let leaving = leaving(history, call);
        let promise = match &call.outcome {
            // A call that races with the close of an idle connection was not accepted.
            Outcome::NoResponse if leaving.is_some() && !endpoints.is_empty() => {
                Promise::LeavesGracefully
            }
            Outcome::Truncated { .. } if leaving.is_some() => Promise::LeavesGracefully,
            Outcome::Truncated { .. } => Promise::NotTruncated,
            _ => continue,
        };
        let is_excused = is_broken_off(history, call, &endpoints)
            || is_entry_disturbed_during(history, call)
            || call.ended >= call.sent + call.time_limit
            || leaving.is_some_and(|leaving| outlasts_grace(history, call, leaving));
        if !is_excused {
            record_violation(violations, promise, format!("{call:?} at {endpoints:?}"));
        }
    }
}

/// The endpoints that the call was forwarded to.
fn reached_endpoints(history: &History, call: &CallRecord) -> BTreeSet<usize> {
    let requests = history.runs.iter().chain(&history.arrivals);
    let reached = requests.filter(|request| request.id == call.id).map(|request| request.endpoint);
    reached.collect()
}

/// The first drain of the call's entry during the call.
fn leaving<'a>(history: &'a History, call: &CallRecord) -> Option<&'a Disturbance> {
    let what = Disturbed::Leaving(ProcessId::Entry(call.entry));
    let overlaps = |d: &&Disturbance| d.from <= call.ended && d.to >= call.sent;
    history.disturbances.iter().filter(|d| d.what == what).filter(overlaps).min_by_key(|d| d.from)
}

/// Returns whether the entry of a call, or the callers' link to it, was disturbed during the call.
fn is_entry_disturbed_during(history: &History, call: &CallRecord) -> bool {
    let (entry, link) = (ProcessId::Entry(call.entry), LinkId::Callers(call.entry));
    history.is_disturbed(call.sent, call.ended, |what| {
        what == Disturbed::Process(entry) || what == Disturbed::Link(link)
    })
}

/// Returns whether a fault during the call may have broken off the response of an endpoint.
fn is_broken_off(history: &History, call: &CallRecord, endpoints: &BTreeSet<usize>) -> bool {
    history.is_disturbed(call.sent, call.ended, |what| match what {
        // To the endpoint, a link that breaks looks like a cancellation.
        Disturbed::Link(LinkId::Endpoint(endpoint)) => endpoints.contains(&endpoint),
        Disturbed::Crash(endpoint) | Disturbed::Responses(endpoint) => {
            endpoints.contains(&endpoint) && !is_canceled(history, call, endpoint)
        }
        Disturbed::Configs
        | Disturbed::Endpoint(_)
        | Disturbed::Frozen(_)
        | Disturbed::Leaving(_)
        | Disturbed::Link(_)
        | Disturbed::Paused(_)
        | Disturbed::Process(_)
        | Disturbed::Store => false,
    })
}

/// Returns whether the entry closed the connections of all executions of a call at an endpoint.
fn is_canceled(history: &History, call: &CallRecord, endpoint: usize) -> bool {
    let mut executions = history
        .executions
        .iter()
        .filter(|execution| execution.id == call.id && execution.endpoint == endpoint)
        .peekable();
    executions.peek().is_some() && executions.all(|execution| execution.is_canceled)
}

/// Returns whether an endpoint was still executing the call in the last sixth of the entry's grace
/// time, although the call was sent early.
fn outlasts_grace(history: &History, call: &CallRecord, leaving: &Disturbance) -> bool {
    let last_sixth = leaving.from + LAST_SIXTH_AFTER;
    let mut executions = history.executions.iter().filter(|execution| execution.id == call.id);
    call.sent <= leaving.from + DRAIN_ACCEPT_TIME
        && call.ended >= last_sixth
        && executions.any(|execution| execution.ended >= last_sixth)
}
