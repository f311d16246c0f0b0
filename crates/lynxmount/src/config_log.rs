//! The configuration stream, read to its end and judged.

use lynxmount_config::{Acceptance, CONFIG_STREAM, ChangeRecord, Verdict};
use lynxmount_core::{Offset, Result};
use lynxmount_platform::Platform;

/// A change with what became of it.
#[derive(Clone, Debug)]
pub(crate) struct JudgedChange {
    pub(crate) offset: Offset,
    pub(crate) time_ms: u64,
    pub(crate) change: ChangeRecord,
    pub(crate) verdict: Verdict,
}

/// All changes of one scope that the log still has.
#[derive(Debug)]
pub(crate) struct ConfigLog {
    platform: Platform,
    pub(crate) acceptance: Acceptance,
    pub(crate) changes: Vec<JudgedChange>,
}

impl ConfigLog {
    /// Reads the stream to its end.
    ///
    /// Fails if the platform can't be reached.
    pub(crate) async fn read(platform: Platform, scope: &str) -> Result<ConfigLog> {
        let acceptance = Acceptance::new(scope);
        let mut log = ConfigLog { platform, acceptance, changes: Vec::new() };
        log.read_on().await?;
        Ok(log)
    }

    /// Reads what has come since.
    ///
    /// Fails if the platform can't be reached.
    pub(crate) async fn read_on(&mut self) -> Result<()> {
        let page = self.platform.read_to_end(CONFIG_STREAM, self.acceptance.next()).await?;
        let changes: Vec<(Offset, u64, ChangeRecord)> = page
            .records
            .into_iter()
            .filter_map(|record| {
                let change = serde_json::from_value(record.data).ok()?;
                Some((record.offset, record.time_ms, change))
            })
            .collect();
        if page.first > self.acceptance.next() {
            self.resume(page.first, &changes);
        }
        for (offset, time_ms, change) in changes {
            if let Some(verdict) = self.acceptance.take(offset, change.clone()) {
                self.changes.push(JudgedChange { offset, time_ms, change, verdict });
            }
        }
        Ok(())
    }

    /// Finds a change by its offset.
    pub(crate) fn at(&self, offset: Offset) -> Option<&JudgedChange> {
        self.changes.iter().find(|judged| judged.offset == offset)
    }

    fn resume(&mut self, first: Offset, changes: &[(Offset, u64, ChangeRecord)]) {
        let records: Vec<(Offset, ChangeRecord)> =
            changes.iter().map(|(offset, _, change)| (*offset, change.clone())).collect();
        self.acceptance.resume(first, &records);
        let Some(head) = self.acceptance.head().cloned() else { return };
        let time_ms = changes.iter().find(|(o, _, _)| *o == head.offset).map_or(0, |(_, t, _)| *t);
        let verdict = Verdict::Accepted;
        self.changes.push(JudgedChange {
            offset: head.offset,
            time_ms,
            change: head.change,
            verdict,
        });
    }
}
