//! When an answer is relayed to its caller.

use bytes::Bytes;
use lynxmount_wire::{Header, is_relayed};

fn headers(media_type: &'static str) -> Vec<Header> {
    vec![Header {
        name: "content-type".to_owned(),
        value: Bytes::from_static(media_type.as_bytes()),
    }]
}

/// Guards against event streams that wait for their end, and against large answers in memory.
#[test]
fn event_streams_are_relayed_from_the_first_byte_and_other_answers_when_they_are_large() {
    let stream = headers("text/event-stream; charset=utf-8");
    let json = headers("application/json");

    let relayed = [
        is_relayed(&stream, 0),
        is_relayed(&stream, 1),
        is_relayed(&json, 256 * 1024),
        is_relayed(&json, 256 * 1024 + 1),
    ];

    assert_eq!(relayed, [false, true, false, true]);
}
