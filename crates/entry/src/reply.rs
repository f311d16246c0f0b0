//! Responses to callers, for answers and for refusals.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use lynxmount_core::{Error, Outcome, Problem, Reason, RequestId};
use lynxmount_wire::Header;

/// The outcome of the request, if determined before the headers are sent.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("lynxmount-outcome");
/// The request id that lynxmount assigned, as used in its logs.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("lynxmount-request-id");
/// The request id that the caller assigned, or lynxmount's if there is none.
pub(crate) const CALLER_REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The media type of problem details (RFC 9457).
const PROBLEM_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The `Retry-After` of refusals for which no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a response. An error closes the connection, so that the caller detects the
/// truncation.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, Error>;

/// The reason and outcome that a caller gets in place of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) outcome: Outcome,
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, detail: detail.into(), retry_after: None }
    }

    /// A refusal of a request that may have been run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<String>) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown, detail: detail.into(), retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub(crate) fn retry_after(mut self, delay: Duration) -> Refusal {
        self.retry_after = Some(delay);
        self
    }

    /// Builds the problem details.
    pub(crate) fn problem(&self, request: RequestId) -> Problem {
        let problem = Problem::new(self.reason, self.outcome, request, self.detail.as_str());
        match self.retry_delay() {
            Some(delay) => problem.retry_after(delay),
            None => problem,
        }
    }

    /// Builds the response.
    pub(crate) fn response(&self, request: RequestId) -> Response<ReplyBody> {
        let body = serde_json::to_vec(&self.problem(request)).unwrap_or_default();
        let mut response = Response::new(full_body(body.into()));
        let status = StatusCode::from_u16(self.reason.status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, PROBLEM_TYPE);
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(delay) = self.retry_delay() {
            // `Retry-After` has whole seconds (RFC 9110, 10.2.3), so the delay is rounded up.
            let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        if self.reason == Reason::NotReady {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// The delay after which to retry, for refusals where a retry may succeed.
    fn retry_delay(&self) -> Option<Duration> {
        match self.reason {
            _ if self.retry_after.is_some() => self.retry_after,
            Reason::BackendFailed
            | Reason::HeldBack
            | Reason::LostAttempt
            | Reason::NoEndpoint
            | Reason::NotReady
            | Reason::OverLimit
            | Reason::Overload
            | Reason::PlatformOut
            | Reason::TimedOut => Some(DEFAULT_RETRY_AFTER),
            Reason::BodyTooLarge
            | Reason::KeyReused
            | Reason::Malformed
            | Reason::MissingKey
            | Reason::TeamNotAllowed
            | Reason::Unauthenticated
            | Reason::UnknownService => None,
        }
    }
}

/// A body of known length.
pub(crate) fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Builds a response with the status and headers of a back end.
pub(crate) fn answer_response(
    status: u16,
    headers: &[Header],
    body: ReplyBody,
) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
