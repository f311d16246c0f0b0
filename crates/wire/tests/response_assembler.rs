//! A response is complete only if exactly the chunks that were sent have arrived.

use bytes::Bytes;
use lynxmount_wire::{AssemblyState, ChunkStatus, ResponseAssembler};
use proptest::{prelude::*, test_runner::RngSeed};

fn chunks(count: usize) -> Vec<Bytes> {
    (0..count).map(|number| Bytes::from(format!("chunk {number};"))).collect()
}

/// The content of the end frame for these chunks.
fn end_frame(chunks: &[Bytes]) -> (u64, u64) {
    let mut sender = ResponseAssembler::default();
    for (sequence, bytes) in chunks.iter().enumerate() {
        sender.push(sequence as u64, bytes.clone());
    }
    (sender.chunk_count(), sender.digest())
}

fn deliver(
    response: &mut ResponseAssembler,
    sequence: usize,
    bytes: &Bytes,
    received: &mut Vec<Bytes>,
) {
    if let ChunkStatus::Ready(ready) = response.push(sequence as u64, bytes.clone()) {
        received.extend(ready);
    }
}

#[test]
fn a_response_with_a_missing_chunk_is_incomplete() {
    let sent = chunks(3);
    let (count, digest) = end_frame(&sent);
    let mut response = ResponseAssembler::default();
    let mut received = Vec::new();
    deliver(&mut response, 0, &sent[0], &mut received);
    deliver(&mut response, 2, &sent[2], &mut received);

    assert_eq!(response.on_end(count, digest), AssemblyState::Incomplete);
    assert_eq!(received, sent[..1]);
}

#[test]
fn a_response_with_a_foreign_chunk_is_corrupt() {
    let (count, digest) = end_frame(&chunks(2));
    let mut response = ResponseAssembler::default();
    response.push(0, Bytes::from_static(b"chunk 0;"));
    response.push(1, Bytes::from_static(b"another response's"));

    assert_eq!(response.on_end(count, digest), AssemblyState::Corrupt);
}

#[test]
fn a_response_with_a_surplus_chunk_is_corrupt() {
    let (count, digest) = end_frame(&chunks(1));
    let mut response = ResponseAssembler::default();
    for (sequence, bytes) in chunks(2).iter().enumerate() {
        response.push(sequence as u64, bytes.clone());
    }

    assert_eq!(response.on_end(count, digest), AssemblyState::Corrupt);
}

#[test]
fn the_number_of_buffered_chunks_is_bounded() {
    let mut response = ResponseAssembler::default();

    let last = (1..1_000).map(|sequence| response.push(sequence, Bytes::new())).last();

    assert_eq!(last, Some(ChunkStatus::Overflow));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn reordered_and_duplicated_chunks_are_delivered_once_in_order(
        count in 1..20_usize,
        extra in prop::collection::vec(0..20_usize, 0..20),
        seed in any::<u64>(),
        end_position in 0..40_usize,
    ) {
        let sent = chunks(count);
        let (end_count, digest) = end_frame(&sent);
        let mut order: Vec<usize> = (0..count).chain(extra.into_iter().map(|e| e % count)).collect();
        let length = order.len();
        for index in 0..length {
            order.swap(index, (seed as usize).wrapping_mul(index + 7) % length);
        }
        let mut response = ResponseAssembler::default();
        let mut received = Vec::new();

        for (position, sequence) in order.iter().enumerate() {
            if position == end_position % length {
                response.on_end(end_count, digest);
            }
            deliver(&mut response, *sequence, &sent[*sequence], &mut received);
        }

        prop_assert_eq!(response.state(), AssemblyState::Complete);
        prop_assert_eq!(received, sent);
    }
}
