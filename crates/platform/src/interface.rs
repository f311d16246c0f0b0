//! The messages of the platform's published interface.

use std::{net::IpAddr, time::Duration};

use lynxmount_core::{FailureDomainId, Offset};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Body of `POST /v1/streams/{stream}/records`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// The record's content.
    pub data: serde_json::Value,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AppendResponse {
    /// The record's position in its stream.
    pub offset: Offset,
}

/// Query of `GET /v1/streams/{stream}/records`.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ReadQuery {
    /// The first offset that is wanted.
    pub from: Offset,
    /// The most records that are wanted.
    pub limit: u32,
    /// How long to wait for a record if there is none yet.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait_ms: Duration,
}

/// Records of a stream, in order of their offsets.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// One past the newest offset.
    pub end: Offset,
    /// The records from the wanted offset on.
    pub records: Vec<Record>,
}

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The record's position.
    pub offset: Offset,
    /// When the platform took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was appended.
    pub data: serde_json::Value,
}

/// Answer to `GET /v1/vms`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmList {
    /// The VMs as the platform saw them a while ago.
    pub vms: Vec<Vm>,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// The platform's name for the VM.
    pub id: String,
    /// The VM's address.
    pub address: IpAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Whether it stays.
    pub state: VmState,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is to be stopped.
    Leaving,
    /// The VM runs.
    Live,
}
