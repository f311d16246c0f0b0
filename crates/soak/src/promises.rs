//! The promises that must always hold, and the checks of a run's history against them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lynxmount_platform_standin::{echo_body, echo_events, fixture::DRAIN_BOUND};
use serde::Serialize;

use crate::{
    abandoned_calls::check_abandoned_calls,
    backpressure::check_backpressure,
    config_lateness::check_configs_in_force,
    history::{CallClass, CallRecord, Disturbed, History, Outcome, ProbeRecord},
    lost_calls::check_lost_calls,
    plan::{LinkId, ProcessId},
    poison::check_quarantine,
    retry_budget::check_retry_budgets,
};

/// The number of events of a short stream.
pub const STREAM_EVENTS: u64 = 12;

/// The statuses that guarantee that a call was not and will not be executed.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// How much later than the documented bound a process may be on a busy machine.
pub(crate) const SLACK: Duration = Duration::from_millis(1500);

/// How long a disturbance still counts after its end, until paths through the store and processes
/// have recovered.
pub(crate) const AFTEREFFECT_TIME: Duration = Duration::from_millis(3000);

/// How long after the last fault calls must succeed again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// The fraction of the calls that must succeed after that.
const MIN_RECOVERED_FRACTION: f64 = 0.95;

/// A promise to callers, back ends or operators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Promise {
    /// Every call gets a response before its deadline.
    Answered,
    /// No caller leaves at its idle timeout, but from a stream that has begun and whose endpoint is
    /// silent.
    AnsweredBeforeLeaving,
    /// A call that is not idempotent is executed at most once.
    AtMostOnce,
    /// A configuration is in force within the documented time.
    ConfigInForce,
    /// No process reverts to an older configuration.
    ConfigNeverBack,
    /// Processes exit only on request, and in time.
    Ends,
    /// Retry-after times of endpoints are honoured.
    GrantsRest,
    /// Rate limits of endpoints are honoured.
    KeepsLimits,
    /// Repeated requests for a service stay within its retry budget.
    KeepsRetryBudget,
    /// A draining entry truncates no call that it has forwarded, and leaves none unanswered.
    LeavesGracefully,
    /// A leaving endpoint gets no new requests.
    LeavingGetsNothing,
    /// Valid calls are not rejected as invalid or unauthorized.
    NotDenied,
    /// Endpoints cancel the executions of abandoned calls.
    NoWorkForGoneCallers,
    /// Entries truncate no response that its endpoint has not broken off.
    NotTruncated,
    /// A call that is reported as not run was not executed.
    NotRun,
    /// All ranks use the same expert map in each pass.
    OneMap,
    /// A poison request is quarantined.
    Quarantines,
    /// Service recovers after the last fault.
    Recovers,
    /// A response is complete and belongs to its call.
    WholeAnswer,
}

/// A violation of a promise.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The violated promise.
    pub promise: Promise,
    /// What was observed.
    pub seen: String,
}

/// Checks the history of a run against all promises.
pub fn check_history(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_responses(history, &mut violations);
    check_runs(history, &mut violations);
    check_abandoned_calls(history, &mut violations);
    check_lost_calls(history, &mut violations);
    check_draining_endpoints(history, &mut violations);
    check_backpressure(history, &mut violations);
    check_retry_budgets(history, &mut violations);
    check_quarantine(history, &mut violations);
    check_configs(history, &mut violations);
    check_group(history, &mut violations);
    check_recovery(history, &mut violations);
    let ends = history.ends.iter().cloned();
    violations.extend(ends.map(|seen| Violation { promise: Promise::Ends, seen }));
    violations
}

pub(crate) fn record_violation(violations: &mut Vec<Violation>, promise: Promise, seen: String) {
    violations.push(Violation { promise, seen });
}

fn check_responses(history: &History, violations: &mut Vec<Violation>) {
    for call in &history.calls {
        let seen = || format!("{call:?}");
        match &call.outcome {
            Outcome::Completed { status: 200, is_signed, body }
                if !is_signed || *body != expected_body(call) =>
            {
                record_violation(violations, Promise::WholeAnswer, seen());
            }
            Outcome::Truncated { status: 200, received } | Outcome::Abandoned { received }
                if !expected_body(call).starts_with(received) =>
            {
                record_violation(violations, Promise::WholeAnswer, seen());
            }
            Outcome::Completed { status: 400 | 401 | 403 | 404, .. } => {
                record_violation(violations, Promise::NotDenied, seen());
            }
            Outcome::TimedOut if !is_entry_disturbed(history, call) => {
                record_violation(violations, Promise::Answered, seen());
            }
            _ => {}
        }
    }
}

fn expected_body(call: &CallRecord) -> String {
    match call.class {
        CallClass::Lookup | CallClass::Booking => echo_body(&call.id),
        CallClass::Draft | CallClass::Report => echo_events(&call.id, call.events),
    }
}

/// Returns whether the entry of a call, or the callers' link to it, was disturbed.
pub(crate) fn is_entry_disturbed(history: &History, call: &CallRecord) -> bool {
    let entry = ProcessId::Entry(call.entry);
    let link = LinkId::Callers(call.entry);
    let from = call.sent.saturating_sub(AFTEREFFECT_TIME);
    history.is_disturbed(from, call.ended, |what| {
        what == Disturbed::Process(entry) || what == Disturbed::Link(link)
    })
}

fn check_runs(history: &History, violations: &mut Vec<Violation>) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in &history.runs {
        *runs.entry(&run.id).or_default() += 1;
    }
    let at_most_once = history.calls.iter().filter(|call| call.class == CallClass::Booking);
    for call in at_most_once {
        let count = runs.get(&*call.id).copied().unwrap_or_default();
        let promise = match &call.outcome {
            _ if count > 1 => Promise::AtMostOnce,
            Outcome::Completed { status, .. } if count > 0 && NOT_RUN.contains(status) => {
                Promise::NotRun
            }
            _ => continue,
        };
        record_violation(violations, promise, format!("{count} runs of {call:?}"));
    }
}

fn check_draining_endpoints(history: &History, violations: &mut Vec<Violation>) {
    for leave in &history.leaves {
        let late = history.runs.iter().filter(|run| {
            run.endpoint == leave.endpoint
                && run.at > leave.from + DRAIN_BOUND + SLACK
                && run.at < leave.to
        });
        for run in late {
            let from = leave.from.saturating_sub(AFTEREFFECT_TIME);
            let is_excused = history.is_disturbed(from, run.at, |what| match what {
                Disturbed::Store | Disturbed::Leaving(_) => true,
                Disturbed::Link(LinkId::Store(process)) | Disturbed::Process(process) => {
                    matches!(process, ProcessId::Entry(_))
                }
                Disturbed::Link(LinkId::Endpoint(endpoint)) => endpoint == leave.endpoint,
                Disturbed::Link(LinkId::Callers(_))
                | Disturbed::Configs
                | Disturbed::Crash(_)
                | Disturbed::Endpoint(_)
                | Disturbed::Frozen(_)
                | Disturbed::Paused(_)
                | Disturbed::Responses(_) => false,
            });
            if !is_excused {
                let seen = format!("{run:?} although it left at {:?}", leave.from);
                record_violation(violations, Promise::LeavingGetsNothing, seen);
            }
        }
    }
}

fn check_configs(history: &History, violations: &mut Vec<Violation>) {
    check_configs_in_force(history, violations);
    let mut by_incarnation: BTreeMap<(usize, u64), Vec<&ProbeRecord>> = BTreeMap::new();
    for probe in &history.probes {
        by_incarnation.entry((probe.entry, probe.incarnation)).or_default().push(probe);
    }
    for probes in by_incarnation.values() {
        check_no_rollback(probes, violations);
    }
}

/// Checks that versions never go back; as each version has its own key, an accepted key identifies
/// the version.
fn check_no_rollback(probes: &[&ProbeRecord], violations: &mut Vec<Violation>) {
    for later in probes.iter().filter(|probe| probe.is_known) {
        let before = probes.iter().filter(|probe| probe.is_known && probe.ended < later.sent);
        let highest = before.map(|probe| probe.version).max().unwrap_or_default();
        if highest > later.version {
            let seen = format!("version {highest} was in force before {later:?}");
            record_violation(violations, Promise::ConfigNeverBack, seen);
        }
    }
}

fn check_group(history: &History, violations: &mut Vec<Violation>) {
    if let Some(pass) = history.split_pass {
        record_violation(
            violations,
            Promise::OneMap,
            format!("ranks had different maps in pass {pass}"),
        );
    }
    if history.passes_after == 0 {
        let seen = "the group makes no pass after all faults".to_owned();
        record_violation(violations, Promise::Recovers, seen);
    }
}

fn check_recovery(history: &History, violations: &mut Vec<Violation>) {
    let from = history.faults_over + RECOVERY_TIME;
    let calls: Vec<&CallRecord> = history.calls.iter().filter(|call| call.sent >= from).collect();
    let is_successful =
        |call: &&&CallRecord| matches!(call.outcome, Outcome::Completed { status: 200, .. });
    let successful = calls.iter().filter(is_successful).count();
    if (successful as f64) < MIN_RECOVERED_FRACTION * calls.len() as f64 || calls.is_empty() {
        let seen = format!("{successful} of {} calls succeed after all faults", calls.len());
        record_violation(violations, Promise::Recovers, seen);
    }
}
