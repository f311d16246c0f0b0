//! Events in the order of their numbers.

use lynxmount_wire::{SequenceCheck, SequencedEvents};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece\n\n")
}

#[test]
fn whole_events_pass_in_whatever_pieces_they_come() {
    let text = event(1) + &event(2) + &event(3);
    for size in 1..text.len() {
        let mut events = SequencedEvents::default();
        let mut passed = Vec::new();

        for piece in text.as_bytes().chunks(size) {
            match events.push(piece) {
                SequenceCheck::Events(whole) => passed.extend_from_slice(&whole),
                SequenceCheck::Incomplete => {}
                SequenceCheck::OutOfSequence => panic!("broken at pieces of {size}"),
            }
        }

        assert_eq!(passed, text.as_bytes());
        assert_eq!(events.last_id(), Some(3));
        assert!(!events.ends_mid_event());
    }
}

#[test]
fn missing_and_doubled_events_break_a_stream() {
    for wrong in [event(1) + &event(3), event(1) + &event(1), "data: no number\n\n".to_owned()] {
        let mut events = SequencedEvents::default();

        assert_eq!(events.push(wrong.as_bytes()), SequenceCheck::OutOfSequence, "{wrong}");
    }
}

#[test]
fn a_resumed_stream_goes_on_after_the_last_event() {
    let mut events = SequencedEvents::resume_after(Some(7));

    assert!(matches!(events.push(event(8).as_bytes()), SequenceCheck::Events(_)));
    assert_eq!(events.push(event(8).as_bytes()), SequenceCheck::OutOfSequence);
}

#[test]
fn a_cut_event_is_told_and_forgotten_on_restart() {
    let mut events = SequencedEvents::default();
    events.push(event(1).as_bytes());
    events.push(b"id: 2\nda");

    events.discard_partial();

    assert!(matches!(events.push(event(2).as_bytes()), SequenceCheck::Events(_)));
    events.push(b"id: 3");
    assert!(events.ends_mid_event());
}
