//! Reads the configuration stream to its end and determines the verdict on each change.

use std::sync::Arc;

use lynxmount_config::{CONFIG_STREAM, ChangeRecord, ConfigRecord, ConfigState, Fleet, Verdict};
use lynxmount_core::{Offset, Result};
use lynxmount_platform::{PlatformClient, Record, StreamRead};

/// A change with its verdict.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedChange {
    pub(crate) offset: Offset,
    pub(crate) time_ms: u64,
    pub(crate) change: ChangeRecord,
    pub(crate) verdict: Verdict,
    /// The fleet that was in force after the change.
    pub(crate) fleet: Arc<Fleet>,
}

/// All changes of one scope that the log retains.
#[derive(Debug)]
pub(crate) struct ConfigLog {
    platform: PlatformClient,
    /// Offset of the next record to read.
    next: Offset,
    pub(crate) config_state: ConfigState,
    pub(crate) changes: Vec<ResolvedChange>,
}

impl ConfigLog {
    /// Reads the stream to its end.
    ///
    /// Fails if the platform can't be reached.
    pub(crate) async fn read(platform: PlatformClient, scope: &str) -> Result<ConfigLog> {
        let config_state = ConfigState::new(scope);
        let mut log = ConfigLog { platform, next: 0, config_state, changes: Vec::new() };
        log.refresh().await?;
        Ok(log)
    }

    /// Reads the records that were appended since the last read.
    ///
    /// Fails if the platform can't be reached.
    pub(crate) async fn refresh(&mut self) -> Result<()> {
        let read: StreamRead<ConfigRecord> =
            self.platform.read_to_end(CONFIG_STREAM, self.next).await?;
        self.next = read.next;
        if read.first > self.config_state.next_offset() {
            self.config_state.restore(read.first, read.records.iter().map(|record| &record.data));
        }
        for Record { offset, time_ms, data } in read.records {
            let verdict = self.config_state.apply(offset, &data);
            if let (ConfigRecord::Change(change), Some(verdict)) = (data, verdict) {
                let change = *change;
                let fleet = match self.config_state.head() {
                    Some(head) => Arc::clone(&head.fleet),
                    None => Arc::new(Fleet::empty(&change.scope)),
                };
                self.changes.push(ResolvedChange { offset, time_ms, change, verdict, fleet });
            }
        }
        Ok(())
    }

    /// Finds a change by its offset.
    pub(crate) fn change_at(&self, offset: Offset) -> Option<&ResolvedChange> {
        self.changes.iter().find(|resolved| resolved.offset == offset)
    }
}
