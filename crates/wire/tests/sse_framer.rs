//! A stream that breaks anywhere goes on after its last whole event.

use lynxmount_wire::SseFramer;
use proptest::{prelude::*, test_runner::RngSeed};

const EVENTS: [&str; 4] =
    ["data: one\n\n", "data: two\ndata: more\n\n", "data: three\n\n", "data: [DONE]\n\n"];

/// Feeds bytes in chunks and returns what was passed on.
fn feed(stream: &mut SseFramer, bytes: &[u8], chunk: usize) -> Vec<u8> {
    bytes.chunks(chunk).filter_map(|part| stream.push(part)).flatten().collect()
}

#[test]
fn what_is_no_whole_event_at_the_end_is_handed_over_as_the_rest() {
    let mut stream = SseFramer::default();

    assert_eq!(feed(&mut stream, b"data: one\n\ndata: tw", 4), b"data: one\n\n");
    assert_eq!(stream.take_partial().as_deref(), Some(&b"data: tw"[..]));
    assert_eq!(stream.take_partial(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn a_break_at_any_byte_loses_and_doubles_nothing(break_at in 0..60_usize, chunk in 1..20_usize) {
        let whole = EVENTS.concat();
        let broken = &whole.as_bytes()[..break_at.min(whole.len())];
        let mut stream = SseFramer::default();

        let mut passed = feed(&mut stream, broken, chunk);
        stream.discard_partial();
        // The engine goes on after as many events as were passed on.
        let rest = EVENTS[stream.event_count() as usize..].concat();
        passed.extend(feed(&mut stream, rest.as_bytes(), chunk));

        prop_assert_eq!(String::from_utf8(passed).unwrap(), whole);
        prop_assert_eq!(stream.event_count(), EVENTS.len() as u64);
    }
}
