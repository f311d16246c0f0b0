//! Positions in a log that may be restored from an older copy.

use serde::{Deserialize, Serialize};

use crate::Offset;

/// How often a log was restored from a copy; 0 if its store names no era.
pub type LogEra = u64;

/// A position in a log. A log that is restored from a copy gives out the offsets after the copy
/// again, so that offsets of different eras are positions in different logs.
///
/// A position of a later era is greater, whatever the offsets.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogPosition {
    /// The era that the offset belongs to.
    pub era: LogEra,
    /// The offset.
    pub offset: Offset,
}

impl LogPosition {
    /// The position a number of records later.
    pub fn plus(self, records: usize) -> LogPosition {
        LogPosition { offset: self.offset + records as Offset, ..self }
    }
}

/// The result of reading a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRead<T> {
    /// Where to continue reading.
    pub next: LogPosition,
    /// Whether `value` is the whole current state, and not only what changed since the position
    /// that was read from.
    pub is_complete: bool,
    /// What was read.
    pub value: T,
}
