//! The operators' configuration and the endpoints' registrations, for entries that call
//! back ends directly.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use crate::{EndpointId, FailureDomainId, LogPosition, ServiceId, TeamId};

/// Name of a route.
pub type RouteId = std::sync::Arc<str>;
/// The operator's version number of a configuration; it only increases.
pub type ConfigVersion = u64;
/// A secret that authenticates a team.
pub type ApiKey = String;

/// Whether a call may be retried, and whether its response is a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Streams events; a resumable stream can continue after the last received event.
    Stream {
        /// Whether a broken stream may be resumed at another endpoint.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a call that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service that a route distributes calls to, with its weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share of the calls, relative to the other targets' weights.
    pub weight: u32,
}

/// A routing rule from hosts and paths to services.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The route's name.
    pub id: RouteId,
    /// The host that the route matches.
    pub host: String,
    /// The prefix of the paths that the route matches, with slashes at both ends.
    pub path_prefix: String,
    /// Whether calls may be retried, and whether responses are streams.
    pub kind: CallKind,
    /// The longest time until the final response of a call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// The latency objective: for the whole response, or for a stream's first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub goal: Duration,
    /// The longest gap between two events that still meets the objective.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub gap_goal: Option<Duration>,
    /// The longest gap between events, and before the first one, that callers wait for; `None`
    /// if they wait until their deadline.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "patience")]
    pub caller_idle_timeout: Option<Duration>,
    /// The scheduling priority; 0 is the highest.
    pub priority: u8,
    /// The services that calls are distributed to.
    pub targets: Vec<RouteTarget>,
    /// Upper limit of the endpoints that may run one call.
    pub max_attempts: u32,
    /// Whether calls need no API key.
    pub is_public: bool,
}

/// The capacity and speed of a model engine, as its operator publishes them.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that one endpoint runs concurrently.
    pub slots: u32,
    /// Capacity of one endpoint's KV cache in tokens.
    pub memory_tokens: u64,
    /// Minimum time of a token step.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub step: Duration,
    /// Time that each running request adds to a step.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub step_per_request: Duration,
    /// Prompt tokens processed per second.
    pub read_tokens_per_s: f64,
    /// Token steps per forward pass.
    pub steps_per_pass: u32,
    /// Mean length of a prompt in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean length of a response in tokens.
    pub mean_answer_tokens: u32,
    /// How the experts are distributed, if the engines form expert-parallel groups.
    pub experts: Option<ExpertSpec>,
}

/// How experts are distributed over the ranks of a group.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExpertSpec {
    /// Number of layer sets; each has its own expert placement.
    pub sets: usize,
    /// Number of experts in each set.
    pub experts: usize,
    /// Number of experts of each set that fit on a rank.
    #[serde(rename = "places_per_rank")]
    pub slots_per_rank: usize,
    /// Number of experts of each set that a rank can load in addition to those in use.
    pub spare_per_set: usize,
    /// Time that a rank takes to copy one expert.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub copy_time: Duration,
    /// Time that a group takes to re-form.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub form_time: Duration,
}

/// A service as operators configure it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub id: ServiceId,
    /// Connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
    /// The path of its endpoints' health check, if they have one.
    #[serde(default)]
    pub health_path: Option<String>,
    /// The capacity and speed of its engines, if it is a model service.
    pub engine: Option<EngineSpec>,
}

/// A team and its API keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamSpec {
    /// The team's name.
    pub id: TeamId,
    /// Its API keys.
    pub keys: Vec<ApiKey>,
    /// Its priority, which overrides the route's.
    pub priority: Option<u8>,
}

/// Limits of callers' requests and connections.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub head_timeout: Duration,
    /// Timeout of idle connections.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// The operator's version number.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// All teams.
    pub teams: Vec<TeamSpec>,
    /// Limits of callers' requests.
    pub limits: CallerLimits,
}

/// The state that an endpoint registers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// The endpoint is shutting down and accepts no new work.
    Draining,
    /// The endpoint accepts work.
    Ready,
}

/// An endpoint's registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// The endpoint's id. After a restart it differs, or `started_ms` is later.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: EndpointState,
    /// Start time of this incarnation, in milliseconds since the Unix epoch, if registered.
    pub started_ms: Option<u64>,
    /// Position in the platform's log at which its registration was first seen.
    pub listed_at: LogPosition,
    /// Position of its latest registration.
    pub written_at: LogPosition,
}

impl EndpointRecord {
    /// Whether a registration equals this one, wherever in the log the two were written.
    pub fn is_renewal_of(&self, previous: &EndpointRecord) -> bool {
        let EndpointRecord { listed_at, written_at, .. } = *previous;
        EndpointRecord { listed_at, written_at, ..self.clone() } == *previous
    }
}

/// The registration of a process for its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerRegistration {
    /// Address that peers connect to.
    pub address: SocketAddr,
    /// Position in the platform's log; it differs after each renewal.
    pub written_at: LogPosition,
}

/// All registrations up to a position in the platform's log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// The position up to which the log was read; it only increases.
    pub as_of: LogPosition,
    /// The registered endpoints.
    pub endpoints: Vec<EndpointRecord>,
}
