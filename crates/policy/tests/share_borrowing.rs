//! When an entry exceeds its share of the capacity, and how it returns to it.

use std::time::Duration;

use lynxmount_policy::ShareBorrowing;

const ENTRIES: usize = 4;

fn after(steps: u64) -> Duration {
    Duration::from_millis(1000 + 250 * steps)
}

/// A share that was used up at low utilization for so many steps.
fn raised(steps: u64) -> ShareBorrowing {
    let mut borrowing = ShareBorrowing::default();
    (0..steps).for_each(|step| borrowing.update(0.3, true, ENTRIES, after(step)));
    borrowing
}

#[test]
fn an_entry_takes_over_the_whole_capacity_that_others_leave() {
    assert!((raised(40).factor() - ENTRIES as f64).abs() < f64::EPSILON);
}

#[test]
fn a_share_that_is_not_used_up_is_not_raised() {
    let mut borrowing = ShareBorrowing::default();

    borrowing.update(0.3, false, ENTRIES, after(0));

    assert_eq!(borrowing, ShareBorrowing::default());
}

/// Guards against entries that overload endpoints together: all are at their shares then.
#[test]
fn no_share_is_raised_while_the_capacity_is_in_use() {
    let mut borrowing = ShareBorrowing::default();

    borrowing.update(0.8, true, ENTRIES, after(0));

    assert_eq!(borrowing, ShareBorrowing::default());
}

#[test]
fn a_raised_share_returns_once_the_capacity_is_nearly_used_up() {
    let mut borrowing = raised(40);

    (40..44).for_each(|step| borrowing.update(0.95, true, ENTRIES, after(step)));

    assert!((borrowing.factor() - 1.0).abs() < f64::EPSILON, "{borrowing:?}");
}

#[test]
fn a_share_changes_once_for_each_report_of_the_endpoints() {
    let mut borrowing = ShareBorrowing::default();

    (0..10)
        .for_each(|ms| borrowing.update(0.3, true, ENTRIES, after(0) + Duration::from_millis(ms)));

    assert_eq!(borrowing, raised(1));
}
