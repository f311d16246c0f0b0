//! The error type shared by all crates.
//!
//! Every error names the failed step and the peer concerned, so that its
//! message is understandable without context.

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
    /// Binding an idempotency key to one incarnation of an endpoint process.
    Claim,
    /// Opening a connection to another process.
    Connect,
    /// Sending an attempt to an endpoint process.
    Dispatch,
    /// Reading the platform's VM list.
    ListVms,
    /// Calling another process on its control port.
    ControlCall,
    /// Parsing or validating a file.
    ParseFile,
    /// Reading a streamed response.
    ReadResponse,
    /// Reading records from the platform's log.
    ReadLog,
    /// Initializing a process.
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
            Step::ReadResponse => "read answer",
            Step::ReadLog => "read log",
            Step::Start => "start",
        };
        f.write_str(name)
    }
}

/// Why a step failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The input is invalid; retrying it fails again.
    Invalid,
    /// The response is lost; the step may have taken effect.
    Indeterminate,
    /// The peer refused the step.
    Refused,
    /// The peer did not respond in time; the step may have taken effect.
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
    /// A description of the failure for humans.
    pub detail: String,
}

fn error(step: Step, peer: impl fmt::Display, cause: Cause, detail: impl fmt::Display) -> Error {
    Error { step, peer: peer.to_string(), cause, detail: detail.to_string() }
}

/// Builds the error for invalid input.
pub fn invalid(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Invalid, detail)
}

/// Builds the error for a step that may or may not have taken effect.
pub fn indeterminate(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Indeterminate, detail)
}

/// Builds the error for a step that the peer refused.
pub fn refused(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Refused, detail)
}

/// Builds the error for a step that got no response in time.
pub fn timed_out(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::TimedOut, detail)
}

/// Builds the error for a peer that could not be reached.
pub fn unreachable(step: Step, peer: impl fmt::Display, detail: impl fmt::Display) -> Error {
    error(step, peer, Cause::Unreachable, detail)
}
