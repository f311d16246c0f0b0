//! HTTP/1.1 server connections within the resource budget.

use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use lynxmount_policy::{ConnectionPhase, PeerKind};
use tokio::net::{TcpListener, TcpStream};

use crate::{MeteredStream, SharedBudget, TrackedConnection, tracked_body::TrackedBody};

/// How long an evicted connection may take to refuse its request.
const EVICTED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// How often an evicted connection whose request runs is checked.
const RUNNING_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Accepts the connections of a listener for which there is room.
pub struct Acceptor<'a> {
    listener: &'a TcpListener,
    budget: SharedBudget,
    kind: PeerKind,
    /// Was accepted, and waits until room is made for it.
    pending: Option<TcpStream>,
}

impl<'a> Acceptor<'a> {
    /// Starts without a pending connection.
    pub fn new(listener: &'a TcpListener, budget: &SharedBudget, kind: PeerKind) -> Acceptor<'a> {
        Acceptor { listener, budget: budget.clone(), kind, pending: None }
    }

    /// Accepts a connection. Ones for which there is no room are closed. Dropping the future loses no
    /// connection: one that was accepted stays pending.
    ///
    /// Fails if the listener does, usually for lack of descriptors.
    pub async fn accept(&mut self) -> std::io::Result<(TcpStream, Arc<TrackedConnection>)> {
        loop {
            if self.pending.is_none() {
                self.pending = Some(self.listener.accept().await?.0);
            }
            let connection = self.budget.open(self.kind).await;
            if let (Some(stream), Some(connection)) = (self.pending.take(), connection) {
                return Ok((stream, connection));
            }
        }
    }

    /// The pending connection, if there is one and there is room for it now.
    pub fn into_pending(self) -> Option<(TcpStream, Arc<TrackedConnection>)> {
        let stream = self.pending?;
        Some((stream, self.budget.open_now(self.kind)?))
    }
}

/// Answers the request that has arrived completely, unless its peer does not read the response.
async fn finish_running(
    mut serving: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    connection: &TrackedConnection,
) -> hyper::Result<()> {
    loop {
        match tokio::time::timeout(RUNNING_CHECK_PERIOD, &mut serving).await {
            Ok(result) => return result,
            Err(_) if connection.phase() != ConnectionPhase::Running => return Ok(()),
            Err(_) => {}
        }
    }
}

/// Serves a connection until its peer closes it, it is evicted, or `closing` resolves and the
/// request in progress is answered. Requests carry the connection as an extension.
///
/// Fails if the connection breaks or the peer sends no HTTP.
pub async fn serve_connection<F, B>(
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    http: &http1::Builder,
    handle: impl Fn(Request<Incoming>) -> F,
    closing: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let has_unread_request = Arc::new(AtomicBool::new(false));
    let metered =
        MeteredStream::new(stream, Arc::clone(&connection), Arc::clone(&has_unread_request));
    let service = service_fn(|mut request: Request<Incoming>| {
        let connection = Arc::clone(&connection);
        connection.on_request(!request.body().is_end_stream());
        request.extensions_mut().insert(Arc::clone(&connection));
        let response = handle(request);
        let has_unread_request = Arc::clone(&has_unread_request);
        async move {
            let response = response.await;
            has_unread_request.store(!connection.on_response(), Ordering::Relaxed);
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, connection)))
        }
    });
    let serving = http.serve_connection(TokioIo::new(metered), service);
    tokio::pin!(serving);
    let is_evicted = tokio::select! {
        biased;
        result = &mut serving => return result,
        () = connection.evicted() => true,
        () = closing => false,
    };
    serving.as_mut().graceful_shutdown();
    if !is_evicted {
        tokio::select! {
            biased;
            result = &mut serving => return result,
            () = connection.evicted() => {}
        }
    }
    match connection.phase() {
        ConnectionPhase::Running => finish_running(serving, &connection).await,
        ConnectionPhase::Body => {
            let refused = tokio::time::timeout(EVICTED_RESPONSE_TIMEOUT, serving).await;
            refused.unwrap_or(Ok(()))
        }
        ConnectionPhase::Blocked
        | ConnectionPhase::Head
        | ConnectionPhase::Idle
        | ConnectionPhase::Unused => Ok(()),
    }
}
