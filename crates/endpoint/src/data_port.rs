//! The port that entries connect to.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{Result, Step, invalid};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

use crate::{connection::Connection, reports::Reports, runner::Runner};

/// The pause after a connection could not be accepted.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// A bound port.
pub(crate) struct DataPort {
    listener: TcpListener,
    runner: Arc<Runner>,
    reports: Arc<Reports>,
}

impl DataPort {
    /// Binds the port.
    ///
    /// Fails if the address is in use.
    pub(crate) async fn bind(
        address: SocketAddr,
        runner: Arc<Runner>,
        reports: Arc<Reports>,
    ) -> Result<DataPort> {
        let listener =
            TcpListener::bind(address).await.map_err(|e| invalid(Step::Bind, address, e))?;
        Ok(DataPort { listener, runner, reports })
    }

    /// Serves entries until the future is ready, then writes the frames that
    /// are waiting and closes all connections.
    pub(crate) async fn serve_until(self, end: impl Future<Output = ()>, flush_timeout: Duration) {
        let closing = CancellationToken::new();
        let mut connections = JoinSet::new();
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, address)) => {
                        let connection = Connection {
                            runner: Arc::clone(&self.runner),
                            reports: Arc::clone(&self.reports),
                            peer: address.to_string(),
                        };
                        connections.spawn(connection.serve(stream, closing.clone()));
                    }
                    Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
        closing.cancel();
        let all_closed = async { while connections.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(flush_timeout, all_closed).await;
    }
}
