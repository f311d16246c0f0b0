//! Straggler detection in a lock-step group: which ranks are so slow that all others wait for them.
//!
//! Answers the load of a group one rank of which becomes slower by a multiple while calls keep
//! coming: each pass takes as long as that rank's experts and streams.

/// The slowdown from which on a rank is slow. Engines of one service differ by less.
const MIN_SLOWDOWN: f64 = 1.5;

/// The largest fraction of a group's ranks that may be slow: more of them are the group's usual
/// speed, and the others can't take over their work.
const MAX_SLOW_FRACTION: f64 = 0.25;

/// The slowdown to plan with for a rank that reports one: 1 unless it is slow.
pub fn planned_slowdown(reported: f64) -> f64 {
    if reported < MIN_SLOWDOWN { 1.0 } else { reported }
}

/// The slow ranks of a group, given the slowdown that each rank reports; none if they are too many.
pub fn slow_ranks<T>(reported: impl IntoIterator<Item = (T, f64)>, ranks: usize) -> Vec<T> {
    let slow = reported.into_iter().filter(|(_, slowdown)| *slowdown >= MIN_SLOWDOWN);
    let slow: Vec<T> = slow.map(|(rank, _)| rank).collect();
    let max = (ranks as f64 * MAX_SLOW_FRACTION) as usize;
    if slow.len() <= max { slow } else { Vec::new() }
}
