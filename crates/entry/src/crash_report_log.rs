//! Shares crash reports of suspected poison requests with other entries through the
//! platform's log.
//!
//! During an outage of the log, each entry uses its own observations and what it has read before.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{CrashReport, Evidence, Offset};
use lynxmount_platform::PlatformClient;
use lynxmount_quarantine::{SharedQuarantine, split};

/// The stream of the platform's log that holds crash reports.
const CRASH_REPORTS_STREAM: &str = "suspicions";

/// How long a read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The state that the reading and the publishing task share.
pub(crate) struct CrashReportLog {
    platform: PlatformClient,
    quarantine: Arc<SharedQuarantine>,
}

impl CrashReportLog {
    pub(crate) fn new(
        platform: PlatformClient,
        quarantine: Arc<SharedQuarantine>,
    ) -> CrashReportLog {
        CrashReportLog { platform, quarantine }
    }

    /// Applies the crash reports of other processes until the process exits.
    pub(crate) async fn follow(self: Arc<CrashReportLog>) {
        let mut next: Offset = 0;
        loop {
            match self.platform.read(CRASH_REPORTS_STREAM, next, LONG_POLL_TIMEOUT).await {
                Ok(read) => {
                    next = read.next;
                    read.records.into_iter().for_each(|record| self.apply(record.data));
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
            self.quarantine.expire();
        }
    }

    fn apply(&self, reports: Vec<CrashReport>) {
        let evidence: Vec<Evidence> = reports.into_iter().map(Evidence::Call).collect();
        self.quarantine.merge_from_platform(evidence.iter());
    }

    /// Publishes this entry's crash reports until the process exits.
    pub(crate) async fn publish(self: Arc<CrashReportLog>) {
        loop {
            self.quarantine.wait_for_unsent().await;
            let evidence = self.quarantine.take_unsent();
            // Calls have no segments here.
            let (reports, _) = split(evidence.iter());
            if let Err(error) = self.platform.append(CRASH_REPORTS_STREAM, &reports).await {
                log::warn!("crash reports not published: {error}");
                self.quarantine.requeue(&evidence);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
