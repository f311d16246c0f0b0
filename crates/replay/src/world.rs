//! The decisions that a trace is played against.

use std::{collections::BTreeMap, fmt, io::BufRead};

use lynxmount_config::Acceptance;
use lynxmount_group::{CommitParticipant, RankNumber};
use lynxmount_idempotency::{ClaimTable, Ledger};
use lynxmount_policy::RetryState;
use serde_json::Value;

use crate::{Event, Line, fleet_events, gate_events, key_events, request_events};

/// All machines that the events so far have named.
#[derive(Default)]
pub struct World {
    pub(crate) processes: BTreeMap<String, Acceptance>,
    pub(crate) entries: BTreeMap<String, ClaimTable>,
    pub(crate) lives: BTreeMap<String, Ledger>,
    pub(crate) gates: BTreeMap<RankNumber, CommitParticipant>,
    pub(crate) requests: BTreeMap<String, RetryState>,
}

/// A line that can't be played.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineError {
    /// The line, starting with 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.reason)
    }
}

impl std::error::Error for LineError {}

/// The first line whose result is not the stated one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The line, starting with 1.
    pub line: usize,
    /// What was stated.
    pub expected: Value,
    /// What came of the event.
    pub actual: Value,
}

impl World {
    /// Plays one event and returns what came of it.
    ///
    /// Fails if the event names something that no event before has started.
    pub fn play(&mut self, event: &Event) -> Result<Value, String> {
        match event {
            Event::ConfigFromPeer { .. } | Event::ConfigRead { .. } => {
                fleet_events::play(self, event)
            }
            Event::ClaimRead { .. } | Event::Dispatched { .. } | Event::KeyWanted { .. } => {
                key_events::play(self, event)
            }
            Event::AttemptEnded { .. } | Event::RequestBegan { .. } => {
                request_events::play(self, event)
            }
            Event::Asked { .. }
            | Event::GateStarted { .. }
            | Event::HoldAnswered { .. }
            | Event::OrderedToArm { .. }
            | Event::Voted { .. } => gate_events::play(self, event),
        }
    }
}

/// Plays a whole trace; hands every line and its result to `seen`, and stops at
/// the first difference.
///
/// Fails at the first line that can't be read or played.
pub fn play(
    input: impl BufRead,
    mut seen: impl FnMut(&Line, &Value),
) -> Result<Option<Difference>, LineError> {
    let mut world = World::default();
    for (index, text) in input.lines().enumerate() {
        let line_number = index + 1;
        let fail = |reason: String| LineError { line: line_number, reason };
        let text = text.map_err(|e| fail(e.to_string()))?;
        if text.trim().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_str(&text).map_err(|e| fail(e.to_string()))?;
        let actual = world.play(&line.event).map_err(fail)?;
        seen(&line, &actual);
        match &line.expect {
            Some(expected) if *expected != actual => {
                let expected = expected.clone();
                return Ok(Some(Difference { line: line_number, expected, actual }));
            }
            _ => {}
        }
    }
    Ok(None)
}
