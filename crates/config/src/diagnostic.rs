//! Diagnostics of configuration files: position, problem and expected value.

use std::fmt;

use serde::Serialize;

/// One problem in a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Diagnostic {
    /// Path of the file, as given by the operator.
    pub file: String,
    /// Line number, starting with 1.
    pub line: usize,
    /// Column in characters, starting with 1.
    pub column: usize,
    /// Path of the field, such as `teams[2].rate_per_s`.
    pub field: String,
    /// Description of the problem.
    pub wrong: String,
    /// Description of a valid value.
    pub expected: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { file, line, column, field, wrong, expected } = self;
        write!(f, "{file}:{line}:{column}: {field}: {wrong}; expected {expected}")
    }
}

/// All problems in one file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Diagnostics {}
