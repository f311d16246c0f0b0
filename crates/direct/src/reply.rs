//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use lynxmount_core::adapter::Dialect;

/// The body of an answer.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why the system answers by itself. Each says whether the request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request is not whole, or not HTTP that can be passed on.
    BadRequest,
    /// The body is larger than callers may send.
    BodyTooLarge,
    /// It is held back, as endpoints end under it. It has not run and never will.
    HeldBack { retry_after: Duration },
    /// It was sent and may have run.
    MayHaveRun,
    /// No route leads anywhere.
    NoRoute,
    /// It has not run and never will.
    NotRun { retry_after: Duration },
    /// It was sent, and its endpoint was silent until its caller would have left; it may have run.
    Overdue { retry_after: Duration },
    /// The time is up; it may have run.
    TimedOut,
    /// No team has the key.
    UnknownKey,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Refusal::BadRequest => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::MayHaveRun => StatusCode::BAD_GATEWAY,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::HeldBack { .. } | Refusal::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Overdue { .. } | Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Refusal::HeldBack { retry_after }
            | Refusal::NotRun { retry_after }
            | Refusal::Overdue { retry_after } => Some(retry_after),
            _ => None,
        }
    }

    /// The answer that says so.
    pub(crate) fn response(self, dialect: &impl Dialect) -> Response<ReplyBody> {
        let head = dialect.local_reply(self.status(), self.retry_after());
        head.map(|()| whole_body(Bytes::new()))
    }
}

/// A body that is there as a whole.
pub(crate) fn whole_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
