//! Counters, kept in memory and sent to a statsd server.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, StatsdClient};
use lynxmount_core::{Result, Step, invalid};

/// Interval at which counters are sent.
pub(crate) const SEND_PERIOD: Duration = Duration::from_secs(1);

/// The prefix of all counters' names.
const PREFIX: &str = "lynxmount";

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// All counters.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
        }

        const NAMES: &[&str] = &[$($name,)*];
    };
}

counters! {
    /// Attempts that an entry sent to endpoints.
    AttemptsSent => "attempts.sent",
    /// Attempts that an endpoint refused.
    AttemptsRefused => "attempts.refused",
    /// Attempts that an endpoint started.
    AttemptsStarted => "attempts.started",
    /// Attempts whose connection broke.
    AttemptsLost => "attempts.lost",
    /// Reads of the claim log that hedged a long poll.
    ClaimReadsHedged => "claims.reads_hedged",
    /// Connections that were closed in favour of others.
    ConnectionsEvicted => "connections.evicted",
    /// Connections that were closed because their peers kept them waiting.
    ConnectionsOverdue => "connections.overdue",
    /// New connections that were closed for want of room.
    ConnectionsRefused => "connections.refused",
    /// Endpoints that were ejected because their attempts fail.
    EndpointsEjected => "endpoints.ejected",
    /// Frames that were too large or came too slowly; their connections are closed.
    FramesRefused => "frames.refused",
    /// Frames that were dropped as late, duplicated or of an earlier attempt.
    FramesDropped => "frames.dropped",
    /// Responses that an endpoint replayed for a repeated key.
    KeysAttached => "keys.attached",
    /// Keys that an entry bound in the log.
    KeysClaimed => "keys.claimed",
    /// Keys whose request an endpoint ran.
    KeysRun => "keys.run",
    /// Requests that waited in a queue.
    RequestsQueued => "requests.queued",
    /// Requests whose caller disconnected.
    RequestsAbandoned => "requests.abandoned",
    /// Requests that got their complete response.
    RequestsComplete => "requests.complete",
    /// Requests that ended with the outcome *not run*.
    RequestsNotRun => "requests.not_run",
    /// Requests that ended with the outcome *unknown*.
    RequestsUnknown => "requests.unknown",
    /// Retries.
    Retries => "retries",
    /// Streams that broke and were resumed after their last event.
    StreamsResumed => "streams.resumed",
    /// Responses that did not match their digest.
    ResponsesCorrupt => "answers.broken",
    /// Bodies that got no memory.
    BodiesRefused => "bodies.refused",
    /// Bodies that arrived too slowly.
    BodiesTooSlow => "bodies.too_slow",
}

/// The counters of a process.
#[derive(Debug)]
pub struct Counters {
    totals: Vec<AtomicU64>,
}

impl Default for Counters {
    /// Creates the counters with all values at 0.
    fn default() -> Counters {
        Counters { totals: NAMES.iter().map(|_| AtomicU64::new(0)).collect() }
    }
}

impl Counters {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.totals[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The value of a counter since the process's start.
    pub fn total(&self, counter: Counter) -> u64 {
        self.totals[counter as usize].load(Ordering::Relaxed)
    }

    /// All counters' names and values.
    pub fn totals(&self) -> impl Iterator<Item = (&'static str, u64)> {
        NAMES.iter().zip(&self.totals).map(|(name, total)| (*name, total.load(Ordering::Relaxed)))
    }
}

/// Sends the increments since the previous send.
pub(crate) struct CounterSender {
    client: StatsdClient,
    sent: Vec<u64>,
}

impl CounterSender {
    /// Creates a sender to a statsd address.
    ///
    /// Fails if no socket can be opened.
    pub(crate) fn new(address: SocketAddr) -> Result<CounterSender> {
        let fail = |e: String| invalid(Step::Start, address, e);
        let unspecified: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0; 8], 0).into(),
        };
        let socket = UdpSocket::bind(unspecified).map_err(|e| fail(e.to_string()))?;
        socket.set_nonblocking(true).map_err(|e| fail(e.to_string()))?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(|e| fail(e.to_string()))?;
        let client = StatsdClient::from_sink(PREFIX, sink);
        Ok(CounterSender { client, sent: vec![0; NAMES.len()] })
    }

    /// Sends all increments. Those that can't be sent now are sent next time.
    pub(crate) fn send(&mut self, counters: &Counters) {
        for ((name, total), sent) in counters.totals().zip(&mut self.sent) {
            let increment = total.saturating_sub(*sent) as i64;
            if increment > 0 && self.client.count(name, increment).is_ok() {
                *sent = total;
            }
        }
        let _ = self.client.flush();
    }
}
