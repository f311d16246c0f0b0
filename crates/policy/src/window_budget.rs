//! A retry budget over a sliding window, shared by entries without coordination.

use std::{collections::VecDeque, time::Duration};

/// Fraction of the bound that entries use: they see their own calls only, and one that restarts
/// forgets what it has sent.
const TARGET_FRACTION: f64 = 0.5;

/// Slices in which the window is counted.
const SLICES: u32 = 20;

/// Bound of the repeated arrivals at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBudgetOptions {
    /// Repeated arrivals as a fraction of the calls.
    pub ratio: f64,
    /// Additional repeated arrivals, from all entries together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    calls: u32,
    retries: u32,
}

/// The retry budget of one entry for one service.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    options: WindowBudgetOptions,
    slices: VecDeque<Slice>,
}

impl WindowBudget {
    /// Starts with an empty window.
    pub fn new(options: WindowBudgetOptions) -> WindowBudget {
        WindowBudget { options, slices: VecDeque::new() }
    }

    /// Counts the first arrival of a call.
    pub fn record_call(&mut self, now: Duration) {
        self.current_slice(now).calls += 1;
    }

    /// Whether this entry's share of the budget has a retry.
    pub fn has_retry(&mut self, entries: usize, now: Duration) -> bool {
        self.current_slice(now);
        let calls: u32 = self.slices.iter().map(|slice| slice.calls).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let slack_share = self.options.slack / entries.max(1) as f64;
        let bound = TARGET_FRACTION * (self.options.ratio * f64::from(calls) + slack_share);
        f64::from(retries) + 1.0 <= bound
    }

    /// Withdraws one retry from this entry's share of the budget. Returns whether there was one.
    pub fn try_withdraw(&mut self, entries: usize, now: Duration) -> bool {
        let has_retry = self.has_retry(entries, now);
        self.current_slice(now).retries += u32::from(has_retry);
        has_retry
    }

    /// The current slice; those that have left the window are dropped.
    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let width = self.options.window.max(Duration::from_millis(1)) / SLICES;
        let index = (now.as_nanos() / width.as_nanos().max(1)) as u64;
        while self.slices.front().is_some_and(|s| s.index + u64::from(SLICES) < index) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
