//! Counting the events of a stream, so that it can be resumed where it broke.

use bytes::{Bytes, BytesMut};

/// What ends an event (WHATWG HTML, 9.2.5; engines send line feeds only).
const EVENT_END: &[u8] = b"\n\n";

/// Passes whole events on and holds back the part of one that is not whole.
#[derive(Debug, Default)]
pub struct SseFramer {
    partial: BytesMut,
    events: u64,
}

impl SseFramer {
    /// Takes bytes of the stream and returns the events that are whole by them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let whole_bytes = self.count_whole()?;
        Some(self.partial.split_to(whole_bytes).freeze())
    }

    /// How many events were passed on.
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Forgets the part of an event that the stream broke in.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// What the stream ends with if it does not end with a whole event.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Counts the whole events and returns where the last of them ends.
    fn count_whole(&mut self) -> Option<usize> {
        let mut end = None;
        let mut from = 0;
        while let Some(at) = find(&self.partial[from..]) {
            from += at + EVENT_END.len();
            end = Some(from);
            self.events += 1;
        }
        end
    }
}

fn find(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_END.len()).position(|window| window == EVENT_END)
}
