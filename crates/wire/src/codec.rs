//! Length-delimited framing of a byte stream.

use std::marker::PhantomData;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use lynxmount_core::{Error, Step, indeterminate};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::mpsc,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Largest frame in bytes: a body of the maximum size plus headers.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Frames after which the writer flushes at the latest.
const FRAMES_PER_FLUSH: usize = 64;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads frames of type `F`.
#[derive(Debug)]
pub struct FrameReader<R, F> {
    frames: FramedRead<R, LengthDelimitedCodec>,
    peer: String,
    _type: PhantomData<F>,
}

impl<R: AsyncRead + Unpin, F: DeserializeOwned> FrameReader<R, F> {
    /// Creates a reader of the frames that `peer` sends.
    pub fn new(read: R, peer: impl Into<String>) -> FrameReader<R, F> {
        let frames = FramedRead::new(read, codec());
        FrameReader { frames, peer: peer.into(), _type: PhantomData }
    }

    /// Reads the next frame; `None` once the peer has closed the connection cleanly.
    ///
    /// Fails if the connection breaks or a frame can't be decoded.
    pub async fn next(&mut self) -> Result<Option<F>, Error> {
        let Some(frame) = self.frames.next().await else { return Ok(None) };
        let frame = frame.map_err(|e| indeterminate(Step::ReadResponse, &self.peer, e))?;
        let frame = postcard::from_bytes(&frame)
            .map_err(|e| indeterminate(Step::ReadResponse, &self.peer, e))?;
        Ok(Some(frame))
    }
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
        SinkExt::<Bytes>::flush(&mut self.frames)
            .await
            .map_err(|e| indeterminate(Step::Dispatch, &self.peer, e))
    }
}

fn encode<F: Serialize>(frame: &F) -> Result<Bytes, postcard::Error> {
    Ok(postcard::to_stdvec(frame)?.into())
}
