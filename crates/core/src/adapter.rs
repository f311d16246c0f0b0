//! What a platform's adapter implements, and the typed messages that cross that
//! edge.

use std::{future::Future, net::SocketAddr, time::Duration};

use http::{HeaderMap, Response, StatusCode, request::Parts};

use crate::{
    CallFingerprint, CrashReport, EndpointId, EndpointList, FleetConfig, Offset, ProcessId,
    ReceivedCrashReport, Result, TeamId,
    experts::{EngineOrder, EngineReport, ExpertCounts, OrderResult, RankMap},
};

/// What a caller's request says beside method, path and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// The key that names the team.
    pub key: Option<String>,
    /// The number of the last event that the caller has of a broken stream.
    pub last_event: Option<u64>,
    /// Tokens of the prompt; 0 for a call without one.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_answer_tokens: u32,
}

/// What the system says to an endpoint beside what the caller said.
#[derive(Clone, Debug)]
pub struct AttemptContext<'a> {
    /// The endpoint that is meant, and no other at its address.
    pub endpoint: &'a EndpointId,
    /// The team; it replaces whatever the caller claimed.
    pub team: Option<&'a TeamId>,
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The engine's priority, 0 to 9; 0 goes first.
    pub priority: Option<u8>,
}

/// The load that an endpoint has told with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What an endpoint's answer says of the attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The endpoint's own answer, of a request that it ran.
    Ran,
    /// The endpoint did not run the request and never will.
    NotRun,
    /// Another endpoint has the address now; nothing was run.
    OtherEndpoint,
    /// No answer to this request: it lacks the signature or belongs to another.
    Foreign,
}

/// A field of an answer's head that an endpoint may set.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HeaderField<T> {
    /// It is not set.
    #[default]
    Absent,
    /// It has a value that can't be read, or several.
    Malformed,
    /// Its value.
    Value(T),
}

/// What is read from the head of an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// What the answer says of the attempt.
    pub kind: ResponseKind,
    /// The endpoint's load, if it tells it.
    pub load: Option<EndpointLoad>,
    /// How long the endpoint keeps the connection idle, if it says so.
    pub keep_alive: Option<Duration>,
    /// Requests a second that the endpoint takes from all entries together.
    pub limit_per_s: HeaderField<f64>,
    /// How long the endpoint wants no request from this entry, if it has turned one away.
    pub retry_after: HeaderField<Duration>,
    /// Whether the endpoint leaves.
    pub is_leaving: HeaderField<bool>,
}

/// Translates callers' requests and endpoints' answers.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's request.
    fn read_call(&self, parts: &Parts) -> CallHead;

    /// Writes the headers of an attempt from those of the caller's request.
    fn attempt_headers(&self, headers: &HeaderMap, forward: &AttemptContext<'_>) -> HeaderMap;

    /// Reads the head of an answer to the request with this id.
    fn read_response(&self, id: Option<&str>, head: &Response<()>) -> ResponseMetadata;

    /// Headers of an answer that are passed on to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The head of an answer of the system's own.
    fn local_reply(&self, status: StatusCode, retry_after: Option<Duration>) -> Response<()>;

    /// Says whether a request asks whether this process is ready.
    fn is_readiness_probe(&self, parts: &Parts) -> bool;
}

/// Where configurations and registrations come from.
pub trait FleetSource: Send + Sync + 'static {
    /// Reads the newest configuration, waiting until there is one after an offset.
    ///
    /// Returns `None` if there was none within the wait. Fails if the platform
    /// can't be reached, or has a configuration that can't be read.
    fn config_after(
        &self,
        after: Option<Offset>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<(Offset, FleetConfig)>>> + Send;

    /// Brings a list of registrations up to date.
    ///
    /// Fails if the platform can't be reached.
    fn refresh_endpoints(
        &self,
        list: &EndpointList,
    ) -> impl Future<Output = Result<EndpointList>> + Send;

    /// Registers this process, so that its peers find it.
    ///
    /// Fails if the platform can't be reached.
    fn register_peer(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads the addresses of all registered processes.
    ///
    /// Fails if the platform can't be reached.
    fn peers(&self) -> impl Future<Output = Result<Vec<SocketAddr>>> + Send;

    /// Tells all processes what this one knows of calls under which endpoints have ended,
    /// in place of what it has told of them before.
    ///
    /// Fails if nothing is known of whether it is told.
    fn publish_crash_reports(
        &self,
        reporter: &ProcessId,
        reports: &[CrashReport],
    ) -> impl Future<Output = Result<()>> + Send;

    /// Takes back what processes have told of calls.
    ///
    /// Fails as [`FleetSource::publish_crash_reports`] does.
    fn retract_crash_reports(
        &self,
        told: &[(ProcessId, CallFingerprint)],
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads what processes have told from an offset on, waiting until there is
    /// something; all that holds if no offset is given. Returns from where to read on.
    ///
    /// Fails if the platform can't be reached.
    fn crash_reports_from(
        &self,
        from: Option<Offset>,
        wait: Duration,
    ) -> impl Future<Output = Result<(Offset, Vec<ReceivedCrashReport>)>> + Send;
}

/// The engine of one rank.
pub trait Engine: Send + Sync + 'static {
    /// Reads the state of the rank.
    ///
    /// Fails if the engine can't be reached, or tells something that can't be read.
    fn report(&self) -> impl Future<Output = Result<EngineReport>> + Send;

    /// Reads how often requests have chosen each expert since the rank's start.
    ///
    /// Fails as [`Engine::report`] does.
    fn counts(&self) -> impl Future<Output = Result<ExpertCounts>> + Send;

    /// Reads what the rank holds and has prepared, set by set.
    ///
    /// Fails as [`Engine::report`] does.
    fn rank_map(&self) -> impl Future<Output = Result<RankMap>> + Send;

    /// Gives an order. An order without an answer may take effect later.
    ///
    /// Fails if nothing is known of its effect.
    fn order(&self, order: &EngineOrder) -> impl Future<Output = Result<OrderResult>> + Send;
}
