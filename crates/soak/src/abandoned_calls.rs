//! Checks that callers get a response before their idle timeout, or leave a stream that has begun
//! only because its endpoint is silent, and that endpoints cancel the work of abandoned calls.

use std::time::Duration;

use lynxmount_platform_standin::fixture::CALLER_IDLE_TIMEOUT;

use crate::{
    history::{CallRecord, Disturbed, ExecutionRecord, History, Outcome},
    plan::LinkId,
    promises::{AFTEREFFECT_TIME, Promise, Violation, is_entry_disturbed, record_violation},
};

/// How long an execution may continue after its caller has abandoned the call.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// The maximum fraction of abandoned executions that may continue beyond [`CANCEL_TIME`].
const MAX_UNCANCELED_FRACTION: f64 = 0.25;

/// Checks the abandoned calls of entries that were not disturbed.
pub(crate) fn check_abandoned_calls(history: &History, violations: &mut Vec<Violation>) {
    let is_abandoned = |call: &&CallRecord| {
        matches!(call.outcome, Outcome::Abandoned { .. }) && !is_entry_disturbed(history, call)
    };
    let abandoned: Vec<&CallRecord> = history.calls.iter().filter(is_abandoned).collect();
    for call in abandoned.iter().filter(|call| !is_left_at_silent_endpoint(history, call)) {
        record_violation(violations, Promise::AnsweredBeforeLeaving, format!("{call:?}"));
    }
    check_cancellation(history, &abandoned, violations);
}

/// Returns whether the response had begun, and an endpoint of the call may have been silent since
/// its last event. An entry must not end such a response.
fn is_left_at_silent_endpoint(history: &History, call: &CallRecord) -> bool {
    let Outcome::Abandoned { received } = &call.outcome else { return false };
    let executions = history.executions.iter().filter(|execution| execution.id == call.id);
    let endpoints: Vec<usize> = executions.map(|execution| execution.endpoint).collect();
    let from = call.ended.saturating_sub(CALLER_IDLE_TIMEOUT);
    !received.is_empty()
        && history.is_disturbed(from, call.ended, |what| match what {
            Disturbed::Crash(endpoint)
            | Disturbed::Endpoint(endpoint)
            | Disturbed::Frozen(endpoint)
            | Disturbed::Link(LinkId::Endpoint(endpoint))
            | Disturbed::Paused(endpoint)
            | Disturbed::Responses(endpoint) => endpoints.contains(&endpoint),
            Disturbed::Configs
            | Disturbed::Leaving(_)
            | Disturbed::Link(_)
            | Disturbed::Process(_)
            | Disturbed::Store => false,
        })
}

fn check_cancellation(
    history: &History,
    abandoned: &[&CallRecord],
    violations: &mut Vec<Violation>,
) {
    let (mut unfinished, mut uncanceled) = (0, Vec::new());
    for call in abandoned {
        let is_counted = |execution: &&ExecutionRecord| {
            execution.id == call.id
                && execution.would_end > call.ended + CANCEL_TIME
                && !is_link_disturbed(history, call, execution)
        };
        for execution in history.executions.iter().filter(is_counted) {
            unfinished += 1;
            let deadline = closed_at(history, call, execution) + CANCEL_TIME;
            uncanceled.extend((execution.ended > deadline).then_some(execution));
        }
    }
    if uncanceled.len() as f64 > MAX_UNCANCELED_FRACTION * unfinished as f64 {
        let seen =
            format!("{} of {unfinished} executions went on: {uncanceled:?}", uncanceled.len());
        record_violation(violations, Promise::NoWorkForGoneCallers, seen);
    }
}

/// When the close of an abandoned call reached its execution. A frozen machine detects it as it
/// thaws, after the last of several freezes that overlap; what it only starts then counts from when the
/// caller left.
fn closed_at(history: &History, call: &CallRecord, execution: &ExecutionRecord) -> Duration {
    if execution.is_started_after_close {
        return call.ended;
    }
    let frozen = Disturbed::Frozen(execution.endpoint);
    let freezes = || history.disturbances.iter().filter(|freeze| freeze.what == frozen);
    let thaw_after = |at: Duration| {
        let lasting = freezes().filter(|freeze| freeze.from <= at && freeze.to > at);
        lasting.map(|freeze| freeze.to).max()
    };
    let mut closed_at = call.ended;
    while let Some(thaw) = thaw_after(closed_at) {
        closed_at = thaw;
    }
    closed_at
}

/// Returns whether a link fault may have kept the close of the call's connection from the endpoint.
fn is_link_disturbed(history: &History, call: &CallRecord, execution: &ExecutionRecord) -> bool {
    let from = call.sent.saturating_sub(AFTEREFFECT_TIME);
    history.is_disturbed(from, execution.ended, |what| {
        what == Disturbed::Link(LinkId::Endpoint(execution.endpoint))
    })
}
