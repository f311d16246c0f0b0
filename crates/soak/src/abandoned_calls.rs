//! Checks that callers of stalled streams get a response before their idle timeout, and that
//! endpoints cancel the work of abandoned calls.

use std::time::Duration;

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
    for call in &abandoned {
        record_violation(violations, Promise::AnsweredBeforeLeaving, format!("{call:?}"));
    }
    check_cancellation(history, &abandoned, violations);
}

fn check_cancellation(
    history: &History,
    abandoned: &[&CallRecord],
    violations: &mut Vec<Violation>,
) {
    let (mut unfinished, mut uncanceled) = (0, Vec::new());
    for call in abandoned {
        let deadline = call.ended + CANCEL_TIME;
        let is_counted = |execution: &&ExecutionRecord| {
            execution.id == call.id
                && execution.would_end > deadline
                && !is_link_disturbed(history, call, execution)
        };
        for execution in history.executions.iter().filter(is_counted) {
            unfinished += 1;
            uncanceled.extend((execution.ended > deadline).then_some(execution));
        }
    }
    if uncanceled.len() as f64 > MAX_UNCANCELED_FRACTION * unfinished as f64 {
        let seen =
            format!("{} of {unfinished} executions went on: {uncanceled:?}", uncanceled.len());
        record_violation(violations, Promise::NoWorkForGoneCallers, seen);
    }
}

/// Returns whether a link fault may have kept the close of the call's connection from the endpoint.
fn is_link_disturbed(history: &History, call: &CallRecord, execution: &ExecutionRecord) -> bool {
    let from = call.sent.saturating_sub(AFTEREFFECT_TIME);
    history.is_disturbed(from, execution.ended, |what| {
        what == Disturbed::Link(LinkId::Endpoint(execution.endpoint))
    })
}
