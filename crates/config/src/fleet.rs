//! The fleet that operators want, as plain data.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{EndpointId, FailureDomainId, ProcessId, RegionId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as};

/// SHA-256 over a team's bearer token.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct TokenDigest(#[serde_as(as = "Hex")] pub [u8; 32]);

/// A whole fleet: what one file declares. Its lists are ordered by id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fleet {
    /// The scope that the file governs; one log holds changes of many scopes.
    pub scope: String,
    /// Regions with their failure domains.
    pub regions: Vec<Arc<Region>>,
    /// Entry processes.
    pub entries: Vec<Arc<EntryProcess>>,
    /// Model services and plain services.
    pub services: Vec<Arc<Service>>,
    /// Endpoints of the services.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// Teams that may call.
    pub teams: Vec<Arc<Team>>,
}

impl Fleet {
    /// A fleet of a scope that declares nothing.
    pub fn empty(scope: &str) -> Fleet {
        Fleet {
            scope: scope.to_owned(),
            regions: Vec::new(),
            entries: Vec::new(),
            services: Vec::new(),
            endpoints: Vec::new(),
            teams: Vec::new(),
        }
    }
}

/// A region and the failure domains in it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Region {
    /// The region's name.
    pub id: RegionId,
    /// Its failure domains.
    pub failure_domains: Vec<FailureDomainId>,
}

/// An entry process, so that operators' commands find it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryProcess {
    /// The process, as its settings name it.
    pub id: ProcessId,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Where it takes orders and questions.
    pub control_address: SocketAddr,
}

/// What kind of back ends a service has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines behind the chat completions interface.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A service and how its calls are treated.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The name by which callers ask for it.
    pub id: ServiceId,
    /// What kind of back ends it has.
    pub kind: ServiceKind,
    /// How long a request may take, queueing and retries included.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub request_timeout_ms: Duration,
    /// The largest body.
    pub max_body_bytes: u64,
    /// How many requests one endpoint runs at a time.
    pub max_running_per_endpoint: u32,
    /// The longest time that a request may be expected to wait in a queue.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_queue_ms: Duration,
    /// How many attempts a request may have, the first included.
    pub max_attempts: u32,
    /// Retries for each hundred first attempts, over all requests.
    pub retry_budget_percent: u32,
    /// Routes that may run at most once for a key.
    pub non_idempotent_routes: Vec<Route>,
    /// How skew and cost are weighed when experts are rebalanced.
    pub balance: BalanceWeights,
}

impl Service {
    /// Says whether a call of this method and path may run only once.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent_routes.iter().any(|route| route.matches(method, path))
    }
}

/// A method and the beginning of a path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The HTTP method in capitals.
    pub method: String,
    /// The path's beginning, matched by whole segments.
    pub path_prefix: String,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let prefix = self.path_prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        method == self.method && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Weights of the two measures of expert balance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BalanceWeights {
    /// Weight of step-time skew.
    pub skew: f64,
    /// Weight of the cost of rebalancing.
    pub cost: f64,
}

/// Whether a back end's engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses old numbers.
    Checked,
    /// The engine ignores the number.
    Ignored,
}

/// One endpoint of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// The endpoint's name, also that of the process beside it.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Where entries send requests.
    pub data_address: SocketAddr,
    /// Where it takes orders and questions.
    pub control_address: SocketAddr,
    /// Whether its engine checks fencing numbers.
    pub fencing: Fencing,
}

/// A caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// The team's name.
    pub id: TeamId,
    /// SHA-256 of its bearer token; the token itself is nowhere kept.
    pub token_sha256: TokenDigest,
    /// Its priority; 0 goes first.
    pub priority: u8,
    /// The services that it may call.
    pub services: Vec<ServiceId>,
    /// Requests a second that it may send for long.
    pub rate_per_s: u32,
    /// Requests that it may send at once after a pause.
    pub burst_requests: u32,
    /// Requests that it may have in progress.
    pub max_concurrent: u32,
}
