//! Types of audit records.

use lynxmount_core::{ChangeId, EndpointId, Incarnation, Offset, ProcessId};
use serde::{Deserialize, Serialize};

/// Stream of the platform's log that holds audit records.
pub const AUDIT_STREAM: &str = "audit";

/// The cause of an event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Actor {
    /// An operator, by the author name in their settings.
    Operator(String),
    /// A process of the system.
    Process(ProcessId),
    /// A signal from the operating system.
    Signal,
}

/// An event of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum AuditEvent {
    /// A configuration change in the log was refused.
    ChangeRefused {
        /// Offset of the change's record.
        offset: Offset,
        /// Id of the change.
        change_id: ChangeId,
        /// Reason of the refusal.
        why: String,
    },
    /// This process has started to use a configuration.
    ConfigInForce {
        /// Version of the configuration.
        version: Offset,
        /// Id of the change.
        change_id: ChangeId,
        /// Source of the configuration: the log or a peer.
        source: String,
    },
    /// The process has stopped accepting new requests.
    DrainStarted,
    /// The process has finished draining and exits.
    DrainFinished {
        /// Number of requests still in progress when the drain timeout expired.
        cut_off: u64,
    },
    /// An endpoint has become unreachable.
    EndpointDown {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Observed failure.
        why: String,
    },
    /// An endpoint has become reachable.
    EndpointUp {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Incarnation of the endpoint process.
        incarnation: Incarnation,
    },
    /// Records were lost at this point because the buffer overflowed during a log outage.
    Gap {
        /// Number of lost records.
        lost: u64,
    },
    /// An idempotency key was bound again after its previous endpoint had revoked it.
    KeyRebound {
        /// Offset of the replaced claim.
        replaced: Offset,
        /// Endpoint that the key is now bound to.
        endpoint: EndpointId,
    },
    /// The platform's log is available again.
    PlatformBack,
    /// The platform's log is unavailable.
    PlatformOut {
        /// Observed failure.
        why: String,
    },
    /// The process has started.
    ProcessStarted {
        /// Incarnation of the process.
        incarnation: Incarnation,
    },
}

/// One record of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Time of the event in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Process that recorded the event.
    pub process: ProcessId,
    /// Cause of the event.
    pub actor: Actor,
    /// The event.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// Audit records appended as one record of the log, to stay within the log's rate limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditBatch {
    /// Scope of the records.
    pub scope: String,
    /// Records, oldest first.
    pub records: Vec<AuditRecord>,
}
