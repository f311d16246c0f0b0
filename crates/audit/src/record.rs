//! The records.

use lynxmount_core::{ChangeId, EndpointId, Incarnation, Offset, ProcessId};
use serde::{Deserialize, Serialize};

/// The stream of the platform's log that holds audit records.
pub const AUDIT_STREAM: &str = "audit";

/// Who caused something.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Actor {
    /// A person, by the name in their settings.
    Operator(String),
    /// A process of the system.
    Process(ProcessId),
    /// A signal from the operating system.
    Signal,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum AuditEvent {
    /// A change in the log was not accepted.
    ChangeRefused {
        /// The record's offset.
        offset: Offset,
        /// The change.
        change_id: ChangeId,
        /// Why not.
        why: String,
    },
    /// A configuration came into force at this process.
    ConfigInForce {
        /// The configuration's version.
        version: Offset,
        /// The change.
        change_id: ChangeId,
        /// Where the process learnt it.
        source: String,
    },
    /// The process takes no new work.
    DrainStarted,
    /// The process has finished its work and exits.
    DrainFinished {
        /// Requests that were still in progress when the time was over.
        cut_off: u64,
    },
    /// An endpoint can't be reached any more.
    EndpointDown {
        /// The endpoint.
        endpoint: EndpointId,
        /// What was seen.
        why: String,
    },
    /// An endpoint can be reached.
    EndpointUp {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// Records were lost here because the log was out for too long.
    Gap {
        /// How many.
        lost: u64,
    },
    /// An idempotency key was bound anew after its endpoint gave it up.
    KeyRebound {
        /// The claim that was replaced.
        replaced: Offset,
        /// The endpoint that has the key now.
        endpoint: EndpointId,
    },
    /// The platform's log answers again.
    PlatformBack,
    /// The platform's log does not answer.
    PlatformOut {
        /// What was seen.
        why: String,
    },
    /// The process has started.
    ProcessStarted {
        /// Its life.
        incarnation: Incarnation,
    },
}

/// One record of the trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// When it happened, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The process that recorded it.
    pub process: ProcessId,
    /// Who caused it.
    pub actor: Actor,
    /// What happened.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// Several records in one append, to stay within the log's rate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditBatch {
    /// The scope that the records concern.
    pub scope: String,
    /// The records, oldest first.
    pub records: Vec<AuditRecord>,
}
