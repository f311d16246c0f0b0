//! A TCP stream that reports what it transfers, and closes in a way that keeps its last response.

use std::{
    io::{Error, IoSlice, Result},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use lynxmount_policy::ConnectionPhase;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

use crate::TrackedConnection;

/// How long a connection is read after its last response. Closing it with unread bytes resets it,
/// which may discard the response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that are read and discarded in that time.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;

const LINGER_BUFFER_BYTES: usize = 8 * 1024;

/// Largest read of a connection whose read buffer may not grow.
const SMALL_READ_BYTES: usize = 4 * 1024;

struct Linger {
    until: Pin<Box<Sleep>>,
    discarded_bytes: usize,
}

/// A stream of a tracked connection.
pub struct MeteredStream {
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    /// Set if a response was sent before the end of its request.
    has_unread_request: Arc<AtomicBool>,
    linger: Option<Linger>,
}

impl MeteredStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<TrackedConnection>,
        has_unread_request: Arc<AtomicBool>,
    ) -> MeteredStream {
        MeteredStream { stream, connection, has_unread_request, linger: None }
    }

    /// Reads without the growth of the read buffer, which was not granted. Only a request head needs
    /// it; a call that runs must not lose its connection.
    fn poll_read_little(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.connection.phase() == ConnectionPhase::Head {
            return Poll::Ready(Err(Error::other("no memory for a read buffer")));
        }
        let mut bytes = [0; SMALL_READ_BYTES];
        let room = buffer.remaining().min(SMALL_READ_BYTES);
        let mut small = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut small))?;
        buffer.put_slice(small.filled());
        if !small.filled().is_empty() {
            self.connection.on_received(small.filled().len());
        }
        Poll::Ready(Ok(()))
    }

    /// Reads and discards until the peer closes the connection or its time or bytes are used up.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            until: Box::pin(tokio::time::sleep(LINGER_TIME)),
            discarded_bytes: 0,
        });
        let mut bytes = [0; LINGER_BUFFER_BYTES];
        while linger.discarded_bytes < MAX_LINGER_BYTES && !self.connection.is_evicted() {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    linger.discarded_bytes += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return linger.until.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if !self.connection.may_read(buffer.remaining()) {
            return self.poll_read_little(cx, buffer);
        }
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - filled_before;
        if received > 0 {
            self.connection.on_received(received);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        on_write(&self.connection, &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        on_write(&self.connection, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.connection.on_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.has_unread_request.load(Ordering::Relaxed) {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}

fn on_write(connection: &TrackedConnection, result: &Poll<Result<usize>>) {
    match result {
        Poll::Ready(_) => connection.on_sent(),
        Poll::Pending => connection.on_send_blocked(),
    }
}
