//! The server side of one caller's connection.

use std::{sync::Arc, time::Duration};

use hyper::server::conn::http1;
use lynxmount_resources::{TrackedConnection, serve_connection};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::handler::Handler;

/// How long a connection may take on shutdown to send its first request. A caller whose connection
/// was accepted can't tell whether a request without an answer was run.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a connection until the caller disconnects, or `closing` is cancelled and the request in
/// progress is answered.
pub(crate) async fn serve(
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    http: http1::Builder,
    handler: Arc<Handler>,
    closing: CancellationToken,
) {
    let first_request = CancellationToken::new();
    let handle = |request| {
        first_request.cancel();
        handler.handle(request)
    };
    let closable = async {
        closing.cancelled().await;
        let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request.cancelled()).await;
    };
    // A caller that disconnects in the middle of an answer causes an error here; the request's
    // counters have already recorded it.
    let _ = serve_connection(stream, connection, &http, handle, closable).await;
}
