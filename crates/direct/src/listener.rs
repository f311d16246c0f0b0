//! HTTP/1.1 listener for callers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmount_core::{CallerLimits, adapter::Dialect};
use tokio::net::{TcpListener, TcpStream};

use crate::handler::Handler;

/// Delay after a failed accept. Accepting fails when file descriptors run out, and they become
/// available as connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Multiple of the configured idle timeout after which an idle connection is closed, so that a
/// longer timeout in a later configuration also holds for connections that are already open.
const IDLE_TIMEOUT_FACTOR: u32 = 4;

/// The smallest buffer size that hyper allows.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves callers until the task is dropped.
pub(crate) async fn serve<D: Dialect>(listener: TcpListener, handler: Arc<Handler<D>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
            }
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(stream: TcpStream, handler: Arc<Handler<D>>) {
    let drain = Arc::clone(&handler.drain);
    let _guard = drain.track_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "caller connection closed before first request");
        return;
    }
    let builder = builder(handler.fleet.config().map(|view| view.config.limits));
    let has_request = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_request.store(true, Ordering::Relaxed);
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        () = drain.closing() => {
            if !has_request.load(Ordering::Relaxed) {
                drain.on_unused_connection_closed();
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        // Calls log their own cancellation or truncation.
        log::debug!(error:% = error; "caller connection failed");
    }
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
