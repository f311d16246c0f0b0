//! What a run has come to.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    history::{History, Outcome},
    plan::{Fault, Size},
    promises::{Violation, judge},
};

/// The report of one run, as JSON.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The fleet.
    pub size: Size,
    /// Faults that were done.
    pub faults: usize,
    /// Calls, by what became of them.
    pub calls: BTreeMap<String, usize>,
    /// Runs of calls that their entries had canceled when they began.
    pub begun_after_close: usize,
    /// Crashes under each poison request.
    pub crashes: Vec<u32>,
    /// Questions which configuration was in force.
    pub probes: usize,
    /// The number of the group's map at the end; 0 if it never changed.
    pub last_map_version: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// The folder with logs, if it was kept.
    pub logs: Option<String>,
}

impl Report {
    pub(crate) fn new(
        seed: u64,
        size: Size,
        faults: &[Fault],
        history: &History,
        last_map_version: u64,
    ) -> Report {
        let mut calls = BTreeMap::new();
        for call in &history.calls {
            *calls.entry(label(&call.outcome)).or_default() += 1;
        }
        Report {
            seed,
            size,
            faults: faults.len(),
            calls,
            begun_after_close: history
                .works
                .iter()
                .filter(|work| work.is_begun_after_close)
                .count(),
            crashes: history.poisons.iter().map(|poison| poison.crashes).collect(),
            probes: history.probes.len(),
            last_map_version,
            violations: judge(history),
            logs: None,
        }
    }
}

fn label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered { status, .. } => status.to_string(),
        Outcome::Cut { status, .. } => format!("{status} cut"),
        Outcome::Left { .. } => "left".to_owned(),
        Outcome::NoAnswer => "no answer".to_owned(),
        Outcome::NoConnection => "no connection".to_owned(),
        Outcome::Unanswered => "unanswered".to_owned(),
    }
}
