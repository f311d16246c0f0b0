//! Reassembles a response from frames that may be reordered, duplicated or lost.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// Chunks that may be buffered while an earlier one is missing; the response fails beyond that.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// The result of adding a received chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkStatus {
    /// These chunks are next in order.
    Ready(Vec<Bytes>),
    /// The chunk waits for an earlier one, or is a duplicate.
    Buffered,
    /// Too many chunks are buffered; the response can't be reassembled.
    Overflow,
}

/// Whether a response is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AssemblyState {
    /// All chunks have arrived and the digest matches.
    Complete,
    /// Chunks or the end frame are missing and may still arrive.
    Incomplete,
    /// The chunks differ from those that were sent.
    Corrupt,
}

/// Reassembly of one attempt's response at the receiver. The sender uses it to count and
/// digest what it sends.
#[derive(Default)]
pub struct ResponseAssembler {
    next_sequence: u64,
    buffered: BTreeMap<u64, Bytes>,
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
    /// Adds a chunk and returns the chunks that it makes ready.
    pub fn push(&mut self, sequence: u64, bytes: Bytes) -> ChunkStatus {
        match sequence {
            s if s < self.next_sequence => ChunkStatus::Buffered,
            s if s > self.next_sequence && self.buffered.len() >= MAX_BUFFERED_CHUNKS => {
                ChunkStatus::Overflow
            }
            s if s > self.next_sequence => {
                self.buffered.entry(s).or_insert(bytes);
                ChunkStatus::Buffered
            }
            _ => ChunkStatus::Ready(self.take_ready(bytes)),
        }
    }

    /// Handles the end frame with the number of chunks sent and their digest.
    pub fn on_end(&mut self, chunks: u64, digest: u64) -> AssemblyState {
        self.end = Some((chunks, digest));
        self.state()
    }

    /// Returns whether the response is complete.
    pub fn state(&self) -> AssemblyState {
        match self.end {
            None => AssemblyState::Incomplete,
            Some((chunks, _)) if self.next_sequence < chunks => AssemblyState::Incomplete,
            Some((chunks, digest))
                if self.next_sequence == chunks && self.digest.digest() == digest =>
            {
                AssemblyState::Complete
            }
            Some(_) => AssemblyState::Corrupt,
        }
    }

    /// The digest of all chunks so far, for the sender's end frame.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// Number of chunks that were added in order.
    pub fn chunk_count(&self) -> u64 {
        self.next_sequence
    }

    fn take_ready(&mut self, first: Bytes) -> Vec<Bytes> {
        let mut ready = vec![first];
        self.next_sequence += 1;
        while let Some(bytes) = self.buffered.remove(&self.next_sequence) {
            ready.push(bytes);
            self.next_sequence += 1;
        }
        for bytes in &ready {
            self.digest.update(bytes);
        }
        ready
    }
}
