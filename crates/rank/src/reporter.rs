//! Reading the own engine, and telling the processes that balance.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::sample_period;
use lynxmount_core::{
    Result,
    edge::Engine,
    experts::{Counts, EngineReport, GroupMap, MapVersion, Membership, RankMap},
};
use lynxmount_group::MapCache;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    demand::CountReader,
    mailbox::Mailbox,
    members::Members,
    message::{Datagram, DemandSample, RankState},
};

/// How often the engine is read. Reading it on its own machine is free, and
/// demand shifts within seconds.
const PERIOD: Duration = Duration::from_millis(100);

/// How many ranks of a group tell what is chosen at them.
const SAMPLED_RANKS: usize = 16;

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
    pub(crate) mailbox: Mailbox,
    pub(crate) metrics: Arc<Metrics>,
    /// What was ordered last, and until when it is waited for.
    pub(crate) awaited: Mutex<Option<(Awaited, Instant)>>,
    pub(crate) wake: Notify,
    /// What the machine's link carries.
    pub(crate) link_bytes_per_s: f64,
    pub(crate) maps: Arc<Mutex<MapCache>>,
}

/// What is kept from one sample of demand to the next.
#[derive(Default)]
struct Sampling {
    counts: CountReader,
    /// When the next one is told; `None` before the first.
    next_at: Option<Instant>,
}

impl<E: Engine> Reporter<E> {
    /// Notes what the engine was ordered, so that its end is told at once.
    pub(crate) fn await_end(&self, awaited: Awaited) {
        *self.awaited.lock() = Some((awaited, Instant::now() + AWAITED_TIME));
        self.wake.notify_one();
    }

    /// Reads and tells until the task is dropped.
    pub(crate) async fn run(self: Arc<Reporter<E>>) {
        let mut sampling = Sampling::default();
        let mut is_lost = false;
        let mut period = PERIOD;
        loop {
            match self.read_and_tell(&mut sampling).await {
                Ok(next) => {
                    period = next;
                    if is_lost {
                        log::info!("the engine answers again");
                    }
                    is_lost = false;
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

    /// Returns how soon to read again.
    async fn read_and_tell(&self, sampling: &mut Sampling) -> Result<Duration> {
        let report: EngineReport = self.engine.report().await?;
        let Some(membership) = report.membership.clone() else {
            self.tell_report(report).await;
            return Ok(PERIOD);
        };
        self.maps.lock().set_in_use(membership.epoch, report.map);
        if report.map == 0 && self.maps.lock().get(membership.epoch, 0).is_none() {
            self.note_first_map(&membership).await?;
        }
        self.members.note_own(&membership).await;
        self.tell_report(report).await;
        let is_due = sampling.next_at.is_none_or(|at| at <= Instant::now());
        if is_due && is_sampled(&membership) {
            self.tell_sample(&membership, sampling).await?;
        }
        Ok(report_period(&membership))
    }

    /// Works out what all ranks hold at first: experts are dealt in turn. It is
    /// believed if the own rank holds what it should by that.
    async fn note_first_map(&self, membership: &Membership) -> Result<()> {
        let held: RankMap = self.engine.rank_map().await?;
        let counts: Counts = self.engine.counts().await?;
        let sets = held.experts.len();
        let experts = counts.by_set_and_expert.len() / sets.max(1);
        let of_rank = |rank: usize| (rank..experts).step_by(membership.ranks.max(1)).collect();
        let of_set: Vec<Vec<usize>> = (0..membership.ranks).map(of_rank).collect();
        if held.version == 0
            && held.experts.iter().all(|own| Some(own) == of_set.get(membership.rank))
        {
            let map: GroupMap = vec![of_set; sets];
            self.maps.lock().insert(membership.epoch, 0, Arc::new(map));
        }
        Ok(())
    }

    /// Tells what was chosen since the last time, and when to tell again.
    async fn tell_sample(&self, membership: &Membership, sampling: &mut Sampling) -> Result<()> {
        let counts = self.engine.counts().await?;
        let Some(chosen) = sampling.counts.chosen(counts) else { return Ok(()) };
        let life = (membership.group.clone(), membership.epoch);
        let sample = DemandSample::new(life, &chosen);
        let sent_bytes = self.tell(&Datagram::Demand(sample)).await;
        let tellers = membership.ranks.min(SAMPLED_RANKS);
        let pause = sample_period(sent_bytes, tellers, self.link_bytes_per_s);
        sampling.next_at = Some(Instant::now() + pause);
        Ok(())
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

    async fn tell_report(&self, report: EngineReport) {
        let state = RankState { engine: self.address, report };
        self.tell(&Datagram::Report(Box::new(state))).await;
    }

    /// Tells the processes that listen; returns the size of the datagram.
    async fn tell(&self, datagram: &Datagram) -> usize {
        let listeners = self.members.listeners().into_iter();
        let peers = listeners.map(|listener| self.mailbox.peer(listener));
        self.mailbox.send_to_all(peers, datagram).await
    }
}

/// Says whether a rank tells what is chosen at it. Each rank's requests are a sample of
/// the same demand, so that a part of a large group's ranks shows it.
fn is_sampled(membership: &Membership) -> bool {
    let stride = membership.ranks.div_ceil(SAMPLED_RANKS).max(1);
    membership.rank.is_multiple_of(stride)
}

/// How often a rank of a group is read: less often in a large one, as all ranks
/// tell the same few processes.
fn report_period(membership: &Membership) -> Duration {
    match membership.ranks > SAMPLED_RANKS && !is_sampled(membership) {
        true => PERIOD * 3,
        false => PERIOD,
    }
}
