//! What balancing needs to know of its service.

use std::time::Duration;

use lynxmount_core::{ExpertSpec, FleetConfig, Route, ServiceId};

/// What the configuration says of the own service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spec {
    pub(crate) experts: ExpertSpec,
    /// The longest pause between events that is on time on all routes.
    pub(crate) pause_goal: Option<Duration>,
}

impl Spec {
    /// What a configuration says of a service; `None` if its engines share no experts.
    pub(crate) fn of(config: &FleetConfig, service: &ServiceId) -> Option<Spec> {
        let own = config.services.iter().find(|spec| spec.id == *service)?;
        let leads_here = |route: &&Route| route.targets.iter().any(|t| t.service == *service);
        let routes = config.routes.iter().filter(leads_here);
        let pause_goal = routes.filter_map(|route| route.gap_goal).min();
        Some(Spec { experts: own.engine.as_ref()?.experts?, pause_goal })
    }
}
