//! The HTTP listener for callers.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use lynxmount_config::EntrySettings;
use lynxmount_core::{Result, Step, invalid};
use tokio::net::{TcpListener, TcpStream};

use crate::handler::Handler;

/// Delay after a failed `accept`, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long completed answers may take to be flushed on shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// The bound listener and the HTTP settings of its connections.
pub(crate) struct CallersPort {
    listener: TcpListener,
    handler: Arc<Handler>,
    http: http1::Builder,
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
        Ok(CallersPort { listener, handler, http })
    }

    /// Serves callers until `shutdown` resolves, then flushes completed answers.
    pub(crate) async fn serve_until(self, shutdown: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        tokio::pin!(shutdown);
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream, &graceful),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
            }
        }
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, graceful.shutdown()).await;
    }

    fn serve_connection(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        // Streamed tokens are small; Nagle's algorithm would delay each one.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let connection = self.http.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        // A caller that disconnects in the middle of an answer causes an error here; the
        // request's counters have already recorded it.
        tokio::spawn(async move { drop(connection.await) });
    }
}
