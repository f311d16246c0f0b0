//! Reading the own engine, and telling the processes that balance.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    Result,
    edge::Engine,
    experts::{Counts, EngineReport, RankMap},
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::{net::UdpSocket, sync::Notify};

use crate::{message::RankState, roster::Roster};

/// How often the engine is read. Reading it on its own machine is free, and
/// demand shifts within seconds.
const PERIOD: Duration = Duration::from_millis(100);

/// How often it is read while it copies experts: a switch waits for the last.
const COPYING_PERIOD: Duration = Duration::from_millis(25);

/// How long after an order to prepare the engine is taken to copy at most.
const COPYING_TIME: Duration = Duration::from_secs(3);

/// Reads one engine.
pub(crate) struct Reporter<E> {
    pub(crate) engine: Arc<E>,
    pub(crate) address: SocketAddr,
    pub(crate) roster: Arc<Roster>,
    pub(crate) socket: Arc<UdpSocket>,
    /// The port of peers' sockets.
    pub(crate) port: u16,
    pub(crate) metrics: Arc<Metrics>,
    /// Until when the engine is taken to copy experts.
    pub(crate) copying_until: Mutex<Option<Instant>>,
    pub(crate) wake: Notify,
}

impl<E: Engine> Reporter<E> {
    /// Notes that the engine was told to copy experts.
    pub(crate) fn note_copying(&self) {
        *self.copying_until.lock() = Some(Instant::now() + COPYING_TIME);
        self.wake.notify_one();
    }

    /// Reads and tells until the task is dropped.
    pub(crate) async fn run(self: Arc<Reporter<E>>) {
        let mut held = RankMap::default();
        let mut is_lost = false;
        loop {
            match self.read(&mut held).await {
                Ok(state) => {
                    if is_lost {
                        log::info!("the engine answers again");
                    }
                    is_lost = false;
                    self.tell(&state).await;
                }
                Err(error) => {
                    self.metrics.count("engine.read_failed");
                    if !is_lost {
                        log::warn!(error:% = error; "the engine can't be read");
                    }
                    is_lost = true;
                }
            }
            let period = self.period();
            tokio::select! {
                () = tokio::time::sleep(period) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    async fn read(&self, held: &mut RankMap) -> Result<RankState> {
        let report: EngineReport = self.engine.report().await?;
        if held.experts.is_empty() || held.version != report.map || report.map == 0 {
            *held = self.engine.rank_map().await?;
        }
        if report.prepared.is_some() && report.armed.is_none() {
            *self.copying_until.lock() = None;
        }
        let counts: Counts = self.engine.counts().await?;
        Ok(RankState { engine: self.address, report, held: held.clone(), counts })
    }

    fn period(&self) -> Duration {
        match *self.copying_until.lock() {
            Some(until) if Instant::now() < until => COPYING_PERIOD,
            _ => PERIOD,
        }
    }

    async fn tell(&self, state: &RankState) {
        let datagram = match state.encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(error:% = error; "a report can't be written");
                return;
            }
        };
        for listener in self.roster.listeners() {
            let peer = SocketAddr::new(listener.ip(), self.port);
            if let Err(error) = self.socket.send_to(&datagram, peer).await {
                log::debug!(peer:% = peer, error:% = error; "a report was not sent");
            }
        }
    }
}
