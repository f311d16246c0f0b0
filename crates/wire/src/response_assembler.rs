//! Putting an answer together from frames that may be late, doubled or lost.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// How many pieces may wait for an earlier one before the answer is given up.
const MAX_PIECES_WAITING: usize = 256;

/// What became of a piece that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkStatus {
    /// These pieces are next in order.
    Ready(Vec<Bytes>),
    /// The piece waits for an earlier one, or was there before.
    Buffered,
    /// Too many pieces are waiting; the answer can't be put together.
    Overflow,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AssemblyState {
    /// All pieces have arrived and the digest is right.
    Complete,
    /// Pieces are missing that may still arrive.
    Incomplete,
    /// The pieces are not those that were sent.
    Corrupt,
}

/// The state of one attempt's answer at the receiving side.
#[derive(Default)]
pub struct ResponseAssembler {
    next_sequence: u64,
    waiting: BTreeMap<u64, Bytes>,
    digest: Box<Xxh3>,
    end: Option<(u64, u64)>,
}

impl std::fmt::Debug for ResponseAssembler {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ResponseAssembler")
            .field("next_sequence", &self.next_sequence)
            .finish_non_exhaustive()
    }
}

impl ResponseAssembler {
    /// Takes a piece and returns what has become ready by it.
    pub fn push(&mut self, sequence: u64, bytes: Bytes) -> ChunkStatus {
        match sequence {
            s if s < self.next_sequence => ChunkStatus::Buffered,
            s if s > self.next_sequence && self.waiting.len() >= MAX_PIECES_WAITING => {
                ChunkStatus::Overflow
            }
            s if s > self.next_sequence => {
                self.waiting.entry(s).or_insert(bytes);
                ChunkStatus::Buffered
            }
            _ => ChunkStatus::Ready(self.take_ready(bytes)),
        }
    }

    /// Takes the end frame: how many pieces were sent, and their digest.
    pub fn on_end(&mut self, pieces: u64, digest: u64) -> AssemblyState {
        self.end = Some((pieces, digest));
        self.state()
    }

    /// Says whether the answer has ended.
    pub fn state(&self) -> AssemblyState {
        match self.end {
            None => AssemblyState::Incomplete,
            Some((pieces, _)) if self.next_sequence < pieces => AssemblyState::Incomplete,
            Some((pieces, digest))
                if self.next_sequence == pieces && self.digest.digest() == digest =>
            {
                AssemblyState::Complete
            }
            Some(_) => AssemblyState::Corrupt,
        }
    }

    /// The digest of all pieces so far, for the sending side.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// How many pieces have been taken in order.
    pub fn chunk_count(&self) -> u64 {
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
