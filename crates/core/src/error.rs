//! The error type of the project.
//!
//! Every error says at which step it arose and which peer it concerns, so
//! that a log line or a message on an operator's terminal can stand alone.

use std::fmt;

/// The result of a step that can fail.
pub type Result<T> = std::result::Result<T, Error>;

/// The step at which an error arose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Appending a record to the platform's log.
    AppendLog,
    /// Binding a listening socket.
    Bind,
    /// Forwarding a request to the back end beside an endpoint process.
    CallBackend,
    /// Binding an idempotency key to one incarnation.
    Claim,
    /// Opening a connection to another process.
    Connect,
    /// Sending an attempt to an endpoint process.
    Dispatch,
    /// Reading the VM list.
    ListVms,
    /// Calling another process on its control port.
    ControlCall,
    /// Reading or checking a file.
    ParseFile,
    /// Reading an answer that is being streamed.
    ReadAnswer,
    /// Reading records of the platform's log.
    ReadLog,
    /// Setting a process up.
    Start,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Step::AppendLog => "append to log",
            Step::Bind => "bind",
            Step::CallBackend => "call back end",
            Step::Claim => "claim idempotency key",
            Step::Connect => "connect",
            Step::Dispatch => "dispatch",
            Step::ListVms => "list VMs",
            Step::ControlCall => "order",
            Step::ParseFile => "parse file",
            Step::ReadAnswer => "read answer",
            Step::ReadLog => "read log",
            Step::Start => "start",
        };
        f.write_str(name)
    }
}

/// Why a step failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The input breaks a rule; the same input will fail again.
    Invalid,
    /// The step may have taken effect, and its answer is lost.
    Indeterminate,
    /// The peer answered that it won't.
    Refused,
    /// The peer did not answer in time; nothing is known of the effect.
    TimedOut,
    /// The peer could not be reached; the step had no effect.
    Unreachable,
}

/// A failed step, with the peer it concerns.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{step}: {peer}: {detail}")]
pub struct Error {
    /// The step at which the error arose.
    pub step: Step,
    /// The process, address or file that the step concerned.
    pub peer: String,
    /// Why the step failed.
    pub cause: Cause,
    /// What happened, for a person.
    pub detail: String,
}

fn error(step: Step, peer: impl fmt::Display, cause: Cause, detail: impl fmt::Display) -> Error {
    Error { step, peer: peer.to_string(), cause, detail: detail.to_string() }
}

/// Builds the error of an input that breaks a rule.
pub fn invalid(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Invalid, detail)
}

/// Builds the error of a step whose effect is not known.
pub fn indeterminate(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Indeterminate, detail)
}

/// Builds the error of a step that the peer refused.
pub fn refused(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Refused, detail)
}

/// Builds the error of a step that got no answer in time.
pub fn timed_out(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::TimedOut, detail)
}

/// Builds the error of a peer that could not be reached.
pub fn unreachable(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Unreachable, detail)
}
