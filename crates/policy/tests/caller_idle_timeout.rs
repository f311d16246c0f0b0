//! How long calls wait at silent endpoints under their callers' idle timeouts.

use std::time::Duration;

use lynxmount_policy::CallerIdleTimeout;
use proptest::prelude::*;

const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_caller_is_answered_before_its_idle_timeout() {
    let timeout = CallerIdleTimeout::new(IDLE_TIMEOUT);

    assert_eq!(timeout.remaining(ms(0), ms(8000)), ms(1800));
    assert_eq!(timeout.remaining(ms(1799), ms(6201)), ms(1));
    assert_eq!(timeout.remaining(ms(1800), ms(6200)), Duration::ZERO);
}

#[test]
fn a_caller_is_answered_before_its_deadline() {
    let timeout = CallerIdleTimeout::new(IDLE_TIMEOUT);

    assert_eq!(timeout.remaining(ms(300), ms(900)), ms(700));
    assert_eq!(timeout.remaining(ms(1000), ms(200)), Duration::ZERO);
}

/// Guards against streams that are canceled right before their last events.
#[test]
fn a_stream_with_a_recent_event_continues_to_its_deadline() {
    let timeout = CallerIdleTimeout::new(IDLE_TIMEOUT);

    assert_eq!(timeout.remaining(ms(40), ms(100)), ms(210));
}

proptest! {
    /// A call that is silent for long enough ends before its caller leaves, whatever time is left.
    #[test]
    fn a_silent_call_ends_before_its_caller_leaves(
        idle in 500u64..20_000,
        silence in 250u64..20_000,
        left in 0u64..20_000,
    ) {
        let remaining = CallerIdleTimeout::new(ms(idle)).remaining(ms(silence), ms(left));

        let leaves_in = ms(idle).saturating_sub(ms(silence)).min(ms(left));
        prop_assert!(remaining < leaves_in || leaves_in.is_zero() && remaining.is_zero());
    }
}
