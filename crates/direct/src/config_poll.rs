//! Hedged long polls for configurations, which recover from lost responses within the settle time.
//!
//! A response is lost without an error when the store or a connection falls silent. A poll that is
//! not answered soon after its wait is hedged (Dean and Barroso, The Tail at Scale): a read on
//! another connection competes with it, so that recovery depends neither on the poll's timeout nor
//! on other reads.

use std::{pin::pin, time::Duration};

use lynxmount_core::{
    FleetConfig, Offset, Result, SiteBounds, Step, adapter::FleetSource, timed_out,
};

/// Time after a poll's wait at which it is hedged. The store responds in 4 ms, and in 280 ms while
/// it is slow.
const HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a read that does not wait.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The part of the settle time that is left for delays on a busy machine.
const BUSY_MACHINE_MARGIN: Duration = Duration::from_millis(700);

/// Shortest wait of a poll. A settle time of less than 2 s leaves no margin.
const MIN_WAIT: Duration = Duration::from_secs(1);

// A lost poll delays recovery by its wait and `HEDGE_DELAY`, which `ConfigPoll::new` keeps within
// the settle time; a lost read must not delay it for longer.
const _: () = assert!(
    READ_TIMEOUT.as_millis() + RETRY_DELAY.as_millis()
        <= MIN_WAIT.as_millis() + HEDGE_DELAY.as_millis()
);

/// Successive reads of the platform's configuration.
pub struct ConfigPoll {
    wait: Duration,
    has_failed: bool,
}

impl ConfigPoll {
    /// Derives the wait of polls from a site's bounds.
    pub fn new(bounds: &SiteBounds) -> ConfigPoll {
        let longest = bounds.settle.saturating_sub(HEDGE_DELAY + BUSY_MACHINE_MARGIN);
        ConfigPoll { wait: bounds.config_apply.min(longest).max(MIN_WAIT), has_failed: false }
    }

    /// The longest time from the platform's recovery to the next answered read.
    pub fn recovery_time(&self) -> Duration {
        self.wait + HEDGE_DELAY
    }

    /// Reads the newest configuration after an offset, or `None` if there is none for the duration
    /// of a poll. After a failure, reads without waiting, and not before the retry delay.
    ///
    /// Calls `on_hedge` if the poll is hedged. Fails as
    /// [`FleetSource::config_after`] does.
    pub async fn read(
        &mut self,
        source: &impl FleetSource,
        after: Option<Offset>,
        on_hedge: impl FnOnce(),
    ) -> Result<Option<(Offset, FleetConfig)>> {
        let result = match after {
            _ if self.has_failed => {
                tokio::time::sleep(RETRY_DELAY).await;
                read_without_wait(source, after).await
            }
            Some(_) => self.poll(source, after, on_hedge).await,
            None => read_without_wait(source, after).await,
        };
        self.has_failed = result.is_err();
        result
    }

    async fn poll(
        &self,
        source: &impl FleetSource,
        after: Option<Offset>,
        on_hedge: impl FnOnce(),
    ) -> Result<Option<(Offset, FleetConfig)>> {
        let mut poll = pin!(source.config_after(after, self.wait));
        if let Ok(result) = tokio::time::timeout(self.wait + HEDGE_DELAY, &mut poll).await {
            return result;
        }
        on_hedge();
        // The pending poll occupies its connection, so this read uses another one.
        tokio::select! {
            result = &mut poll => result,
            result = read_without_wait(source, after) => result,
        }
    }
}

async fn read_without_wait(
    source: &impl FleetSource,
    after: Option<Offset>,
) -> Result<Option<(Offset, FleetConfig)>> {
    let read = source.config_after(after, Duration::ZERO);
    let late = |_| timed_out(Step::ReadLog, "the platform", "no response in time");
    tokio::time::timeout(READ_TIMEOUT, read).await.map_err(late)?
}
