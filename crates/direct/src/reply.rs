//! Responses that the entry generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use lynxmount_core::adapter::Dialect;
use lynxmount_resources::BufferedBody;

/// Body of a response to a caller.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why the entry responds itself instead of forwarding an endpoint's response. Each reason implies
/// whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request is incomplete, or not HTTP that can be forwarded.
    BadRequest,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// It is quarantined as a poison request. It has not run and never will.
    Quarantined { retry_after: Duration },
    /// It was sent and may have run.
    MayHaveRun,
    /// No route matches, or the route has no target.
    NoRoute,
    /// It has not run and never will.
    NotRun { retry_after: Duration },
    /// It was sent, and its endpoint was silent until its caller's idle timeout was due; it may
    /// have run.
    Overdue { retry_after: Duration },
    /// Its deadline has passed; it may have run.
    TimedOut,
    /// The API key is missing or belongs to no team.
    UnknownKey,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Refusal::BadRequest => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::MayHaveRun => StatusCode::BAD_GATEWAY,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::Quarantined { .. } | Refusal::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Overdue { .. } | Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Refusal::Quarantined { retry_after }
            | Refusal::NotRun { retry_after }
            | Refusal::Overdue { retry_after } => Some(retry_after),
            _ => None,
        }
    }

    /// The response to the caller.
    pub(crate) fn response(self, dialect: &impl Dialect) -> Response<ReplyBody> {
        let head = dialect.local_reply(self.status(), self.retry_after());
        head.map(|()| full_body(BufferedBody::default()))
    }
}

/// A body with known content.
pub(crate) fn full_body(body: BufferedBody) -> ReplyBody {
    body.map_err(|never| match never {}).boxed_unsync()
}
