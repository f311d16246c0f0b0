//! Deterministic subsetting: keeps this entry connected to a subset of each service's endpoints,
//! as the configuration requires.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use lynxmount_config::{Endpoint, Fleet};
use lynxmount_core::{EndpointId, ServiceId};
use lynxmount_node::{ControlView, NodeHandle};
use lynxmount_policy::rendezvous;
use lynxmount_quarantine::SharedQuarantine;
use tokio::task::JoinHandle;

use crate::{endpoint_client::EndpointClient, service_pool::ServicePools};

/// The largest number of endpoints of a service that one entry connects to. All entries connect
/// to all endpoints of a small service; of a large service, each endpoint has connections from
/// many entries while each entry connects to few endpoints.
pub(crate) const MAX_SUBSET_SIZE: usize = 16;

/// Starts and stops endpoint clients as the configuration changes.
pub(crate) struct EndpointClients {
    node: NodeHandle,
    pools: Arc<ServicePools>,
    quarantine: Arc<SharedQuarantine>,
    running: BTreeMap<EndpointId, RunningClient>,
}

struct RunningClient {
    client: Arc<EndpointClient>,
    task: JoinHandle<()>,
}

impl EndpointClients {
    pub(crate) fn new(
        node: NodeHandle,
        pools: Arc<ServicePools>,
        quarantine: Arc<SharedQuarantine>,
    ) -> EndpointClients {
        EndpointClients { node, pools, quarantine, running: BTreeMap::new() }
    }

    /// Follows the configuration until the process exits.
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
        let desired = desired_endpoints(&config.fleet, &self.node.settings().process_id);
        self.stop_undesired(&desired);
        for endpoint in desired.into_values() {
            let is_local = endpoint.failure_domain == self.node.settings().failure_domain;
            match self.running.get(&endpoint.id) {
                Some(running) => running.client.set_local(is_local),
                None => self.start(endpoint, is_local),
            }
        }
        self.pools.set_config(config, self.by_service());
    }

    fn stop_undesired(&mut self, desired: &BTreeMap<EndpointId, Endpoint>) {
        self.running.retain(|id, running| {
            let is_desired =
                desired.get(id).is_some_and(|endpoint| running.client.serves(endpoint));
            if !is_desired {
                // Attempts in progress hold a reference to the client, which stays connected until
                // they have ended: they are lost only if the endpoint fails.
                stop_when_idle(running);
            }
            is_desired
        });
    }

    fn start(&mut self, endpoint: Endpoint, is_local: bool) {
        let id = endpoint.id.clone();
        let client =
            Arc::new(EndpointClient::new(endpoint, is_local, Arc::clone(&self.quarantine)));
        let run = Arc::clone(&client).run(self.node.clone(), Arc::clone(&self.pools));
        self.running.insert(id, RunningClient { client, task: tokio::spawn(run) });
    }

    fn by_service(&self) -> HashMap<ServiceId, Vec<Arc<EndpointClient>>> {
        let mut by_service: HashMap<ServiceId, Vec<Arc<EndpointClient>>> = HashMap::new();
        for running in self.running.values() {
            let service = running.client.endpoint.service.clone();
            by_service.entry(service).or_default().push(Arc::clone(&running.client));
        }
        by_service
    }
}

/// How often a client that is no longer desired is checked for attempts in progress.
const IDLE_CHECK_PERIOD: std::time::Duration = std::time::Duration::from_millis(100);

/// Stops a client once only its own task and this check hold a reference to it.
fn stop_when_idle(running: &RunningClient) {
    let client = Arc::clone(&running.client);
    let abort = running.task.abort_handle();
    tokio::spawn(async move {
        // The pools drop their reference when they are updated with the new set of clients.
        while Arc::strong_count(&client) > 2 {
            tokio::time::sleep(IDLE_CHECK_PERIOD).await;
        }
        abort.abort();
    });
}

/// The endpoints that an entry connects to: all endpoints of a small service, and a subset of a
/// large one, chosen by rendezvous hashing.
fn desired_endpoints(fleet: &Fleet, own: &str) -> BTreeMap<EndpointId, Endpoint> {
    let mut by_service: BTreeMap<&str, Vec<&Arc<Endpoint>>> = BTreeMap::new();
    for endpoint in &fleet.endpoints {
        by_service.entry(&endpoint.service).or_default().push(endpoint);
    }
    by_service
        .values()
        .flat_map(|endpoints| rendezvous(own, endpoints, |e| &e.id, MAX_SUBSET_SIZE))
        .map(|endpoint| (endpoint.id.clone(), Endpoint::clone(endpoint)))
        .collect()
}
