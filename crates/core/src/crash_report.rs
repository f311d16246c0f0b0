//! Calls under which endpoints have ended, as processes tell them to each other.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{CallFingerprint, EndpointRecord, ProcessId};

/// One life of an endpoint: one that starts again under its id begins another.
pub type EndpointIncarnation = u64;

/// How far a call was at an endpoint that ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CallPhase {
    /// A stream without the head of its answer: it may have waited there.
    Waiting,
    /// A stream that has had events.
    Running,
    /// A stream with the head of its answer and no event, or a call with one answer,
    /// which runs as soon as it comes or is refused.
    Beginning,
}

/// That an endpoint ended while a call was there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointCrash {
    /// The life that ended.
    #[serde(rename = "life")]
    pub incarnation: EndpointIncarnation,
    /// When, in seconds since the Unix epoch, by the clock of who saw it.
    pub at_s: u64,
    /// How far the call was.
    pub phase: CallPhase,
    /// Whether an endpoint has outlived the call, so that this end does not speak against it.
    pub is_cleared: bool,
}

/// What is known of a call under which endpoints have ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The call.
    pub call: CallFingerprint,
    /// The ends, each life once.
    #[serde(rename = "ends")]
    pub crashes: Vec<EndpointCrash>,
}

/// What one process has told of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedCrashReport {
    /// Who has told it.
    pub reporter: ProcessId,
    /// What it knew.
    pub report: CrashReport,
}

impl EndpointRecord {
    /// This life of the endpoint, as all processes name it.
    pub fn incarnation(&self) -> EndpointIncarnation {
        let started_ms = self.started_ms.unwrap_or_default();
        let digest = Sha256::new()
            .chain_update(self.id.as_bytes())
            .chain_update(started_ms.to_be_bytes())
            .finalize();
        let first = digest.first_chunk().copied().unwrap_or_default();
        EndpointIncarnation::from_be_bytes(first)
    }
}
