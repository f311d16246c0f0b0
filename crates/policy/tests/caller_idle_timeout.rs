//! How long calls wait at silent endpoints before their callers are answered.

use std::time::Duration;

use lynxmount_policy::CallerIdleTimeout;
use proptest::prelude::*;

const PAUSE: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_caller_is_answered_before_it_leaves_for_a_pause() {
    let patience = CallerIdleTimeout::new(PAUSE);

    assert_eq!(patience.remaining(ms(0), ms(8000)), ms(1800));
    assert_eq!(patience.remaining(ms(1799), ms(6201)), ms(1));
    assert_eq!(patience.remaining(ms(1800), ms(6200)), Duration::ZERO);
}

#[test]
fn a_caller_is_answered_before_its_deadline() {
    let patience = CallerIdleTimeout::new(PAUSE);

    assert_eq!(patience.remaining(ms(300), ms(900)), ms(700));
    assert_eq!(patience.remaining(ms(1000), ms(200)), Duration::ZERO);
}

/// Guards against streams that are cut just before their last events.
#[test]
fn a_stream_with_a_recent_event_goes_on_to_its_deadline() {
    let patience = CallerIdleTimeout::new(PAUSE);

    assert_eq!(patience.remaining(ms(40), ms(100)), ms(210));
}

proptest! {
    /// Whatever a caller has left, a call that is silent for long enough is over before it leaves.
    #[test]
    fn no_silent_call_outlives_its_caller(pause in 500u64..20_000, silence in 250u64..20_000, left in 0u64..20_000) {
        let remaining = CallerIdleTimeout::new(ms(pause)).remaining(ms(silence), ms(left));

        let leaves_in = ms(pause).saturating_sub(ms(silence)).min(ms(left));
        prop_assert!(remaining < leaves_in || leaves_in.is_zero() && remaining.is_zero());
    }
}
