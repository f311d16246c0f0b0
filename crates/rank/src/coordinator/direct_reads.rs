//! Direct reads of engines whose endpoint processes are silent or gone.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    Mechanism,
    adapter::{Engine, FleetSource},
};

use super::Coordinator;
use crate::leader_state::LeaderState;

/// How long a process must be silent before its engine is read and given orders directly: three
/// report periods of the ranks that report least often. Otherwise a frozen process keeps its
/// group held for 4 s.
const SILENT_AFTER: Duration = Duration::from_millis(1000);

/// How often an engine is read directly. A read from another machine is charged as a probe.
const DIRECT_READ_PERIOD: Duration = Duration::from_millis(250);

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Starts direct reads of the engines whose processes are silent, and searches for ranks whose
    /// processes are gone. Nothing waits for the
    /// results, because an unreachable engine would delay all others.
    pub(super) fn read_silent_engines(&self, state: &mut LeaderState) {
        if !self.mechanisms.has(Mechanism::DirectReads) {
            return;
        }
        if state.direct_reads_at.is_some_and(|at| at.elapsed() < DIRECT_READ_PERIOD) {
            return;
        }
        state.direct_reads_at = Some(Instant::now());
        self.search_missing_ranks(state);
        for engine in self.discovery.engines().into_iter().filter(|engine| self.is_silent(*engine))
        {
            let (client, rank_states) = ((self.make_engine)(engine), Arc::clone(&self.rank_states));
            self.metrics.count("engines.read_directly");
            tokio::spawn(async move {
                match client.report().await {
                    Ok(report) => rank_states.lock().on_direct_read(engine, report),
                    Err(error) => log::debug!("{error}"),
                }
            });
        }
    }

    /// Starts direct reads of a few registered engines that may be the missing ranks of the group.
    fn search_missing_ranks(&self, state: &mut LeaderState) {
        let is_missing = !self.rank_states.lock().missing_ranks().is_empty();
        if !is_missing || self.discovery.time_in_group() <= SILENT_AFTER {
            return;
        }
        let members = self.discovery.engines();
        let registered = self.registry.engines().into_iter();
        for engine in state.engine_search.next(registered.filter(|e| !members.contains(e))) {
            let (client, discovery) = ((self.make_engine)(engine), Arc::clone(&self.discovery));
            let rank_states = Arc::clone(&self.rank_states);
            self.metrics.count("engines.searched");
            tokio::spawn(async move {
                let report = match client.report().await {
                    Ok(report) => report,
                    Err(error) => return log::debug!("{error}"),
                };
                let Some(membership) = &report.membership else { return };
                if discovery.on_engine_found(engine, membership) {
                    log::info!(engine:% = engine, rank = membership.rank;
                        "rank without a process found");
                    rank_states.lock().on_direct_read(engine, report);
                }
            });
        }
    }

    /// Whether an engine's process has not reported for longer than [`SILENT_AFTER`].
    pub(super) fn is_silent(&self, engine: SocketAddr) -> bool {
        let report_age = self.rank_states.lock().report_age(engine);
        let silence = report_age.unwrap_or_else(|| self.discovery.time_in_group());
        engine != self.own_engine && silence > SILENT_AFTER
    }
}
