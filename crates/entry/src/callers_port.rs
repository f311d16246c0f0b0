//! The port that callers connect to.

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

/// The pause after a connection could not be accepted, for want of file
/// descriptors as a rule.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// How long the last bytes of finished answers may take to leave.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// A bound port.
pub(crate) struct CallersPort {
    listener: TcpListener,
    handler: Arc<Handler>,
    http: http1::Builder,
}

impl CallersPort {
    /// Binds the port.
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

    /// Serves callers until the future is ready, then lets answers that are
    /// finished leave.
    pub(crate) async fn serve_until(self, end: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream, &graceful),
                    Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
                },
            }
        }
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, graceful.shutdown()).await;
    }

    fn serve_connection(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        // Tokens are small; waiting to fill a segment would delay each one.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let connection = self.http.serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        // A caller that goes away in mid-answer ends the connection with an
        // error, which the request's own counters have seen.
        tokio::spawn(async move { drop(watched.await) });
    }
}
