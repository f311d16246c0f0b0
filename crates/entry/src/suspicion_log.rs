//! Shares suspected poison requests, which crash back ends, with other entries through the
//! platform's log.
//!
//! During an outage of the log, each entry uses its own observations and what it has read before.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{Offset, Suspicion};
use lynxmount_platform::{Page, Platform};
use lynxmount_suspects::SharedQuarantine;

/// The stream of the platform's log that holds suspicions.
const SUSPICIONS_STREAM: &str = "suspicions";

/// How long a read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The state that the reading and the publishing task share.
pub(crate) struct SuspicionLog {
    platform: Platform,
    quarantine: Arc<SharedQuarantine>,
}

impl SuspicionLog {
    pub(crate) fn new(platform: Platform, quarantine: Arc<SharedQuarantine>) -> SuspicionLog {
        SuspicionLog { platform, quarantine }
    }

    /// Applies the suspicions of other processes until the process exits.
    pub(crate) async fn follow(self: Arc<SuspicionLog>) {
        let mut next: Offset = 0;
        loop {
            match self.platform.read(SUSPICIONS_STREAM, next, LONG_POLL_TIMEOUT).await {
                Ok(page) => next = self.apply(&page, next),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
            self.quarantine.expire();
        }
    }

    fn apply(&self, page: &Page, next: Offset) -> Offset {
        for record in &page.records {
            match serde_json::from_value::<Vec<Suspicion>>(record.data.clone()) {
                Ok(suspicions) => self.quarantine.merge_from_platform(suspicions.iter()),
                Err(error) => {
                    log::warn!(offset = record.offset, error:% = error; "suspicion record invalid");
                }
            }
        }
        let end = page.records.last().map_or(page.first, |record| record.offset + 1);
        end.max(next)
    }

    /// Publishes this entry's suspicions until the process exits.
    pub(crate) async fn publish(self: Arc<SuspicionLog>) {
        loop {
            self.quarantine.wait_for_unsent().await;
            let suspicions = self.quarantine.take_unsent();
            if let Err(error) = self.platform.append(SUSPICIONS_STREAM, &suspicions).await {
                log::warn!(error:% = error; "suspicions not published");
                self.quarantine.requeue(&suspicions);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
