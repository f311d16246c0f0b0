//! Hedged long polls for configurations, which recover from lost responses within the settle time.
//!
//! A response is lost without an error when the store or a connection falls silent. A poll that is
//! not answered soon after its wait is hedged (Dean and Barroso, The Tail at Scale): a read on
//! another connection competes with it, so that recovery depends neither on the poll's timeout nor
//! on other reads.

use std::{pin::pin, time::Duration};

use lynxmount_core::{
    FleetConfig, LogPosition, LogRead, Result, SiteBounds, Step, adapter::FleetSource, timed_out,
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
#[derive(Default)]
pub struct ConfigPoll {
    wait: Duration,
    has_failed: bool,
    /// Where to continue reading; `None` before the first read.
    next: Option<LogPosition>,
    /// Whether the position of the last read was not available.
    was_unavailable: bool,
}

impl ConfigPoll {
    /// Derives the wait of polls from a site's bounds.
    pub fn new(bounds: &SiteBounds) -> ConfigPoll {
        let longest = bounds.settle.saturating_sub(HEDGE_DELAY + BUSY_MACHINE_MARGIN);
        ConfigPoll { wait: bounds.config_apply.min(longest).max(MIN_WAIT), ..ConfigPoll::default() }
    }

    /// The longest time from the platform's recovery to the next answered read.
    pub fn recovery_time(&self) -> Duration {
        self.wait + HEDGE_DELAY
    }

    /// Where the next read continues; `None` before the first read.
    pub fn next(&self) -> Option<LogPosition> {
        self.next
    }

    /// Reads the newest configuration since the last read, or `None` if there is none for the
    /// duration of a poll. After a failure, reads without waiting, and not before the retry delay.
    ///
    /// Calls `on_hedge` if the poll is hedged. Fails as
    /// [`FleetSource::config_from`] does.
    pub async fn read(
        &mut self,
        source: &impl FleetSource,
        on_hedge: impl FnOnce(),
    ) -> Result<Option<FleetConfig>> {
        if self.was_unavailable {
            // A store that has no position available must not be read without a pause.
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let result = match self.next {
            _ if self.has_failed => {
                tokio::time::sleep(RETRY_DELAY).await;
                read_without_wait(source, self.next).await
            }
            Some(_) => self.poll(source, on_hedge).await,
            None => read_without_wait(source, None).await,
        };
        self.has_failed = result.is_err();
        let read = result?;
        self.was_unavailable = read.is_complete && self.next.is_some();
        self.next = Some(read.next);
        Ok(read.value)
    }

    async fn poll(
        &self,
        source: &impl FleetSource,
        on_hedge: impl FnOnce(),
    ) -> Result<LogRead<Option<FleetConfig>>> {
        let mut poll = pin!(source.config_from(self.next, self.wait));
        if let Ok(result) = tokio::time::timeout(self.wait + HEDGE_DELAY, &mut poll).await {
            return result;
        }
        on_hedge();
        // The pending poll occupies its connection, so this read uses another one.
        tokio::select! {
            result = &mut poll => result,
            result = read_without_wait(source, self.next) => result,
        }
    }
}

async fn read_without_wait(
    source: &impl FleetSource,
    from: Option<LogPosition>,
) -> Result<LogRead<Option<FleetConfig>>> {
    let read = source.config_from(from, Duration::ZERO);
    let late = |_| timed_out(Step::ReadLog, "the platform", "no response in time");
    tokio::time::timeout(READ_TIMEOUT, read).await.map_err(late)?
}
