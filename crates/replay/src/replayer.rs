//! Replay of a trace against the state machines that its events name.

use std::{collections::BTreeMap, fmt, io::BufRead};

use lynxmount_config::ConfigState;
use lynxmount_group::{CommitParticipant, RankNumber};
use lynxmount_idempotency::{ClaimTable, DedupTable};
use lynxmount_policy::RetryState;
use serde_json::Value;

use crate::{Event, Line, commit_events, config_events, key_events, request_events};

/// The state machines that were created by the events so far, by their names in the trace.
#[derive(Default)]
pub struct Replayer {
    pub(crate) config_states: BTreeMap<String, ConfigState>,
    pub(crate) claim_tables: BTreeMap<String, ClaimTable>,
    pub(crate) dedup_tables: BTreeMap<String, DedupTable>,
    pub(crate) participants: BTreeMap<RankNumber, CommitParticipant>,
    pub(crate) retry_states: BTreeMap<String, RetryState>,
}

/// A line that can't be parsed or replayed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineError {
    /// Line number, starting with 1.
    pub line: usize,
    /// Description of the problem.
    pub reason: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.reason)
    }
}

impl std::error::Error for LineError {}

/// The first line whose result differs from the expected one.
#[derive(Clone, Debug, PartialEq)]
pub struct Mismatch {
    /// Line number, starting with 1.
    pub line: usize,
    /// Expected result.
    pub expected: Value,
    /// Actual result.
    pub actual: Value,
}

impl Replayer {
    /// Applies one event and returns its result.
    ///
    /// Fails if the event names a state machine that no earlier event has created.
    pub fn apply(&mut self, event: &Event) -> Result<Value, String> {
        match event {
            Event::ConfigFromPeer { .. } | Event::ConfigRead { .. } => {
                config_events::apply(self, event)
            }
            Event::ClaimRead { .. } | Event::Dispatched { .. } | Event::KeyWanted { .. } => {
                key_events::apply(self, event)
            }
            Event::AttemptEnded { .. } | Event::RequestBegan { .. } => {
                request_events::apply(self, event)
            }
            Event::Asked { .. }
            | Event::GateStarted { .. }
            | Event::HoldAnswered { .. }
            | Event::OrderedToArm { .. }
            | Event::Voted { .. } => commit_events::apply(self, event),
        }
    }
}

/// Replays a trace, passes each line with its result to `on_result`, and stops at the first
/// mismatch.
///
/// Fails at the first line that can't be parsed or replayed.
pub fn replay_trace(
    input: impl BufRead,
    mut on_result: impl FnMut(&Line, &Value),
) -> Result<Option<Mismatch>, LineError> {
    let mut replayer = Replayer::default();
    for (index, text) in input.lines().enumerate() {
        let line_number = index + 1;
        let fail = |reason: String| LineError { line: line_number, reason };
        let text = text.map_err(|e| fail(e.to_string()))?;
        if text.trim().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_str(&text).map_err(|e| fail(e.to_string()))?;
        let actual = replayer.apply(&line.event).map_err(fail)?;
        on_result(&line, &actual);
        match &line.expect {
            Some(expected) if *expected != actual => {
                let expected = expected.clone();
                return Ok(Some(Mismatch { line: line_number, expected, actual }));
            }
            _ => {}
        }
    }
    Ok(None)
}
