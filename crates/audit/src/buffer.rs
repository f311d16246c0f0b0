//! Records that wait to be appended.

use std::collections::VecDeque;

use lynxmount_core::ProcessId;

use crate::{Actor, AuditEvent, AuditRecord};

/// How many records wait at most while the log is out.
const MAX_WAITING: usize = 1_000;

/// How many records go into one append.
const MAX_BATCH: usize = 100;

/// A bounded buffer; what it can't hold is recorded as a gap.
#[derive(Debug)]
pub struct AuditBuffer {
    process: ProcessId,
    waiting: VecDeque<AuditRecord>,
    lost: u64,
}

impl AuditBuffer {
    /// Makes the empty buffer of a process.
    pub fn new(process: ProcessId) -> AuditBuffer {
        AuditBuffer { process, waiting: VecDeque::new(), lost: 0 }
    }

    /// Adds what happened at a wall time in milliseconds.
    ///
    /// If the buffer is full the oldest record makes room and is counted.
    pub fn push(&mut self, time_ms: u64, actor: Actor, event: AuditEvent) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
            self.lost += 1;
        }
        let process = ProcessId::clone(&self.process);
        self.waiting.push_back(AuditRecord { time_ms, process, actor, event });
    }

    /// The next batch, which stays in the buffer until it is confirmed.
    pub fn next_batch(&self) -> Vec<AuditRecord> {
        let gap = (self.lost > 0).then(|| self.gap());
        gap.into_iter().chain(self.waiting.iter().take(MAX_BATCH).cloned()).collect()
    }

    /// Removes a batch that is in the log.
    pub fn confirm(&mut self, batch: &[AuditRecord]) {
        for record in batch {
            match record.event {
                AuditEvent::Gap { lost } => self.lost = self.lost.saturating_sub(lost),
                _ if self.waiting.front() == Some(record) => drop(self.waiting.pop_front()),
                // The record made room for newer ones meanwhile; it isn't lost.
                _ => self.lost = self.lost.saturating_sub(1),
            }
        }
    }

    fn gap(&self) -> AuditRecord {
        let oldest_ms = self.waiting.front().map_or(0, |record| record.time_ms);
        let process = ProcessId::clone(&self.process);
        let actor = Actor::Process(ProcessId::clone(&self.process));
        AuditRecord {
            time_ms: oldest_ms,
            process,
            actor,
            event: AuditEvent::Gap { lost: self.lost },
        }
    }
}
