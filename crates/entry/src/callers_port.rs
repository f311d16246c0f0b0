//! The HTTP listener for callers.

use std::{future::Future, sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use lynxmount_config::EntrySettings;
use lynxmount_core::{Result, Step, invalid};
use lynxmount_policy::PeerKind;
use lynxmount_resources::{Acceptor, SharedBudget, TrackedConnection};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::{caller_connection, handler::Handler};

/// Delay after a failed `accept`, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long completed answers may take to be flushed on shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// How long calls that are cut off may take to be answered. Longer than the confirmation of an outcome
/// by the claim log.
const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(1);

/// The bound listener and the HTTP settings of its connections.
pub(crate) struct CallersPort {
    listener: TcpListener,
    budget: SharedBudget,
    connections: Connections,
}

/// The connections that are open.
struct Connections {
    handler: Arc<Handler>,
    http: http1::Builder,
    closing: CancellationToken,
    tasks: JoinSet<()>,
}

impl CallersPort {
    /// Binds the listener.
    ///
    /// Fails if the address is in use.
    pub(crate) async fn bind(
        settings: &EntrySettings,
        handler: Arc<Handler>,
    ) -> Result<CallersPort> {
        let address = settings.callers_address;
        let listener =
            TcpListener::bind(address).await.map_err(|e| invalid(Step::Bind, address, e))?;
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new());
        http.header_read_timeout(settings.header_timeout_ms);
        http.max_buf_size(settings.max_header_bytes);
        let (closing, tasks) = (CancellationToken::new(), JoinSet::new());
        let budget = handler.node.budget().clone();
        let connections = Connections { handler, http, closing, tasks };
        Ok(CallersPort { listener, budget, connections })
    }

    /// Serves callers until `shutdown` resolves, then refuses new connections, flushes completed
    /// answers and cuts off the calls that are left.
    pub(crate) async fn serve_until(self, shutdown: impl Future<Output = ()>) {
        let CallersPort { listener, budget, mut connections } = self;
        tokio::pin!(shutdown);
        let mut acceptor = Acceptor::new(&listener, &budget, PeerKind::Caller);
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                accepted = acceptor.accept() => match accepted {
                    Ok((stream, connection)) => connections.serve(stream, connection),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                Some(_) = connections.tasks.join_next() => {}
            }
        }
        if let Some((stream, connection)) = acceptor.into_pending() {
            connections.serve(stream, connection);
        }
        for stream in accept_pending(listener) {
            if let Some(connection) = budget.open_now(PeerKind::Caller) {
                connections.serve(stream, connection);
            }
        }
        connections.closing.cancel();
        if tokio::time::timeout(FLUSH_TIMEOUT, connections.all_closed()).await.is_err() {
            connections.handler.cut_off.cancel();
            let _ = tokio::time::timeout(CUT_OFF_TIMEOUT, connections.all_closed()).await;
        }
    }
}

impl Connections {
    fn serve(&mut self, stream: TcpStream, connection: Arc<TrackedConnection>) {
        // Streamed tokens are small; Nagle's algorithm would delay each one.
        let _ = stream.set_nodelay(true);
        let (handler, closing) = (Arc::clone(&self.handler), self.closing.clone());
        self.tasks.spawn(caller_connection::serve(
            stream,
            connection,
            self.http.clone(),
            handler,
            closing,
        ));
    }

    async fn all_closed(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Accepts the connections that the kernel has already opened, and closes the listener.
fn accept_pending(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    let accepted = std::iter::from_fn(move || listener.as_ref()?.accept().ok());
    accepted.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
