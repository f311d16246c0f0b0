//! HTTP/1.1 listener for callers.

use std::{
    io::ErrorKind,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use lynxmount_core::{CallerLimits, adapter::Dialect};
use lynxmount_policy::{PeerKind, PeerTimeouts};
use lynxmount_resources::{Acceptor, SharedBudget, TrackedConnection, serve_connection};
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use crate::{
    drain::{ConnectionGuard, Drain, DrainPhase},
    handler::Handler,
};

/// Delay after a failed accept. Accepting fails when file descriptors run out, and they become
/// available as connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a draining process waits for the first request of a connection.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Multiple of the configured idle timeout after which an idle connection is closed, so that a
/// longer timeout in a later configuration also holds for connections that are already open.
const IDLE_TIMEOUT_FACTOR: u32 = 4;

/// The smallest buffer size that hyper allows.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves callers until the drain ends the accepting of connections.
pub(crate) async fn serve<D: Dialect>(
    listener: TcpListener,
    handler: Arc<Handler<D>>,
    budget: SharedBudget,
) {
    let mut acceptor = Acceptor::new(&listener, &budget, PeerKind::Caller);
    tokio::select! {
        () = accept_all(&mut acceptor, &handler) => {}
        () = handler.drain.reached(DrainPhase::NotAccepting) => {}
    }
    if let Some((stream, connection)) = acceptor.into_pending() {
        spawn_connection(stream, connection, &handler);
    }
    if let Err(error) = accept_queued(listener, &handler, &budget) {
        log::warn!(error:% = error; "accept failed");
    }
}

async fn accept_all<D: Dialect>(acceptor: &mut Acceptor<'_>, handler: &Arc<Handler<D>>) {
    loop {
        match acceptor.accept().await {
            Ok((stream, connection)) => spawn_connection(stream, connection, handler),
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that the kernel has queued, and closes the listener. Closing it first
/// would reset them.
///
/// Fails if a connection can't be accepted.
fn accept_queued<D: Dialect>(
    listener: TcpListener,
    handler: &Arc<Handler<D>>,
    budget: &SharedBudget,
) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        if let Some(connection) = budget.open_now(PeerKind::Caller) {
            spawn_connection(TcpStream::from_std(stream)?, connection, handler);
        }
    }
}

fn spawn_connection<D: Dialect>(
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    handler: &Arc<Handler<D>>,
) {
    let guard = handler.drain.track_connection();
    tokio::spawn(serve_caller(stream, connection, Arc::clone(handler), guard));
}

async fn serve_caller<D: Dialect>(
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    handler: Arc<Handler<D>>,
    _guard: ConnectionGuard,
) {
    let accepted_at = Instant::now();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "caller connection closed before first request");
        return;
    }
    let builder = builder(handler.fleet.config().map(|view| view.config.limits));
    let has_request = AtomicBool::new(false);
    let handle = |request| {
        has_request.store(true, Ordering::Relaxed);
        handler.handle(request)
    };
    let closing = async {
        until_closing(&handler.drain, accepted_at, &has_request).await;
        if !has_request.load(Ordering::Relaxed) {
            handler.drain.on_unused_connection_closed();
        }
    };
    let result = serve_connection(stream, connection, &builder, handle, closing).await;
    if let Err(error) = result {
        // Calls log their own cancellation or truncation.
        log::debug!(error:% = error; "caller connection failed");
    }
}

/// Waits until a connection must close as it becomes idle. A new one is given time for its first
/// request.
async fn until_closing(drain: &Drain, accepted_at: Instant, has_request: &AtomicBool) {
    drain.reached(DrainPhase::ClosingIdle).await;
    if !has_request.load(Ordering::Relaxed) {
        tokio::time::sleep_until(accepted_at + FIRST_REQUEST_TIMEOUT).await;
    }
    // The runtime polls its sockets first, so that a request that has arrived is read.
    tokio::task::yield_now().await;
}

/// How long callers may keep their connections waiting; `None` without a configuration.
pub(crate) fn peer_timeouts(limits: Option<CallerLimits>) -> Option<PeerTimeouts> {
    let CallerLimits { head_timeout, idle_timeout, .. } = limits?;
    Some(PeerTimeouts { head: head_timeout, blocked: idle_timeout * IDLE_TIMEOUT_FACTOR })
}

fn builder(limits: Option<CallerLimits>) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limits) = limits {
        builder.header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR);
        builder.max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    }
    builder
}
