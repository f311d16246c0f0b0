//! Which ranks of a group count as slow.

use lynxmount_policy::{planned_slowdown, slow_ranks};

const RANKS: usize = 16;

/// The usual speed for all ranks but the first ones, which report a slowdown.
fn reported(slow: usize, slowdown: f64) -> Vec<(usize, f64)> {
    (0..RANKS).map(|rank| (rank, if rank < slow { slowdown } else { 1.0 })).collect()
}

#[test]
fn ranks_of_several_times_the_usual_time_are_slow() {
    assert_eq!(slow_ranks(reported(2, 4.0), RANKS), [0, 1]);
    assert_eq!((planned_slowdown(4.0), planned_slowdown(1.0)), (4.0, 1.0));
}

#[test]
fn ranks_that_differ_a_little_are_not_slow() {
    assert!(slow_ranks(reported(2, 1.2), RANKS).is_empty());
    assert_eq!(planned_slowdown(1.2), 1.0);
}

#[test]
fn a_quarter_of_the_ranks_may_be_slow_and_more_are_the_usual_speed() {
    assert_eq!(slow_ranks(reported(4, 4.0), RANKS).len(), 4);
    assert!(slow_ranks(reported(5, 4.0), RANKS).is_empty());
}
