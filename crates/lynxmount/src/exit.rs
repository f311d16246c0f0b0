//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// It failed.
    Failed,
    /// The arguments or a file are wrong, and nothing was changed.
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
