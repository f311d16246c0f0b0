//! A minimal HTTP/1 server for stand-ins of back ends.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::crash::Lifecycle;

/// A response body; an error closes the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, anyhow::Error>;

/// Serves requests with `handle` until the returned task is aborted or the stand-in crashes.
///
/// Fails if the address can't be bound.
pub(crate) async fn serve<S, F>(
    address: SocketAddr,
    state: Arc<S>,
    lifecycle: Lifecycle,
    handle: impl Fn(Arc<S>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) -> anyhow::Result<(SocketAddr, JoinHandle<()>)>
where
    S: Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.with_context(|| format!("bind {address}"))?;
    let bound = listener.local_addr()?;
    let serve_connection = move |stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        let (state, handle) = (Arc::clone(&state), handle.clone());
        let service = service_fn(move |request| {
            let response = handle(Arc::clone(&state), request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        async move {
            // A failed connection is observed by the caller.
            let _ = connection.await;
        }
    };
    Ok((bound, tokio::spawn(lifecycle.accept(listener, serve_connection))))
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string().into()));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Builds a body of known length.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
