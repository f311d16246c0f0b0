//! The frames themselves.

use bytes::Bytes;
use lynxmount_core::{
    AttemptNumber, CallPhase, EndpointIncarnation, Incarnation, Offset, ProcessId, RequestId,
    ServiceId,
};
use serde::{Deserialize, Serialize};

/// The version of the protocol; peers of another version are turned away.
pub const PROTOCOL_VERSION: u32 = 3;

/// One try at one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct AttemptId {
    /// The caller's request.
    pub request: RequestId,
    /// Which try at it this is.
    pub attempt: AttemptNumber,
}

/// A header of a request or an answer, as it goes over HTTP.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// The name in lower case.
    pub name: String,
    /// The value, not necessarily UTF-8.
    pub value: Bytes,
}

/// Permission to run an idempotency key once, as recorded in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Binding {
    /// Digest over team, service and the caller's key.
    pub key_digest: [u8; 32],
    /// Digest over method, path and body of the request.
    pub request_digest: [u8; 32],
    /// The only incarnation that may run the key.
    pub incarnation: Incarnation,
    /// The claim's position in the log.
    pub claim_offset: Offset,
    /// When the claim was made, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
}

/// An attempt, sent from an entry to an endpoint process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Dispatch {
    /// The attempt.
    pub id: AttemptId,
    /// The service that the caller asked for.
    pub service: ServiceId,
    /// The configuration under which the entry admitted the request.
    pub config_version: Offset,
    /// When the request must be answered, in milliseconds since the Unix
    /// epoch: a time of day, so that a frame that was held back in a paused
    /// process does not start late.
    pub deadline_at_ms: u64,
    /// The team's priority; 0 goes first.
    pub priority: u8,
    /// The HTTP method.
    pub method: String,
    /// Path and query at the back end.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// Set if the request may run at most once.
    pub binding: Option<Binding>,
}

/// Why an endpoint process will never run an attempt.
///
/// When an attempt that carries a key is refused, the key is revoked at that
/// incarnation, unless [`RefusalReason::revokes_key`] says otherwise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The back end could not be reached, so the request never left.
    BackendUnreachable,
    /// All places are taken.
    Busy,
    /// The entry's configuration is older than the endpoint's.
    ConfigOutdated,
    /// The endpoint is leaving.
    Draining,
    /// The request's time ran out before it was started.
    Expired,
    /// The key was used before with a different request.
    KeyReused,
    /// The endpoint has no room to remember another key.
    LedgerFull,
    /// The key is bound to another incarnation, or the claim is too old.
    NotBoundHere,
    /// The key was revoked, so that another endpoint may run it.
    Revoked,
    /// The endpoint serves another service.
    WrongService,
}

impl RefusalReason {
    /// Says whether the refusing incarnation will never run the key either.
    pub fn revokes_key(self) -> bool {
        match self {
            RefusalReason::BackendUnreachable
            | RefusalReason::Busy
            | RefusalReason::ConfigOutdated
            | RefusalReason::Draining
            | RefusalReason::Expired
            | RefusalReason::Revoked
            | RefusalReason::WrongService => true,
            RefusalReason::KeyReused | RefusalReason::LedgerFull | RefusalReason::NotBoundHere => {
                false
            }
        }
    }
}

/// Why an attempt that was started has no whole answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Failure {
    /// The back end failed in mid-request.
    Backend,
    /// The key was run before and its answer is no longer kept.
    AnswerGone,
    /// The entry cancelled the attempt.
    Cancelled,
    /// The request's time ran out.
    Expired,
    /// The back end ended while the request was there.
    BackendCrashed {
        /// The life of the back end that ended.
        incarnation: EndpointIncarnation,
        /// How far the request was.
        phase: CallPhase,
    },
    /// The connection to the back end broke. A crash may still show.
    BackendDisconnected {
        /// The life of the back end.
        incarnation: EndpointIncarnation,
        /// How far the request was.
        phase: CallPhase,
        /// Whether the back end has answered since.
        is_alive: bool,
    },
}

/// What an endpoint process says of itself, regularly and on each change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The newest configuration that is in force at the endpoint.
    pub config_version: Offset,
    /// Requests being run.
    pub running: u32,
    /// Requests that the back end says it has waiting.
    pub waiting: u32,
    /// True once the endpoint takes no new work.
    pub draining: bool,
    /// True if the back end answered lately.
    pub backend_up: bool,
}

/// Frames from an entry to an endpoint process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToEndpoint {
    /// Opens the connection.
    Hello {
        /// [`PROTOCOL_VERSION`] of the entry.
        protocol_version: u32,
        /// The entry.
        process: ProcessId,
    },
    /// Asks for an attempt to be run.
    Dispatch(Box<Dispatch>),
    /// Says that nobody waits for the attempt's answer any more.
    Cancel(AttemptId),
    /// Allows that many more bytes of answer to be sent.
    Credit {
        /// The attempt.
        id: AttemptId,
        /// Bytes that were passed on since the last credit.
        bytes: u32,
    },
}

/// Frames from an endpoint process to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToEntry {
    /// Answers [`ToEndpoint::Hello`].
    Welcome {
        /// The life of the endpoint process.
        incarnation: Incarnation,
    },
    /// Reports load, configuration and leaving.
    Report(LoadReport),
    /// The attempt will never be run.
    Refused {
        /// The attempt.
        id: AttemptId,
        /// Why not.
        reason: RefusalReason,
    },
    /// The answer's status and headers.
    Head {
        /// The attempt.
        id: AttemptId,
        /// The HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<Header>,
    },
    /// A piece of the answer's body.
    Data {
        /// The attempt.
        id: AttemptId,
        /// Position among the pieces, starting with 0.
        sequence: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The attempt.
        id: AttemptId,
        /// How many pieces there were.
        pieces: u64,
        /// xxh3 over all pieces.
        digest: u64,
    },
    /// The attempt was started and has no whole answer.
    Failed {
        /// The attempt.
        id: AttemptId,
        /// Why not.
        failure: Failure,
    },
    /// The back end has crashed.
    BackendCrashed {
        /// Its life that has ended.
        incarnation: EndpointIncarnation,
    },
}

impl ToEntry {
    /// The attempt that the frame belongs to, if it belongs to one.
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            ToEntry::Welcome { .. } | ToEntry::Report(_) | ToEntry::BackendCrashed { .. } => None,
            ToEntry::Refused { id, .. }
            | ToEntry::Head { id, .. }
            | ToEntry::Data { id, .. }
            | ToEntry::End { id, .. }
            | ToEntry::Failed { id, .. } => Some(*id),
        }
    }
}
