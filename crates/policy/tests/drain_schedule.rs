//! The schedule of a drain.

use std::time::Duration;

use lynxmount_policy::DrainSchedule;
use proptest::prelude::*;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against callers that find nobody while the platform still sends them.
#[test]
fn requests_are_accepted_until_the_platform_sends_no_more() {
    for grace_s in [8, 15, 600] {
        let schedule = DrainSchedule::new(Duration::from_secs(grace_s));

        assert_eq!((schedule.close_idle_after, schedule.refuse_after), (at_ms(2600), at_ms(2800)));
        assert_eq!(schedule.exit_after, at_ms(1000 * grace_s - 500));
        assert_eq!(schedule.refuse_unanswered_after, at_ms(1000 * grace_s - 700));
    }
}

proptest! {
    /// Guards against phases that a short grace period does not reach.
    #[test]
    fn all_phases_fit_into_the_grace_period(grace_ms in 0_u64..20_000) {
        let schedule = DrainSchedule::new(at_ms(grace_ms));

        let DrainSchedule { close_idle_after, refuse_after, refuse_unanswered_after, exit_after } =
            schedule;
        prop_assert!(close_idle_after <= refuse_after);
        prop_assert!(2 * refuse_after <= refuse_unanswered_after, "{schedule:?}");
        prop_assert!(refuse_unanswered_after <= exit_after);
        prop_assert!(exit_after <= at_ms(grace_ms));
    }
}
