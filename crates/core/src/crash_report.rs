//! Crash reports: which calls, and which segments of their prompts, were in flight at endpoints
//! that crashed. Processes exchange them to find poison requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use crate::{CallFingerprint, EndpointRecord, ProcessId, SegmentId};

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

/// The first bytes of a call's fingerprint; tells calls at crashes apart.
pub type CallTag = u64;

/// Weight of evidence: the negative logarithm of the probability that an innocent segment was in
/// flight at a crash by chance, in hundredths of a nat.
pub type EvidenceWeight = u16;

/// A crash of an endpoint while calls with a certain prompt segment were in flight there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentCrash {
    /// The incarnation that crashed.
    pub incarnation: EndpointIncarnation,
    /// The first incarnation that crashed at about the same moment.
    pub burst: EndpointIncarnation,
    /// The call with the segment; the lowest one if there were several.
    pub call: CallTag,
    /// Time of the crash in seconds since the Unix epoch, by the observer's clock.
    pub at_s: u64,
    /// How much the crash speaks against the segment.
    pub weight: EvidenceWeight,
    /// Whether an endpoint has survived the beginning of a later call with the segment.
    pub is_cleared: bool,
}

/// The crashes that occurred while calls with a certain prompt segment were in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentReport {
    /// The segment.
    pub segment: SegmentId,
    /// The crashes, at most one of each incarnation.
    pub crashes: Vec<SegmentCrash>,
}

/// Evidence that processes exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// Against a call.
    Call(CrashReport),
    /// Against a prompt segment.
    Segment(SegmentReport),
}

/// What a piece of evidence is against.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub enum EvidenceKey {
    /// A call.
    Call(CallFingerprint),
    /// A prompt segment.
    Segment(SegmentId),
}

impl Evidence {
    /// What it is against.
    pub fn key(&self) -> EvidenceKey {
        match self {
            Evidence::Call(report) => EvidenceKey::Call(report.call),
            Evidence::Segment(report) => EvidenceKey::Segment(report.segment),
        }
    }
}

impl fmt::Display for EvidenceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EvidenceKey::Call(call) => call.fmt(f),
            EvidenceKey::Segment(segment) => segment.fmt(f),
        }
    }
}

impl FromStr for EvidenceKey {
    type Err = String;

    fn from_str(text: &str) -> Result<EvidenceKey, String> {
        match text.contains('@') {
            true => text.parse().map(EvidenceKey::Segment),
            false => text.parse().map(EvidenceKey::Call),
        }
    }
}

/// Evidence as published by one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedEvidence {
    /// The process that published it.
    pub reporter: ProcessId,
    /// What the process knew.
    pub evidence: Evidence,
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
