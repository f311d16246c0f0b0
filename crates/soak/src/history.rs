//! What callers, back ends and the injector have seen. All times count from the
//! start of the run.

use std::{ops::Range, time::Duration};

use crate::plan::{LinkId, ProcessId};

/// Which promise a call relies on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallSort {
    /// May run more than once.
    Lookup,
    /// May run at most once.
    Booking,
    /// A stream that may be resumed.
    Draft,
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether a back end has signed it.
        is_signed: bool,
        /// The body.
        body: String,
    },
    /// An answer that broke off.
    Cut {
        /// Its status.
        status: u16,
        /// What came of the body.
        received: String,
    },
    /// The caller has left after a pause without an event.
    Left {
        /// What came of the body.
        received: String,
    },
    /// The connection ended without an answer.
    NoAnswer,
    /// No connection was opened.
    NoConnection,
    /// The caller has waited for far longer than its time.
    Unanswered,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its id; no other call has it.
    pub id: String,
    /// What it relies on.
    pub sort: CallSort,
    /// The entry.
    pub entry: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When its outcome was there.
    pub ended: Duration,
    /// The outcome.
    pub outcome: Outcome,
}

/// A request that came to an endpoint; among runs, one that it ran, or began to.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The call's id.
    pub id: String,
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// When.
    pub at: Duration,
}

/// An endpoint's work for a request.
#[derive(Clone, Debug)]
pub struct WorkRecord {
    /// The call's id.
    pub id: String,
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// Whether the caller had closed its connection when it began.
    pub is_begun_after_close: bool,
    /// When it ended.
    pub ended: Duration,
    /// When it would have ended if it had not been canceled.
    pub would_end: Duration,
}

/// A question which configuration an entry has in force.
#[derive(Clone, Copy, Debug)]
pub struct ProbeRecord {
    /// The entry.
    pub entry: usize,
    /// Which life of the entry's process answered.
    pub life: u64,
    /// The version whose key was used.
    pub version: u64,
    /// When it was sent.
    pub sent: Duration,
    /// When the answer was there.
    pub ended: Duration,
    /// Whether the key was known.
    pub is_known: bool,
}

/// A configuration that the store has taken.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRecord {
    /// The version.
    pub version: u64,
    /// When the store had it.
    pub at: Duration,
}

/// A time during which an endpoint was leaving.
#[derive(Clone, Copy, Debug)]
pub struct LeaveRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// When the store had it.
    pub from: Duration,
    /// When it was back; the end of the run if it never was.
    pub to: Duration,
}

/// A time during which an endpoint named a limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// Requests a second.
    pub limit_per_s: f64,
    /// When it began to name it.
    pub from: Duration,
    /// When it named it no more.
    pub to: Duration,
}

/// A time during which an endpoint said with its answers that it left.
#[derive(Clone, Copy, Debug)]
pub struct SaidLeavingRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// When it began to say so.
    pub from: Duration,
    /// When it started again.
    pub to: Duration,
}

/// A time during which an endpoint refused everything and asked for rest.
#[derive(Clone, Copy, Debug)]
pub struct RestRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// The rest.
    pub rest: Duration,
    /// When it began to refuse.
    pub from: Duration,
    /// When it refused no more.
    pub to: Duration,
}

/// A time during which a request was repeated that crashes endpoints.
#[derive(Clone, Debug)]
pub struct PoisonRecord {
    /// The endpoints of its service.
    pub endpoints: Range<usize>,
    /// When it was first sent.
    pub from: Duration,
    /// When it was sent no more.
    pub to: Duration,
    /// How often it has crashed one of them.
    pub crashes: u32,
}

/// What was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbed {
    /// An endpoint whose process may crash under a poison request, or is down after it did.
    Crash(usize),
    /// An endpoint.
    Endpoint(usize),
    /// A link.
    Link(LinkId),
    /// A process: killed, paused, or starting again.
    Process(ProcessId),
    /// A process that was asked to leave.
    Leaving(ProcessId),
    /// The store.
    Store,
}

/// A disturbance with its time.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// What was disturbed.
    pub what: Disturbed,
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub to: Duration,
}

/// Everything that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All calls.
    pub calls: Vec<CallRecord>,
    /// All runs.
    pub runs: Vec<RunRecord>,
    /// All work of endpoints.
    pub works: Vec<WorkRecord>,
    /// All requests that came to endpoints, run or not.
    pub arrivals: Vec<RunRecord>,
    /// All limits of endpoints.
    pub limits: Vec<LimitRecord>,
    /// All leavings that endpoints said with their answers.
    pub said_leaving: Vec<SaidLeavingRecord>,
    /// All rests of endpoints.
    pub rests: Vec<RestRecord>,
    /// All poison requests.
    pub poisons: Vec<PoisonRecord>,
    /// All questions.
    pub probes: Vec<ProbeRecord>,
    /// All configurations.
    pub configs: Vec<ConfigRecord>,
    /// All leavings.
    pub leaves: Vec<LeaveRecord>,
    /// All disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Processes that have ended by themselves, or too late, with a word on it.
    pub ends: Vec<String>,
    /// The pass in which ranks had different maps, if any.
    pub split_pass: Option<u64>,
    /// Passes of the group within the time after all faults.
    pub passes_after: u64,
    /// When the last fault was over.
    pub faults_over: Duration,
}

impl History {
    /// Says whether something of these was disturbed within a time.
    pub fn is_disturbed(
        &self,
        from: Duration,
        to: Duration,
        matters: impl Fn(Disturbed) -> bool,
    ) -> bool {
        let overlaps = |d: &Disturbance| d.from <= to && d.to >= from;
        self.disturbances.iter().any(|d| overlaps(d) && matters(d.what))
    }
}
