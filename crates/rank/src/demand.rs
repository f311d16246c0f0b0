//! Which experts are in demand, from the counts of all ranks.
//!
//! Demand shifts at once and then stays for seconds. So counts are taken from
//! all windows since the last shift: few after it, many later on.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_core::experts::{Counts, GroupEpoch};

use crate::message::RankState;

/// The length of a window: one or two passes of a group.
const WINDOW: Duration = Duration::from_millis(100);

/// Windows that are kept.
const MAX_WINDOWS: usize = 16;

/// The newest windows, which always count: one alone may hold one pass only.
const NEWEST_WINDOWS: usize = 2;

/// How different a window may be from the newest ones to count with them: half
/// the sum of all differences. Windows of one demand differ by 0.05 to 0.15 on
/// the reference deployments, those before and after a shift by 0.3 to 0.5.
const SHIFT_DISTANCE: f64 = 0.22;

/// Counts of all ranks in one window.
struct Window {
    since: Instant,
    counts: Vec<f64>,
}

/// Demand by set and expert, as it is since the last shift.
#[derive(Default)]
pub(crate) struct Demand {
    last: BTreeMap<SocketAddr, Counts>,
    epoch: GroupEpoch,
    windows: VecDeque<Window>,
}

impl Demand {
    /// Takes the counts of a rank.
    pub(crate) fn take(&mut self, state: &RankState) {
        let Some(counts) = &state.counts else { return };
        if self.epoch != counts.epoch {
            *self = Demand { epoch: counts.epoch, ..Demand::default() };
        }
        let before = self.last.insert(state.engine, counts.clone());
        let Some(before) = before.filter(|before| before.step < counts.step) else { return };
        let window = self.window(counts.by_set_and_expert.len());
        let pairs = counts.by_set_and_expert.iter().zip(&before.by_set_and_expert);
        for (sum, (now, then)) in window.iter_mut().zip(pairs) {
            *sum += now.saturating_sub(*then) as f64;
        }
    }

    fn window(&mut self, length: usize) -> &mut Vec<f64> {
        let is_open = self.windows.back().is_some_and(|window| window.since.elapsed() < WINDOW);
        if !is_open {
            self.windows.push_back(Window { since: Instant::now(), counts: vec![0.0; length] });
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
        let newest = self.windows.len() - 1;
        &mut self.windows[newest].counts
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub(crate) fn by_set(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        let mut newest_first = self.windows.iter().rev().map(|window| &window.counts);
        let mut demand = newest_first.next()?.clone();
        for (index, window) in newest_first.enumerate() {
            if index + 1 >= NEWEST_WINDOWS && distance(window, &demand) > SHIFT_DISTANCE {
                break;
            }
            demand.iter_mut().zip(window).for_each(|(sum, count)| *sum += count);
        }
        let is_known = experts > 0 && demand.iter().sum::<f64>() > 0.0;
        is_known.then(|| demand.chunks(experts).map(<[f64]>::to_vec).collect())
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
