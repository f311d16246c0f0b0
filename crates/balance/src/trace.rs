//! Recorded traces of expert popularity, as JSON lines.

use std::{fmt, io::BufRead};

use serde::Deserialize;

use crate::Shape;

/// What is wrong with a trace, and in which line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceError {
    /// The line, starting with 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.reason)
    }
}

impl std::error::Error for TraceError {}

/// The tokens of each expert in each layer, in one step.
#[derive(Clone, Debug, PartialEq)]
pub struct StepCounts {
    /// The step's number.
    pub step: u64,
    /// Tokens by layer and expert; a layer without a line has none.
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
    /// The first line of the next step.
    ahead: Option<Line>,
}

impl<R: BufRead> TraceReader<R> {
    /// Reads the first line.
    ///
    /// Fails if it is not the size of a group.
    pub fn new(input: R) -> Result<TraceReader<R>, TraceError> {
        let mut lines = input.lines();
        let fail = |reason: String| TraceError { line: 1, reason };
        let first = match lines.next() {
            Some(first) => first.map_err(|e| fail(e.to_string()))?,
            None => return Err(fail("the trace is empty".to_owned())),
        };
        let shape: Shape = serde_json::from_str(&first).map_err(|e| fail(e.to_string()))?;
        if let Some(fault) = shape.invalid_reason() {
            return Err(fail(fault.to_owned()));
        }
        Ok(TraceReader { lines, line_number: 1, shape, ahead: None })
    }

    /// The size of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Reads the next step; `None` at the end.
    ///
    /// Fails at the first wrong line.
    pub fn next_step(&mut self) -> Result<Option<StepCounts>, TraceError> {
        let Some(first) = self.take_line()? else { return Ok(None) };
        let step = first.step;
        let mut layers: Vec<Option<Vec<f64>>> = vec![None; self.shape.layers];
        self.put(&mut layers, first)?;
        while let Some(line) = self.take_line()? {
            match line.step {
                next if next == step => self.put(&mut layers, line)?,
                next if next > step => {
                    self.ahead = Some(line);
                    break;
                }
                _ => return Err(self.fail("step goes back")),
            }
        }
        let none = vec![0.0; self.shape.experts];
        let tokens = layers.into_iter().map(|layer| layer.unwrap_or_else(|| none.clone()));
        Ok(Some(StepCounts { step, tokens: tokens.collect() }))
    }

    fn put(&self, layers: &mut [Option<Vec<f64>>], line: Line) -> Result<(), TraceError> {
        let experts = self.shape.experts;
        match layers.get_mut(line.layer) {
            None => Err(self.fail(format!("layer must be below {}", self.shape.layers))),
            Some(_) if line.tokens.len() != experts => {
                Err(self.fail(format!("tokens must have {experts} counts")))
            }
            Some(Some(_)) => Err(self.fail("the step's layer is there twice")),
            Some(layer) => {
                *layer = Some(line.tokens.iter().map(|&count| count as f64).collect());
                Ok(())
            }
        }
    }

    fn take_line(&mut self) -> Result<Option<Line>, TraceError> {
        if let Some(line) = self.ahead.take() {
            return Ok(Some(line));
        }
        let Some(text) = self.lines.next() else { return Ok(None) };
        self.line_number += 1;
        let text = text.map_err(|e| self.fail(e.to_string()))?;
        if text.trim().is_empty() {
            return self.take_line();
        }
        serde_json::from_str(&text).map(Some).map_err(|e| self.fail(e.to_string()))
    }

    fn fail(&self, reason: impl Into<String>) -> TraceError {
        TraceError { line: self.line_number, reason: reason.into() }
    }
}
