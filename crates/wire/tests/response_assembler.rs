//! An answer is whole only if it is exactly what was sent.

use bytes::Bytes;
use lynxmount_wire::{AssemblyState, ChunkStatus, ResponseAssembler};
use proptest::{prelude::*, test_runner::RngSeed};

fn pieces(count: usize) -> Vec<Bytes> {
    (0..count).map(|number| Bytes::from(format!("piece {number};"))).collect()
}

/// The end frame that the sender of these pieces sends.
fn end_of(pieces: &[Bytes]) -> (u64, u64) {
    let mut sender = ResponseAssembler::default();
    for (sequence, bytes) in pieces.iter().enumerate() {
        sender.push(sequence as u64, bytes.clone());
    }
    (sender.chunk_count(), sender.digest())
}

fn deliver(
    answer: &mut ResponseAssembler,
    sequence: usize,
    bytes: &Bytes,
    received: &mut Vec<Bytes>,
) {
    if let ChunkStatus::Ready(ready) = answer.push(sequence as u64, bytes.clone()) {
        received.extend(ready);
    }
}

#[test]
fn a_cut_answer_never_ends_as_whole() {
    let sent = pieces(3);
    let (count, digest) = end_of(&sent);
    let mut answer = ResponseAssembler::default();
    let mut received = Vec::new();
    deliver(&mut answer, 0, &sent[0], &mut received);
    deliver(&mut answer, 2, &sent[2], &mut received);

    assert_eq!(answer.on_end(count, digest), AssemblyState::Incomplete);
    assert_eq!(received, sent[..1]);
}

#[test]
fn a_swapped_piece_never_ends_as_whole() {
    let (count, digest) = end_of(&pieces(2));
    let mut answer = ResponseAssembler::default();
    answer.push(0, Bytes::from_static(b"piece 0;"));
    answer.push(1, Bytes::from_static(b"another answer's"));

    assert_eq!(answer.on_end(count, digest), AssemblyState::Corrupt);
}

#[test]
fn an_answer_with_a_piece_too_many_is_broken() {
    let (count, digest) = end_of(&pieces(1));
    let mut answer = ResponseAssembler::default();
    for (sequence, bytes) in pieces(2).iter().enumerate() {
        answer.push(sequence as u64, bytes.clone());
    }

    assert_eq!(answer.on_end(count, digest), AssemblyState::Corrupt);
}

#[test]
fn pieces_do_not_wait_without_bound() {
    let mut answer = ResponseAssembler::default();

    let last = (1..1_000).map(|sequence| answer.push(sequence, Bytes::new())).last();

    assert_eq!(last, Some(ChunkStatus::Overflow));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_order_with_any_doubles_gives_the_pieces_in_order_once(
        count in 1..20_usize,
        extra in prop::collection::vec(0..20_usize, 0..20),
        seed in any::<u64>(),
        end_position in 0..40_usize,
    ) {
        let sent = pieces(count);
        let (end_count, digest) = end_of(&sent);
        let mut order: Vec<usize> = (0..count).chain(extra.into_iter().map(|e| e % count)).collect();
        let length = order.len();
        for index in 0..length {
            order.swap(index, (seed as usize).wrapping_mul(index + 7) % length);
        }
        let mut answer = ResponseAssembler::default();
        let mut received = Vec::new();

        for (position, sequence) in order.iter().enumerate() {
            if position == end_position % length {
                answer.on_end(end_count, digest);
            }
            deliver(&mut answer, *sequence, &sent[*sequence], &mut received);
        }

        prop_assert_eq!(answer.state(), AssemblyState::Complete);
        prop_assert_eq!(received, sent);
    }
}
