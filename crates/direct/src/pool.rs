//! Connection pool of an endpoint.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_core::Result;
use lynxmount_link::Connection;
use parking_lot::Mutex;

/// Timeout for opening a connection. Round trips take 2 ms; a lost SYN is resent only after a
/// second, so trying another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle timeout of connections to endpoints that do not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Fraction of the endpoint's idle timeout for which a connection is reused, so that no request is
/// sent while the endpoint closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 4;

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections to one endpoint.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<Vec<IdleConnection>>,
}

impl Pool {
    /// Returns an idle connection if `may_reuse` is set and there is one, else opens a new one.
    ///
    /// Only calls that are safe to retry may reuse a connection, as the endpoint may be closing it,
    /// or may still send a surplus response.
    ///
    /// Fails if no connection can be opened; nothing was sent then.
    pub(crate) async fn connect(&self, address: SocketAddr, may_reuse: bool) -> Result<Connection> {
        let idle = if may_reuse { self.take_idle() } else { None };
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open_with_reset(address, CONNECT_TIMEOUT).await,
        }
    }

    /// Returns a connection to the pool; its last response must be complete.
    pub(crate) fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let idle_timeout =
            keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.mul_f64(IDLE_TIMEOUT_FRACTION));
        let mut idle = self.idle.lock();
        if connection.is_closed() || idle.len() >= MAX_IDLE_CONNECTIONS || idle_timeout.is_zero() {
            return;
        }
        idle.push(IdleConnection { connection, expires_at: Instant::now() + idle_timeout });
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|kept| kept.expires_at > now && kept.connection.is_ready());
        idle.pop().map(|kept| kept.connection)
    }
}
