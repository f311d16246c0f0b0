//! Reads of a stream whose records other writers may have made unreadable.
//!
//! Each record of a page is parsed by itself: one that can't be is logged and skipped, so that it costs
//! no reader the records beside it or behind it.

use lynxmount_core::Offset;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::Record;

/// The readable records of a stream from an offset on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRead<T> {
    /// The oldest offset that is still retained.
    pub first: Offset,
    /// One past the newest offset.
    pub end: Offset,
    /// Where the next read continues.
    pub next: Offset,
    /// The records, in order of their offsets.
    pub records: Vec<Record<T>>,
}

/// A page whose records are not parsed yet.
#[derive(Deserialize)]
struct RawPage<'a> {
    first: Offset,
    end: Offset,
    #[serde(borrow)]
    records: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawRecord<'a> {
    offset: Offset,
    time_ms: u64,
    #[serde(borrow)]
    data: &'a RawValue,
}

/// Parses a page that was read from an offset on.
///
/// Fails if the page itself can't be parsed, or if the reader would read it again.
pub(crate) fn parse_page<T: DeserializeOwned>(
    stream: &str,
    from: Offset,
    body: &[u8],
) -> Result<StreamRead<T>, String> {
    let text = String::from_utf8_lossy(body);
    let page: RawPage<'_> = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    if page.first > page.end {
        return Err(format!("the first offset {} is beyond the end {}", page.first, page.end));
    }
    let mut read = StreamRead {
        first: page.first,
        end: page.end,
        next: from.max(page.first),
        records: Vec::new(),
    };
    let is_empty = page.records.is_empty();
    for raw in page.records {
        read.push(stream, raw);
    }
    match read.next == from && !is_empty {
        true => Err(format!("no record of the page has an offset from {from} to {}", page.end)),
        false => Ok(read),
    }
}

impl<T: DeserializeOwned> StreamRead<T> {
    /// Adds a record, or logs why it is skipped.
    fn push(&mut self, stream: &str, raw: &RawValue) {
        let record = match serde_json::from_str::<RawRecord<'_>>(raw.get()) {
            Ok(record) => record,
            Err(error) => {
                log_unreadable(stream, self.next, error);
                self.next = self.next.saturating_add(1).min(self.end);
                return;
            }
        };
        let offset = record.offset;
        if !(self.next..self.end).contains(&offset) {
            log_unreadable(stream, offset, "the offset is out of order");
            return;
        }
        self.next = offset + 1;
        match serde_json::from_str(record.data.get()) {
            Ok(data) => self.records.push(Record { offset, time_ms: record.time_ms, data }),
            Err(error) => log_unreadable(stream, offset, error),
        }
    }
}

/// Logs a record that is skipped.
pub(crate) fn log_unreadable(stream: &str, offset: Offset, error: impl std::fmt::Display) {
    log::warn!("record {offset} of stream {stream} unreadable: {error}");
}
