//! What must always hold, judged by what callers and back ends have seen.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lynxmount_platform_standin::{
    echo_body, echo_events,
    fixture::{CONFIG_APPLY_BOUND, DRAIN_BOUND},
};
use serde::Serialize;

use crate::{
    advice::judge_advice,
    gone::judge_gone_callers,
    history::{CallRecord, CallSort, Disturbed, History, Outcome, ProbeRecord},
    plan::{LinkId, ProcessId},
    poison::judge_poisons,
};

/// Events of each stream.
pub const STREAM_EVENTS: u64 = 12;

/// The statuses that promise that a call has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// How late a process may be on a machine that is busy with others, beyond what
/// the pages allow.
const SLACK: Duration = Duration::from_millis(1500);

/// How long before a moment a disturbance still counts: a path through the store
/// or a process has recovered by then.
pub(crate) const STABLE: Duration = Duration::from_millis(3000);

/// How long after the last fault calls are answered again.
pub const RECOVERY: Duration = Duration::from_secs(12);

/// The part of the calls that is answered well after that.
const RECOVERED_PART: f64 = 0.95;

/// How long after a process was asked to leave calls on a kept connection may still
/// be sent and are finished.
const TAKEN_WHILE_LEAVING: Duration = Duration::from_secs(3);

/// A promise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Promise {
    /// Every call is answered within its time.
    Answered,
    /// The caller of a silent stream is answered before it leaves.
    AnsweredBeforeLeaving,
    /// What runs once at most does so.
    AtMostOnce,
    /// A configuration is in force in time.
    ConfigInForce,
    /// No process goes back to an older configuration.
    ConfigNeverBack,
    /// Processes end only when they are asked to, and in time.
    Ends,
    /// An endpoint that refuses an entry and asks for rest has it.
    GrantsRest,
    /// An endpoint that names a limit gets no more than it allows.
    KeepsLimits,
    /// A process that leaves finishes what it has taken.
    LeavesGracefully,
    /// An endpoint that leaves gets no new work.
    LeavingGetsNothing,
    /// Proper calls are not called wrong.
    NotDenied,
    /// Endpoints don't work on for callers that have left.
    NoWorkForGoneCallers,
    /// Whoever is told that a call has not run was told the truth.
    NotRun,
    /// All ranks use one map in each pass.
    OneMap,
    /// A request that crashes endpoints is quarantined.
    Quarantines,
    /// Service is back after the last fault.
    Recovers,
    /// An answer is whole and belongs to its call.
    WholeAnswer,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// Judges a run.
pub fn judge(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    judge_answers(history, &mut found);
    judge_runs(history, &mut found);
    judge_gone_callers(history, &mut found);
    judge_leaving_processes(history, &mut found);
    judge_leaving_endpoints(history, &mut found);
    judge_advice(history, &mut found);
    judge_poisons(history, &mut found);
    judge_configs(history, &mut found);
    judge_group(history, &mut found);
    judge_recovery(history, &mut found);
    let ends = history.ends.iter().cloned();
    found.extend(ends.map(|seen| Violation { promise: Promise::Ends, seen }));
    found
}

pub(crate) fn broken(found: &mut Vec<Violation>, promise: Promise, seen: String) {
    found.push(Violation { promise, seen });
}

fn judge_answers(history: &History, found: &mut Vec<Violation>) {
    for call in &history.calls {
        let seen = || format!("{call:?}");
        match &call.outcome {
            Outcome::Answered { status: 200, is_signed, body }
                if !is_signed || *body != whole_body(call) =>
            {
                broken(found, Promise::WholeAnswer, seen());
            }
            Outcome::Cut { status: 200, received } | Outcome::Left { received }
                if !whole_body(call).starts_with(received) =>
            {
                broken(found, Promise::WholeAnswer, seen());
            }
            Outcome::Answered { status: 400 | 401 | 403 | 404, .. } => {
                broken(found, Promise::NotDenied, seen());
            }
            Outcome::Unanswered if !is_entry_disturbed(history, call) => {
                broken(found, Promise::Answered, seen());
            }
            _ => {}
        }
    }
}

fn whole_body(call: &CallRecord) -> String {
    match call.sort {
        CallSort::Lookup | CallSort::Booking => echo_body(&call.id),
        CallSort::Draft => echo_events(&call.id, STREAM_EVENTS),
    }
}

/// Says whether the entry of a call, or its callers' link, was disturbed.
pub(crate) fn is_entry_disturbed(history: &History, call: &CallRecord) -> bool {
    let entry = ProcessId::Entry(call.entry);
    let link = LinkId::Callers(call.entry);
    let from = call.sent.saturating_sub(STABLE);
    history.is_disturbed(from, call.ended, |what| {
        what == Disturbed::Process(entry) || what == Disturbed::Link(link)
    })
}

fn judge_runs(history: &History, found: &mut Vec<Violation>) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in &history.runs {
        *runs.entry(&run.id).or_default() += 1;
    }
    let at_most_once = history.calls.iter().filter(|call| call.sort == CallSort::Booking);
    for call in at_most_once {
        let count = runs.get(&*call.id).copied().unwrap_or_default();
        let promise = match &call.outcome {
            _ if count > 1 => Promise::AtMostOnce,
            Outcome::Answered { status, .. } if count > 0 && NOT_RUN.contains(status) => {
                Promise::NotRun
            }
            _ => continue,
        };
        broken(found, promise, format!("{count} runs of {call:?}"));
    }
}

/// A call that a process has taken before or soon after it was asked to leave is
/// answered, unless something else has harmed it.
fn judge_leaving_processes(history: &History, found: &mut Vec<Violation>) {
    let is_unanswered = |call: &&CallRecord| {
        matches!(call.outcome, Outcome::NoAnswer | Outcome::Cut { status: 200, .. })
    };
    for call in history.calls.iter().filter(is_unanswered) {
        let runs = history.runs.iter().filter(|run| run.id == call.id);
        let endpoints: Vec<usize> = runs.map(|run| run.endpoint).collect();
        // A call that crosses the end of an idle connection was not taken.
        let is_taken = call.outcome != Outcome::NoAnswer || !endpoints.is_empty();
        let entry = ProcessId::Entry(call.entry);
        let is_leaving = history.disturbances.iter().any(|d| {
            let is_in_time = call.sent <= d.from + TAKEN_WHILE_LEAVING;
            d.what == Disturbed::Leaving(entry) && is_in_time && call.ended >= d.from
        });
        let from = call.sent.saturating_sub(STABLE);
        let is_harmed = history.is_disturbed(from, call.ended, |what| match what {
            Disturbed::Crash(endpoint)
            | Disturbed::Endpoint(endpoint)
            | Disturbed::Link(LinkId::Endpoint(endpoint)) => endpoints.contains(&endpoint),
            _ => false,
        });
        if is_taken && is_leaving && !is_harmed && !is_entry_disturbed(history, call) {
            broken(found, Promise::LeavesGracefully, format!("{call:?}"));
        }
    }
}

fn judge_leaving_endpoints(history: &History, found: &mut Vec<Violation>) {
    for leave in &history.leaves {
        let late = history.runs.iter().filter(|run| {
            run.endpoint == leave.endpoint
                && run.at > leave.from + DRAIN_BOUND + SLACK
                && run.at < leave.to
        });
        for run in late {
            let from = leave.from.saturating_sub(STABLE);
            let is_excused = history.is_disturbed(from, run.at, |what| match what {
                Disturbed::Store | Disturbed::Leaving(_) => true,
                Disturbed::Link(LinkId::Store(process)) | Disturbed::Process(process) => {
                    matches!(process, ProcessId::Entry(_))
                }
                Disturbed::Link(LinkId::Endpoint(endpoint)) => endpoint == leave.endpoint,
                Disturbed::Link(LinkId::Callers(_))
                | Disturbed::Crash(_)
                | Disturbed::Endpoint(_) => false,
            });
            if !is_excused {
                let seen = format!("{run:?} although it left at {:?}", leave.from);
                broken(found, Promise::LeavingGetsNothing, seen);
            }
        }
    }
}

fn judge_configs(history: &History, found: &mut Vec<Violation>) {
    for probe in &history.probes {
        judge_probe_in_time(history, probe, found);
    }
    let mut by_life: BTreeMap<(usize, u64), Vec<&ProbeRecord>> = BTreeMap::new();
    for probe in &history.probes {
        by_life.entry((probe.entry, probe.life)).or_default().push(probe);
    }
    for probes in by_life.values() {
        judge_never_back(probes, found);
    }
}

/// The newest version's key is known once it has been in the store for long enough.
fn judge_probe_in_time(history: &History, probe: &ProbeRecord, found: &mut Vec<Violation>) {
    let newest = history.configs.iter().rfind(|config| config.at <= probe.ended);
    let Some(config) = newest.filter(|config| config.version == probe.version) else { return };
    let is_due = probe.sent > config.at + CONFIG_APPLY_BOUND + SLACK;
    let entry = ProcessId::Entry(probe.entry);
    let from = config.at.saturating_sub(STABLE);
    let is_excused = history.is_disturbed(from, probe.ended, |what| {
        what == Disturbed::Store
            || what == Disturbed::Process(entry)
            || what == Disturbed::Leaving(entry)
            || what == Disturbed::Link(LinkId::Store(entry))
    });
    if is_due && !is_excused && !probe.is_known {
        broken(found, Promise::ConfigInForce, format!("{probe:?} of {config:?}"));
    }
}

/// Each version has one key of its own, so that a known key shows the version.
fn judge_never_back(probes: &[&ProbeRecord], found: &mut Vec<Violation>) {
    for later in probes.iter().filter(|probe| probe.is_known) {
        let before = probes.iter().filter(|probe| probe.is_known && probe.ended < later.sent);
        let highest = before.map(|probe| probe.version).max().unwrap_or_default();
        if highest > later.version {
            let seen = format!("version {highest} was in force before {later:?}");
            broken(found, Promise::ConfigNeverBack, seen);
        }
    }
}

fn judge_group(history: &History, found: &mut Vec<Violation>) {
    if let Some(pass) = history.split_pass {
        broken(found, Promise::OneMap, format!("ranks had different maps in pass {pass}"));
    }
    if history.passes_after == 0 {
        let seen = "the group makes no pass after all faults".to_owned();
        broken(found, Promise::Recovers, seen);
    }
}

fn judge_recovery(history: &History, found: &mut Vec<Violation>) {
    let from = history.faults_over + RECOVERY;
    let calls: Vec<&CallRecord> = history.calls.iter().filter(|call| call.sent >= from).collect();
    let is_good =
        |call: &&&CallRecord| matches!(call.outcome, Outcome::Answered { status: 200, .. });
    let good = calls.iter().filter(is_good).count();
    if (good as f64) < RECOVERED_PART * calls.len() as f64 || calls.is_empty() {
        let seen = format!("{good} of {} calls are answered well after all faults", calls.len());
        broken(found, Promise::Recovers, seen);
    }
}
