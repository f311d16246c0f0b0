//! The report of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    config_lateness::worst_lateness_s,
    history::{History, Outcome},
    plan::{Fault, Size},
    promises::{Violation, check_history},
    retry_budget::worst_windows,
};

/// The report of one run, as JSON.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The size of the fleet.
    pub size: Size,
    /// The number of injected faults.
    pub faults: usize,
    /// The number of calls by outcome.
    pub calls: BTreeMap<String, usize>,
    /// The number of executions that started after their connections were closed.
    pub begun_after_close: usize,
    /// The number of crashes that each poison request caused.
    pub crashes: Vec<u32>,
    /// The worst window of each service's retry budget: the repeated arrivals, and how many were
    /// allowed.
    pub retry_windows: Vec<Option<(usize, usize)>>,
    /// The number of configuration probes.
    pub probes: usize,
    /// How much later than its bound a configuration was not yet in force at the worst, in seconds;
    /// negative if all were in force earlier.
    pub config_lateness_s: Option<f64>,
    /// The version of the group's expert map at the end; 0 if it never changed.
    pub last_map_version: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// The folder with settings and logs, if it was kept.
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
                .executions
                .iter()
                .filter(|work| work.is_started_after_close)
                .count(),
            crashes: history.poisons.iter().map(|poison| poison.crashes).collect(),
            retry_windows: worst_windows(history)
                .into_iter()
                .map(|worst| worst.map(|worst| (worst.retries, worst.allowed)))
                .collect(),
            probes: history.probes.len(),
            config_lateness_s: worst_lateness_s(history),
            last_map_version,
            violations: check_history(history),
            logs: None,
        }
    }
}

fn label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed { status, .. } => status.to_string(),
        Outcome::Truncated { status, .. } => format!("{status} cut"),
        Outcome::Abandoned { .. } => "left".to_owned(),
        Outcome::NoResponse => "no answer".to_owned(),
        Outcome::NoConnection => "no connection".to_owned(),
        Outcome::TimedOut => "unanswered".to_owned(),
    }
}
