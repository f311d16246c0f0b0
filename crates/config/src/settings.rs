//! Settings of processes and operators' commands.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{FailureDomainId, ProcessId, ServiceId};

/// Settings that entry and endpoint processes share.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Id of the process, as in the fleet file.
    pub process_id: ProcessId,
    /// Failure domain that the process runs in.
    pub failure_domain: FailureDomainId,
    /// Scope of the fleet file that applies to the process.
    pub scope: String,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Address of the control port.
    pub control_address: SocketAddr,
    /// Address of the port for health probes.
    pub operators_address: SocketAddr,
    /// Control addresses of peers that provide the configuration while the log is unavailable.
    pub peers: Vec<SocketAddr>,
    /// StatsD address for counters, if any.
    pub statsd_address: Option<SocketAddr>,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: usize,
    /// Number of threads for traffic, in addition to the control thread.
    pub traffic_threads: usize,
    /// Retention time of records in the platform's log.
    pub log_retention_ms: Duration,
    /// Time for which a draining process waits for requests in progress.
    pub drain_timeout_ms: Duration,
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Settings shared by all processes.
    pub process: ProcessSettings,
    /// Address of the callers' port.
    pub callers_address: SocketAddr,
    /// Time limit for a request's headers.
    pub header_timeout_ms: Duration,
    /// Idle timeout while a request's body is received.
    pub idle_timeout_ms: Duration,
    /// Maximum size of a request's headers.
    pub max_header_bytes: usize,
}

/// Settings of an endpoint process.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Settings shared by all processes.
    pub process: ProcessSettings,
    /// Service that the back end serves.
    pub service: ServiceId,
    /// Address to which entries connect.
    pub data_address: SocketAddr,
    /// Address of the back end beside this process.
    pub backend_address: SocketAddr,
    /// Maximum number of idempotency keys to remember.
    pub max_keys: usize,
    /// Maximum total size of finished responses kept for repeated keys.
    pub max_kept_answer_bytes: usize,
}

/// Settings of operators' commands.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Name of the operator, for the audit trail.
    pub author: String,
    /// Scope of the fleet file that the commands apply to.
    pub scope: String,
    /// Address of the platform.
    pub platform_address: SocketAddr,
}
