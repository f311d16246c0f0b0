//! The outcome of a request, as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The possible outcomes of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response was delivered.
    Complete,
    /// The request was not run and never will be.
    NotRun,
    /// The request may have been run, completely or in part.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
