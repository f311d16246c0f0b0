//! One connection as a client.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use lynxmount_core::{Error, Result, Step, unreachable};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};

/// The largest head of an answer, and what is read ahead of a slow reader, in
/// bytes: hyper's own default of 400 kB is more than a small process can have
/// for each connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// How long a connection may be idle until its peer is probed, how often it is probed then,
/// and how many probes may be lost: a peer that is gone is noticed within 2 s. What is
/// waited for on such a connection has to be known 3 s after the way is open again.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const LOST_PROBES: u32 = 1;

/// How long sent data may stay unacknowledged until a connection to an endpoint breaks.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(900);

/// A connection; dropping it closes it, which ends what the peer does for it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
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
        Connection::shake_hands(address, connect(address, timeout).await?).await
    }

    /// Opens a connection on which answers may be long in coming: the system's own
    /// probes find out that the peer or the way there is gone, and the connection breaks.
    ///
    /// Fails as [`Connection::open`] does.
    pub async fn open_with_keepalive(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = connect(address, timeout).await?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_AFTER)
            .with_interval(PROBE_INTERVAL)
            .with_retries(LOST_PROBES);
        let set = SockRef::from(&stream).set_tcp_keepalive(&probes);
        set.map_err(|e| unreachable(Step::Connect, address, e))?;
        Connection::shake_hands(address, stream).await
    }

    async fn shake_hands(address: SocketAddr, stream: TcpStream) -> Result<Connection> {
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let shaken = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| unreachable(Step::Connect, address, e))?;
        let task = tokio::spawn(async move {
            // The failure of a connection shows in the call that uses it.
            let _ = connection.await;
        });
        Ok(Connection { sender, task })
    }

    /// Opens a connection that is reset when it is dropped: what the peer has not read
    /// by then is lost. A machine that was frozen or cut off would otherwise read it
    /// when it is back, and begin what its caller has long left. It breaks if the peer's
    /// kernel does not acknowledge a request in time.
    ///
    /// Fails as [`Connection::open`] does.
    pub async fn open_with_reset(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = connect(address, timeout).await?;
        let socket = SockRef::from(&stream);
        socket
            .set_linger(Some(Duration::ZERO))
            .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)))
            .map_err(|e| unreachable(Step::Connect, address, e))?;
        Connection::shake_hands(address, stream).await
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// Fails if there is none; the peer may have seen the request then.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }

    /// Waits until the connection can take a request.
    ///
    /// Fails if it is closed.
    pub async fn ready(&mut self) -> std::result::Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Says whether the connection can take a request at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&mut self) {
        if !self.task.is_finished() {
            // However its task ends, the connection is closed.
            let _ = (&mut self.task).await;
        }
    }

    /// Says whether the connection can take no further request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// What has come of connecting to an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// A process takes connections there.
    Accepted,
    /// The machine lives, and no process takes connections there.
    Refused,
    /// Nothing was heard: the machine or the way there is down.
    Unresponsive,
}

/// Connects to an address to see whether a process is there, and closes the connection.
pub async fn probe(address: SocketAddr, timeout: Duration) -> ProbeResult {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::Unresponsive,
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let fail = |e: &dyn std::fmt::Display| -> Error { unreachable(Step::Connect, address, e) };
    let opened = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = opened.map_err(|e| fail(&e))?.map_err(|e| fail(&e))?;
    stream.set_nodelay(true).map_err(|e| fail(&e))?;
    Ok(stream)
}
