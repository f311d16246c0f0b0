//! Records the heartbeats of this process, by which its pauses are detected.

use std::{sync::Arc, time::Duration};

use lynxmount_core::Clock;
use lynxmount_policy::{HEARTBEAT_PERIOD, PauseDetector};
use parking_lot::Mutex;

/// Detects pauses of this process; shared by all connections.
pub(crate) struct PauseWatch {
    clock: Clock,
    detector: Mutex<PauseDetector>,
}

impl PauseWatch {
    pub(crate) fn new() -> PauseWatch {
        PauseWatch { clock: Clock::start(), detector: Mutex::default() }
    }

    /// Records heartbeats until the task is dropped.
    pub(crate) async fn run(self: Arc<PauseWatch>) {
        loop {
            self.detector.lock().on_heartbeat(self.clock.now());
            tokio::time::sleep(HEARTBEAT_PERIOD).await;
        }
    }

    /// How much longer attempts have to wait after a pause of this process.
    pub(crate) fn settle_time(&self) -> Duration {
        self.detector.lock().settle_time(self.clock.now())
    }
}
