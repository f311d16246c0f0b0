//! Pause detection: whether the own process was paused (a frozen VM, `SIGSTOP`), by heartbeats of
//! its own that come late.
//!
//! A process that resumes reads requests before it reads that their senders have given them up.
//! Requests that it would start wait until what arrived during the pause has been read.

use std::time::Duration;

/// How often the process has to record a heartbeat.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);

/// Least delay of a heartbeat that shows a pause. A busy machine delays it by less.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// How long requests wait after a pause: peers' kernels answer within a round trip that their
/// connections are gone.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Detects pauses of the process. Its clock has to advance during a pause.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_heartbeat: Duration,
    resumed_at: Option<Duration>,
}

impl PauseDetector {
    /// Records a heartbeat.
    pub fn on_heartbeat(&mut self, now: Duration) {
        if self.is_late(now) {
            self.resumed_at = Some(now);
        }
        self.last_heartbeat = now;
    }

    /// How much longer requests have to wait after a pause; zero without one.
    pub fn settle_time(&self, now: Duration) -> Duration {
        match self.resumed_at {
            _ if self.is_late(now) => SETTLE_TIME,
            Some(at) => (at + SETTLE_TIME).saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    fn is_late(&self, now: Duration) -> bool {
        now >= self.last_heartbeat + MIN_PAUSE
    }
}
