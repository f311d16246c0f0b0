//! The port that callers connect to.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmount_core::{CallerLimits, adapter::Dialect};
use tokio::net::{TcpListener, TcpStream};

use crate::handler::Handler;

/// How long to wait after an accept has failed: it fails for want of
/// descriptors, and those come back as connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// By how much longer than callers may reuse an idle connection it is kept, so
/// that a longer timeout of a later configuration holds for old connections too.
const IDLE_FACTOR: u32 = 4;

/// The smallest buffer that hyper takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves callers until the task is dropped.
pub(crate) async fn serve<D: Dialect>(listener: TcpListener, handler: Arc<Handler<D>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(stream: TcpStream, handler: Arc<Handler<D>>) {
    let drain = Arc::clone(&handler.drain);
    let _guard = drain.start_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a connection is gone before its first request: {error}");
        return;
    }
    let builder = builder(handler.fleet.config().map(|view| view.config.limits));
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = drain.closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        // Callers go away, and streams are cut; both have lines of their own.
        log::debug!("a caller's connection has ended: {error}");
    }
}

fn builder(limits: Option<CallerLimits>) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limits) = limits {
        builder.header_read_timeout(limits.idle_timeout * IDLE_FACTOR);
        builder.max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    }
    builder
}
