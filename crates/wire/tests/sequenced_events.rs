//! Events with consecutive ids are returned, and gaps and duplicates are detected.

use lynxmount_wire::{MAX_EVENT_BYTES, SequenceCheck, SequencedEvents};
use proptest::{prelude::*, test_runner::RngSeed};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: text\n\n")
}

#[test]
fn events_are_returned_for_any_chunk_size() {
    let text = event(1) + &event(2) + &event(3);
    for size in 1..text.len() {
        let mut events = SequencedEvents::default();
        let mut passed = Vec::new();

        for chunk in text.as_bytes().chunks(size) {
            match events.push(chunk) {
                SequenceCheck::Events(complete) => passed.extend_from_slice(&complete),
                SequenceCheck::Incomplete => {}
                SequenceCheck::OutOfSequence => panic!("out of sequence at {size} bytes"),
            }
        }

        assert_eq!(passed, text.as_bytes());
        assert_eq!(events.last_id(), Some(3));
        assert!(!events.ends_mid_event());
    }
}

#[test]
fn missing_duplicated_and_unnumbered_events_are_out_of_sequence() {
    for wrong in [event(3), event(1), "data: no id\n\n".to_owned()] {
        let mut events = SequencedEvents::resume_after(Some(1));

        assert_eq!(events.push(wrong.as_bytes()), SequenceCheck::OutOfSequence, "{wrong}");
        assert_eq!(events.push(event(2).as_bytes()), SequenceCheck::OutOfSequence, "{wrong}");
    }
}

#[test]
fn a_resumed_stream_continues_after_the_last_event() {
    let mut events = SequencedEvents::resume_after(Some(7));

    assert!(matches!(events.push(event(8).as_bytes()), SequenceCheck::Events(_)));
    assert_eq!(events.push(event(8).as_bytes()), SequenceCheck::OutOfSequence);
}

#[test]
fn a_partial_event_is_detected_and_can_be_discarded() {
    let mut events = SequencedEvents::default();
    events.push(event(1).as_bytes());
    events.push(b"id: 2\nda");

    events.restart();

    assert!(matches!(events.push(event(2).as_bytes()), SequenceCheck::Events(_)));
    events.push(b"id: 3");
    assert!(events.ends_mid_event());
}

/// Guards against a stream that lacks an event which came in one read with bytes that are none.
#[test]
fn events_before_what_is_out_of_sequence_are_returned() {
    let wrong = [event(1), event(4), "data: no id\n\n".to_owned(), "x".repeat(MAX_EVENT_BYTES + 1)];
    for wrong in wrong {
        let mut events = SequencedEvents::default();

        let returned = events.push((event(1) + &event(2) + &wrong).as_bytes());

        assert_eq!(returned, SequenceCheck::Events((event(1) + &event(2)).into()));
        assert_eq!(events.last_id(), Some(2));
        assert!(events.is_broken());
        assert_eq!(events.push(event(3).as_bytes()), SequenceCheck::OutOfSequence);
        events.restart();
        assert!(matches!(events.push(event(3).as_bytes()), SequenceCheck::Events(_)));
    }
}

/// Guards against events that come twice, or are left out, as a stream moves to an attempt that began
/// some events before.
#[test]
fn attempt_that_takes_over_skips_what_another_has_returned() {
    for returned in 3..=6 {
        let mut events = SequencedEvents::resume_after(Some(2));
        let SequenceCheck::Events(first) = events.push((event(3) + &event(4)).as_bytes()) else {
            panic!("events in sequence")
        };

        let mut passed = events.skip_to(Some(returned), first).to_vec();
        let taken_over_at = events.last_id();
        for id in 5..=8 {
            if let SequenceCheck::Events(complete) = events.push(event(id).as_bytes()) {
                passed.extend_from_slice(&complete);
            }
        }

        assert_eq!(taken_over_at, Some(returned.max(4)));
        assert_eq!(ids(&passed), (returned + 1..=8).collect::<Vec<_>>());
        assert_eq!(events.last_id(), Some(8));
    }
}

/// Guards against a position that covers events which were skipped and not returned by anyone.
#[test]
fn resumption_after_a_break_while_events_are_skipped_begins_behind_what_was_returned() {
    let mut events = SequencedEvents::resume_after(Some(2));
    events.skip_to(Some(6), Default::default());
    events.push(event(3).as_bytes());

    events.restart();

    assert_eq!(events.last_id(), Some(6));
    assert!(matches!(events.push(event(7).as_bytes()), SequenceCheck::Events(_)));
}

const EVENTS: u64 = 12;

/// A part of what an endpoint sends in one attempt.
#[derive(Clone, Debug)]
enum Part {
    /// The next event.
    Next,
    /// An event again.
    Again(u64),
    Bytes(Vec<u8>),
}

fn part() -> impl Strategy<Value = Part> {
    prop_oneof![
        12 => Just(Part::Next),
        1 => (1..=EVENTS).prop_map(Part::Again),
        1 => proptest::collection::vec(any::<u8>(), 0..30).prop_map(Part::Bytes),
        1 => "[id: 0-9\n]{0,12}\n\n".prop_map(|text| Part::Bytes(text.into_bytes())),
    ]
}

/// What an attempt sends that resumes after an event.
fn attempt_bytes(after: u64, parts: &[Part]) -> Vec<u8> {
    let mut next = after + 1;
    let mut sent = Vec::new();
    for part in parts {
        match part {
            Part::Next if next <= EVENTS => {
                sent.extend(event(next).bytes());
                next += 1;
            }
            Part::Next => {}
            Part::Again(id) => sent.extend(event(*id).bytes()),
            Part::Bytes(bytes) => sent.extend(bytes),
        }
    }
    sent
}

/// The ids of the events that a caller got.
fn ids(received: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(received);
    let id =
        |event: &str| event.lines().rev().find_map(|l| l.strip_prefix("id:")?.trim().parse().ok());
    text.split("\n\n").filter_map(id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// What was returned, and a resumption after the last event of it, is the whole stream, whatever
    /// the endpoints send and however it is split.
    #[test]
    fn resumption_continues_where_the_returned_events_end(
        attempts in proptest::collection::vec(proptest::collection::vec(part(), 0..16), 1..5),
        chunk_bytes in 1..200_usize,
    ) {
        let mut events = SequencedEvents::resume_after(Some(0));
        let mut received = Vec::new();
        for parts in attempts {
            let after = events.last_id().unwrap_or_default();
            for chunk in attempt_bytes(after, &parts).chunks(chunk_bytes) {
                match events.push(chunk) {
                    SequenceCheck::Events(returned) => received.extend_from_slice(&returned),
                    SequenceCheck::Incomplete => {}
                    SequenceCheck::OutOfSequence => break,
                }
            }
            events.restart();
        }

        let last = events.last_id().unwrap_or_default();
        prop_assert_eq!(ids(&received), (1..=last).collect::<Vec<_>>());
    }
}
