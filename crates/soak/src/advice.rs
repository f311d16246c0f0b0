//! Whether entries do what endpoints ask of them, judged by what came to the endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lynxmount_platform_standin::{
    ALLOWED_DURING_RETRY_AFTER, allowed_in_window, fixture::DRAIN_BOUND, max_during_retry_after,
    max_in_window,
};

use crate::{
    history::{Disturbed, History, LimitRecord, RestRecord, RunRecord, SaidLeavingRecord},
    plan::{LinkId, ProcessId},
    promises::{Promise, Violation, broken},
};

/// How long after a request came its entry has passed the answer on.
const HEARD_AFTER: Duration = Duration::from_secs(1);

/// Judges what endpoints have asked for.
pub(crate) fn judge_advice(history: &History, found: &mut Vec<Violation>) {
    let entries: HashMap<&str, usize> =
        history.calls.iter().map(|call| (&*call.id, call.entry)).collect();
    for limit in &history.limits {
        judge_limit(history, &entries, limit, found);
    }
    for said in &history.said_leaving {
        judge_said_leaving(history, &entries, said, found);
    }
    for rest in &history.rests {
        judge_rest(history, &entries, rest, found);
    }
}

fn judge_limit(
    history: &History,
    entries: &HashMap<&str, usize>,
    limit: &LimitRecord,
    found: &mut Vec<Violation>,
) {
    let arrivals = arrivals(history, entries, limit.endpoint, limit.from, limit.to);
    let mut counted: Vec<Duration> =
        arrivals.into_values().flat_map(|at| after_heard(&at)).collect();
    counted.sort_unstable();
    let most = max_in_window(&counted, limit.from);
    let allowed = allowed_in_window(limit.limit_per_s);
    if most > allowed {
        let seen = format!("{most} requests in a window, {allowed} allowed by {limit:?}");
        broken(found, Promise::KeepsLimits, seen);
    }
}

fn judge_said_leaving(
    history: &History,
    entries: &HashMap<&str, usize>,
    said: &SaidLeavingRecord,
    found: &mut Vec<Violation>,
) {
    let arrivals = arrivals(history, entries, said.endpoint, said.from, said.to);
    for (entry, arrivals) in arrivals {
        let bound_at = arrivals.first().map(|at| *at + HEARD_AFTER + DRAIN_BOUND);
        if let Some(late) = arrivals.iter().find(|at| bound_at.is_some_and(|bound| **at > bound)) {
            let seen = format!("a request of entry {entry} at {late:?}, {said:?}");
            broken(found, Promise::LeavingGetsNothing, seen);
        }
    }
}

fn judge_rest(
    history: &History,
    entries: &HashMap<&str, usize>,
    rest: &RestRecord,
    found: &mut Vec<Violation>,
) {
    let arrivals = arrivals(history, entries, rest.endpoint, rest.from, rest.to);
    for (entry, arrivals) in arrivals {
        let most = max_during_retry_after(&arrivals, rest.rest);
        if most > ALLOWED_DURING_RETRY_AFTER {
            let seen = format!("{most} requests of entry {entry} in a time of {rest:?}");
            broken(found, Promise::GrantsRest, seen);
        }
    }
}

/// Those of an entry's requests that it sent after it had heard what the endpoint asks for.
fn after_heard(arrivals: &[Duration]) -> Vec<Duration> {
    let heard_at = arrivals.first().map(|at| *at + HEARD_AFTER);
    arrivals.iter().copied().filter(|at| heard_at.is_some_and(|heard| *at > heard)).collect()
}

/// When requests came to an endpoint within a time, by entries that were not disturbed since its
/// beginning; none if the endpoint or its link was.
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
            || what == Disturbed::Link(LinkId::Endpoint(endpoint))
    });
    let mut by_entry: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
    let is_meant = |run: &&RunRecord| run.endpoint == endpoint && run.at >= from && run.at < to;
    for run in history.arrivals.iter().filter(is_meant).filter(|_| !is_endpoint_disturbed) {
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
