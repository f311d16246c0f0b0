//! What operators declare and what endpoints register, as processes that call
//! back ends directly see it.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use crate::{EndpointId, FailureDomainId, Offset, ServiceId, TeamId};

/// Name of a route.
pub type RouteId = std::sync::Arc<str>;
/// The operator's number of a configuration; it only grows.
pub type ConfigVersion = u64;
/// A secret that names a team.
pub type ApiKey = String;

/// What may be repeated, and what the answer is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Streams events, and may be resumed after the last event if so declared.
    Stream {
        /// Whether a broken stream may go on at another endpoint.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Says whether a call that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// Says whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// One service that a route leads to, with its part of the calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other targets' weights.
    pub weight: u32,
}

/// A rule that leads calls to services.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The route's name.
    pub id: RouteId,
    /// The host that it holds for.
    pub host: String,
    /// The beginning of the paths that it holds for, with slashes at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a call may be kept without its final answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// The latency objective: the whole answer, or a stream's first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub goal: Duration,
    /// The longest pause between two events that still meets the objective.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub gap_goal: Option<Duration>,
    /// The longest pause between events, and before the first one, that callers wait for; `None`
    /// if they wait until their deadline.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "patience")]
    pub caller_idle_timeout: Option<Duration>,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// Where calls go.
    pub targets: Vec<RouteTarget>,
    /// The most endpoints that may run one call.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub is_public: bool,
}

/// The pace of a model engine, as its operator publishes it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that run at once on one endpoint.
    pub slots: u32,
    /// Tokens that fit into one endpoint's memory.
    pub memory_tokens: u64,
    /// What each token step takes at least.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub step: Duration,
    /// What each running request adds to a step.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub step_per_request: Duration,
    /// Prompt tokens that are read in a second.
    pub read_tokens_per_s: f64,
    /// Token steps that one pass makes.
    pub steps_per_pass: u32,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: u32,
    /// The experts, where ranks of a group share them.
    pub experts: Option<ExpertSpec>,
}

/// How the ranks of a group share experts.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExpertSpec {
    /// Sets of layers, each with a map of its own.
    pub sets: usize,
    /// Experts of each set.
    pub experts: usize,
    /// Experts that a rank has room for in each set.
    #[serde(rename = "places_per_rank")]
    pub slots_per_rank: usize,
    /// Experts of each set that a rank can fetch beside those in use.
    pub spare_per_set: usize,
    /// How long a rank takes to copy one expert.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub copy_time: Duration,
    /// How long a group takes to form again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub form_time: Duration,
}

/// A service as operators declare it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub id: ServiceId,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Where its endpoints tell their health, if they do.
    #[serde(default)]
    pub health_path: Option<String>,
    /// The pace of its engines, if it is a model service.
    pub engine: Option<EngineSpec>,
}

/// A team and its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamSpec {
    /// The team's name.
    pub id: TeamId,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Its priority, which goes before the route's.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
}

/// One whole configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// The operator's number.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// All teams.
    pub teams: Vec<TeamSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// It leaves and takes no new work.
    Draining,
    /// It takes work.
    Ready,
}

/// An endpoint's registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// The endpoint's id. One that restarts has another, or keeps it and tells a
    /// later start.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: EndpointState,
    /// When this life of it began, in milliseconds since the Unix epoch, if it
    /// tells that.
    pub started_ms: Option<u64>,
    /// Where in the platform's log its registration was first seen.
    pub listed_at: Offset,
}

/// All registrations up to a position of the platform's log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// The position up to which the log was read; it only grows.
    #[serde(rename = "read_to")]
    pub as_of_offset: Offset,
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
}
