//! Exit codes.

use std::process::ExitCode;

/// The outcome of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed.
    Failed,
    /// The arguments or a file are invalid; nothing was changed.
    Invalid,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        match exit {
            Exit::Done => ExitCode::from(0),
            Exit::Failed => ExitCode::from(1),
            Exit::Invalid => ExitCode::from(2),
        }
    }
}
