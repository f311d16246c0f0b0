//! Which experts are in demand lately, from counts in short windows.
//!
//! What is asked for shifts at once and then stays for seconds; what is chosen
//! follows as streams end and others begin, within a second or two. So counts are
//! taken from all windows that are alike: few while demand moves, many later on.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The length of a window: one or two passes of a group.
const WINDOW: Duration = Duration::from_millis(100);

/// Windows that are kept.
const MAX_WINDOWS: usize = 16;

/// The newest windows, which always count: one alone may hold one pass only.
const NEWEST_WINDOWS: usize = 2;

/// How different a window may be from the newer ones to count with them: half
/// the sum of all differences. Windows of one demand differ by 0.05 to 0.15 on
/// the reference deployments. With 0.22 the slow move of a large group's demand
/// passed for one demand, and counts were 1.6 s old: a mean worth of 0.68 and 0.50
/// on the heaviest days, against 0.78 and 0.64 (three seeds each).
const SHIFT_DISTANCE: f64 = 0.14;

/// Counts of all ranks in one window.
#[derive(Clone, Debug)]
struct Window {
    since: Instant,
    counts: Vec<f64>,
}

/// Counts by set and expert in the newest windows.
#[derive(Clone, Debug)]
pub struct DemandWindows {
    windows: VecDeque<Window>,
    /// Whether windows of another demand are left out.
    detects_shifts: bool,
}

impl Default for DemandWindows {
    /// Starts empty, and detects shifts.
    fn default() -> DemandWindows {
        DemandWindows::new(true)
    }
}

impl DemandWindows {
    /// Starts empty.
    pub fn new(detects_shifts: bool) -> DemandWindows {
        DemandWindows { windows: VecDeque::new(), detects_shifts }
    }

    /// Adds how often each expert was chosen since the last counts of a rank.
    pub fn record(&mut self, chosen: &[u64], now: Instant) {
        let window = self.window(chosen.len(), now);
        window.iter_mut().zip(chosen).for_each(|(sum, more)| *sum += *more as f64);
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub fn demand_by_set(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        let mut newest_first = self.windows.iter().rev().map(|window| &window.counts);
        let mut demand = newest_first.next()?.clone();
        for (index, window) in newest_first.enumerate() {
            let is_old = self.detects_shifts && index + 1 >= NEWEST_WINDOWS;
            if is_old && distance(window, &demand) > SHIFT_DISTANCE {
                break;
            }
            demand.iter_mut().zip(window).for_each(|(sum, count)| *sum += count);
        }
        let is_known = experts > 0 && demand.iter().sum::<f64>() > 0.0;
        is_known.then(|| demand.chunks(experts).map(<[f64]>::to_vec).collect())
    }

    fn window(&mut self, length: usize, now: Instant) -> &mut Vec<f64> {
        let is_open = |window: &Window| now.saturating_duration_since(window.since) < WINDOW;
        if !self.windows.back().is_some_and(is_open) {
            self.windows.push_back(Window { since: now, counts: vec![0.0; length] });
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
        let newest = self.windows.len() - 1;
        &mut self.windows[newest].counts
    }
}

/// Half the sum of all differences between two distributions: 0 for the same, 1
/// for those that have nothing in common.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    let (sum_a, sum_b) = (a.iter().sum::<f64>(), b.iter().sum::<f64>());
    if sum_a <= 0.0 || sum_b <= 0.0 {
        return 0.0;
    }
    a.iter().zip(b).map(|(x, y)| (x / sum_a - y / sum_b).abs()).sum::<f64>() / 2.0
}
