//! Requests under which back ends end: telling other entries through the platform's log.
//!
//! While the log is out each entry goes by what it has seen or read before.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{CrashReport, Offset};
use lynxmount_platform::{Page, PlatformClient};
use lynxmount_suspects::SharedQuarantine;

/// The stream of the platform's log that holds them.
const SUSPICIONS_STREAM: &str = "suspicions";

/// How long a read waits for a new record.
const LONG_POLL: Duration = Duration::from_secs(5);

/// The pause after a failure.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(250);

/// What the tasks share.
pub(crate) struct CrashReportLog {
    platform: PlatformClient,
    suspects: Arc<SharedQuarantine>,
}

impl CrashReportLog {
    pub(crate) fn new(platform: PlatformClient, suspects: Arc<SharedQuarantine>) -> CrashReportLog {
        CrashReportLog { platform, suspects }
    }

    /// Reads what others tell for as long as the process runs.
    pub(crate) async fn follow(self: Arc<CrashReportLog>) {
        let mut next: Offset = 0;
        loop {
            match self.platform.read(SUSPICIONS_STREAM, next, LONG_POLL).await {
                Ok(page) => next = self.take(&page, next),
                Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
            }
            self.suspects.expire();
        }
    }

    fn take(&self, page: &Page, next: Offset) -> Offset {
        for record in &page.records {
            match serde_json::from_value::<Vec<CrashReport>>(record.data.clone()) {
                Ok(told) => self.suspects.merge_from_platform(told.iter()),
                Err(error) => log::warn!("a record at {} is no suspicion: {error}", record.offset),
            }
        }
        let after = page.records.last().map_or(page.first, |record| record.offset + 1);
        after.max(next)
    }

    /// Tells others for as long as the process runs.
    pub(crate) async fn tell(self: Arc<CrashReportLog>) {
        loop {
            self.suspects.wait_for_unsent().await;
            let news = self.suspects.take_unsent();
            if let Err(error) = self.platform.append(SUSPICIONS_STREAM, &news).await {
                log::warn!("suspected requests are not told: {error}");
                self.suspects.requeue(&news);
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            }
        }
    }
}
