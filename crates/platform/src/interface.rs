//! The messages of the platform's HTTP API.

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

/// Response to an append.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct AppendResponse {
    /// The record's position in its stream.
    pub offset: Offset,
}

/// Query of `GET /v1/streams/{stream}/records`.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ReadQuery {
    /// The first offset to read.
    pub from: Offset,
    /// Upper limit of records.
    pub limit: u32,
    /// Long poll: how long to wait for a record if there is none yet.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait_ms: Duration,
}

/// Records of a stream, in order of their offsets.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Page {
    /// The oldest offset that is still retained.
    pub first: Offset,
    /// One past the newest offset.
    pub end: Offset,
    /// The records from the requested offset on.
    pub records: Vec<Record>,
}

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record<T = serde_json::Value> {
    /// The record's position.
    pub offset: Offset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The record's content.
    pub data: T,
}

/// Response to `GET /v1/vms`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmList {
    /// The VMs as of a while ago.
    pub vms: Vec<Vm>,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// The platform's id of the VM.
    pub id: String,
    /// The VM's address.
    pub address: IpAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Whether it is about to be stopped.
    pub state: VmState,
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is about to be stopped.
    Leaving,
    /// The VM is running.
    Live,
}
