//! Events in the order of their numbers.

use lynxmount_wire::{Numbered, NumberedEvents};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece\n\n")
}

#[test]
fn whole_events_pass_in_whatever_pieces_they_come() {
    let text = event(1) + &event(2) + &event(3);
    for size in 1..text.len() {
        let mut events = NumberedEvents::default();
        let mut passed = Vec::new();

        for piece in text.as_bytes().chunks(size) {
            match events.take(piece) {
                Numbered::Whole(whole) => passed.extend_from_slice(&whole),
                Numbered::Nothing => {}
                Numbered::Broken => panic!("broken at pieces of {size}"),
            }
        }

        assert_eq!(passed, text.as_bytes());
        assert_eq!(events.last(), Some(3));
        assert!(!events.ends_early());
    }
}

#[test]
fn missing_and_doubled_events_break_a_stream() {
    for wrong in [event(1) + &event(3), event(1) + &event(1), "data: no number\n\n".to_owned()] {
        let mut events = NumberedEvents::default();

        assert_eq!(events.take(wrong.as_bytes()), Numbered::Broken, "{wrong}");
    }
}

#[test]
fn a_resumed_stream_goes_on_after_the_last_event() {
    let mut events = NumberedEvents::after(Some(7));

    assert!(matches!(events.take(event(8).as_bytes()), Numbered::Whole(_)));
    assert_eq!(events.take(event(8).as_bytes()), Numbered::Broken);
}

#[test]
fn a_cut_event_is_told_and_forgotten_on_restart() {
    let mut events = NumberedEvents::default();
    events.take(event(1).as_bytes());
    events.take(b"id: 2\nda");

    events.restart();

    assert!(matches!(events.take(event(2).as_bytes()), Numbered::Whole(_)));
    events.take(b"id: 3");
    assert!(events.ends_early());
}
