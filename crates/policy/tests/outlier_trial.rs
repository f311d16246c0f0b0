//! Trials of endpoints after their ejection.

use std::time::Duration;

use lynxmount_policy::{CallOutcome, OutlierDetector};

/// Guards against as many failed calls after each ejection as there are calls at that moment.
#[test]
fn an_ejected_endpoint_is_on_trial_until_it_succeeds() {
    let mut detector = OutlierDetector::default();
    let is_on_trial_before = detector.is_on_trial();

    detector.record(CallOutcome::Unreachable, Duration::ZERO);
    let is_on_trial = detector.is_on_trial();
    detector.record(CallOutcome::Answered, Duration::from_secs(1));

    assert_eq!((is_on_trial_before, is_on_trial, detector.is_on_trial()), (false, true, false));
}
