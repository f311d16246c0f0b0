//! A budget of repeated calls in a sliding window, shared by entries.

use std::{collections::VecDeque, time::Duration};

/// The part of the bound that entries aim for: they see their own calls only,
/// and one that restarts forgets what it has sent.
const AIMED_PART: f64 = 0.5;

/// How finely the window is counted.
const SLICES: u32 = 20;

/// What a service may get beyond the first arrival of each call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBudgetOptions {
    /// Repeated arrivals, as a part of the calls.
    pub ratio: f64,
    /// Repeated arrivals beyond that, from all entries.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    calls: u32,
    repeats: u32,
}

/// The repeats of one entry to one service.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    options: WindowBudgetOptions,
    slices: VecDeque<Slice>,
}

impl WindowBudget {
    /// Starts with nothing sent.
    pub fn new(options: WindowBudgetOptions) -> WindowBudget {
        WindowBudget { options, slices: VecDeque::new() }
    }

    /// Counts the first arrival of a call.
    pub fn record_call(&mut self, now: Duration) {
        self.slice(now).calls += 1;
    }

    /// Takes one repeat, if this entry's share of the budget has one left.
    pub fn try_withdraw(&mut self, entries: usize, now: Duration) -> bool {
        self.slice(now);
        let calls: u32 = self.slices.iter().map(|slice| slice.calls).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let share = self.options.slack / entries.max(1) as f64;
        let bound = AIMED_PART * (self.options.ratio * f64::from(calls) + share);
        if f64::from(repeats) + 1.0 > bound {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    /// The slice of now; those that have left the window are dropped.
    fn slice(&mut self, now: Duration) -> &mut Slice {
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
