//! When a process that was asked to exit does what, so that all of it fits into the grace period.

use std::time::Duration;

/// How long callers may expect a draining process to accept requests. The platform probes readiness
/// once a second and needs two failures, and callers may wait a second for a connection.
const ACCEPT_DURATION: Duration = Duration::from_millis(2800);

/// The same in a short grace period, in twentieths of it. Accepted calls need the rest to be answered.
const MAX_ACCEPT_TWENTIETHS: u32 = 7;

/// Time between the closing of idle connections and the refusal of requests: by then the platform
/// sends no new ones.
const CLOSE_IDLE_BEFORE: Duration = Duration::from_millis(200);

/// Time between the end of the drain and that of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time between the refusal of calls without a response and the end of the drain, in which these
/// refusals are sent.
const FLUSH_DURATION: Duration = Duration::from_millis(200);

/// The part of a short grace period that the margin, and the flush, may take at most, as a divisor.
const MIN_MARGIN_DIVISOR: u32 = 8;

/// Times since the start of a drain, in ascending order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSchedule {
    /// When idle connections are closed.
    pub close_idle_after: Duration,
    /// When new requests are refused.
    pub refuse_after: Duration,
    /// When calls without a response are refused.
    pub refuse_unanswered_after: Duration,
    /// When the process exits.
    pub exit_after: Duration,
}

impl DrainSchedule {
    /// The schedule of a grace period.
    pub fn new(grace: Duration) -> DrainSchedule {
        let refuse_after = ACCEPT_DURATION.min(grace * MAX_ACCEPT_TWENTIETHS / 20);
        let close_idle_before = CLOSE_IDLE_BEFORE.min(refuse_after / 2);
        let exit_after = grace - EXIT_MARGIN.min(grace / MIN_MARGIN_DIVISOR);
        let flush = FLUSH_DURATION.min(grace / MIN_MARGIN_DIVISOR);
        DrainSchedule {
            close_idle_after: refuse_after - close_idle_before,
            refuse_after,
            refuse_unanswered_after: exit_after - flush,
            exit_after,
        }
    }
}
