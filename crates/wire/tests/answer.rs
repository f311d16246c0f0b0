//! An answer is whole only if it is exactly what was sent.

use bytes::Bytes;
use lynxmount_wire::{Answer, AnswerEnd, Piece};
use proptest::{prelude::*, test_runner::RngSeed};

fn pieces(count: usize) -> Vec<Bytes> {
    (0..count).map(|number| Bytes::from(format!("piece {number};"))).collect()
}

/// The end frame that the sender of these pieces sends.
fn end_of(pieces: &[Bytes]) -> (u64, u64) {
    let mut sender = Answer::default();
    for (sequence, bytes) in pieces.iter().enumerate() {
        sender.piece(sequence as u64, bytes.clone());
    }
    (sender.pieces(), sender.digest())
}

fn deliver(answer: &mut Answer, sequence: usize, bytes: &Bytes, received: &mut Vec<Bytes>) {
    if let Piece::Ready(ready) = answer.piece(sequence as u64, bytes.clone()) {
        received.extend(ready);
    }
}

#[test]
fn a_cut_answer_never_ends_as_whole() {
    let sent = pieces(3);
    let (count, digest) = end_of(&sent);
    let mut answer = Answer::default();
    let mut received = Vec::new();
    deliver(&mut answer, 0, &sent[0], &mut received);
    deliver(&mut answer, 2, &sent[2], &mut received);

    assert_eq!(answer.end(count, digest), AnswerEnd::Waiting);
    assert_eq!(received, sent[..1]);
}

#[test]
fn a_swapped_piece_never_ends_as_whole() {
    let (count, digest) = end_of(&pieces(2));
    let mut answer = Answer::default();
    answer.piece(0, Bytes::from_static(b"piece 0;"));
    answer.piece(1, Bytes::from_static(b"another answer's"));

    assert_eq!(answer.end(count, digest), AnswerEnd::Broken);
}

#[test]
fn an_answer_with_a_piece_too_many_is_broken() {
    let (count, digest) = end_of(&pieces(1));
    let mut answer = Answer::default();
    for (sequence, bytes) in pieces(2).iter().enumerate() {
        answer.piece(sequence as u64, bytes.clone());
    }

    assert_eq!(answer.end(count, digest), AnswerEnd::Broken);
}

#[test]
fn pieces_do_not_wait_without_bound() {
    let mut answer = Answer::default();

    let last = (1..1_000).map(|sequence| answer.piece(sequence, Bytes::new())).last();

    assert_eq!(last, Some(Piece::Broken));
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
        let mut answer = Answer::default();
        let mut received = Vec::new();

        for (position, sequence) in order.iter().enumerate() {
            if position == end_position % length {
                answer.end(end_count, digest);
            }
            deliver(&mut answer, *sequence, &sent[*sequence], &mut received);
        }

        prop_assert_eq!(answer.state(), AnswerEnd::Whole);
        prop_assert_eq!(received, sent);
    }
}
