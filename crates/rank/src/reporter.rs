//! Reading the own engine, and telling the processes that balance.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    Result,
    edge::Engine,
    experts::{Counts, EngineReport, GroupEpoch, GroupMap, MapVersion, RankMap},
};
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    members::Members,
    message::{Datagram, RankState},
};

/// How often the engine is read. Reading it on its own machine is free, and
/// demand shifts within seconds.
const PERIOD: Duration = Duration::from_millis(100);

/// How many ranks of a group tell their counts. Each report of them takes 1 to
/// 6 kB, and a small machine's link carries 1 MB/s.
const COUNTING_RANKS: usize = 16;

/// How often it is read while it copies experts or is to switch. Nothing is told
/// meanwhile: four times the datagrams kept the balancing process busy for 0.2 s
/// at a time.
const AWAITED_PERIOD: Duration = Duration::from_millis(25);

/// How long after an order its end is waited for at most.
const AWAITED_TIME: Duration = Duration::from_secs(3);

/// What an engine was ordered and shows only later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Awaited {
    /// A copy of experts for a map.
    Copy(MapVersion),
    /// A switch to another map.
    Switch,
}

impl Awaited {
    fn is_done(self, report: &EngineReport) -> bool {
        match self {
            Awaited::Copy(version) => report.prepared == Some(version),
            Awaited::Switch => report.armed.is_none(),
        }
    }
}

/// Reads one engine.
pub(crate) struct Reporter<E> {
    pub(crate) engine: Arc<E>,
    pub(crate) address: SocketAddr,
    pub(crate) members: Arc<Members>,
    pub(crate) socket: Arc<UdpSocket>,
    /// The port of peers' sockets.
    pub(crate) port: u16,
    pub(crate) metrics: Arc<Metrics>,
    /// What was ordered last, and until when it is waited for.
    pub(crate) awaited: Mutex<Option<(Awaited, Instant)>>,
    pub(crate) wake: Notify,
    /// The first map of the group's life.
    pub(crate) first_map: Mutex<Option<(GroupEpoch, GroupMap)>>,
}

impl<E: Engine> Reporter<E> {
    /// Notes what the engine was ordered, so that its end is told at once.
    pub(crate) fn await_end(&self, awaited: Awaited) {
        *self.awaited.lock() = Some((awaited, Instant::now() + AWAITED_TIME));
        self.wake.notify_one();
    }

    /// Reads and tells until the task is dropped.
    pub(crate) async fn run(self: Arc<Reporter<E>>) {
        let mut held = RankMap::default();
        let mut is_lost = false;
        let mut period = PERIOD;
        loop {
            match self.read(&mut held).await {
                Ok(state) => {
                    period = report_period(&state.report);
                    if is_lost {
                        log::info!("the engine answers again");
                    }
                    is_lost = false;
                    if let Some(membership) = &state.report.membership {
                        self.members.note_own(membership).await;
                    }
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
            tokio::select! {
                () = tokio::time::sleep(period) => {}
                () = self.awaited() => {}
            }
        }
    }

    async fn read(&self, held: &mut RankMap) -> Result<RankState> {
        let report: EngineReport = self.engine.report().await?;
        if held.experts.is_empty() || held.version != report.map || report.map == 0 {
            *held = self.engine.rank_map().await?;
        }
        let is_first_map = report.map == 0;
        let counts = match counts_are_wanted(&report) || is_first_map {
            true => Some(self.engine.counts().await?),
            false => None,
        };
        if let (true, Some(counts)) = (is_first_map, &counts) {
            self.note_first_map(&report, held, counts);
        }
        let counts = counts.filter(|_| counts_are_wanted(&report));
        Ok(RankState { engine: self.address, report, held: held.clone(), counts })
    }

    /// Works out what all ranks hold at first: experts are dealt in turn. It is
    /// believed if the own rank holds what it should by that.
    fn note_first_map(&self, report: &EngineReport, held: &RankMap, counts: &Counts) {
        let Some(membership) = &report.membership else { return };
        let sets = held.experts.len();
        let experts = counts.by_set_and_expert.len() / sets.max(1);
        let of_rank = |rank: usize| (rank..experts).step_by(membership.ranks.max(1)).collect();
        let of_set: Vec<Vec<usize>> = (0..membership.ranks).map(of_rank).collect();
        let is_so = held.experts.iter().all(|own| Some(own) == of_set.get(membership.rank));
        let map = (membership.epoch, vec![of_set; sets]);
        *self.first_map.lock() = is_so.then_some(map);
    }

    /// The first map in a life of the group, if it is known.
    pub(crate) fn first_map(&self, epoch: GroupEpoch) -> Option<GroupMap> {
        let known = self.first_map.lock();
        known.as_ref().filter(|(of, _)| *of == epoch).map(|(_, map)| map.clone())
    }

    /// Waits until what was ordered has come to its end: a balancing process waits
    /// for the last of all ranks.
    async fn awaited(&self) {
        loop {
            let awaited = *self.awaited.lock();
            let Some((awaited, _)) = awaited.filter(|(_, until)| *until > Instant::now()) else {
                self.wake.notified().await;
                continue;
            };
            tokio::time::sleep(AWAITED_PERIOD).await;
            let report = self.engine.report().await;
            if report.is_ok_and(|report| awaited.is_done(&report)) {
                self.awaited.lock().take_if(|(still, _)| *still == awaited);
                return;
            }
        }
    }

    async fn tell(&self, state: &RankState) {
        let datagram = match Datagram::Report(Box::new(state.clone())).encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(error:% = error; "a report can't be written");
                return;
            }
        };
        for listener in self.members.listeners() {
            let peer = SocketAddr::new(listener.ip(), self.port);
            if let Err(error) = self.socket.send_to(&datagram, peer).await {
                log::debug!(peer:% = peer, error:% = error; "a report was not sent");
            }
        }
    }
}

/// Says whether a rank tells its counts. Each rank's requests are a sample of the
/// same demand, so that a part of a large group's ranks shows it.
fn counts_are_wanted(report: &EngineReport) -> bool {
    let Some(membership) = &report.membership else { return false };
    let stride = membership.ranks.div_ceil(COUNTING_RANKS).max(1);
    membership.rank.is_multiple_of(stride)
}

/// How often a rank of a group is read: less often in a large one, as all ranks
/// tell the same few processes.
fn report_period(report: &EngineReport) -> Duration {
    let ranks = report.membership.as_ref().map_or(0, |membership| membership.ranks);
    match ranks > COUNTING_RANKS && !counts_are_wanted(report) {
        true => PERIOD * 3,
        false => PERIOD,
    }
}
