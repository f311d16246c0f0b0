//! Connections to endpoints.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_core::Result;
use lynxmount_link::Connection;
use parking_lot::Mutex;

/// How long a connection may take to open. Round trips take 2 ms; a lost opening
/// packet is sent again only after a second, so another endpoint is sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an idle connection is kept if the endpoint does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);

/// The part of the endpoint's own idle timeout after which it is not used any
/// more: a request must not cross the endpoint's close.
const IDLE_PART: f64 = 0.6;

/// Idle connections that are kept for one endpoint.
const MAX_IDLE: usize = 4;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections to one endpoint.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Takes an idle connection, or opens one.
    ///
    /// Only calls that may be repeated take an idle one, as the endpoint may be
    /// closing it, or may still send an answer that nobody waits for.
    ///
    /// Fails if none can be opened; nothing was sent then.
    pub(crate) async fn connect(&self, address: SocketAddr, may_reuse: bool) -> Result<Connection> {
        let idle = if may_reuse { self.take_idle() } else { None };
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open_with_reset(address, CONNECT_TIMEOUT).await,
        }
    }

    /// Keeps a connection whose last answer was whole.
    pub(crate) fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let idle_time = keep_alive.map_or(DEFAULT_IDLE, |time| time.mul_f64(IDLE_PART));
        let mut idle = self.idle.lock();
        if connection.is_closed() || idle.len() >= MAX_IDLE || idle_time.is_zero() {
            return;
        }
        idle.push(Idle { connection, until: Instant::now() + idle_time });
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|kept| kept.until > now && kept.connection.is_ready());
        idle.pop().map(|kept| kept.connection)
    }
}
