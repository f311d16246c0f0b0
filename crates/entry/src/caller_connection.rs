//! The server side of one caller's connection.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::handler::Handler;

/// How long a connection may take on shutdown to send its first request. A caller whose connection
/// was accepted can't tell whether a request without an answer was run.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a connection until the caller disconnects, or `closing` is cancelled and the request in
/// progress is answered.
pub(crate) fn serve(
    stream: TcpStream,
    http: &http1::Builder,
    handler: Arc<Handler>,
    closing: CancellationToken,
) -> impl Future<Output = ()> + use<> {
    let first_request = CancellationToken::new();
    let has_request = first_request.clone();
    let service = service_fn(move |request| {
        has_request.cancel();
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http.serve_connection(TokioIo::new(stream), service);
    async move {
        tokio::pin!(connection);
        let closable = async {
            closing.cancelled().await;
            tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request.cancelled()).await
        };
        tokio::select! {
            // A caller that disconnects in the middle of an answer causes an error here; the
            // request's counters have already recorded it.
            _ = connection.as_mut() => return,
            _ = closable => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
