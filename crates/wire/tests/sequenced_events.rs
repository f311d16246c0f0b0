//! Events with consecutive ids are returned, and gaps and duplicates are detected.

use lynxmount_wire::{SequenceCheck, SequencedEvents};

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
    for wrong in [event(1) + &event(3), event(1) + &event(1), "data: no id\n\n".to_owned()] {
        let mut events = SequencedEvents::default();

        assert_eq!(events.push(wrong.as_bytes()), SequenceCheck::OutOfSequence, "{wrong}");
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

    events.discard_partial();

    assert!(matches!(events.push(event(2).as_bytes()), SequenceCheck::Events(_)));
    events.push(b"id: 3");
    assert!(events.ends_mid_event());
}
