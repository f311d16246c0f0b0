//! The history of a run, as recorded by callers, back ends and the injector. All times count from
//! the start of the run.

use std::{ops::Range, time::Duration};

use lynxmount_platform_standin::RetryBounds;

use crate::plan::{LinkId, ProcessId};

/// The delivery semantics that a call requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallClass {
    /// Idempotent: may run more than once.
    Lookup,
    /// Not idempotent: may run at most once.
    Booking,
    /// A resumable stream.
    Draft,
    /// A resumable stream that takes seconds.
    Report,
}

/// The outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete response.
    Completed {
        /// The status.
        status: u16,
        /// Whether a back end has signed it.
        is_signed: bool,
        /// The body.
        body: String,
    },
    /// A response that was truncated.
    Truncated {
        /// The status.
        status: u16,
        /// The part of the body that was received.
        received: String,
    },
    /// The caller abandoned the call at its idle timeout.
    Abandoned {
        /// The part of the body that was received.
        received: String,
    },
    /// The connection closed without a response.
    NoResponse,
    /// No connection was opened.
    NoConnection,
    /// No outcome long after the call's deadline.
    TimedOut,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The unique id.
    pub id: String,
    /// The required delivery semantics.
    pub class: CallClass,
    /// The number of events of its response; 0 unless it is a stream.
    pub events: u64,
    /// The entry that was called.
    pub entry: usize,
    /// When it was sent.
    pub sent: Duration,
    /// How long after that its time is over.
    pub time_limit: Duration,
    /// When its outcome was known.
    pub ended: Duration,
    /// The outcome.
    pub outcome: Outcome,
}

/// A request that arrived at an endpoint; in [`History::runs`], one whose execution it started.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The call's id.
    pub id: String,
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// When it arrived.
    pub at: Duration,
}

/// An endpoint's execution of a request.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// The call's id.
    pub id: String,
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// Whether the caller had closed its connection before it started.
    pub is_started_after_close: bool,
    /// Whether it ended because the entry had closed the connection.
    pub is_canceled: bool,
    /// When it ended.
    pub ended: Duration,
    /// When it would have ended if it had not been canceled.
    pub would_end: Duration,
}

/// A probe of the configuration that an entry has in force.
#[derive(Clone, Copy, Debug)]
pub struct ProbeRecord {
    /// The entry.
    pub entry: usize,
    /// The incarnation of the entry's process that responded.
    pub incarnation: u64,
    /// The version whose key was used.
    pub version: u64,
    /// When it was sent.
    pub sent: Duration,
    /// When the response was received.
    pub ended: Duration,
    /// Whether the entry accepted the key.
    pub is_known: bool,
}

/// A configuration that was written to the store.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRecord {
    /// The version.
    pub version: u64,
    /// When it was written.
    pub at: Duration,
}

/// An interval during which an endpoint was registered as draining.
#[derive(Clone, Copy, Debug)]
pub struct LeaveRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// When its registration was written.
    pub from: Duration,
    /// When the leave fault ended; overlapping leave faults have one record each.
    pub to: Duration,
}

/// An interval during which an endpoint announced a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// The limit in requests per second.
    pub limit_per_s: f64,
    /// When it started to announce it.
    pub from: Duration,
    /// When it stopped announcing it.
    pub to: Duration,
}

/// An interval during which an endpoint's responses carried the leaving signal.
#[derive(Clone, Copy, Debug)]
pub struct LeavingSignalRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// When it started to signal.
    pub from: Duration,
    /// When it was restarted.
    pub to: Duration,
}

/// An interval during which an endpoint shed every request with a retry-after time.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterRecord {
    /// The endpoint, counted over all services.
    pub endpoint: usize,
    /// The retry-after time.
    pub retry_after: Duration,
    /// When it started to shed.
    pub from: Duration,
    /// When it stopped shedding.
    pub to: Duration,
}

/// The retry budget of each service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetRecord {
    /// The bounds.
    pub bounds: RetryBounds,
    /// The number of endpoints of each service, which follow each other.
    pub endpoints_per_service: usize,
}

/// An interval during which a poison request was repeated.
#[derive(Clone, Debug)]
pub struct PoisonRecord {
    /// The endpoints of its service.
    pub endpoints: Range<usize>,
    /// When it was first sent.
    pub from: Duration,
    /// When it was last sent.
    pub to: Duration,
    /// How many crashes it caused.
    pub crashes: u32,
}

/// The part of the system that was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbed {
    /// Reads of configurations, while the store answers others.
    Configs,
    /// An endpoint whose process may crash on a poison request, or is down after such a crash.
    Crash(usize),
    /// An endpoint that breaks off no response, but stalls or fails.
    Endpoint(usize),
    /// An endpoint whose machine is frozen: it executes nothing, and detects no cancellation.
    Frozen(usize),
    /// A link.
    Link(LinkId),
    /// An endpoint of which at least one execution is paused; it breaks off no response.
    Paused(usize),
    /// A process: killed, paused, or starting again.
    Process(ProcessId),
    /// A process that was asked to terminate gracefully.
    Leaving(ProcessId),
    /// An endpoint that breaks off responses.
    Responses(usize),
    /// The store.
    Store,
}

/// A disturbance and its interval.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// What was disturbed.
    pub what: Disturbed,
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub to: Duration,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All calls.
    pub calls: Vec<CallRecord>,
    /// All executions that were started.
    pub runs: Vec<RunRecord>,
    /// All executions with their ends.
    pub executions: Vec<ExecutionRecord>,
    /// All requests that arrived at endpoints, executed or not.
    pub arrivals: Vec<RunRecord>,
    /// Those of them that were meant for another incarnation, whose refusal asks for nothing.
    pub misdirected: Vec<RunRecord>,
    /// All rate limits of endpoints.
    pub rate_limits: Vec<RateLimitRecord>,
    /// All leaving signals of endpoints.
    pub leaving_signals: Vec<LeavingSignalRecord>,
    /// All retry-after times of endpoints.
    pub retry_afters: Vec<RetryAfterRecord>,
    /// All poison requests.
    pub poisons: Vec<PoisonRecord>,
    /// The retry budget; `None` if it is not judged.
    pub retry_budget: Option<RetryBudgetRecord>,
    /// All probes.
    pub probes: Vec<ProbeRecord>,
    /// All configurations.
    pub configs: Vec<ConfigRecord>,
    /// All registrations of endpoints as draining.
    pub leaves: Vec<LeaveRecord>,
    /// All disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Descriptions of processes that exited unasked, or too late.
    pub ends: Vec<String>,
    /// The first pass in which ranks used different maps, if any.
    pub split_pass: Option<u64>,
    /// The number of passes of the group after the last fault.
    pub passes_after: u64,
    /// When the last fault was over.
    pub faults_over: Duration,
}

impl History {
    /// Returns whether a part that matters was disturbed within an interval.
    pub fn is_disturbed(
        &self,
        from: Duration,
        to: Duration,
        matters: impl Fn(Disturbed) -> bool,
    ) -> bool {
        let overlaps = |d: &Disturbance| d.from <= to && d.to >= from;
        self.disturbances.iter().any(|d| overlaps(d) && matters(d.what))
    }

    /// The end of the last disturbance before a time of a part that matters; zero without one.
    pub fn undisturbed_since(&self, at: Duration, matters: impl Fn(Disturbed) -> bool) -> Duration {
        let ends = self.disturbances.iter().filter(|d| d.to < at && matters(d.what)).map(|d| d.to);
        ends.max().unwrap_or_default()
    }
}
