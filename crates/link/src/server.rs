//! An HTTP server loop for internal ports.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
};
use hyper_util::rt::TokioTimer;
use lynxmount_core::{Result, Step, invalid};
use lynxmount_policy::PeerKind;
use lynxmount_resources::{
    Acceptor, BufferedBody, SharedBudget, TrackedConnection, serve_connection,
};
use tokio::net::TcpListener;

/// Timeout for receiving a request head, and of idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head. Queries list the state that a peer has.
const MAX_HEAD_BYTES: usize = 64 * 1024;

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

/// A response whose body is held for its connection, or an empty one if there is no memory for it.
async fn hold(
    response: Response<Full<Bytes>>,
    connection: &TrackedConnection,
) -> Response<BufferedBody> {
    let size = response.body().size_hint().exact().unwrap_or_default() as usize;
    let (head, body) = response.into_parts();
    let Ok(reservation) = connection.reserve(size, size).await else {
        let mut unavailable = Response::new(BufferedBody::default());
        *unavailable.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return unavailable;
    };
    let Ok(body) = body.collect().await;
    Response::from_parts(head, reservation.hold(body.to_bytes()).into())
}

/// Serves connections until the task is dropped.
pub async fn serve(listener: TcpListener, handler: Arc<impl RequestHandler>, budget: SharedBudget) {
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let mut acceptor = Acceptor::new(&listener, &budget, PeerKind::Internal);
    loop {
        let (stream, connection) = match acceptor.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (handler, http) = (Arc::clone(&handler), http.clone());
        tokio::spawn(async move {
            let responding = Arc::clone(&connection);
            let handle = |request| async {
                let response = handler.handle(request).await;
                hold(response, &responding).await
            };
            let closing = std::future::pending();
            // An error means that the peer disconnected or sent a malformed request.
            let _ = serve_connection(stream, connection, &http, handle, closing).await;
        });
    }
}
