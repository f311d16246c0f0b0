//! Engines whose processes are silent: they are read directly.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    Mechanism,
    edge::{Engine, FleetSource},
};

use super::Coordinator;
use crate::memory::Memory;

/// How long a process must be silent before its engine is read and given orders
/// directly: three reports of the ranks that report least often. A frozen process
/// kept its group held for 4 s before.
const DIRECT_AFTER: Duration = Duration::from_millis(1000);

/// How often an engine is read directly. Each reading from afar is priced as a
/// probe.
const DIRECT_PERIOD: Duration = Duration::from_millis(250);

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Begins to read the engines whose processes are silent. Nothing waits for
    /// them: an engine that can't be reached would hold up all others.
    pub(super) fn read_silent(&self, memory: &mut Memory) {
        if !self.mechanisms.has(Mechanism::DirectReads) {
            return;
        }
        if memory.read_directly_at.is_some_and(|at| at.elapsed() < DIRECT_PERIOD) {
            return;
        }
        memory.read_directly_at = Some(Instant::now());
        for engine in self.members.engines().into_iter().filter(|engine| self.is_silent(*engine)) {
            let (client, beliefs) = ((self.make_engine)(engine), Arc::clone(&self.beliefs));
            self.metrics.count("engines.read_directly");
            tokio::spawn(async move {
                match client.report().await {
                    Ok(report) => beliefs.lock().note_reading(engine, report),
                    Err(error) => log::debug!("{error}"),
                }
            });
        }
    }

    /// Says whether the process beside an engine has told nothing for long.
    pub(super) fn is_silent(&self, engine: SocketAddr) -> bool {
        let told_ago = self.beliefs.lock().told_ago(engine);
        let silent_for = told_ago.unwrap_or_else(|| self.members.own_age());
        engine != self.own && silent_for > DIRECT_AFTER
    }
}
