//! Checks by the arrivals at endpoints that entries honour the endpoints' backpressure: rate
//! limits, leaving signals and retry-after times.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lynxmount_platform_standin::{
    ALLOWED_DURING_RETRY_AFTER, allowed_in_window, fixture::DRAIN_BOUND, max_during_retry_after,
    max_in_window,
};

use crate::{
    history::{
        Disturbed, History, LeavingSignalRecord, RateLimitRecord, RetryAfterRecord, RunRecord,
    },
    plan::{LinkId, ProcessId},
    promises::{Promise, Violation, record_violation},
};

/// How long after a request's arrival its entry may take to apply the backpressure in the response.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Checks the backpressure of all endpoints.
pub(crate) fn check_backpressure(history: &History, violations: &mut Vec<Violation>) {
    let entries: HashMap<&str, usize> =
        history.calls.iter().map(|call| (&*call.id, call.entry)).collect();
    for limit in &history.rate_limits {
        check_rate_limit(history, &entries, limit, violations);
    }
    for signal in &history.leaving_signals {
        check_leaving_signal(history, &entries, signal, violations);
    }
    for record in &history.retry_afters {
        check_retry_after(history, &entries, record, violations);
    }
}

fn check_rate_limit(
    history: &History,
    entries: &HashMap<&str, usize>,
    limit: &RateLimitRecord,
    violations: &mut Vec<Violation>,
) {
    let arrivals = arrivals(history, entries, limit.endpoint, limit.from, limit.to);
    let mut effective: Vec<Duration> =
        arrivals.into_values().flat_map(|at| after_propagation(&at)).collect();
    effective.sort_unstable();
    let highest = max_in_window(&effective, limit.from);
    let allowed = allowed_in_window(limit.limit_per_s);
    if highest > allowed {
        let seen = format!("{highest} requests in a window, {allowed} allowed by {limit:?}");
        record_violation(violations, Promise::KeepsLimits, seen);
    }
}

fn check_leaving_signal(
    history: &History,
    entries: &HashMap<&str, usize>,
    signal: &LeavingSignalRecord,
    violations: &mut Vec<Violation>,
) {
    let arrivals = arrivals(history, entries, signal.endpoint, signal.from, signal.to);
    for (entry, arrivals) in arrivals {
        let deadline = arrivals.first().map(|at| *at + PROPAGATION_TIME + DRAIN_BOUND);
        if let Some(late) =
            arrivals.iter().find(|at| deadline.is_some_and(|deadline| **at > deadline))
        {
            let seen = format!("a request of entry {entry} at {late:?} after {signal:?}");
            record_violation(violations, Promise::LeavingGetsNothing, seen);
        }
    }
}

fn check_retry_after(
    history: &History,
    entries: &HashMap<&str, usize>,
    record: &RetryAfterRecord,
    violations: &mut Vec<Violation>,
) {
    let arrivals = arrivals(history, entries, record.endpoint, record.from, record.to);
    for (entry, arrivals) in arrivals {
        let highest = max_during_retry_after(&arrivals, record.retry_after);
        if highest > ALLOWED_DURING_RETRY_AFTER {
            let seen = format!("{highest} requests of entry {entry} within {record:?}");
            record_violation(violations, Promise::GrantsRest, seen);
        }
    }
}

/// The arrivals from an entry after the endpoint's backpressure had reached it.
fn after_propagation(arrivals: &[Duration]) -> Vec<Duration> {
    let effective_at = arrivals.first().map(|at| *at + PROPAGATION_TIME);
    arrivals
        .iter()
        .copied()
        .filter(|at| effective_at.is_some_and(|effective| *at > effective))
        .collect()
}

/// Times at which requests of undisturbed entries arrived at the endpoint that they were meant for,
/// within an interval, by entry; empty if the endpoint or its link was disturbed.
pub(crate) fn arrivals(
    history: &History,
    entries: &HashMap<&str, usize>,
    endpoint: usize,
    from: Duration,
    to: Duration,
) -> BTreeMap<usize, Vec<Duration>> {
    let is_endpoint_disturbed = history.is_disturbed(from, to, |what| {
        what == Disturbed::Crash(endpoint)
            || what == Disturbed::Endpoint(endpoint)
            || what == Disturbed::Responses(endpoint)
            || what == Disturbed::Link(LinkId::Endpoint(endpoint))
    });
    let mut by_entry: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
    let is_misdirected = |run: &RunRecord| {
        history.misdirected.iter().any(|other| other.id == run.id && other.at == run.at)
    };
    let is_selected = |run: &&RunRecord| {
        run.endpoint == endpoint && run.at >= from && run.at < to && !is_misdirected(run)
    };
    for run in history.arrivals.iter().filter(is_selected).filter(|_| !is_endpoint_disturbed) {
        if let Some(entry) = entries.get(&*run.id) {
            by_entry.entry(*entry).or_default().push(run.at);
        }
    }
    by_entry.retain(|entry, _| {
        let process = ProcessId::Entry(*entry);
        !history.is_disturbed(from, to, |what| {
            what == Disturbed::Process(process) || what == Disturbed::Leaving(process)
        })
    });
    by_entry
}
