//! Putting an answer together from frames that may be late, doubled or lost.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// How many pieces may wait for an earlier one before the answer is given up.
const MAX_PIECES_WAITING: usize = 256;

/// What became of a piece that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// These pieces are next in order.
    Ready(Vec<Bytes>),
    /// The piece waits for an earlier one, or was there before.
    Held,
    /// Too many pieces are waiting; the answer can't be put together.
    Broken,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// All pieces have arrived and the digest is right.
    Whole,
    /// Pieces are missing that may still arrive.
    Waiting,
    /// The pieces are not those that were sent.
    Broken,
}

/// The state of one attempt's answer at the receiving side.
#[derive(Default)]
pub struct Answer {
    next_sequence: u64,
    waiting: BTreeMap<u64, Bytes>,
    digest: Box<Xxh3>,
    end: Option<(u64, u64)>,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer").field("next_sequence", &self.next_sequence).finish_non_exhaustive()
    }
}

impl Answer {
    /// Takes a piece and returns what has become ready by it.
    pub fn piece(&mut self, sequence: u64, bytes: Bytes) -> Piece {
        match sequence {
            s if s < self.next_sequence => Piece::Held,
            s if s > self.next_sequence && self.waiting.len() >= MAX_PIECES_WAITING => {
                Piece::Broken
            }
            s if s > self.next_sequence => {
                self.waiting.entry(s).or_insert(bytes);
                Piece::Held
            }
            _ => Piece::Ready(self.take_ready(bytes)),
        }
    }

    /// Takes the end frame: how many pieces were sent, and their digest.
    pub fn end(&mut self, pieces: u64, digest: u64) -> AnswerEnd {
        self.end = Some((pieces, digest));
        self.state()
    }

    /// Says whether the answer has ended.
    pub fn state(&self) -> AnswerEnd {
        match self.end {
            None => AnswerEnd::Waiting,
            Some((pieces, _)) if self.next_sequence < pieces => AnswerEnd::Waiting,
            Some((pieces, digest))
                if self.next_sequence == pieces && self.digest.digest() == digest =>
            {
                AnswerEnd::Whole
            }
            Some(_) => AnswerEnd::Broken,
        }
    }

    /// The digest of all pieces so far, for the sending side.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// How many pieces have been taken in order.
    pub fn pieces(&self) -> u64 {
        self.next_sequence
    }

    fn take_ready(&mut self, first: Bytes) -> Vec<Bytes> {
        let mut ready = vec![first];
        self.next_sequence += 1;
        while let Some(bytes) = self.waiting.remove(&self.next_sequence) {
            ready.push(bytes);
            self.next_sequence += 1;
        }
        for bytes in &ready {
            self.digest.update(bytes);
        }
        ready
    }
}
