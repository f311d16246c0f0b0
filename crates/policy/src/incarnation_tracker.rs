//! Crash detection: whether the process behind an address has crashed, as its only client sees it.
//!
//! The connections of a crashed process break together, whatever accepts connections at its
//! address afterwards: its listener for a while, a supervisor that holds the socket, or a new
//! process.

use std::time::Duration;

use crate::disconnected_calls::CRASH_ATTRIBUTION_WINDOW;

/// How far apart one crash breaks connections.
const CRASH_SPAN: Duration = Duration::from_millis(100);

/// State of a process after the connection of a call broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessVerdict {
    /// It has answered on a connection that is older than the break.
    Alive,
    /// It has crashed; the number is that of the incarnation.
    Crashed(u64),
}

/// The incarnations of a process, numbered from 0.
#[derive(Debug, Default)]
pub struct IncarnationTracker {
    incarnation: u64,
    /// Whether the current incarnation has not answered yet.
    is_starting: bool,
    /// The latest incarnation that has crashed, and when.
    crashed: Option<(u64, Duration)>,
    /// When the connection of a call last broke.
    broken_at: Option<Duration>,
    /// When the monitoring connection closed, unless that was attributed to a crash.
    closed_at: Option<Duration>,
    /// When the monitoring connection was opened, and when the latest request was sent that was
    /// answered on it.
    answered: Option<(Duration, Duration)>,
}

impl IncarnationTracker {
    /// The current incarnation, or the next one while there is none.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that the connection of a call broke before the call's end.
    pub fn on_call_disconnected(&mut self, now: Duration) {
        self.broken_at = Some(now);
        self.correlate(now);
    }

    /// Records that the monitoring connection closed.
    pub fn on_connection_closed(&mut self, now: Duration) {
        self.answered = None;
        self.closed_at = Some(now);
        self.correlate(now);
    }

    /// Records that a connection was refused: no process is there.
    pub fn on_refused(&mut self, now: Duration) {
        if !self.is_starting {
            self.end_incarnation(now);
        }
    }

    /// Records an answer on the monitoring connection, which was opened at `connected_at`, to a
    /// request that was sent at `asked_at`.
    pub fn on_response(&mut self, connected_at: Duration, asked_at: Duration) {
        self.is_starting = false;
        self.answered = Some((connected_at, asked_at));
    }

    /// Whether a crash may still show that broke the connection of a call.
    pub fn is_in_doubt(&self, now: Duration) -> bool {
        let is_undecided = |broke_at: Duration| {
            now.saturating_sub(broke_at) <= CRASH_ATTRIBUTION_WINDOW
                && self.verdict(broke_at).is_none()
        };
        self.broken_at.is_some_and(is_undecided)
    }

    /// State of the process after the connection of a call broke; `None` if it is not known.
    pub fn verdict(&self, broke_at: Duration) -> Option<ProcessVerdict> {
        let is_cause = |at: Duration| {
            at + CRASH_SPAN >= broke_at && at.saturating_sub(broke_at) <= CRASH_ATTRIBUTION_WINDOW
        };
        let proves_alive = |(connected_at, asked_at): (Duration, Duration)| {
            connected_at < broke_at && asked_at >= broke_at
        };
        match (self.crashed, self.answered) {
            (Some((incarnation, at)), _) if is_cause(at) => {
                Some(ProcessVerdict::Crashed(incarnation))
            }
            (_, Some(answered)) if proves_alive(answered) => Some(ProcessVerdict::Alive),
            _ => None,
        }
    }

    /// Ends the incarnation if a call's connection and the monitoring one broke together.
    fn correlate(&mut self, now: Duration) {
        let (Some(broke_at), Some(closed_at)) = (self.broken_at, self.closed_at) else { return };
        if broke_at.abs_diff(closed_at) <= CRASH_SPAN {
            self.closed_at = None;
            self.end_incarnation(now);
        }
    }

    fn end_incarnation(&mut self, now: Duration) {
        self.crashed = Some((self.incarnation, now));
        self.incarnation += 1;
        self.is_starting = true;
    }
}
