//! The control state of a process, owned by one thread.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_audit::{Actor, AuditBuffer, AuditEvent, AuditRecord};
use lynxmount_config::{ConfigRecord, ConfigState, Head, ProcessSettings, Snapshot};
use lynxmount_core::{Error, Incarnation, Offset};

use crate::view::DrainState;

/// What happened, as controllers get to know it.
#[derive(Debug)]
pub(crate) enum Event {
    /// Audit records are in the log, or could not be appended.
    AuditAppended(Result<Vec<AuditRecord>, Error>),
    /// A traffic thread saw something that belongs into the trail.
    Audited(AuditEvent),
    /// The configuration stream was read.
    ConfigRead(ConfigRead),
    /// Somebody wants the process to leave.
    Drain(Actor),
    /// A peer told which configuration it has in force.
    PeerHead {
        /// The peer's control address.
        peer: SocketAddr,
        /// Its head.
        head: Box<Head>,
    },
    /// The platform did not answer.
    PlatformFailed(Error),
    /// Nothing else happened for a while.
    Tick,
}

/// Records of the configuration stream.
#[derive(Debug)]
pub(crate) struct ConfigRead {
    /// The oldest offset that the log still keeps.
    pub(crate) first: Offset,
    /// The records, in order, with their wall time in milliseconds.
    pub(crate) records: Vec<(Offset, ConfigRecord)>,
    /// When the platform took the newest of them, if there was one.
    pub(crate) newest_time_ms: Option<u64>,
}

/// What controllers want done outside the control state.
#[derive(Debug)]
pub(crate) enum Order {
    /// Append audit records to the log.
    AppendAudit(Vec<AuditRecord>),
    /// Append a snapshot, for readers after the retention of what is in force.
    AppendSnapshot(Box<Snapshot>),
}

/// What is known of the platform's log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlatformState {
    /// It did not answer at the last try.
    Unavailable,
    /// It was not tried yet.
    Unknown,
    /// It answered at the last try.
    Available,
}

/// The state that controllers read and write.
#[derive(Debug)]
pub(crate) struct ControlState {
    /// The process's settings.
    pub(crate) settings: ProcessSettings,
    /// The process's life.
    pub(crate) incarnation: Incarnation,
    /// Decides which configuration is in force.
    pub(crate) config_state: ConfigState,
    /// When what is in force was last recorded in the log, as far as is known,
    /// in milliseconds since the Unix epoch.
    pub(crate) recorded_at_ms: u64,
    /// What is known of the platform.
    pub(crate) platform: PlatformState,
    /// Whether the process is leaving.
    pub(crate) drain: DrainState,
    /// When it began to leave.
    pub(crate) drain_since: Option<Instant>,
    /// Requests in progress, as traffic threads count them.
    pub(crate) running: u64,
    /// Records on their way into the log.
    pub(crate) audit: AuditBuffer,
    /// Whether an append of audit records is under way.
    pub(crate) audit_in_flight: bool,
    /// When audit records were last sent.
    pub(crate) audit_sent_at: Option<Instant>,
    /// What to do next outside.
    pub(crate) orders: Vec<Order>,
}

/// When a controller's step takes place.
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
            drain_since: None,
            running: 0,
            audit,
            audit_in_flight: false,
            audit_sent_at: None,
            orders: Vec::new(),
        }
    }

    /// Records what the process itself has caused.
    pub(crate) fn record(&mut self, now: Now, event: AuditEvent) {
        let actor = Actor::Process(self.settings.process_id.clone());
        self.audit.push(now.wall_ms, actor, event);
    }

    /// How long the process has been leaving.
    pub(crate) fn draining_for(&self, now: Now) -> Duration {
        self.drain_since.map_or(Duration::ZERO, |since| now.instant.duration_since(since))
    }
}
