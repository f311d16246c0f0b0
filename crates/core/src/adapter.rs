//! The interface that a platform adapter implements, and its typed messages.

use std::{future::Future, net::SocketAddr, time::Duration};

use http::{HeaderMap, Response, StatusCode, request::Parts};

use crate::{
    EndpointId, EndpointList, Evidence, EvidenceKey, FleetConfig, LogPosition, LogRead,
    PeerRegistration, ProcessId, ReceivedEvidence, Result, SegmentNumber, TeamId,
    experts::{EngineOrder, EngineReport, ExpertCounts, OrderResult, RankMap},
};

/// What a caller's request states besides method, path and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHead {
    /// The id that the caller gave this attempt.
    pub id: Option<String>,
    /// Time until the caller's deadline.
    pub time_left: Option<Duration>,
    /// The API key that identifies the team.
    pub key: Option<String>,
    /// The id of the last event that the caller received of a broken stream.
    pub last_event: Option<u64>,
    /// The segments of its prompt, in order.
    pub segments: Vec<SegmentNumber>,
    /// Length of the prompt in tokens; 0 for a call without one.
    pub prompt_tokens: u32,
    /// Upper limit of the response's length in tokens.
    pub max_answer_tokens: u32,
}

/// What the system adds to a caller's request when it sends an attempt to an endpoint.
#[derive(Clone, Debug)]
pub struct AttemptContext<'a> {
    /// The addressed endpoint; another one at its address must not run the attempt.
    pub endpoint: &'a EndpointId,
    /// The authenticated team; it replaces whatever the caller claimed.
    pub team: Option<&'a TeamId>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The scheduling priority at the engine, from 0 (highest) to 9.
    pub priority: Option<u8>,
}

/// The load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
}

/// What an endpoint's response means for the attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The endpoint ran the request, and this is its response.
    Ran,
    /// The endpoint did not run the request and never will.
    NotRun,
    /// Another endpoint has the address now; the request was not run.
    OtherEndpoint,
    /// Not a response to this request: it lacks the signature or has another request's id.
    Foreign,
}

/// An optional header field of an endpoint's response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HeaderField<T> {
    /// The field is not set.
    #[default]
    Absent,
    /// The field is repeated, or its value can't be parsed.
    Malformed,
    /// The parsed value.
    Value(T),
}

/// What is read from the status and headers of an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// What the response means for the attempt.
    pub kind: ResponseKind,
    /// The endpoint's load, if reported.
    pub load: Option<EndpointLoad>,
    /// How long the endpoint keeps an idle connection open, if stated.
    pub keep_alive: Option<Duration>,
    /// The endpoint's rate limit for all entries together, in requests per second.
    pub limit_per_s: HeaderField<f64>,
    /// How long this entry must send the endpoint no requests, after a rejected one.
    pub retry_after: HeaderField<Duration>,
    /// Whether the endpoint is shutting down.
    pub is_leaving: HeaderField<bool>,
}

/// Whether a status is of one of HTTP's five classes (RFC 9110, 15). A response with another one is
/// none.
pub fn is_valid_status(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// Translates between HTTP headers and the system's own terms.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the metadata of a caller's request.
    fn read_call(&self, parts: &Parts) -> CallHead;

    /// Builds the headers of an attempt from those of the caller's request.
    ///
    /// Fails if one of them can't be written: without it an endpoint of another service, or of another
    /// team, might run the attempt.
    fn attempt_headers(
        &self,
        headers: &HeaderMap,
        context: &AttemptContext<'_>,
    ) -> Result<HeaderMap>;

    /// Reads the metadata of a response to the request with this id.
    fn read_response(&self, id: Option<&str>, head: &Response<()>) -> ResponseMetadata;

    /// Returns whether callers take a response with this status for a promise that their request has
    /// not run and never will.
    fn is_not_run_status(&self, status: StatusCode) -> bool;

    /// Builds the headers for the caller from those of an endpoint's response.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Builds the head of a response that the system itself generates.
    fn local_reply(&self, status: StatusCode, retry_after: Option<Duration>) -> Response<()>;

    /// Returns whether a request is a readiness probe of this process.
    fn is_readiness_probe(&self, parts: &Parts) -> bool;
}

/// The platform's store of configurations, registrations and crash reports.
pub trait FleetSource: Send + Sync + 'static {
    /// Long-polls for the newest configuration from a position on; without a position, or if its
    /// log is not available any more, reads the current one.
    ///
    /// Returns `None` if there is none within `wait`. Fails if the platform
    /// can't be reached, or its configuration can't be parsed.
    fn config_from(
        &self,
        from: Option<LogPosition>,
        wait: Duration,
    ) -> impl Future<Output = Result<LogRead<Option<FleetConfig>>>> + Send;

    /// Updates a list of registrations to the current state.
    ///
    /// Fails if the platform can't be reached.
    fn refresh_endpoints(
        &self,
        list: &EndpointList,
    ) -> impl Future<Output = Result<EndpointList>> + Send;

    /// Registers this process, so that its peers can discover it, or renews its registration.
    ///
    /// Fails if the platform can't be reached.
    fn register_peer(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads all registrations of processes, and where the registry ends.
    ///
    /// Fails if the platform can't be reached.
    fn peers(&self) -> impl Future<Output = Result<(LogPosition, Vec<PeerRegistration>)>> + Send;

    /// Publishes crash reports to all processes, replacing this process's earlier reports
    /// of the same calls and segments.
    ///
    /// Fails if it is unknown whether the reports were stored.
    fn publish_crash_reports(
        &self,
        reporter: &ProcessId,
        reports: &[Evidence],
    ) -> impl Future<Output = Result<()>> + Send;

    /// Removes published crash reports, each named by its reporter and key.
    ///
    /// Fails as [`FleetSource::publish_crash_reports`] does.
    fn retract_crash_reports(
        &self,
        reports: &[(ProcessId, EvidenceKey)],
    ) -> impl Future<Output = Result<()>> + Send;

    /// Long-polls for crash reports from a position on; without a position, or if its log is not
    /// available any more, reads all current ones.
    ///
    /// Fails if the platform can't be reached.
    fn crash_reports_from(
        &self,
        from: Option<LogPosition>,
        wait: Duration,
    ) -> impl Future<Output = Result<LogRead<Vec<ReceivedEvidence>>>> + Send;
}

/// The inference engine of one rank.
pub trait Engine: Send + Sync + 'static {
    /// Reads the state of the rank.
    ///
    /// Fails if the engine can't be reached, or its response can't be parsed.
    fn report(&self) -> impl Future<Output = Result<EngineReport>> + Send;

    /// Reads how often each expert was selected since the rank's start.
    ///
    /// Fails as [`Engine::report`] does.
    fn counts(&self) -> impl Future<Output = Result<ExpertCounts>> + Send;

    /// Reads which experts the rank holds or has prepared, by set.
    ///
    /// Fails as [`Engine::report`] does.
    fn rank_map(&self) -> impl Future<Output = Result<RankMap>> + Send;

    /// Sends an order. One without a response may still take effect later.
    ///
    /// Fails if it is unknown whether the order takes effect.
    fn order(&self, order: &EngineOrder) -> impl Future<Output = Result<OrderResult>> + Send;
}
