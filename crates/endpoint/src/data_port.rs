//! The listener for entries.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{Result, Step, invalid};
use lynxmount_policy::PeerKind;
use lynxmount_resources::Acceptor;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::{
    attempt_runner::AttemptRunner, entry_connection::EntryConnection, load_reporter::LoadReporter,
    pause_watch::PauseWatch,
};

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long entries may take to disconnect after the drain. Attempts that are on their way until then
/// are refused. Longer than an entry takes to claim a key for this endpoint.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The bound listener.
pub(crate) struct DataPort {
    listener: TcpListener,
    runner: Arc<AttemptRunner>,
    reporter: Arc<LoadReporter>,
    pauses: Arc<PauseWatch>,
}

impl DataPort {
    /// Binds the listener.
    ///
    /// Fails if the address is in use.
    pub(crate) async fn bind(
        address: SocketAddr,
        runner: Arc<AttemptRunner>,
        reporter: Arc<LoadReporter>,
        pauses: Arc<PauseWatch>,
    ) -> Result<DataPort> {
        let listener =
            TcpListener::bind(address).await.map_err(|e| invalid(Step::Bind, address, e))?;
        Ok(DataPort { listener, runner, reporter, pauses })
    }

    /// Serves entries until `shutdown` resolves and they have disconnected, then writes all queued
    /// frames and closes the connections that are left.
    pub(crate) async fn serve_until(
        self,
        shutdown: impl Future<Output = ()>,
        flush_timeout: Duration,
    ) {
        let budget = self.runner.node.budget();
        let closing = CancellationToken::new();
        let mut connections = JoinSet::new();
        tokio::pin!(shutdown);
        let mut acceptor = Acceptor::new(&self.listener, budget, PeerKind::Caller);
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                accepted = acceptor.accept() => match accepted {
                    Ok((stream, tracked)) => {
                        let connection = EntryConnection {
                            runner: Arc::clone(&self.runner),
                            reporter: Arc::clone(&self.reporter),
                            pauses: Arc::clone(&self.pauses),
                            peer: peer_name(&stream),
                            tracked,
                        };
                        connections.spawn(connection.serve(stream, closing.clone()));
                    }
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
        drop(acceptor);
        drop(self.listener);
        self.reporter.report_now();
        if tokio::time::timeout(DISCONNECT_TIMEOUT, all_closed(&mut connections)).await.is_err() {
            closing.cancel();
            let _ = tokio::time::timeout(flush_timeout, all_closed(&mut connections)).await;
        }
    }
}

fn peer_name(stream: &TcpStream) -> String {
    stream.peer_addr().map_or_else(|_| "an entry".to_owned(), |address| address.to_string())
}

async fn all_closed(connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
}
