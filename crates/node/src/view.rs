//! The view of the control state that traffic threads read.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU64},
};

use arc_swap::ArcSwap;
use lynxmount_config::{Fleet, Head, Service, Team, TokenDigest};
use lynxmount_core::{Offset, ServiceId};
use tokio::sync::watch;

/// Progress of a process's shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainState {
    /// The process accepts no new work and finishes requests in progress.
    Draining,
    /// All requests are finished, or the drain timeout has passed.
    Finished,
    /// The process accepts work.
    Serving,
}

/// A configuration in force, indexed for lookups by requests.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Offset of the configuration change in the log.
    pub version: Offset,
    /// The complete fleet.
    pub fleet: Arc<Fleet>,
    teams: HashMap<TokenDigest, Arc<Team>>,
    services: HashMap<ServiceId, Arc<Service>>,
}

impl ActiveConfig {
    /// Creates the indexes for the fleet of an accepted change.
    pub fn new(head: &Head) -> ActiveConfig {
        let fleet = Arc::clone(&head.fleet);
        let teams = fleet.teams.iter().map(|t| (t.token_sha256, Arc::clone(t))).collect();
        let services = fleet.services.iter().map(|s| (s.id.clone(), Arc::clone(s))).collect();
        ActiveConfig { version: head.offset, fleet, teams, services }
    }

    /// The team whose token has this digest.
    pub fn team(&self, digest: &TokenDigest) -> Option<&Arc<Team>> {
        self.teams.get(digest)
    }

    /// The service with this id.
    pub fn service(&self, id: &str) -> Option<&Arc<Service>> {
        self.services.get(id)
    }
}

/// A consistent snapshot of the control state for traffic threads.
#[derive(Clone, Debug)]
pub struct ControlView {
    /// The configuration in force, if any.
    pub config: Option<Arc<ActiveConfig>>,
    /// Progress of a shutdown.
    pub drain: DrainState,
    /// Whether the last request to the platform's log succeeded.
    pub platform_up: bool,
}

impl ControlView {
    /// Returns whether the process accepts new work.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.drain == DrainState::Serving
    }

    /// The version in force; 0 if there is none.
    pub fn version(&self) -> Offset {
        self.config.as_ref().map_or(0, |config| config.version)
    }
}

/// State shared between the control thread and traffic threads: the latest view, and the
/// requests in progress that a drain waits for.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) view: ArcSwap<ControlView>,
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) running: AtomicU64,
}

impl SharedState {
    pub(crate) fn new() -> SharedState {
        let view = ControlView { config: None, drain: DrainState::Serving, platform_up: false };
        SharedState {
            view: ArcSwap::from_pointee(view),
            changed: watch::Sender::new(0),
            running: AtomicU64::new(0),
        }
    }

    pub(crate) fn publish(&self, view: ControlView) {
        self.view.store(Arc::new(view));
        self.changed.send_modify(|generation| *generation += 1);
    }
}
