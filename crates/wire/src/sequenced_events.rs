//! Events of a stream in the order of their numbers.

use bytes::Bytes;

use crate::SseFramer;

/// The field that numbers an event (WHATWG HTML, 9.2.5).
const NUMBER_FIELD: &[u8] = b"id:";

/// What bytes of a stream have come to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SequenceCheck {
    /// An event is missing, doubled, or has no number; the stream can't go on.
    OutOfSequence,
    /// No event is whole yet.
    Incomplete,
    /// Whole events that follow those before.
    Events(Bytes),
}

/// Passes whole events on as long as their numbers follow each other.
#[derive(Debug, Default)]
pub struct SequencedEvents {
    events: SseFramer,
    last: Option<u64>,
}

impl SequencedEvents {
    /// Starts after an event that the reader has, if it has one.
    pub fn resume_after(last: Option<u64>) -> SequencedEvents {
        SequencedEvents { events: SseFramer::default(), last }
    }

    /// The number of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) -> SequenceCheck {
        let Some(whole) = self.events.push(bytes) else { return SequenceCheck::Incomplete };
        for number in numbers(&whole) {
            match (number, self.last) {
                (Some(number), Some(last)) if number != last + 1 => {
                    return SequenceCheck::OutOfSequence;
                }
                (Some(number), _) => self.last = Some(number),
                (None, _) => return SequenceCheck::OutOfSequence,
            }
        }
        SequenceCheck::Events(whole)
    }

    /// Says whether the stream has ended in the middle of an event.
    pub fn ends_mid_event(&mut self) -> bool {
        self.events.take_partial().is_some()
    }

    /// Forgets the part of an event that the stream broke in.
    pub fn discard_partial(&mut self) {
        self.events.discard_partial();
    }
}

/// The number of each event, if it has one.
fn numbers(whole: &[u8]) -> Vec<Option<u64>> {
    let mut numbers = Vec::new();
    let mut number = None;
    let mut is_empty = true;
    for line in whole.split(|&byte| byte == b'\n') {
        match line.strip_prefix(NUMBER_FIELD) {
            Some(value) => {
                number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok())
            }
            None if line.is_empty() && !is_empty => {
                numbers.push(number.take());
                is_empty = true;
                continue;
            }
            None => {}
        }
        is_empty &= line.is_empty();
    }
    numbers
}
