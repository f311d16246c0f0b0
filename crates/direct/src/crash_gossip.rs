//! Gossip of crash reports between entries.
//!
//! Reports are published through the platform, where entries read them that start later. An
//! entry that the platform turns away sends them to three peers, which pass them on.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    CallFingerprint, Offset, ProcessId, Suspicion, ToldSuspicion, edge::FleetSource,
};
use lynxmount_link::Topic;
use lynxmount_suspects::SharedQuarantine;

use crate::{peers::Peers, watch::Reachability};

/// How long a read waits for news. Silence is noticed by probes of the connection, so that
/// this only sets what an idle entry costs: 6 calls a minute.
const READ_WAIT: Duration = Duration::from_secs(10);

/// The pause after a read that has brought news. Several entries tell of one end within
/// some 10 ms; with the pause they cost each entry two reads.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// How soon what has failed is tried again.
const RETRY_PERIOD: Duration = Duration::from_millis(300);

/// How often what no longer counts is forgotten.
const LAPSE_PERIOD: Duration = Duration::from_secs(60);

/// What the tasks share.
pub(crate) struct CrashGossip<S> {
    pub(crate) process: ProcessId,
    pub(crate) source: Arc<S>,
    pub(crate) suspects: Arc<SharedQuarantine>,
    pub(crate) peers: Arc<Peers>,
}

impl<S: FleetSource> CrashGossip<S> {
    /// Tells others until the task is dropped.
    pub(crate) async fn publish(self: Arc<CrashGossip<S>>) {
        let mut reachability = Reachability::new("telling of suspected calls");
        // Peers are told each thing once: they tell it on, and ask for the rest.
        let mut told_to_peers: HashMap<CallFingerprint, Suspicion> = HashMap::new();
        loop {
            self.suspects.wait_for_unsent().await;
            let news = self.suspects.take_unsent();
            match self.source.tell_suspicions(&self.process, &news).await {
                Ok(()) => {
                    reachability.regained();
                    told_to_peers.clear();
                }
                Err(error) => {
                    reachability.lost(&error);
                    self.suspects.requeue(&news);
                    let is_untold = |s: &Suspicion| told_to_peers.get(&s.call) != Some(s);
                    let untold: Vec<Suspicion> = news.into_iter().filter(is_untold).collect();
                    told_to_peers.extend(untold.iter().map(|s| (s.call, s.clone())));
                    self.peers.publish(Topic::Suspicions, &untold).await;
                    tokio::time::sleep(RETRY_PERIOD).await;
                }
            }
        }
    }

    /// Hears what others tell until the task is dropped.
    pub(crate) async fn subscribe(self: Arc<CrashGossip<S>>) {
        let mut reachability = Reachability::new("suspected calls");
        let mut from: Option<Offset> = None;
        // The first read after a failure tells at once whether the platform is back.
        let mut wait = Duration::ZERO;
        loop {
            let began = Instant::now();
            match self.source.suspicions_from(from, wait).await {
                Ok((next, told)) => {
                    reachability.regained();
                    wait = READ_WAIT;
                    self.suspects.merge_from_platform(told.iter().map(|told| &told.suspicion));
                    if from.is_none() {
                        self.forget_lapsed(&told).await;
                    }
                    from = Some(next);
                    let is_early = began.elapsed() < READ_PAUSE;
                    if !told.is_empty() || is_early {
                        tokio::time::sleep(READ_PAUSE).await;
                    }
                }
                Err(error) => {
                    reachability.lost(&error);
                    wait = Duration::ZERO;
                    tokio::time::sleep(RETRY_PERIOD).await;
                }
            }
        }
    }

    /// Takes back what processes have told that are perhaps gone.
    async fn forget_lapsed(&self, told: &[ToldSuspicion]) {
        let lapsed = told.iter().filter(|told| self.suspects.is_expired(&told.suspicion));
        let lapsed: Vec<(ProcessId, CallFingerprint)> =
            lapsed.map(|told| (ProcessId::clone(&told.teller), told.suspicion.call)).collect();
        self.forget(lapsed).await;
    }

    /// Forgets what no longer counts until the task is dropped.
    pub(crate) async fn lapse(self: Arc<CrashGossip<S>>) {
        loop {
            tokio::time::sleep(LAPSE_PERIOD).await;
            let lapsed = self.suspects.expire();
            let own = lapsed.into_iter().map(|call| (ProcessId::clone(&self.process), call));
            self.forget(own.collect()).await;
        }
    }

    async fn forget(&self, lapsed: Vec<(ProcessId, CallFingerprint)>) {
        if lapsed.is_empty() {
            return;
        }
        if let Err(error) = self.source.forget_suspicions(&lapsed).await {
            // Whoever starts next takes it back.
            log::info!(calls = lapsed.len(), error:% = error; "what has lapsed is not taken back");
        }
    }
}
