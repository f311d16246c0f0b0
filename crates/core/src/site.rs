//! Settings of a process: its identity, its addresses and the operators' bounds.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::{FailureDomainId, Mechanisms, ProcessId, ServiceId};

/// Bytes per megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Bytes per megabyte.
const BYTES_PER_MB: usize = 1_000_000;

/// Bounds set by operators, from which limits and timeouts are derived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// Time within which an accepted configuration must be in force.
    pub config_apply: Duration,
    /// Time after which an endpoint that is shutting down must get no more work.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time after the end of a disturbance from which on the other bounds hold.
    pub settle: Duration,
    /// Interval at which endpoints renew their registrations.
    pub heartbeat: Duration,
    /// Retry budget of a service, as a fraction of its requests.
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Window over which the retry budget is counted.
    pub retry_window: Duration,
    /// How long a group stalls after losing a rank.
    pub group_stall: Duration,
}

/// Identity, addresses and bounds of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The process's id.
    pub process: ProcessId,
    /// Its IP address.
    pub ip: IpAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The address that callers connect to, if the process serves any.
    pub callers_address: Option<SocketAddr>,
    /// The address of the platform's readiness probe.
    pub readiness_address: Option<SocketAddr>,
    /// The address for other processes of the system, if set.
    pub control_address: Option<SocketAddr>,
    /// The first and last port for traffic between the system's processes.
    pub internal_ports: (u16, u16),
    /// Control addresses of some processes, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The address of the engine beside the process, if it is an endpoint process.
    pub engine_address: Option<SocketAddr>,
    /// The service of that engine, if set.
    pub engine_service: Option<ServiceId>,
    /// Bandwidth of the machine's network link in Mbit/s, if set.
    pub link_mbit_per_s: Option<f64>,
    /// Memory limit of the process in MB, if set.
    pub memory_mb: Option<usize>,
    /// Limit of file descriptors of the process, if set.
    pub max_descriptors: Option<usize>,
    /// Whether the whole system starts for the first time, so that no process has a former life.
    pub is_first_start: bool,
    /// Bounds set by operators.
    pub bounds: SiteBounds,
    /// The enabled mechanisms.
    pub mechanisms: Mechanisms,
}

impl SiteSettings {
    /// Memory limit of the process in bytes, if set.
    pub fn memory_bytes(&self) -> Option<usize> {
        self.memory_mb.map(|megabytes| megabytes.saturating_mul(BYTES_PER_MB))
    }

    /// Bandwidth of the machine's network link in bytes/s; infinite if it is unknown.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbit_per_s.map_or(f64::INFINITY, |rate| rate * BYTES_PER_MBIT)
    }
}
