//! Length-delimited framing of a byte stream.

use std::marker::PhantomData;

use bytes::{Buf, Bytes, BytesMut};
use futures::SinkExt;
use lynxmount_core::{Error, Step, indeterminate};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    sync::mpsc,
};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

/// Largest frame in bytes: a body of the maximum size plus headers.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Size of the length that precedes a frame.
const LENGTH_BYTES: usize = 4;

const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Larger buffers are released after the frame that needed them.
const MAX_KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// Frames after which the writer flushes at the latest.
const FRAMES_PER_FLUSH: usize = 64;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads frames of type `F`.
#[derive(Debug)]
pub struct FrameReader<R, F> {
    read: R,
    buffer: BytesMut,
    peer: String,
    _type: PhantomData<F>,
}

impl<R: AsyncRead + Unpin, F: DeserializeOwned> FrameReader<R, F> {
    /// Creates a reader of the frames that `peer` sends.
    pub fn new(read: R, peer: impl Into<String>) -> FrameReader<R, F> {
        let buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        FrameReader { read, buffer, peer: peer.into(), _type: PhantomData }
    }

    /// Waits for the next frame, and returns its length before it is buffered; `None` once the peer
    /// has closed the connection cleanly. Dropping the future loses nothing.
    ///
    /// Fails if the connection breaks or the frame is too long.
    pub async fn next_length(&mut self) -> Result<Option<usize>, Error> {
        while self.buffer.len() < LENGTH_BYTES {
            if self.read_more().await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(self.fail("the connection ends within a frame")),
                };
            }
        }
        let length = self.buffer.as_ref().get_u32() as usize;
        match length <= MAX_FRAME_BYTES {
            true => Ok(Some(length)),
            false => Err(self.fail(format!("a frame of {length} bytes is too long"))),
        }
    }

    /// Reads the next frame; `None` once the peer has closed the connection cleanly. Dropping the
    /// future loses nothing.
    ///
    /// Fails if the connection breaks or a frame can't be decoded.
    pub async fn next(&mut self) -> Result<Option<F>, Error> {
        let Some(length) = self.next_length().await? else { return Ok(None) };
        let end = LENGTH_BYTES + length;
        self.buffer.reserve(end.saturating_sub(self.buffer.len()));
        while self.buffer.len() < end {
            if self.read_more().await? == 0 {
                return Err(self.fail("the connection ends within a frame"));
            }
        }
        let frame = postcard::from_bytes(&self.buffer[LENGTH_BYTES..end]);
        self.buffer.advance(end);
        if self.buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            self.buffer = shrunk(&self.buffer);
        }
        frame.map(Some).map_err(|e| self.fail(e))
    }

    async fn read_more(&mut self) -> Result<usize, Error> {
        if self.buffer.capacity() == self.buffer.len() {
            self.buffer.reserve(READ_BUFFER_BYTES);
        }
        let read = self.read.read_buf(&mut self.buffer).await;
        read.map_err(|e| self.fail(e))
    }

    fn fail(&self, error: impl std::fmt::Display) -> Error {
        indeterminate(Step::ReadResponse, &self.peer, error)
    }
}

/// A copy of a buffer that takes no more than its content needs.
fn shrunk(buffer: &BytesMut) -> BytesMut {
    let mut shrunk = BytesMut::with_capacity(buffer.len().max(READ_BUFFER_BYTES));
    shrunk.extend_from_slice(buffer);
    shrunk
}

/// Writes frames of type `F`.
#[derive(Debug)]
pub struct FrameWriter<W, F> {
    frames: FramedWrite<W, LengthDelimitedCodec>,
    peer: String,
    _type: PhantomData<F>,
}

impl<W: AsyncWrite + Unpin, F: Serialize> FrameWriter<W, F> {
    /// Creates a writer of frames to `peer`.
    pub fn new(write: W, peer: impl Into<String>) -> FrameWriter<W, F> {
        let frames = FramedWrite::new(write, codec());
        FrameWriter { frames, peer: peer.into(), _type: PhantomData }
    }

    /// Writes one frame and flushes it.
    ///
    /// Fails if the connection breaks.
    pub async fn send(&mut self, frame: &F) -> Result<(), Error> {
        self.feed(frame).await?;
        self.flush().await
    }

    /// Writes all frames from the channel until it closes. Frames that are ready at the same
    /// time share one flush.
    ///
    /// Fails if the connection breaks.
    pub async fn drain(&mut self, frames: &mut mpsc::Receiver<F>) -> Result<(), Error> {
        while let Some(first) = frames.recv().await {
            self.feed(&first).await?;
            for _ in 1..FRAMES_PER_FLUSH {
                let Ok(frame) = frames.try_recv() else { break };
                self.feed(&frame).await?;
            }
            self.flush().await?;
        }
        Ok(())
    }

    async fn feed(&mut self, frame: &F) -> Result<(), Error> {
        let encoded = encode(frame).map_err(|e| indeterminate(Step::Dispatch, &self.peer, e))?;
        self.frames.feed(encoded).await.map_err(|e| indeterminate(Step::Dispatch, &self.peer, e))
    }

    async fn flush(&mut self) -> Result<(), Error> {
        let result = SinkExt::<Bytes>::flush(&mut self.frames).await;
        if self.frames.write_buffer().capacity() > MAX_KEPT_BUFFER_BYTES {
            *self.frames.write_buffer_mut() = shrunk(self.frames.write_buffer());
        }
        result.map_err(|e| indeterminate(Step::Dispatch, &self.peer, e))
    }
}

fn encode<F: Serialize>(frame: &F) -> Result<Bytes, postcard::Error> {
    Ok(postcard::to_stdvec(frame)?.into())
}
