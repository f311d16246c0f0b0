//! Whether callers of silent streams are answered in time, and what endpoints do for those that
//! have left.

use std::time::Duration;

use crate::{
    history::{CallRecord, Disturbed, History, Outcome, WorkRecord},
    plan::LinkId,
    promises::{Promise, STABLE, Violation, broken, is_entry_disturbed},
};

/// How long after its caller has left a run may go on.
const STILL_AT_WORK: Duration = Duration::from_millis(500);

/// The fraction of the runs that would have gone on for longer that may do so.
const STILL_AT_WORK_FRACTION: f64 = 0.25;

/// Judges calls whose callers have left, of entries that were not disturbed.
pub(crate) fn judge_gone_callers(history: &History, found: &mut Vec<Violation>) {
    let has_left = |call: &&CallRecord| {
        matches!(call.outcome, Outcome::Left { .. }) && !is_entry_disturbed(history, call)
    };
    let gone: Vec<&CallRecord> = history.calls.iter().filter(has_left).collect();
    for call in &gone {
        broken(found, Promise::AnsweredBeforeLeaving, format!("{call:?}"));
    }
    judge_work(history, &gone, found);
}

fn judge_work(history: &History, gone: &[&CallRecord], found: &mut Vec<Violation>) {
    let (mut would_go_on, mut went_on) = (0, Vec::new());
    for call in gone {
        let bound = call.ended + STILL_AT_WORK;
        let is_counted = |work: &&WorkRecord| {
            work.id == call.id && work.would_end > bound && !is_link_harmed(history, call, work)
        };
        for work in history.works.iter().filter(is_counted) {
            would_go_on += 1;
            went_on.extend((work.ended > bound).then_some(work));
        }
    }
    if went_on.len() as f64 > STILL_AT_WORK_FRACTION * would_go_on as f64 {
        let seen = format!("{} of {would_go_on} runs went on: {went_on:?}", went_on.len());
        broken(found, Promise::NoWorkForGoneCallers, seen);
    }
}

/// Says whether the close of a call's connection may not have reached the endpoint.
fn is_link_harmed(history: &History, call: &CallRecord, work: &WorkRecord) -> bool {
    let from = call.sent.saturating_sub(STABLE);
    history.is_disturbed(from, work.ended, |what| {
        what == Disturbed::Link(LinkId::Endpoint(work.endpoint))
    })
}
