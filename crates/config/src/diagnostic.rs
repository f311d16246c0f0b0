//! What is wrong with a file, where, and what would be right.

use std::fmt;

use serde::Serialize;

/// One thing that is wrong.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Diagnostic {
    /// The file, as the operator named it.
    pub file: String,
    /// The line, starting with 1.
    pub line: usize,
    /// The column in characters, starting with 1.
    pub column: usize,
    /// The field's path, such as `teams[2].rate_per_s`.
    pub field: String,
    /// What is wrong.
    pub wrong: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { file, line, column, field, wrong, expected } = self;
        write!(f, "{file}:{line}:{column}: {field}: {wrong}; expected {expected}")
    }
}

/// Everything that is wrong with one file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Diagnostics {}
