//! What traffic threads see of the control state.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::AtomicU64},
};

use arc_swap::ArcSwap;
use lynxmount_config::{Fleet, Head, Service, Team, TokenDigest};
use lynxmount_core::{Offset, ServiceId};
use tokio::sync::watch;

/// Whether the process is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainState {
    /// It takes no new work and finishes what it has.
    Draining,
    /// It has finished, or its time for it is over.
    Finished,
    /// It takes work.
    Serving,
}

/// A configuration with the indexes that requests need.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The offset of the change in the log.
    pub version: Offset,
    /// The whole fleet.
    pub fleet: Arc<Fleet>,
    teams: HashMap<TokenDigest, Arc<Team>>,
    services: HashMap<ServiceId, Arc<Service>>,
}

impl ActiveConfig {
    /// Indexes the fleet of an accepted change.
    pub fn new(head: &Head) -> ActiveConfig {
        let fleet = Arc::clone(&head.fleet);
        let teams = fleet.teams.iter().map(|t| (t.token_sha256, Arc::clone(t))).collect();
        let services = fleet.services.iter().map(|s| (s.id.clone(), Arc::clone(s))).collect();
        ActiveConfig { version: head.offset, fleet, teams, services }
    }

    /// The team whose token has the digest.
    pub fn team(&self, digest: &TokenDigest) -> Option<&Arc<Team>> {
        self.teams.get(digest)
    }

    /// The service of that name.
    pub fn service(&self, id: &str) -> Option<&Arc<Service>> {
        self.services.get(id)
    }
}

/// One consistent picture of the control state.
#[derive(Clone, Debug)]
pub struct ControlView {
    /// The configuration in force, once one was learnt.
    pub config: Option<Arc<ActiveConfig>>,
    /// Whether the process is leaving.
    pub drain: DrainState,
    /// Whether the platform's log answered at the last try.
    pub platform_up: bool,
}

impl ControlView {
    /// Says whether the process takes new work.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.drain == DrainState::Serving
    }

    /// The version in force; 0 before there is one.
    pub fn version(&self) -> Offset {
        self.config.as_ref().map_or(0, |config| config.version)
    }
}

/// The newest view, and the requests in progress that drain waits for.
#[derive(Debug)]
pub(crate) struct Published {
    pub(crate) view: ArcSwap<ControlView>,
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) running: AtomicU64,
}

impl Published {
    pub(crate) fn new() -> Published {
        let view = ControlView { config: None, drain: DrainState::Serving, platform_up: false };
        Published {
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
