//! The set of connections that the configuration asks for.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use lynxmount_config::{Endpoint, Fleet};
use lynxmount_core::{EndpointId, ServiceId};
use lynxmount_node::{ControlView, NodeHandle};
use lynxmount_policy::rendezvous;
use lynxmount_suspects::SharedQuarantine;
use tokio::task::JoinHandle;

use crate::{gate::Gates, link::Link};

/// How many endpoints of a service one entry is connected to at most.
/// All of a small service are seen by all entries; of a large one each endpoint
/// is seen by many entries, and each entry by few endpoints.
pub(crate) const MAX_LINKS_PER_SERVICE: usize = 16;

/// Opens and closes connections as the configuration changes.
pub(crate) struct Links {
    node: NodeHandle,
    gates: Arc<Gates>,
    suspects: Arc<SharedQuarantine>,
    open: BTreeMap<EndpointId, OpenLink>,
}

struct OpenLink {
    link: Arc<Link>,
    task: JoinHandle<()>,
}

impl Links {
    pub(crate) fn new(
        node: NodeHandle,
        gates: Arc<Gates>,
        suspects: Arc<SharedQuarantine>,
    ) -> Links {
        Links { node, gates, suspects, open: BTreeMap::new() }
    }

    /// Follows the configuration for as long as the process runs.
    pub(crate) async fn run(mut self) {
        let mut changes = self.node.changes();
        loop {
            changes.mark_unchanged();
            let view = self.node.view();
            self.reconcile(&view);
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn reconcile(&mut self, view: &ControlView) {
        let Some(config) = &view.config else { return };
        let wanted = wanted_endpoints(&config.fleet, &self.node.settings().process_id);
        self.close_unwanted(&wanted);
        for endpoint in wanted.into_values() {
            if !self.open.contains_key(&endpoint.id) {
                self.open(endpoint);
            }
        }
        self.gates.set_config(config, self.by_service());
    }

    fn close_unwanted(&mut self, wanted: &BTreeMap<EndpointId, Endpoint>) {
        self.open.retain(|id, open| {
            let is_wanted = wanted.get(id).is_some_and(|endpoint| *endpoint == open.link.endpoint);
            if !is_wanted {
                // Attempts in progress hold the link and end as lost only if
                // the endpoint is gone; the task ends when they have ended.
                close_when_idle(open);
            }
            is_wanted
        });
    }

    fn open(&mut self, endpoint: Endpoint) {
        let is_local = endpoint.failure_domain == self.node.settings().failure_domain;
        let id = endpoint.id.clone();
        let link = Arc::new(Link::new(endpoint, is_local, Arc::clone(&self.suspects)));
        let run = Arc::clone(&link).run(self.node.clone(), Arc::clone(&self.gates));
        self.open.insert(id, OpenLink { link, task: tokio::spawn(run) });
    }

    fn by_service(&self) -> HashMap<ServiceId, Vec<Arc<Link>>> {
        let mut by_service: HashMap<ServiceId, Vec<Arc<Link>>> = HashMap::new();
        for open in self.open.values() {
            let service = open.link.endpoint.service.clone();
            by_service.entry(service).or_default().push(Arc::clone(&open.link));
        }
        by_service
    }
}

/// How often a link that is not wanted any more is looked at.
const IDLE_CHECK: std::time::Duration = std::time::Duration::from_millis(100);

/// Ends a link's task once nobody but the task and this check holds the link.
fn close_when_idle(open: &OpenLink) {
    let link = Arc::clone(&open.link);
    let abort = open.task.abort_handle();
    tokio::spawn(async move {
        // The gates drop their reference when the new set is handed to them.
        while Arc::strong_count(&link) > 2 {
            tokio::time::sleep(IDLE_CHECK).await;
        }
        abort.abort();
    });
}

/// The endpoints that an entry is connected to: all of a small service, and
/// the first by rendezvous hashing of a large one.
fn wanted_endpoints(fleet: &Fleet, own: &str) -> BTreeMap<EndpointId, Endpoint> {
    let mut by_service: BTreeMap<&str, Vec<&Arc<Endpoint>>> = BTreeMap::new();
    for endpoint in &fleet.endpoints {
        by_service.entry(&endpoint.service).or_default().push(endpoint);
    }
    by_service
        .values()
        .flat_map(|endpoints| rendezvous(own, endpoints, |e| &e.id, MAX_LINKS_PER_SERVICE))
        .map(|endpoint| (endpoint.id.clone(), Endpoint::clone(endpoint)))
        .collect()
}
