//! HTTP/1.1 client connections, and probes of addresses.

use std::{
    convert::Infallible,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use hyper::{
    body::Body,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use lynxmount_core::{Error, Result, Step, unreachable};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, sync::Notify, task::JoinHandle};

use crate::framing_limit::{FramingLimitedStream, FramingMeter, ResponseBody};

/// Limit of a response head and of the read-ahead for a slow reader. hyper's default of
/// 400 kB per connection is too much memory for a small process.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Informational heads (1xx) before a response. A peer that sends more may send them without end.
const MAX_INFORMATIONAL_HEADS: u32 = 16;

/// TCP keepalive: idle time before the first probe, interval of probes, and number of lost
/// probes after which the connection breaks. A lost peer is detected within 2 s; long polls
/// must deliver their result within 3 s after a network partition heals.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_LOST_PROBES: u32 = 1;

/// How long sent data may stay unacknowledged before a connection to an endpoint breaks.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(900);

type RequestBody = UnsyncBoxBody<Bytes, Infallible>;

/// A connection. Dropping it closes it, which cancels its request at the peer.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    /// Notified when the peer has sent too much that is no response.
    excess: Arc<Notify>,
    framing: FramingMeter,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// Fails if that takes longer than the timeout or the peer refuses.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        Connection::handshake(address, connect(address, timeout).await?).await
    }

    /// Opens a connection for long polls. TCP keepalive breaks it if the peer or the network
    /// path to it is down.
    ///
    /// Fails as [`Connection::open`] does.
    pub async fn open_with_keepalive(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = connect(address, timeout).await?;
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE_TIME)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_LOST_PROBES);
        let result = SockRef::from(&stream).set_tcp_keepalive(&probes);
        result.map_err(|e| unreachable(Step::Connect, address, e))?;
        Connection::handshake(address, stream).await
    }

    async fn handshake(address: SocketAddr, stream: TcpStream) -> Result<Connection> {
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let framing = FramingMeter::default();
        let stream = FramingLimitedStream::new(stream, framing.clone());
        let result = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = result.map_err(|e| unreachable(Step::Connect, address, e))?;
        let excess = Arc::new(Notify::new());
        let closing = Arc::clone(&excess);
        let task = tokio::spawn(async move {
            // A connection error is also returned to the call that uses the connection.
            tokio::select! {
                _ = connection => {}
                () = closing.notified() => {}
            }
        });
        Ok(Connection { sender, excess, framing, task })
    }

    /// Opens a connection that is reset when it is dropped, so that data which the peer has
    /// not read yet is discarded. Otherwise a machine that was frozen or partitioned would
    /// read the request later and run it although its caller is long gone. The connection
    /// breaks if the peer's kernel does not acknowledge sent data in time.
    ///
    /// Fails as [`Connection::open`] does.
    pub async fn open_with_reset(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = connect(address, timeout).await?;
        let socket = SockRef::from(&stream);
        socket
            .set_linger(Some(Duration::ZERO))
            .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)))
            .map_err(|e| unreachable(Step::Connect, address, e))?;
        Connection::handshake(address, stream).await
    }

    /// Sends a request and waits for the response head.
    ///
    /// Fails if the connection breaks first, or the peer sends too much that is no response; the peer
    /// may have received the request. The same breaks the body of the response.
    pub async fn send(
        &mut self,
        request: Request<impl Body<Data = Bytes, Error = Infallible> + Send + 'static>,
    ) -> std::result::Result<Response<ResponseBody>, hyper::Error> {
        let mut request = request.map(BodyExt::boxed_unsync);
        let (excess, heads) = (Arc::clone(&self.excess), AtomicU32::new(0));
        hyper::ext::on_informational(&mut request, move |_| {
            if heads.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_HEADS {
                excess.notify_one();
            }
        });
        self.framing.reset();
        let response = self.sender.send_request(request).await?;
        self.framing.reset();
        Ok(response.map(|body| ResponseBody::new(body, self.framing.clone())))
    }

    /// Waits until the connection can send a request.
    ///
    /// Fails if it is closed.
    pub async fn ready(&mut self) -> std::result::Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Returns whether the connection can send a request immediately.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&mut self) {
        if !self.task.is_finished() {
            // The connection is closed whatever the result of its task.
            let _ = (&mut self.task).await;
        }
    }

    /// Returns whether the connection is closed and can send no further request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// The result of probing an address by a TCP connect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// A process accepts connections there.
    Accepted,
    /// The machine is up, but no process accepts connections there.
    Refused,
    /// No response: the machine or the network path to it is down.
    Unresponsive,
}

/// Probes whether a process accepts connections at an address, and closes the connection.
pub async fn probe(address: SocketAddr, timeout: Duration) -> ProbeResult {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Unresponsive,
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let fail = |e: &dyn std::fmt::Display| -> Error { unreachable(Step::Connect, address, e) };
    let result = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = result.map_err(|e| fail(&e))?.map_err(|e| fail(&e))?;
    stream.set_nodelay(true).map_err(|e| fail(&e))?;
    Ok(stream)
}
