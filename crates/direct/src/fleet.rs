//! The entry's view of the fleet: the newest configuration and endpoint list, each an immutable
//! snapshot that is replaced atomically.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwapOption;
use lynxmount_core::{ApiKey, EndpointList, FleetConfig, Route, ServiceSpec, TeamId};
use parking_lot::Mutex;

use crate::admission::host_name;

/// A configuration with indexes of its routes and API keys.
pub(crate) struct ConfigView {
    pub(crate) config: FleetConfig,
    /// Indices of routes by host, longest path prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    /// Indices of teams by API key.
    teams_by_key: HashMap<ApiKey, usize>,
}

/// The team and the call priority that belong to an API key.
pub(crate) struct CallerIdentity<'a> {
    pub(crate) team: &'a TeamId,
    pub(crate) priority: Option<u8>,
}

impl ConfigView {
    pub(crate) fn new(config: FleetConfig) -> ConfigView {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].path_prefix.len()));
        }
        let teams = config.teams.iter().enumerate();
        let teams_by_key = teams
            .flat_map(|(index, team)| team.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        ConfigView { config, routes_by_host, teams_by_key }
    }

    /// The host's route with the longest prefix of a path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self
            .routes_by_host
            .get(&host_name(host))?
            .iter()
            .map(|&index| &self.config.routes[index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The identity of callers that use an API key.
    pub(crate) fn caller(&self, key: &str) -> Option<CallerIdentity<'_>> {
        let team = &self.config.teams[*self.teams_by_key.get(key)?];
        Some(CallerIdentity { team: &team.id, priority: team.priority })
    }

    pub(crate) fn service(&self, id: &str) -> Option<&ServiceSpec> {
        self.config.services.iter().find(|service| &*service.id == id)
    }
}

/// The newest configuration and endpoint list; neither is ever replaced by an older one.
#[derive(Default)]
pub(crate) struct Fleet {
    config: ArcSwapOption<ConfigView>,
    endpoints: ArcSwapOption<EndpointList>,
    /// Serializes writers, so that none overwrites a newer value.
    write_lock: Mutex<()>,
}

impl Fleet {
    pub(crate) fn config(&self) -> Option<Arc<ConfigView>> {
        self.config.load_full()
    }

    pub(crate) fn endpoints(&self) -> Option<Arc<EndpointList>> {
        self.endpoints.load_full()
    }

    /// Applies a configuration if its version is newer than the current one. Returns whether it was.
    pub(crate) fn update_config(&self, config: FleetConfig) -> bool {
        let _guard = self.write_lock.lock();
        let current = self.config.load();
        let is_newer = current.as_ref().is_none_or(|view| config.version > view.config.version);
        if is_newer {
            self.config.store(Some(Arc::new(ConfigView::new(config))));
        }
        is_newer
    }

    /// Applies an endpoint list if it is newer than the current one. Returns whether it was.
    pub(crate) fn update_endpoints(&self, list: EndpointList) -> bool {
        let _guard = self.write_lock.lock();
        let current = self.endpoints.load();
        let is_newer = current.as_ref().is_none_or(|current| list.as_of > current.as_of);
        if is_newer {
            self.endpoints.store(Some(Arc::new(list)));
        }
        is_newer
    }
}
