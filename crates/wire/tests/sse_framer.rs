//! A stream that breaks at any byte can be resumed after its last complete event.

use lynxmount_wire::SseFramer;
use proptest::{prelude::*, test_runner::RngSeed};

const EVENTS: [&str; 4] =
    ["data: one\n\n", "data: two\ndata: more\n\n", "data: three\n\n", "data: [DONE]\n\n"];

/// Pushes bytes in chunks and returns the complete events.
fn push_chunks(stream: &mut SseFramer, bytes: &[u8], chunk_bytes: usize) -> Vec<u8> {
    bytes.chunks(chunk_bytes).filter_map(|part| stream.push(part)).flatten().collect()
}

#[test]
fn a_partial_event_at_the_end_is_returned_once() {
    let mut stream = SseFramer::default();

    assert_eq!(push_chunks(&mut stream, b"data: one\n\ndata: tw", 4), b"data: one\n\n");
    assert_eq!(stream.take_partial().as_deref(), Some(&b"data: tw"[..]));
    assert_eq!(stream.take_partial(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn resuming_after_a_break_at_any_byte_loses_and_duplicates_nothing(
        break_at in 0..60_usize,
        chunk_bytes in 1..20_usize,
    ) {
        let all = EVENTS.concat();
        let before_break = &all.as_bytes()[..break_at.min(all.len())];
        let mut stream = SseFramer::default();

        let mut passed = push_chunks(&mut stream, before_break, chunk_bytes);
        stream.discard_partial();
        // The engine resumes after as many events as were complete.
        let rest = EVENTS[stream.event_count() as usize..].concat();
        passed.extend(push_chunks(&mut stream, rest.as_bytes(), chunk_bytes));

        prop_assert_eq!(String::from_utf8(passed).unwrap(), all);
        prop_assert_eq!(stream.event_count(), EVENTS.len() as u64);
    }
}
