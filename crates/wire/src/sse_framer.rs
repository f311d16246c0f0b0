//! Splits a stream of server-sent events at event boundaries and counts the events, so that
//! a broken stream can be resumed after the last complete one.

use bytes::{Bytes, BytesMut};

/// Terminator of an event (WHATWG HTML, 9.2.5). Engines end lines with line feeds only.
const EVENT_END: &[u8] = b"\n\n";

/// Returns complete events and buffers a partial one.
#[derive(Debug, Default)]
pub struct SseFramer {
    partial: BytesMut,
    event_count: u64,
}

impl SseFramer {
    /// Adds bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let complete_bytes = self.count_complete()?;
        Some(self.partial.split_to(complete_bytes).freeze())
    }

    /// Size of the partial event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Number of complete events.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Discards the partial event at which the stream broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Removes and returns the partial event that the stream ends with, if any.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Counts the complete events and returns the end position of the last one.
    fn count_complete(&mut self) -> Option<usize> {
        let mut end = None;
        let mut position = 0;
        while let Some(length) = find_event_end(&self.partial[position..]) {
            position += length + EVENT_END.len();
            end = Some(position);
            self.event_count += 1;
        }
        end
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_END.len()).position(|window| window == EVENT_END)
}
