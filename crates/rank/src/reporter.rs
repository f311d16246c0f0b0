//! Polling the own engine, and reporting its state and expert demand to the leader candidates.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_balance::sample_period;
use lynxmount_core::{
    Result,
    adapter::Engine,
    experts::{EngineReport, ExpertCounts, GroupMap, GroupMembership, MapVersion, RankMap},
};
use lynxmount_group::MapCache;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    demand::CountDeltas,
    discovery::Discovery,
    message::{Datagram, DemandSample, RankState},
    transport::Transport,
};

/// How often the engine is polled. Polling it on its own machine costs nothing, and demand
/// shifts within seconds.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// How many ranks of a group send demand samples at most.
const SAMPLED_RANKS: usize = 16;

/// How often the engine is polled while an order's completion is pending. These readings are not
/// reported: four times the datagrams kept the leader busy for 0.2 s at a time.
const COMPLETION_POLL_PERIOD: Duration = Duration::from_millis(25);

/// How long after an order its completion is polled for.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(3);

/// The completion of an order that an engine accepts first and carries out later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Completion {
    /// The engine has copied the experts that a map needs.
    Copy(MapVersion),
    /// The engine has switched to the armed map, or was disarmed.
    Switch,
}

impl Completion {
    fn is_done(self, report: &EngineReport) -> bool {
        match self {
            Completion::Copy(version) => report.prepared == Some(version),
            Completion::Switch => report.armed.is_none(),
        }
    }
}

/// Polls the own engine.
pub(crate) struct Reporter<E> {
    pub(crate) engine: Arc<E>,
    pub(crate) engine_address: SocketAddr,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) transport: Transport,
    pub(crate) metrics: Arc<Metrics>,
    /// The completion of the last order, and until when it is polled for.
    pub(crate) pending: Mutex<Option<(Completion, Instant)>>,
    pub(crate) wake: Notify,
    /// The bandwidth of the machine's link.
    pub(crate) link_bytes_per_s: f64,
    pub(crate) maps: Arc<Mutex<MapCache>>,
}

/// The state kept from one demand sample to the next.
#[derive(Default)]
struct SamplingState {
    counts: CountDeltas,
    /// When the next sample is due; `None` before the first.
    next_at: Option<Instant>,
}

impl<E: Engine> Reporter<E> {
    /// Polls the engine faster until an order is complete, so that the completion is reported
    /// without delay.
    pub(crate) fn watch_for(&self, completion: Completion) {
        *self.pending.lock() = Some((completion, Instant::now() + COMPLETION_TIMEOUT));
        self.wake.notify_one();
    }

    /// Polls and reports until the task is dropped.
    pub(crate) async fn run(self: Arc<Reporter<E>>) {
        let mut sampling = SamplingState::default();
        let mut has_failed = false;
        let mut period = POLL_PERIOD;
        loop {
            match self.read_and_report(&mut sampling).await {
                Ok(next) => {
                    period = next;
                    if has_failed {
                        log::info!("engine reads recovered");
                    }
                    has_failed = false;
                }
                Err(error) => {
                    self.metrics.count("engine.read_failed");
                    if !has_failed {
                        log::warn!(error:% = error; "engine read failed");
                    }
                    has_failed = true;
                }
            }
            tokio::select! {
                () = tokio::time::sleep(period) => {}
                () = self.wait_for_completion() => {}
            }
        }
    }

    /// Polls the engine once and reports its state. Returns when to poll again.
    async fn read_and_report(&self, sampling: &mut SamplingState) -> Result<Duration> {
        let report: EngineReport = self.engine.report().await?;
        let Some(membership) = report.membership.clone() else {
            self.send_report(report).await;
            return Ok(POLL_PERIOD);
        };
        self.maps.lock().set_in_use(membership.epoch, report.map);
        if report.map == 0 && self.maps.lock().get(membership.epoch, 0).is_none() {
            self.record_initial_map(&membership).await?;
        }
        self.discovery.set_own_rank(&membership).await;
        self.send_report(report).await;
        let is_due = sampling.next_at.is_none_or(|at| at <= Instant::now());
        if is_due && is_sampled(&membership) {
            self.send_demand_sample(&membership, sampling).await?;
        }
        Ok(report_period(&membership))
    }

    /// Records the initial map of a group, which no order carries: experts are dealt to ranks
    /// round-robin. It is recorded only if the own engine holds what it would under that map.
    async fn record_initial_map(&self, membership: &GroupMembership) -> Result<()> {
        let held: RankMap = self.engine.rank_map().await?;
        let counts: ExpertCounts = self.engine.counts().await?;
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

    /// Sends the demand since the last sample, and schedules the next one.
    async fn send_demand_sample(
        &self,
        membership: &GroupMembership,
        sampling: &mut SamplingState,
    ) -> Result<()> {
        let counts = self.engine.counts().await?;
        let Some(delta) = sampling.counts.delta(counts) else { return Ok(()) };
        let incarnation = (membership.group.clone(), membership.epoch);
        let sample = DemandSample::new(incarnation, &delta);
        let sent_bytes = self.send_to_candidates(&Datagram::Demand(sample)).await;
        let senders = membership.ranks.min(SAMPLED_RANKS);
        let period = sample_period(sent_bytes, senders, self.link_bytes_per_s);
        sampling.next_at = Some(Instant::now() + period);
        Ok(())
    }

    /// Waits until the pending order is complete: the leader waits for the slowest rank.
    async fn wait_for_completion(&self) {
        loop {
            let pending = *self.pending.lock();
            let Some((pending, _)) = pending.filter(|(_, until)| *until > Instant::now()) else {
                self.wake.notified().await;
                continue;
            };
            tokio::time::sleep(COMPLETION_POLL_PERIOD).await;
            let report = self.engine.report().await;
            if report.is_ok_and(|report| pending.is_done(&report)) {
                self.pending.lock().take_if(|(current, _)| *current == pending);
                return;
            }
        }
    }

    async fn send_report(&self, report: EngineReport) {
        let state = RankState { engine: self.engine_address, report };
        self.send_to_candidates(&Datagram::Report(Box::new(state))).await;
    }

    /// Sends a datagram to the leader candidates; returns its size in bytes.
    async fn send_to_candidates(&self, datagram: &Datagram) -> usize {
        let candidates = self.discovery.leader_candidates().into_iter();
        let peers = candidates.map(|candidate| self.transport.peer(candidate));
        self.transport.send_to_all(peers, datagram).await
    }
}

/// Whether a rank sends demand samples. The requests of all ranks follow the same distribution,
/// so a part of a large group's ranks is enough.
fn is_sampled(membership: &GroupMembership) -> bool {
    let stride = membership.ranks.div_ceil(SAMPLED_RANKS).max(1);
    membership.rank.is_multiple_of(stride)
}

/// How often a rank's engine is polled: less often in a large group, as all ranks report to the
/// same few candidates.
fn report_period(membership: &GroupMembership) -> Duration {
    match membership.ranks > SAMPLED_RANKS && !is_sampled(membership) {
        true => POLL_PERIOD * 3,
        false => POLL_PERIOD,
    }
}
