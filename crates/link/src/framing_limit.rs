//! Limits the framing overhead of responses: what a peer sends between two frames of a body. A chunk
//! size may have leading zeros without end, which parsers of HTTP accept.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may arrive between two frames of a response. Heads and what is read ahead for a slow
/// reader are far smaller.
const MAX_FRAMING_BYTES: usize = 1024 * 1024;

/// The bytes that have arrived since the last frame of a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct FramingMeter(Arc<AtomicUsize>);

impl FramingMeter {
    /// Records that a request was sent, or that the head or a frame of its response has arrived.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Fails if too much has arrived since the last frame.
    fn on_received(&self, bytes: usize) -> io::Result<()> {
        let received = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        match received <= MAX_FRAMING_BYTES {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, "framing without content")),
        }
    }
}

/// A connection that breaks if too much arrives between two frames.
pub(crate) struct FramingLimitedStream {
    stream: TcpStream,
    meter: FramingMeter,
}

impl FramingLimitedStream {
    pub(crate) fn new(stream: TcpStream, meter: FramingMeter) -> FramingLimitedStream {
        FramingLimitedStream { stream, meter }
    }
}

impl AsyncRead for FramingLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.meter.on_received(buffer.filled().len() - before))
    }
}

impl AsyncWrite for FramingLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a response whose framing overhead is limited.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    meter: FramingMeter,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, meter: FramingMeter) -> ResponseBody {
        ResponseBody { body, meter }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if matches!(frame, Some(Ok(_))) {
            self.meter.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
