//! Registry of services and their endpoints.

use std::{collections::HashMap, sync::Arc};

use lynxmount_core::{EndpointList, EndpointState, ServiceId};
use lynxmount_link::{GroupMembersNotice, GroupNotice, MembersFingerprint, SlowRanksNotice};
use lynxmount_policy::WindowBudgetOptions;
use parking_lot::Mutex;

use crate::{
    endpoint::Endpoint,
    fleet::ConfigView,
    limit_gossip::LimitReport,
    peers::EntryShares,
    service::{Service, ServiceContext, ServiceHistory},
};

/// All services with their endpoints, according to the current configuration.
pub(crate) struct EndpointSet {
    context: ServiceContext,
    retry_budget: WindowBudgetOptions,
    services: Mutex<HashMap<ServiceId, Arc<Service>>>,
    /// Also of services that were configured recently.
    histories: Mutex<HashMap<ServiceId, Arc<ServiceHistory>>>,
}

impl EndpointSet {
    pub(crate) fn new(context: ServiceContext, retry_budget: WindowBudgetOptions) -> EndpointSet {
        let (services, histories) = (Mutex::default(), Mutex::default());
        EndpointSet { context, retry_budget, services, histories }
    }

    pub(crate) fn service(&self, id: &str) -> Option<Arc<Service>> {
        self.services.lock().get(id).cloned()
    }

    fn new_service(&self, id: &ServiceId) -> Arc<Service> {
        Arc::new(Service::new(self.context.clone(), self.history(id)))
    }

    fn history(&self, id: &ServiceId) -> Arc<ServiceHistory> {
        let mut histories = self.histories.lock();
        let new = || Arc::new(ServiceHistory::new(self.retry_budget));
        Arc::clone(histories.entry(ServiceId::clone(id)).or_insert_with(new))
    }

    /// The endpoints whose engines may be ranks of groups.
    pub(crate) fn ranks(&self) -> Vec<Arc<Endpoint>> {
        self.services.lock().values().flat_map(|service| service.ranks()).collect()
    }

    /// Fingerprint of the known members of a group; 0 for none.
    pub(crate) fn members_fingerprint(&self, group: &str) -> MembersFingerprint {
        let services = self.services.lock();
        services.values().find_map(|service| service.members_fingerprint(group)).unwrap_or_default()
    }

    /// Records the members of a group.
    pub(crate) fn on_group_members(&self, members: &GroupMembersNotice) {
        let services: Vec<Arc<Service>> = self.services.lock().values().cloned().collect();
        services.iter().for_each(|service| service.on_group_members(members));
    }

    /// Applies peers' reports of endpoints' rate limits.
    pub(crate) fn on_limit_reports(&self, reports: &[LimitReport]) {
        let services: Vec<Arc<Service>> = self.services.lock().values().cloned().collect();
        for report in reports {
            services.iter().for_each(|service| service.on_limit_report(report));
        }
    }

    /// Applies a notice of a group's state.
    pub(crate) fn on_group_notice(&self, notice: &GroupNotice) {
        let services: Vec<Arc<Service>> = self.services.lock().values().cloned().collect();
        services.iter().for_each(|service| service.on_group_notice(notice));
    }

    /// Applies a notice of a group's slow ranks.
    pub(crate) fn on_slow_ranks(&self, notice: &SlowRanksNotice) {
        let services: Vec<Arc<Service>> = self.services.lock().values().cloned().collect();
        services.iter().for_each(|service| service.on_slow_ranks(notice));
    }

    /// Replaces services and endpoints by those of a configuration and an endpoint list.
    pub(crate) fn update(&self, config: &ConfigView, list: &EndpointList, shares: &EntryShares) {
        let mut services = self.services.lock();
        services.retain(|id, _| config.service(id).is_some());
        let now = self.context.clock.now();
        let is_needed = |id: &str, history: &ServiceHistory| {
            config.service(id).is_some() || !history.is_empty(now)
        };
        self.histories.lock().retain(|id, history| is_needed(id, history));
        for spec in &config.config.services {
            let service = services
                .entry(ServiceId::clone(&spec.id))
                .or_insert_with(|| self.new_service(&spec.id));
            let ready = list.endpoints.iter().filter(|endpoint| {
                endpoint.service == spec.id && endpoint.state == EndpointState::Ready
            });
            service.update(ready, spec, shares);
        }
    }
}
