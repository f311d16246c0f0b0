//! Registry of services and their endpoints.

use std::{collections::HashMap, sync::Arc};

use lynxmount_core::{Clock, EndpointList, EndpointState, Mechanisms, ServiceId, SiteBounds};
use lynxmount_link::{GroupMembersNotice, GroupNotice, MembersFingerprint, SlowRanksNotice};
use lynxmount_policy::BufferBudget;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;

use crate::{
    crash_detector::CrashDetector,
    endpoint::Endpoint,
    fleet::ConfigView,
    limit_gossip::{LimitGossip, LimitReport},
    peers::EntryShares,
    service::Service,
};

/// All services with their endpoints, according to the current configuration.
pub(crate) struct EndpointSet {
    clock: Clock,
    bounds: SiteBounds,
    mechanisms: Arc<Mechanisms>,
    crash_detector: Arc<CrashDetector>,
    metrics: Arc<Metrics>,
    limit_gossip: Arc<LimitGossip>,
    response_budget: BufferBudget,
    services: Mutex<HashMap<ServiceId, Arc<Service>>>,
}

impl EndpointSet {
    pub(crate) fn new(
        clock: Clock,
        bounds: SiteBounds,
        mechanisms: Arc<Mechanisms>,
        crash_detector: Arc<CrashDetector>,
        metrics: Arc<Metrics>,
        limit_gossip: Arc<LimitGossip>,
        response_budget: BufferBudget,
    ) -> EndpointSet {
        EndpointSet {
            clock,
            bounds,
            mechanisms,
            crash_detector,
            metrics,
            limit_gossip,
            response_budget,
            services: Mutex::default(),
        }
    }

    pub(crate) fn service(&self, id: &str) -> Option<Arc<Service>> {
        self.services.lock().get(id).cloned()
    }

    fn new_service(&self) -> Arc<Service> {
        let mechanisms = Arc::clone(&self.mechanisms);
        let crash_detector = Arc::clone(&self.crash_detector);
        let metrics = Arc::clone(&self.metrics);
        let limit_gossip = Arc::clone(&self.limit_gossip);
        Arc::new(Service::new(
            self.clock,
            &self.bounds,
            mechanisms,
            crash_detector,
            metrics,
            limit_gossip,
            self.response_budget.clone(),
        ))
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
        for spec in &config.config.services {
            let service =
                services.entry(ServiceId::clone(&spec.id)).or_insert_with(|| self.new_service());
            let ready = list.endpoints.iter().filter(|endpoint| {
                endpoint.service == spec.id && endpoint.state == EndpointState::Ready
            });
            service.update(ready, spec, shares);
        }
    }
}
