//! The control state of a process, which one thread owns.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_audit::{Actor, AuditBuffer, AuditEvent, AuditRecord};
use lynxmount_config::{ConfigRecord, ConfigState, Head, ProcessSettings, Snapshot};
use lynxmount_core::{Error, Incarnation, Offset};

use crate::view::DrainState;

/// An event that controllers handle.
#[derive(Debug)]
pub(crate) enum Event {
    /// An append of audit records succeeded or failed.
    AuditAppended(Result<Vec<AuditRecord>, Error>),
    /// A traffic thread recorded an event for the audit trail.
    Audited(AuditEvent),
    /// Records of the configuration stream were read.
    ConfigRead(ConfigRead),
    /// A shutdown was requested.
    Drain(Actor),
    /// A peer returned the configuration in force there.
    PeerHead {
        /// The peer's control address.
        peer: SocketAddr,
        /// The peer's configuration.
        head: Box<Head>,
    },
    /// A request to the platform failed.
    PlatformFailed(Error),
    /// The periodic timer fired.
    Tick,
}

/// Records of the configuration stream.
#[derive(Debug)]
pub(crate) struct ConfigRead {
    /// The oldest offset that the log still retains.
    pub(crate) first: Offset,
    /// The records, in order of their offsets.
    pub(crate) records: Vec<(Offset, ConfigRecord)>,
    /// When the newest record was appended, in milliseconds since the Unix epoch, if any.
    pub(crate) newest_time_ms: Option<u64>,
}

/// A side effect that controllers request.
#[derive(Debug)]
pub(crate) enum SideEffect {
    /// Append audit records to the log.
    AppendAudit(Vec<AuditRecord>),
    /// Append a snapshot, for readers that start after the records of the configuration in
    /// force are no longer retained.
    AppendSnapshot(Box<Snapshot>),
}

/// Availability of the platform's log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlatformState {
    /// The last request failed.
    Unavailable,
    /// No request has completed yet.
    Unknown,
    /// The last request succeeded.
    Available,
}

/// The state that controllers read and write.
#[derive(Debug)]
pub(crate) struct ControlState {
    /// The process's settings.
    pub(crate) settings: ProcessSettings,
    /// The process's incarnation.
    pub(crate) incarnation: Incarnation,
    /// Determines which configuration is in force.
    pub(crate) config_state: ConfigState,
    /// When the configuration in force was last recorded in the log, as far as is known, in
    /// milliseconds since the Unix epoch.
    pub(crate) recorded_at_ms: u64,
    /// Availability of the platform's log.
    pub(crate) platform: PlatformState,
    /// Progress of a shutdown.
    pub(crate) drain: DrainState,
    /// When the shutdown began.
    pub(crate) draining_since: Option<Instant>,
    /// Requests in progress, as traffic threads count them.
    pub(crate) running: u64,
    /// Audit records that are not in the log yet.
    pub(crate) audit: AuditBuffer,
    /// Whether an append of audit records is in flight.
    pub(crate) audit_in_flight: bool,
    /// When audit records were last sent.
    pub(crate) audit_sent_at: Option<Instant>,
    /// Side effects to carry out next.
    pub(crate) side_effects: Vec<SideEffect>,
}

/// The time at which a controller runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    /// Monotonic time.
    pub(crate) instant: Instant,
    /// Wall time in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
}

impl ControlState {
    pub(crate) fn new(settings: ProcessSettings, incarnation: Incarnation) -> ControlState {
        let config_state = ConfigState::new(settings.scope.clone());
        let audit = AuditBuffer::new(settings.process_id.clone());
        ControlState {
            settings,
            incarnation,
            config_state,
            recorded_at_ms: 0,
            platform: PlatformState::Unknown,
            drain: DrainState::Serving,
            draining_since: None,
            running: 0,
            audit,
            audit_in_flight: false,
            audit_sent_at: None,
            side_effects: Vec::new(),
        }
    }

    /// Adds an audit event with the process itself as its actor.
    pub(crate) fn record(&mut self, now: Now, event: AuditEvent) {
        let actor = Actor::Process(self.settings.process_id.clone());
        self.audit.push(now.wall_ms, actor, event);
    }

    /// Time since the shutdown began; zero if there is none.
    pub(crate) fn draining_for(&self, now: Now) -> Duration {
        self.draining_since.map_or(Duration::ZERO, |since| now.instant.duration_since(since))
    }
}
