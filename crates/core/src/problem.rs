//! Problem details (RFC 9457) that callers receive instead of a response.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Outcome, RequestId};

/// Why a request got no complete response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The back end failed after the request had reached it.
    BackendFailed,
    /// The body is larger than the service allows.
    BodyTooLarge,
    /// The request is quarantined, as back ends crash while they run it.
    HeldBack,
    /// The key was used before with a different request.
    KeyReused,
    /// An attempt was sent and its outcome can't be determined.
    LostAttempt,
    /// The request can't be parsed.
    Malformed,
    /// The route is not idempotent and the request carries no key.
    MissingKey,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The process has no configuration yet, or is shutting down.
    NotReady,
    /// The service's queue is too long to be served in time.
    Overload,
    /// The team exceeds its rate limit or its concurrency limit.
    OverLimit,
    /// The platform's log is unavailable, so the key can't be bound to an endpoint.
    PlatformOut,
    /// The request's deadline has passed.
    TimedOut,
    /// The team is not authorized to call the service.
    TeamNotAllowed,
    /// The bearer token is missing or belongs to no team.
    Unauthenticated,
    /// The configuration has no such service.
    UnknownService,
}

impl Reason {
    /// The HTTP status for the reason.
    pub fn status(self) -> u16 {
        match self {
            Reason::Malformed | Reason::MissingKey => 400,
            Reason::Unauthenticated => 401,
            Reason::TeamNotAllowed => 403,
            Reason::UnknownService => 404,
            Reason::BodyTooLarge => 413,
            Reason::KeyReused => 422,
            Reason::OverLimit => 429,
            Reason::BackendFailed | Reason::LostAttempt => 502,
            Reason::HeldBack
            | Reason::NoEndpoint
            | Reason::NotReady
            | Reason::Overload
            | Reason::PlatformOut => 503,
            Reason::TimedOut => 504,
        }
    }

    /// A short title for humans; the same for every occurrence (RFC 9457, 3.1.3).
    pub fn title(self) -> &'static str {
        match self {
            Reason::BackendFailed => "The back end failed",
            Reason::BodyTooLarge => "The body is too large",
            Reason::HeldBack => "Back ends end under the request",
            Reason::KeyReused => "The idempotency key belongs to another request",
            Reason::LostAttempt => "The fate of the request is not known",
            Reason::Malformed => "The request is malformed",
            Reason::MissingKey => "An Idempotency-Key header is required",
            Reason::NoEndpoint => "No endpoint can be reached",
            Reason::NotReady => "The entry takes no requests now",
            Reason::Overload => "The service is overloaded",
            Reason::OverLimit => "The team is over its limit",
            Reason::PlatformOut => "The idempotency key can't be recorded now",
            Reason::TimedOut => "The request timed out",
            Reason::TeamNotAllowed => "The team may not call this service",
            Reason::Unauthenticated => "A known bearer token is required",
            Reason::UnknownService => "There is no such service",
        }
    }
}

/// A problem details object with lynxmount's extension members.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// A URN that identifies the reason.
    #[serde(rename = "type")]
    pub type_urn: String,
    /// The reason's title.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened in this occurrence.
    pub detail: String,
    /// Why the request got no complete response.
    pub reason: Reason,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// The request's id, as echoed in the header.
    pub request_id: RequestId,
    /// After what delay the caller should retry, if a retry may help.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Duration>,
}

impl Problem {
    /// Builds a problem for a reason and an occurrence.
    pub fn new(
        reason: Reason,
        outcome: Outcome,
        request_id: RequestId,
        detail: impl Into<String>,
    ) -> Problem {
        let name = serde_json::to_value(reason).unwrap_or_default();
        Problem {
            type_urn: format!("urn:lynxmount:problem:{}", name.as_str().unwrap_or_default()),
            title: reason.title().to_owned(),
            status: reason.status(),
            detail: detail.into(),
            reason,
            outcome,
            request_id,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    pub fn retry_after(mut self, wait: Duration) -> Problem {
        self.retry_after_ms = Some(wait);
        self
    }
}
