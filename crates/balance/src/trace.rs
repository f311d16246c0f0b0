//! Recorded traces of expert popularity, as JSON lines.

use std::{fmt, io::BufRead};

use serde::Deserialize;

use crate::Shape;

/// An error in a line of a trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceError {
    /// The line, starting with 1.
    pub line: usize,
    /// The reason.
    pub reason: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.reason)
    }
}

impl std::error::Error for TraceError {}

/// The number of tokens per layer and expert in one step.
#[derive(Clone, Debug, PartialEq)]
pub struct StepCounts {
    /// The step's number.
    pub step: u64,
    /// Tokens by layer and expert; all 0 for a layer without a line.
    pub tokens: Vec<Vec<f64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    step: u64,
    layer: usize,
    tokens: Vec<u64>,
}

/// Reads a trace step by step.
pub struct TraceReader<R> {
    lines: std::io::Lines<R>,
    line_number: usize,
    shape: Shape,
    /// The first line of the next step, already read.
    lookahead: Option<Line>,
}

impl<R: BufRead> TraceReader<R> {
    /// Reads the header line.
    ///
    /// Fails if it does not contain the valid dimensions of a group.
    pub fn new(input: R) -> Result<TraceReader<R>, TraceError> {
        let mut lines = input.lines();
        let error = |reason: String| TraceError { line: 1, reason };
        let first = match lines.next() {
            Some(first) => first.map_err(|e| error(e.to_string()))?,
            None => return Err(error("the trace is empty".to_owned())),
        };
        let shape: Shape = serde_json::from_str(&first).map_err(|e| error(e.to_string()))?;
        if let Some(reason) = shape.invalid_reason() {
            return Err(error(reason.to_owned()));
        }
        Ok(TraceReader { lines, line_number: 1, shape, lookahead: None })
    }

    /// The dimensions of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Reads the next step; `None` at the end.
    ///
    /// Fails at the first invalid line.
    pub fn next_step(&mut self) -> Result<Option<StepCounts>, TraceError> {
        let Some(first) = self.next_line()? else { return Ok(None) };
        let step = first.step;
        let mut layers: Vec<Option<Vec<f64>>> = vec![None; self.shape.layers];
        self.insert(&mut layers, first)?;
        while let Some(line) = self.next_line()? {
            match line.step {
                next if next == step => self.insert(&mut layers, line)?,
                next if next > step => {
                    self.lookahead = Some(line);
                    break;
                }
                _ => return Err(self.error("step goes back")),
            }
        }
        let no_tokens = vec![0.0; self.shape.experts];
        let tokens = layers.into_iter().map(|layer| layer.unwrap_or_else(|| no_tokens.clone()));
        Ok(Some(StepCounts { step, tokens: tokens.collect() }))
    }

    fn insert(&self, layers: &mut [Option<Vec<f64>>], line: Line) -> Result<(), TraceError> {
        let experts = self.shape.experts;
        match layers.get_mut(line.layer) {
            None => Err(self.error(format!("layer must be below {}", self.shape.layers))),
            Some(_) if line.tokens.len() != experts => {
                Err(self.error(format!("tokens must have {experts} counts")))
            }
            Some(Some(_)) => Err(self.error("the step's layer is there twice")),
            Some(layer) => {
                *layer = Some(line.tokens.iter().map(|&count| count as f64).collect());
                Ok(())
            }
        }
    }

    fn next_line(&mut self) -> Result<Option<Line>, TraceError> {
        if let Some(line) = self.lookahead.take() {
            return Ok(Some(line));
        }
        let Some(text) = self.lines.next() else { return Ok(None) };
        self.line_number += 1;
        let text = text.map_err(|e| self.error(e.to_string()))?;
        if text.trim().is_empty() {
            return self.next_line();
        }
        serde_json::from_str(&text).map(Some).map_err(|e| self.error(e.to_string()))
    }

    fn error(&self, reason: impl Into<String>) -> TraceError {
        TraceError { line: self.line_number, reason: reason.into() }
    }
}
