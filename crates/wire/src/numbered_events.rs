//! Events of a stream in the order of their numbers.

use bytes::Bytes;

use crate::EventStream;

/// The field that numbers an event (WHATWG HTML, 9.2.5).
const NUMBER_FIELD: &[u8] = b"id:";

/// What bytes of a stream have come to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Numbered {
    /// An event is missing, doubled, or has no number; the stream can't go on.
    Broken,
    /// No event is whole yet.
    Nothing,
    /// Whole events that follow those before.
    Whole(Bytes),
}

/// Passes whole events on as long as their numbers follow each other.
#[derive(Debug, Default)]
pub struct NumberedEvents {
    events: EventStream,
    last: Option<u64>,
}

impl NumberedEvents {
    /// Starts after an event that the reader has, if it has one.
    pub fn after(last: Option<u64>) -> NumberedEvents {
        NumberedEvents { events: EventStream::default(), last }
    }

    /// The number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes of the stream.
    pub fn take(&mut self, bytes: &[u8]) -> Numbered {
        let Some(whole) = self.events.take(bytes) else { return Numbered::Nothing };
        for number in numbers(&whole) {
            match (number, self.last) {
                (Some(number), Some(last)) if number != last + 1 => return Numbered::Broken,
                (Some(number), _) => self.last = Some(number),
                (None, _) => return Numbered::Broken,
            }
        }
        Numbered::Whole(whole)
    }

    /// Says whether the stream has ended in the middle of an event.
    pub fn ends_early(&mut self) -> bool {
        self.events.rest().is_some()
    }

    /// Forgets the part of an event that the stream broke in.
    pub fn restart(&mut self) {
        self.events.restart();
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
