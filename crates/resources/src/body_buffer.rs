//! Buffers for bodies that reserve their memory in the resource budget before they allocate it.

use std::{
    collections::VecDeque,
    convert::Infallible,
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::{Exhausted, Reservation, TrackedConnection};

/// Size of the largest block.
const MAX_BLOCK_BYTES: usize = 64 * 1024;

/// Size of the first block of a body whose length is not known.
const FIRST_BLOCK_BYTES: usize = 2 * 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The connection broke, or the body is malformed.
    Broken,
    /// There is no memory for it.
    Exhausted,
    /// It exceeds the limit.
    TooLarge,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadError::Broken => "the body broke off",
            ReadError::Exhausted => "there is no memory for the body",
            ReadError::TooLarge => "the body is too large",
        })
    }
}

impl From<Exhausted> for ReadError {
    fn from(Exhausted: Exhausted) -> ReadError {
        ReadError::Exhausted
    }
}

/// Bytes with the memory that is reserved for them.
struct Block {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that grows block by block, each as large as those before it together: what is reserved is
/// what is allocated, and no block is replaced, which would leave holes in the heap.
pub struct BodyBuffer {
    connection: Arc<TrackedConnection>,
    complete: Vec<Bytes>,
    complete_bytes: usize,
    last: Option<Block>,
    /// What is known of the whole length, so that no more is allocated.
    expected_bytes: Option<usize>,
}

impl BodyBuffer {
    /// Starts a body that a connection holds. `expected_bytes` is its announced length.
    pub fn new(connection: Arc<TrackedConnection>, expected_bytes: Option<usize>) -> BodyBuffer {
        BodyBuffer {
            connection,
            complete: Vec::new(),
            complete_bytes: 0,
            last: None,
            expected_bytes,
        }
    }

    /// Length of the body so far.
    pub fn len(&self) -> usize {
        self.complete_bytes + self.last.as_ref().map_or(0, |block| block.bytes.len())
    }

    /// Whether the body has no byte so far.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    ///
    /// Fails if there is no memory for them.
    pub async fn append(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        while !bytes.is_empty() {
            let room = self.room(bytes.len()).await?;
            let (fitting, rest) = bytes.split_at(room.min(bytes.len()));
            let last = self.last.as_mut().expect("a block with room");
            last.bytes.extend_from_slice(fitting);
            bytes = rest;
        }
        Ok(())
    }

    /// The complete body.
    pub fn finish(mut self) -> BufferedBody {
        self.complete_last();
        BufferedBody { blocks: self.complete.into(), bytes: self.complete_bytes }
    }

    /// Makes room in the last block, and returns how much there is.
    async fn room(&mut self, needed_bytes: usize) -> Result<usize, Exhausted> {
        let room = self.last.as_ref().map_or(0, |block| block.bytes.capacity() - block.bytes.len());
        if room > 0 {
            return Ok(room);
        }
        self.complete_last();
        let capacity = self.next_capacity(needed_bytes);
        let size_bytes = self.complete_bytes + capacity;
        let reservation = self.connection.reserve(capacity, size_bytes).await?;
        let block = Block { bytes: Vec::with_capacity(capacity), _reservation: reservation };
        let room = block.bytes.capacity();
        self.last = Some(block);
        Ok(room)
    }

    /// Capacity of the block that follows the complete ones.
    fn next_capacity(&self, needed_bytes: usize) -> usize {
        let doubling = self.complete_bytes.max(needed_bytes).max(FIRST_BLOCK_BYTES);
        let expected = self.expected_bytes.map_or(MAX_BLOCK_BYTES, |all| {
            all.saturating_sub(self.complete_bytes).max(needed_bytes)
        });
        doubling.next_power_of_two().min(expected).min(MAX_BLOCK_BYTES)
    }

    fn complete_last(&mut self) {
        if let Some(block) = self.last.take() {
            self.complete_bytes += block.bytes.len();
            self.complete.push(Bytes::from_owner(block));
        }
    }
}

/// A complete body; clones share its memory.
#[derive(Clone, Debug, Default)]
pub struct BufferedBody {
    blocks: VecDeque<Bytes>,
    bytes: usize,
}

impl BufferedBody {
    /// Its length.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether it has no byte.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Its parts in order.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(|block| &**block)
    }

    /// All bytes in one piece. A body of several blocks is copied.
    pub fn to_bytes(&self) -> Bytes {
        match self.blocks.len() {
            0 => Bytes::new(),
            1 => self.blocks[0].clone(),
            _ => self.blocks().collect::<Vec<_>>().concat().into(),
        }
    }
}

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> BufferedBody {
        let length = bytes.len();
        let blocks = Some(bytes).filter(|bytes| !bytes.is_empty()).into_iter().collect();
        BufferedBody { blocks, bytes: length }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.bytes -= block.as_ref().map_or(0, Buf::remaining);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes as u64)
    }
}

/// Reads a complete body into memory that a connection holds.
///
/// Fails as soon as it is known to be too large, if there is no memory for it, or if it breaks off.
pub async fn read_body<B>(
    mut body: B,
    connection: &Arc<TrackedConnection>,
    max_bytes: usize,
) -> Result<BufferedBody, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(ReadError::TooLarge);
    }
    let expected = body.size_hint().exact().map(|_| announced);
    let mut buffer = BodyBuffer::new(Arc::clone(connection), expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        buffer.append(&data).await?;
        // A body in small chunks would keep other connections waiting.
        tokio::task::coop::consume_budget().await;
    }
    Ok(buffer.finish())
}
