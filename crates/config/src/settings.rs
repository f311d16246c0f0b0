//! Settings of the processes and of operators' commands, as plain data.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{FailureDomainId, ProcessId, ServiceId};

/// Settings that entry and endpoint processes share.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// The process's name, as in the fleet file.
    pub process_id: ProcessId,
    /// Where the process runs.
    pub failure_domain: FailureDomainId,
    /// Whose fleet file the process obeys.
    pub scope: String,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Where to take orders and questions.
    pub control_address: SocketAddr,
    /// Where to answer probes.
    pub operators_address: SocketAddr,
    /// Control addresses to ask for the configuration while the log is out.
    pub peers: Vec<SocketAddr>,
    /// Where to send counters, if anywhere.
    pub statsd_address: Option<SocketAddr>,
    /// Threads for traffic, besides the one for control.
    pub traffic_threads: usize,
    /// How long the platform's log keeps a record.
    pub log_retention_ms: Duration,
    /// How long a leaving process waits for requests in progress.
    pub drain_timeout_ms: Duration,
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// What all processes have.
    pub process: ProcessSettings,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// How long a caller may take to send its headers.
    pub header_timeout_ms: Duration,
    /// How long a caller may pause while it sends its body.
    pub idle_timeout_ms: Duration,
    /// The most bytes that a request's headers may have.
    pub max_header_bytes: usize,
}

/// Settings of an endpoint process.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// What all processes have.
    pub process: ProcessSettings,
    /// The service that the back end serves.
    pub service: ServiceId,
    /// Where entries connect.
    pub data_address: SocketAddr,
    /// The back end beside this process.
    pub backend_address: SocketAddr,
    /// How many idempotency keys the process remembers.
    pub max_keys: usize,
    /// How many bytes of finished answers it keeps for repeated keys.
    pub max_kept_answer_bytes: usize,
}

/// Settings of operators' commands.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Who gives the commands, for the audit trail.
    pub author: String,
    /// Whose fleet file the commands concern.
    pub scope: String,
    /// The platform's address.
    pub platform_address: SocketAddr,
}
