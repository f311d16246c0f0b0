//! An HTTP server loop for internal ports.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmount_core::{Result, Step, invalid};
use tokio::net::TcpListener;

/// Timeout for receiving a request head, and of idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept. It fails when the process is out of file descriptors, which
/// become free as connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the requests of a port.
pub trait RequestHandler: Send + Sync + 'static {
    /// Responds to one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Binds a listening socket.
///
/// Fails if the address is in use or not one of this machine.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| invalid(Step::Bind, address, e))
}

/// Serves connections until the task is dropped.
pub async fn serve(listener: TcpListener, handler: Arc<impl RequestHandler>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            // An error means that the peer disconnected or sent a malformed request.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
