//! Crash reports: which calls were in flight at endpoints that crashed. Processes exchange
//! them to find poison requests.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{CallFingerprint, EndpointRecord, ProcessId};

/// Identifies one run of an endpoint: one that restarts under its id gets a new incarnation.
pub type EndpointIncarnation = u64;

/// How far a call had got at an endpoint that crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CallPhase {
    /// A stream without a response head; it may have been queued at the endpoint.
    Waiting,
    /// A stream that has sent events.
    Running,
    /// A stream with a response head but no event, or a call that is not a stream, as such
    /// calls are run or refused on arrival.
    Beginning,
}

/// A crash of an endpoint while a call was in flight there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointCrash {
    /// The incarnation that crashed.
    #[serde(rename = "life")]
    pub incarnation: EndpointIncarnation,
    /// Time of the crash in seconds since the Unix epoch, by the observer's clock.
    pub at_s: u64,
    /// How far the call had got.
    pub phase: CallPhase,
    /// Whether an endpoint has survived the call since, so that this crash no longer counts
    /// as evidence against the call.
    pub is_cleared: bool,
}

/// The crashes that occurred while a call was in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The call.
    pub call: CallFingerprint,
    /// The crashes, at most one of each incarnation.
    #[serde(rename = "ends")]
    pub crashes: Vec<EndpointCrash>,
}

/// A crash report as published by one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedCrashReport {
    /// The process that published it.
    pub reporter: ProcessId,
    /// The crashes that the process knew of.
    pub report: CrashReport,
}

impl EndpointRecord {
    /// The endpoint's incarnation, derived alike by all processes from its id and start time.
    pub fn incarnation(&self) -> EndpointIncarnation {
        let started_ms = self.started_ms.unwrap_or_default();
        let digest = Sha256::new()
            .chain_update(self.id.as_bytes())
            .chain_update(started_ms.to_be_bytes())
            .finalize();
        let prefix = digest.first_chunk().copied().unwrap_or_default();
        EndpointIncarnation::from_be_bytes(prefix)
    }
}
