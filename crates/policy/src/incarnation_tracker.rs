//! Whether the process behind an address has crashed, as its only client sees it.
//!
//! The connections of a crashed process break together, whatever takes connections at its address
//! afterwards: its listener for a while, a supervisor that holds the socket, or a new process.

use std::time::Duration;

use crate::disconnected_calls::CRASH_ATTRIBUTION_WINDOW;

/// How far apart connections break that one crash breaks.
const CRASH_SPAN: Duration = Duration::from_millis(100);

/// What became of a process after the connection of a call broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessVerdict {
    /// It has answered on a connection that is older than the break.
    Alive,
    /// It has crashed; its life is given.
    Crashed(u64),
}

/// The lives of a process, numbered from 0.
#[derive(Debug, Default)]
pub struct IncarnationTracker {
    life: u64,
    /// Whether nothing has been heard of the current life.
    is_starting: bool,
    /// The latest life that has ended, and when.
    ended: Option<(u64, Duration)>,
    /// When the latest connection of a call broke.
    broke_at: Option<Duration>,
    /// When the kept connection broke, unless that was attributed to a crash.
    closed_at: Option<Duration>,
    /// Since when the connection is kept, and when the latest question was sent that was answered
    /// on it.
    answered: Option<(Duration, Duration)>,
}

impl IncarnationTracker {
    /// The current life, or the next one while there is none.
    pub fn incarnation(&self) -> u64 {
        self.life
    }

    /// Records that the connection of a call broke before the call's end.
    pub fn on_call_disconnected(&mut self, now: Duration) {
        self.broke_at = Some(now);
        self.compare(now);
    }

    /// Records that the kept connection broke.
    pub fn on_connection_closed(&mut self, now: Duration) {
        self.answered = None;
        self.closed_at = Some(now);
        self.compare(now);
    }

    /// Records that a connection was refused: no process is there.
    pub fn on_refused(&mut self, now: Duration) {
        if !self.is_starting {
            self.end(now);
        }
    }

    /// Records an answer to a question that was sent at a time, on a connection that is kept since
    /// another.
    pub fn on_response(&mut self, kept_since: Duration, asked_at: Duration) {
        self.is_starting = false;
        self.answered = Some((kept_since, asked_at));
    }

    /// Says whether a crash may still show that broke the connection of a call.
    pub fn is_in_doubt(&self, now: Duration) -> bool {
        let is_open = |broke_at: Duration| {
            now.saturating_sub(broke_at) <= CRASH_ATTRIBUTION_WINDOW
                && self.verdict(broke_at).is_none()
        };
        self.broke_at.is_some_and(is_open)
    }

    /// What became of the process after the connection of a call broke; `None` if that is not known.
    pub fn verdict(&self, broke_at: Duration) -> Option<ProcessVerdict> {
        let is_cause = |at: Duration| {
            at + CRASH_SPAN >= broke_at && at.saturating_sub(broke_at) <= CRASH_ATTRIBUTION_WINDOW
        };
        let is_proof = |(kept_since, asked_at): (Duration, Duration)| {
            kept_since < broke_at && asked_at >= broke_at
        };
        match (self.ended, self.answered) {
            (Some((life, at)), _) if is_cause(at) => Some(ProcessVerdict::Crashed(life)),
            (_, Some(answered)) if is_proof(answered) => Some(ProcessVerdict::Alive),
            _ => None,
        }
    }

    /// Ends the life if a call's connection and the kept one broke together.
    fn compare(&mut self, now: Duration) {
        let (Some(broke_at), Some(closed_at)) = (self.broke_at, self.closed_at) else { return };
        if broke_at.abs_diff(closed_at) <= CRASH_SPAN {
            self.closed_at = None;
            self.end(now);
        }
    }

    fn end(&mut self, now: Duration) {
        self.ended = Some((self.life, now));
        self.life += 1;
        self.is_starting = true;
    }
}
