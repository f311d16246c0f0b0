//! How many endpoints calls end before they are held back, and how many innocent calls are
//! held back with them, in plays of some seeds.
//!
//! The bounds are those that callers are promised: three endpoints, and hardly an innocent
//! call.

mod quarantine_model;

use quarantine_model::{GROUP, Played, World, play};

/// Endpoints that may end under one call. A fourth may end as copies of the call are on
/// their way.
const MAX_ENDS: f64 = 3.0;

/// Callers may be refused wrongly five times a day, and once in 500 calls. A play is a day.
const MAX_WRONG_PER_DAY: f64 = 5.0;
const MAX_WRONG_PART: f64 = 1.0 / 500.0;

const DAYS: u64 = 10;

fn max_wrong(played: &Played) -> f64 {
    MAX_WRONG_PER_DAY * DAYS as f64 + MAX_WRONG_PART * f64::from(played.innocent)
}

fn assert_held_back(played: &Played) {
    assert!(played.ends_of_each() <= MAX_ENDS + 0.1, "{played:?}");
    assert!(played.most_under_one <= 4, "{played:?}");
    assert!(f64::from(played.innocent_held_back) <= max_wrong(played), "{played:?}");
}

#[test]
fn a_call_that_ends_ranks_of_a_group_ends_three_at_most() {
    assert_held_back(&play(GROUP, 0..DAYS));
    assert_held_back(&play(World { ends_early: true, ..GROUP }, 0..DAYS));
}

#[test]
fn a_call_that_ends_endpoints_one_by_one_ends_three_at_most() {
    let apart = World { is_group: false, ..GROUP };
    assert_held_back(&play(apart, 0..DAYS));
    assert_held_back(&play(World { ends_early: true, ..apart }, 0..DAYS));
    assert_held_back(&play(World { campaigns: 3, ..apart }, 0..DAYS));
}

#[test]
fn innocent_calls_are_served_while_endpoints_end_for_other_reasons() {
    let apart = World { is_group: false, campaigns: 0, ..GROUP };
    // Far more often than anywhere: one of sixteen each second, or five each five seconds.
    let often = World { other_ends_per_s: 1.0, ..apart };
    let together = World { other_ends_per_s: 0.2, together: 5, hot_per_s: 10.0, ..apart };
    for world in [often, together] {
        let played = play(world, 0..DAYS);

        assert!(f64::from(played.innocent_held_back) <= max_wrong(&played), "{played:?}");
    }
}
