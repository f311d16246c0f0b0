//! A server loop for ports that only the system and its platform call.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use lynxmount_core::{Result, Step, invalid};
use tokio::net::TcpListener;

/// How long a peer may take for the head of a request, and stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long to wait after an accept has failed: it fails for want of
/// descriptors, and those come back as connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What answers requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Binds a listening socket.
///
/// Fails if the address is taken or not this machine's.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
            // A peer that goes away in the middle of a call needs no answer.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
