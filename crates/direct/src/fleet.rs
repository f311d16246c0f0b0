//! What the entry believes of the fleet: one immutable view, swapped as a whole.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwapOption;
use lynxmount_core::{ApiKey, EndpointList, FleetConfig, Offset, Route, ServiceSpec, TeamId};
use parking_lot::Mutex;

use crate::admission::host_name;

/// A configuration with what is needed to look things up in it.
pub(crate) struct ConfigView {
    pub(crate) offset: Offset,
    pub(crate) config: FleetConfig,
    /// Indices of routes, by host; longest prefixes first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indices of teams, by key.
    by_key: HashMap<ApiKey, usize>,
}

/// A team as a call needs it.
pub(crate) struct Caller<'a> {
    pub(crate) team: &'a TeamId,
    pub(crate) priority: Option<u8>,
}

impl ConfigView {
    pub(crate) fn new(offset: Offset, config: FleetConfig) -> ConfigView {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].path_prefix.len()));
        }
        let teams = config.teams.iter().enumerate();
        let by_key = teams
            .flat_map(|(index, team)| team.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        ConfigView { offset, config, by_host, by_key }
    }

    /// The route with the longest prefix that begins a path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes =
            self.by_host.get(&host_name(host))?.iter().map(|&index| &self.config.routes[index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The team that holds a key.
    pub(crate) fn caller(&self, key: &str) -> Option<Caller<'_>> {
        let team = &self.config.teams[*self.by_key.get(key)?];
        Some(Caller { team: &team.id, priority: team.priority })
    }

    pub(crate) fn service(&self, id: &str) -> Option<&ServiceSpec> {
        self.config.services.iter().find(|service| &*service.id == id)
    }
}

/// The newest of both, each of which only moves forward.
#[derive(Default)]
pub(crate) struct Fleet {
    config: ArcSwapOption<ConfigView>,
    endpoints: ArcSwapOption<EndpointList>,
    /// Keeps two writers from undoing each other.
    writing: Mutex<()>,
}

impl Fleet {
    pub(crate) fn config(&self) -> Option<Arc<ConfigView>> {
        self.config.load_full()
    }

    pub(crate) fn endpoints(&self) -> Option<Arc<EndpointList>> {
        self.endpoints.load_full()
    }

    /// Puts a configuration in force unless a newer one is. Returns whether it did.
    pub(crate) fn offer_config(&self, offset: Offset, config: FleetConfig) -> bool {
        let _writing = self.writing.lock();
        let is_newer = self.config.load().as_ref().is_none_or(|view| {
            (offset, config.version) > (view.offset, view.config.version)
                && config.version >= view.config.version
        });
        if is_newer {
            self.config.store(Some(Arc::new(ConfigView::new(offset, config))));
        }
        is_newer
    }

    /// Takes over a list of endpoints unless there is a newer one.
    pub(crate) fn offer_endpoints(&self, list: EndpointList) -> bool {
        let _writing = self.writing.lock();
        let known = self.endpoints.load();
        let is_newer = known.as_ref().is_none_or(|known| list.as_of_offset > known.as_of_offset);
        if is_newer {
            self.endpoints.store(Some(Arc::new(list)));
        }
        is_newer
    }
}
