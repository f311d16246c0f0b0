//! Bounded buffer of audit records that have not been appended to the log yet.

use std::collections::VecDeque;

use lynxmount_core::ProcessId;

use crate::{Actor, AuditEvent, AuditRecord};

/// Maximum number of buffered records while the log is unavailable.
const MAX_BUFFERED_RECORDS: usize = 1_000;

/// Maximum number of buffered records in one append.
const MAX_BATCH_RECORDS: usize = 100;

/// A bounded buffer that drops its oldest records on overflow and records their number as a gap.
#[derive(Debug)]
pub struct AuditBuffer {
    process: ProcessId,
    buffered: VecDeque<AuditRecord>,
    dropped: u64,
}

impl AuditBuffer {
    /// Creates the empty buffer of a process.
    pub fn new(process: ProcessId) -> AuditBuffer {
        AuditBuffer { process, buffered: VecDeque::new(), dropped: 0 }
    }

    /// Adds an event with its wall time in milliseconds.
    ///
    /// A full buffer drops its oldest record and counts it.
    pub fn push(&mut self, time_ms: u64, actor: Actor, event: AuditEvent) {
        if self.buffered.len() >= MAX_BUFFERED_RECORDS {
            self.buffered.pop_front();
            self.dropped += 1;
        }
        let process = ProcessId::clone(&self.process);
        self.buffered.push_back(AuditRecord { time_ms, process, actor, event });
    }

    /// The next batch to append. Its records stay in the buffer until they are confirmed.
    pub fn next_batch(&self) -> Vec<AuditRecord> {
        let gap = (self.dropped > 0).then(|| self.gap());
        gap.into_iter().chain(self.buffered.iter().take(MAX_BATCH_RECORDS).cloned()).collect()
    }

    /// Removes a batch that has been appended to the log.
    pub fn confirm(&mut self, batch: &[AuditRecord]) {
        for record in batch {
            match record.event {
                AuditEvent::Gap { lost } => self.dropped = self.dropped.saturating_sub(lost),
                _ if self.buffered.front() == Some(record) => drop(self.buffered.pop_front()),
                // The record was dropped during the append, but it is in the log and so not lost.
                _ => self.dropped = self.dropped.saturating_sub(1),
            }
        }
    }

    fn gap(&self) -> AuditRecord {
        let oldest_ms = self.buffered.front().map_or(0, |record| record.time_ms);
        let process = ProcessId::clone(&self.process);
        let actor = Actor::Process(ProcessId::clone(&self.process));
        AuditRecord {
            time_ms: oldest_ms,
            process,
            actor,
            event: AuditEvent::Gap { lost: self.dropped },
        }
    }
}
