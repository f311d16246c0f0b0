//! The configuration that expert balancing uses.

use std::time::Duration;

use lynxmount_core::{ExpertSpec, FleetConfig, Route, ServiceId};

/// The balancing parameters of the engine's service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BalanceSpec {
    pub(crate) experts: ExpertSpec,
    /// The strictest goal for the gap between two events among the service's routes.
    pub(crate) gap_goal: Option<Duration>,
}

impl BalanceSpec {
    /// Extracts a service's parameters; `None` if its engines have no shared experts.
    pub(crate) fn from_config(config: &FleetConfig, service: &ServiceId) -> Option<BalanceSpec> {
        let own = config.services.iter().find(|spec| spec.id == *service)?;
        let is_target = |route: &&Route| route.targets.iter().any(|t| t.service == *service);
        let routes = config.routes.iter().filter(is_target);
        let gap_goal = routes.filter_map(|route| route.gap_goal).min();
        Some(BalanceSpec { experts: own.engine.as_ref()?.experts?, gap_goal })
    }
}
