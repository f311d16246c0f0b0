//! What a process learns of its place and its bounds from its settings.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::{FailureDomainId, Mechanisms, ProcessId};

/// Bytes of a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Bounds that operators set, which limits and timeouts are derived from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// How soon an accepted configuration must be in force.
    pub config_apply: Duration,
    /// How soon a leaving endpoint must get no more work.
    pub drain: Duration,
    /// How long a process has between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// How often endpoints write their registration.
    pub heartbeat: Duration,
    /// Retries that a service may get, as a part of its requests.
    pub retry_ratio: f64,
    /// Retries beyond that, in each window.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// How long a group stalls when it has lost a rank.
    pub group_stall: Duration,
}

/// Where a process stands, listens and finds others.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The process's name.
    pub process: ProcessId,
    /// Its address.
    pub ip: IpAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where callers connect, if they do.
    pub callers_address: Option<SocketAddr>,
    /// Where the platform asks whether the process is ready.
    pub readiness_address: Option<SocketAddr>,
    /// Where other processes of the system connect, if the settings name it.
    pub control_address: Option<SocketAddr>,
    /// The first and last port for the system's own traffic.
    pub internal_ports: (u16, u16),
    /// Control addresses of some processes; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The engine beside the process, if it is an endpoint process.
    pub engine_address: Option<SocketAddr>,
    /// What the machine's link carries, in megabits a second, if the settings tell it.
    pub link_mbit_per_s: Option<f64>,
    /// Bounds.
    pub bounds: SiteBounds,
    /// What is in use of what can be switched off.
    pub mechanisms: Mechanisms,
}

impl SiteSettings {
    /// What the machine's link carries, in bytes a second; endless if it is not known.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbit_per_s.map_or(f64::INFINITY, |rate| rate * BYTES_PER_MBIT)
    }
}
