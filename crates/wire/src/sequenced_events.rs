//! Checks that the ids of server-sent events are consecutive.

use bytes::Bytes;

use crate::SseFramer;

/// The field with the id of an event (WHATWG HTML, 9.2.5); here a sequence number.
const ID_FIELD: &[u8] = b"id:";

/// Largest event. An endpoint in trouble may send bytes without end.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The result of adding bytes of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SequenceCheck {
    /// An event is missing, duplicated, too large, or has no id; the stream can't continue.
    OutOfSequence,
    /// The bytes complete no event.
    Incomplete,
    /// Complete events whose ids continue the sequence.
    Events(Bytes),
}

/// Returns complete events as long as their ids are consecutive.
///
/// The position only covers events that were returned: a stream that is resumed after it misses none.
#[derive(Debug, Default)]
pub struct SequencedEvents {
    framer: SseFramer,
    last_id: Option<u64>,
    /// Events up to this one were returned by another attempt.
    skip_to: Option<u64>,
    /// Whether bytes behind the last event that was returned are out of sequence.
    is_broken: bool,
}

impl SequencedEvents {
    /// Starts after the last event that the reader has, if any.
    pub fn resume_after(last_id: Option<u64>) -> SequencedEvents {
        SequencedEvents { last_id, ..SequencedEvents::default() }
    }

    /// The id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id.max(self.skip_to)
    }

    /// Takes over from another attempt at the stream, which has returned the events up to `returned`.
    /// Returns those of `first`, which [`SequencedEvents::push`] has returned, that come behind it.
    pub fn skip_to(&mut self, returned: Option<u64>, first: Bytes) -> Bytes {
        self.skip_to = returned;
        let skipped = event_ids(&first).into_iter().take_while(|(id, _)| *id <= returned);
        let skipped_bytes = skipped.last().map_or(0, |(_, end)| end);
        first.slice(skipped_bytes..)
    }

    /// Adds bytes of the stream. Events that continue the sequence are returned even if what comes
    /// behind them does not; [`SequencedEvents::is_broken`] tells.
    pub fn push(&mut self, bytes: &[u8]) -> SequenceCheck {
        if self.is_broken {
            return SequenceCheck::OutOfSequence;
        }
        let events = self.framer.push(bytes);
        self.is_broken = self.framer.partial_bytes() > MAX_EVENT_BYTES;
        let complete = events.map(|events| self.take_in_sequence(events)).unwrap_or_default();
        match (complete.is_empty(), self.is_broken) {
            (false, _) => SequenceCheck::Events(complete),
            (true, true) => SequenceCheck::OutOfSequence,
            (true, false) => SequenceCheck::Incomplete,
        }
    }

    /// Whether the stream can't continue: what came behind the last events is out of sequence.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// The events up to the first one that is out of sequence, without those to skip.
    fn take_in_sequence(&mut self, events: Bytes) -> Bytes {
        let mut skipped_bytes = 0;
        let mut valid_bytes = 0;
        for (id, end) in event_ids(&events) {
            let is_next = |id: u64| self.last_id.is_none_or(|last| last.checked_add(1) == Some(id));
            let Some(id) = id.filter(|id| is_next(*id)) else {
                self.is_broken = true;
                return events.slice(skipped_bytes..valid_bytes);
            };
            self.last_id = Some(id);
            valid_bytes = end;
            if self.skip_to.is_some_and(|last| id <= last) {
                skipped_bytes = end;
            }
        }
        events.slice(skipped_bytes..)
    }

    /// Size of the event that is not complete yet.
    pub fn partial_bytes(&self) -> usize {
        self.framer.partial_bytes()
    }

    /// Returns whether the stream ended within an event, and discards the partial event.
    pub fn ends_mid_event(&mut self) -> bool {
        self.framer.take_partial().is_some()
    }

    /// Discards what followed the last event that was returned, as the stream is resumed behind it.
    pub fn restart(&mut self) {
        self.framer.discard_partial();
        self.last_id = self.last_id();
        self.skip_to = None;
        self.is_broken = false;
    }
}

/// The id of each event, if it has a numeric one, and where the event ends.
fn event_ids(events: &[u8]) -> Vec<(Option<u64>, usize)> {
    let mut ids = Vec::new();
    let mut id = None;
    let mut is_empty = true;
    let mut end = 0;
    for line in events.split_inclusive(|&byte| byte == b'\n') {
        end += line.len();
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        match line.strip_prefix(ID_FIELD) {
            Some(value) => id = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok()),
            None if line.is_empty() && !is_empty => {
                ids.push((id.take(), end));
                is_empty = true;
                continue;
            }
            None => {}
        }
        is_empty &= line.is_empty();
    }
    ids
}
