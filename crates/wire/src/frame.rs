//! The frames of the protocol.

use bytes::Bytes;
use lynxmount_core::{
    AttemptNumber, CallPhase, EndpointIncarnation, Incarnation, Offset, ProcessId, RequestId,
    ServiceId,
};
use serde::{Deserialize, Serialize};

/// The protocol version. Peers with another version are rejected.
pub const PROTOCOL_VERSION: u32 = 3;

/// Identifies one attempt at a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct AttemptId {
    /// The caller's request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
}

/// An HTTP header of a request or a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// The name in lower case.
    pub name: String,
    /// The value, not necessarily UTF-8.
    pub value: Bytes,
}

/// Permission to run the request of an idempotency key once, as recorded in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Binding {
    /// Digest of team, service and the caller's key.
    pub key_digest: [u8; 32],
    /// Digest of method, path and body of the request.
    pub request_digest: [u8; 32],
    /// The only incarnation that may run the request.
    pub incarnation: Incarnation,
    /// The claim's offset in the log.
    pub claim_offset: Offset,
    /// When the claim was made, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
}

/// An attempt that an entry dispatches to an endpoint process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Dispatch {
    /// The attempt.
    pub id: AttemptId,
    /// The service that the caller asked for.
    pub service: ServiceId,
    /// The configuration under which the entry admitted the request.
    pub config_version: Offset,
    /// The request's deadline in milliseconds since the Unix epoch. It is a wall-clock time,
    /// so that a frame delayed by a paused process is not run after it.
    pub deadline_at_ms: u64,
    /// The team's priority; 0 is the highest.
    pub priority: u8,
    /// The HTTP method.
    pub method: String,
    /// Path and query for the back end.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
    /// Set if the request may run at most once.
    pub binding: Option<Binding>,
}

/// Why an endpoint process will never run an attempt.
///
/// Refusing an attempt with an idempotency key revokes the key at that incarnation if
/// [`RefusalReason::revokes_key`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The back end could not be reached, so the request was not sent.
    BackendUnreachable,
    /// The concurrency limit is reached.
    Busy,
    /// The entry's configuration is older than the endpoint's.
    ConfigOutdated,
    /// The endpoint is shutting down.
    Draining,
    /// The request's deadline passed before it was started.
    Expired,
    /// The key was used before with a different request.
    KeyReused,
    /// The endpoint's deduplication table of idempotency keys is full.
    #[serde(rename = "LedgerFull")]
    DedupTableFull,
    /// The key is bound to another incarnation, or the claim is too old.
    NotBoundHere,
    /// The key was revoked, so that another endpoint may run it.
    Revoked,
    /// The endpoint serves another service.
    WrongService,
}

impl RefusalReason {
    /// Returns whether the refusal also revokes the request's idempotency key: the refusing
    /// incarnation will never run it.
    pub fn revokes_key(self) -> bool {
        match self {
            RefusalReason::BackendUnreachable
            | RefusalReason::Busy
            | RefusalReason::ConfigOutdated
            | RefusalReason::Draining
            | RefusalReason::Expired
            | RefusalReason::Revoked
            | RefusalReason::WrongService => true,
            RefusalReason::KeyReused
            | RefusalReason::DedupTableFull
            | RefusalReason::NotBoundHere => false,
        }
    }
}

/// Why an attempt that was started has no complete response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ExecutionFailure {
    /// The back end failed during the request.
    Backend,
    /// The key's request was run before, and its response is no longer stored.
    AnswerGone,
    /// The entry cancelled the attempt.
    Cancelled,
    /// The request's deadline passed.
    Expired,
    /// The back end crashed during the request.
    #[serde(rename = "BackendEnded")]
    BackendCrashed {
        /// The incarnation that crashed.
        #[serde(rename = "life")]
        incarnation: EndpointIncarnation,
        /// How far the request had got.
        phase: CallPhase,
    },
    /// The connection to the back end broke; a crash may still be detected.
    #[serde(rename = "BackendBroke")]
    BackendDisconnected {
        /// The incarnation of the back end.
        #[serde(rename = "life")]
        incarnation: EndpointIncarnation,
        /// How far the request had got.
        phase: CallPhase,
        /// Whether the back end has responded since.
        is_alive: bool,
    },
}

/// State of an endpoint process, reported regularly and on each change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The configuration in force at the endpoint.
    pub config_version: Offset,
    /// Requests that are running.
    pub running: u32,
    /// Requests in the back end's queue, as it reports.
    pub waiting: u32,
    /// Whether the endpoint is shutting down and accepts no new work.
    pub draining: bool,
    /// Whether the back end responded recently.
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
    /// Requests to run an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancels an attempt: nobody waits for its response any more.
    Cancel(AttemptId),
    /// Flow control: allows that many more bytes of the response to be sent.
    Credit {
        /// The attempt.
        id: AttemptId,
        /// Bytes that were forwarded since the last credit.
        bytes: u32,
    },
}

/// Frames from an endpoint process to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ToEntry {
    /// Answers [`ToEndpoint::Hello`].
    Welcome {
        /// The incarnation of the endpoint process.
        incarnation: Incarnation,
    },
    /// Reports load, configuration and shutdown.
    Report(LoadReport),
    /// The attempt will never be run.
    Refused {
        /// The attempt.
        id: AttemptId,
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// The response's status and headers.
    Head {
        /// The attempt.
        id: AttemptId,
        /// The HTTP status.
        status: u16,
        /// Headers to forward.
        headers: Vec<Header>,
    },
    /// A chunk of the response body.
    Data {
        /// The attempt.
        id: AttemptId,
        /// Sequence number of the chunk, starting with 0.
        sequence: u64,
        /// The chunk.
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// The attempt.
        id: AttemptId,
        /// Number of chunks.
        chunks: u64,
        /// xxh3 of all chunks.
        digest: u64,
    },
    /// The attempt was started and has no complete response.
    Failed {
        /// The attempt.
        id: AttemptId,
        /// Why it failed.
        failure: ExecutionFailure,
    },
    /// The back end has crashed.
    BackendCrashed {
        /// The incarnation that crashed.
        #[serde(rename = "life")]
        incarnation: EndpointIncarnation,
    },
}

impl ToEntry {
    /// The attempt that the frame belongs to, if any.
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
