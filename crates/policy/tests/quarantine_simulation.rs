//! How many endpoints a poison request crashes before it is quarantined, and how many innocent
//! calls are quarantined with it, in simulations with several seeds.
//!
//! The bounds are those that callers are promised: three endpoints, and hardly an innocent call.

mod quarantine_model;

use quarantine_model::{GROUP, Scenario, SimulationResult, simulate};

/// Endpoints that one call may crash. A fourth may crash while copies of the call are in flight.
const MAX_CRASHES: f64 = 3.0;

/// Callers may be refused by mistake five times a day, and once in 500 calls. A simulation counts
/// as a day.
const MAX_FALSE_POSITIVES_PER_DAY: f64 = 5.0;
const MAX_FALSE_POSITIVE_RATE: f64 = 1.0 / 500.0;

const DAYS: u64 = 10;

fn max_false_positives(result: &SimulationResult) -> f64 {
    MAX_FALSE_POSITIVES_PER_DAY * DAYS as f64 + MAX_FALSE_POSITIVE_RATE * f64::from(result.innocent)
}

fn assert_quarantined(result: &SimulationResult) {
    assert!(result.crashes_per_poison_request() <= MAX_CRASHES + 0.1, "{result:?}");
    assert!(result.max_crashes_of_one <= 4, "{result:?}");
    assert!(f64::from(result.innocent_quarantined) <= max_false_positives(result), "{result:?}");
}

#[test]
fn a_poison_request_crashes_three_ranks_of_a_group_at_most() {
    assert_quarantined(&simulate(GROUP, 0..DAYS));
    assert_quarantined(&simulate(Scenario { crashes_early: true, ..GROUP }, 0..DAYS));
}

#[test]
fn a_poison_request_crashes_three_independent_endpoints_at_most() {
    let independent = Scenario { is_group: false, ..GROUP };
    assert_quarantined(&simulate(independent, 0..DAYS));
    assert_quarantined(&simulate(Scenario { crashes_early: true, ..independent }, 0..DAYS));
    assert_quarantined(&simulate(Scenario { poison_requests: 3, ..independent }, 0..DAYS));
}

#[test]
fn innocent_calls_are_served_while_endpoints_crash_for_other_reasons() {
    let independent = Scenario { is_group: false, poison_requests: 0, ..GROUP };
    // Far more often than in any deployment: one of sixteen each second, or five each five seconds.
    let frequent = Scenario { other_crashes_per_s: 1.0, ..independent };
    let at_once = Scenario {
        other_crashes_per_s: 0.2,
        crashes_at_once: 5,
        popular_per_s: 10.0,
        ..independent
    };
    for scenario in [frequent, at_once] {
        let result = simulate(scenario, 0..DAYS);

        assert!(
            f64::from(result.innocent_quarantined) <= max_false_positives(&result),
            "{result:?}"
        );
    }
}
