//! The desired state of a fleet, as declared by operators.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{EndpointId, FailureDomainId, ProcessId, RegionId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as};

/// SHA-256 of a team's bearer token.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct TokenDigest(#[serde_as(as = "Hex")] pub [u8; 32]);

/// A whole fleet, as declared by one file. Its lists are sorted by id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fleet {
    /// Scope of the file; one log holds changes of many scopes.
    pub scope: String,
    /// Regions with their failure domains.
    pub regions: Vec<Arc<Region>>,
    /// Entry processes.
    pub entries: Vec<Arc<EntryProcess>>,
    /// Model services and plain services.
    pub services: Vec<Arc<Service>>,
    /// Endpoints of the services.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// Teams that may send requests.
    pub teams: Vec<Arc<Team>>,
}

impl Fleet {
    /// Creates a fleet without any members.
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
    /// Name of the region.
    pub id: RegionId,
    /// Failure domains of the region.
    pub failure_domains: Vec<FailureDomainId>,
}

/// An entry process, listed so that operators' commands can reach it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryProcess {
    /// Id of the process, as in its settings.
    pub id: ProcessId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Address of its control port.
    pub control_address: SocketAddr,
}

/// Kind of a service's back ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with the chat completions API.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A service with the limits and timeouts of its requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service in callers' requests.
    pub id: ServiceId,
    /// Kind of its back ends.
    pub kind: ServiceKind,
    /// Time limit of a request, including queueing and retries.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub request_timeout_ms: Duration,
    /// Maximum size of a request's body.
    pub max_body_bytes: u64,
    /// Maximum number of concurrent requests per endpoint.
    pub max_running_per_endpoint: u32,
    /// Maximum expected queueing time at which a request is still admitted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_queue_ms: Duration,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Retry budget: retries per hundred first attempts, over all requests.
    pub retry_budget_percent: u32,
    /// Routes whose requests run at most once per idempotency key.
    pub non_idempotent_routes: Vec<Route>,
    /// Weights of skew and cost when experts are rebalanced.
    pub balance: BalanceWeights,
}

impl Service {
    /// Whether a request with this method and path must not run more than once.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent_routes.iter().any(|route| route.matches(method, path))
    }
}

/// An HTTP method and a path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// HTTP method in capitals.
    pub method: String,
    /// Path prefix, matched by whole segments.
    pub path_prefix: String,
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let prefix = self.path_prefix.trim_end_matches('/');
        let suffix = path.strip_prefix(prefix);
        method == self.method
            && suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('/'))
    }
}

/// Weights of the two objectives of expert balancing.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BalanceWeights {
    /// Weight of step-time skew.
    pub skew: f64,
    /// Weight of rebalancing cost.
    pub cost: f64,
}

/// Whether a back end's engine refuses requests with an outdated fencing token.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses outdated tokens.
    Checked,
    /// The engine ignores the token.
    Ignored,
}

/// One endpoint of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name of the endpoint and of the process beside it.
    pub id: EndpointId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Address to which entries send requests.
    pub data_address: SocketAddr,
    /// Address of its control port.
    pub control_address: SocketAddr,
    /// Whether its engine checks fencing tokens.
    pub fencing: Fencing,
}

/// A team of callers with its access rights and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Name of the team.
    pub id: TeamId,
    /// SHA-256 of its bearer token; the token itself is never stored.
    pub token_sha256: TokenDigest,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Services that it may call.
    pub services: Vec<ServiceId>,
    /// Sustained request rate, in requests per second.
    pub rate_per_s: u32,
    /// Maximum burst after an idle period.
    pub burst_requests: u32,
    /// Maximum number of requests in progress.
    pub max_concurrent: u32,
}
