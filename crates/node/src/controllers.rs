//! The controllers and the order in which they run.
//!
//! | controller | reads | writes |
//! |---|---|---|
//! | `Platform` | reads and failures of the log | `platform`, `audit` |
//! | `Config` | records of the log, heads of peers | `config_state`, `recorded_at_ms`, `audit` |
//! | `Snapshot` | `config_state`, `recorded_at_ms`, `platform` | `recorded_at_ms`, `side_effects` |
//! | `Drain` | shutdown requests, `running` | `drain`, `draining_since`, `audit` |
//! | `Audit` | `audit`, `platform` | `audit_in_flight`, `audit_sent_at`, `side_effects` |

use std::{net::SocketAddr, time::Duration};

use log::info;
use lynxmount_audit::{Actor, AuditEvent};
use lynxmount_config::{ConfigRecord, Head, Verdict};
use lynxmount_core::{Offset, duration_ms};
use lynxmount_policy::rendezvous;

use crate::{
    control_state::{ConfigRead, ControlState, Event, Now, PlatformState, SideEffect},
    view::DrainState,
};

/// Minimum interval between appends of audit records, so that records share an append.
const AUDIT_PERIOD: Duration = Duration::from_millis(500);

/// A snapshot is due after the log's retention divided by this.
const SNAPSHOT_AGE_DIVISOR: u32 = 2;

/// Each process in turn waits longer than the previous one by the log's retention divided by
/// this, so that usually only one appends the snapshot.
const SNAPSHOT_TURN_DIVISOR: u32 = 64;

/// Number of processes with a turn of their own; all others wait one turn longer than these.
const SNAPSHOT_TURNS: usize = 16;

/// All controllers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Controller {
    Audit,
    Config,
    Drain,
    Platform,
    Snapshot,
}

/// The order in which controllers run after each event.
const RUN_ORDER: [Controller; 5] = [
    Controller::Platform,
    Controller::Config,
    Controller::Snapshot,
    Controller::Drain,
    Controller::Audit,
];

/// Runs all controllers for an event.
pub(crate) fn run_all(state: &mut ControlState, event: &Event, now: Now) {
    for controller in RUN_ORDER {
        match controller {
            Controller::Audit => run_audit(state, event, now),
            Controller::Config => run_config(state, event, now),
            Controller::Drain => run_drain(state, event, now),
            Controller::Platform => run_platform(state, event, now),
            Controller::Snapshot => run_snapshot(state, now),
        }
    }
}

fn run_platform(state: &mut ControlState, event: &Event, now: Now) {
    let platform = match event {
        Event::ConfigRead(_) => PlatformState::Available,
        Event::PlatformFailed(_) => PlatformState::Unavailable,
        _ => state.platform,
    };
    let before = std::mem::replace(&mut state.platform, platform);
    match (before, platform, event) {
        (PlatformState::Unavailable, PlatformState::Available, _) => {
            info!("platform available again");
            state.record(now, AuditEvent::PlatformBack);
        }
        (
            PlatformState::Available | PlatformState::Unknown,
            PlatformState::Unavailable,
            Event::PlatformFailed(error),
        ) => {
            info!("platform unavailable: {error}");
            state.record(now, AuditEvent::PlatformOut { why: error.to_string() });
        }
        _ => {}
    }
}

fn run_config(state: &mut ControlState, event: &Event, now: Now) {
    match event {
        Event::ConfigRead(read) => on_config_read(state, read, now),
        Event::PeerHead { peer, head } => on_peer_head(state, *peer, head, now),
        _ => {}
    }
}

fn on_peer_head(state: &mut ControlState, peer: SocketAddr, head: &Head, now: Now) {
    if state.config_state.adopt_head(head.clone()) {
        state.recorded_at_ms = now.wall_ms;
        record_config_in_force(state, format!("peer {peer}"), now);
    }
}

fn on_config_read(state: &mut ControlState, read: &ConfigRead, now: Now) {
    let version_before = version(state);
    if read.first > state.config_state.next_offset() {
        state.config_state.restore(read.first, read.records.iter().map(|(_, record)| record));
    }
    for (offset, record) in &read.records {
        let verdict = state.config_state.apply(*offset, record);
        match (record, verdict) {
            (ConfigRecord::Change(change), Some(Verdict::Refused(why))) => {
                let (change_id, why) = (change.change_id, format!("{why:?}"));
                state.record(now, AuditEvent::ChangeRefused { offset: *offset, change_id, why });
            }
            (ConfigRecord::Snapshot(snapshot), _) if snapshot.scope == state.settings.scope => {
                state.recorded_at_ms = read.newest_time_ms.unwrap_or(now.wall_ms);
            }
            _ => {}
        }
    }
    state.config_state.prune_before(read.first);
    if version(state) != version_before {
        state.recorded_at_ms = read.newest_time_ms.unwrap_or(now.wall_ms);
        record_config_in_force(state, "log".to_owned(), now);
    }
}

fn record_config_in_force(state: &mut ControlState, source: String, now: Now) {
    let Some(head) = state.config_state.head() else { return };
    let (version, change_id) = (head.offset, head.change_id);
    info!("configuration {version} in force, from {source}");
    state.record(now, AuditEvent::ConfigInForce { version, change_id, source });
}

fn version(state: &ControlState) -> Option<Offset> {
    state.config_state.head().map(|head| head.offset)
}

/// Appends a snapshot when half of the retention time of the configuration in force has passed.
///
/// Processes take turns, ordered by rendezvous hashing. It is harmless if two append one.
fn run_snapshot(state: &mut ControlState, now: Now) {
    let Some(head) = state.config_state.head() else { return };
    let retention = state.settings.log_retention_ms;
    let age_ms = now.wall_ms.saturating_sub(state.recorded_at_ms);
    // Hashing all entries on each tick would cost more than everything else here.
    if age_ms < duration_ms(retention / SNAPSHOT_AGE_DIVISOR) {
        return;
    }
    let turn =
        retention / SNAPSHOT_TURN_DIVISOR * snapshot_turn(&state.settings.process_id, head) as u32;
    let due_ms = duration_ms(retention / SNAPSHOT_AGE_DIVISOR + turn);
    if age_ms < due_ms || state.platform != PlatformState::Available {
        return;
    }
    let snapshot = state.config_state.snapshot();
    // If the append fails, the next attempt is due after the same time again.
    state.recorded_at_ms = now.wall_ms;
    state
        .side_effects
        .extend(snapshot.map(|snapshot| SideEffect::AppendSnapshot(Box::new(snapshot))));
}

/// The process's turn among the entries, which differs from version to version.
fn snapshot_turn(process: &str, head: &Head) -> usize {
    let key = head.offset.to_string();
    let entries = &head.fleet.entries;
    let by_turn = rendezvous(&key, entries, |entry| &entry.id, SNAPSHOT_TURNS);
    by_turn.iter().position(|entry| &*entry.id == process).unwrap_or(SNAPSHOT_TURNS)
}

fn run_drain(state: &mut ControlState, event: &Event, now: Now) {
    match (state.drain, event) {
        (DrainState::Serving, Event::Drain(actor)) => start_drain(state, actor.clone(), now),
        (DrainState::Draining, _) if state.running == 0 => finish_drain(state, now),
        (DrainState::Draining, _) if state.draining_for(now) >= state.settings.drain_timeout_ms => {
            finish_drain(state, now);
        }
        _ => {}
    }
}

fn start_drain(state: &mut ControlState, actor: Actor, now: Now) {
    info!("drain started by {actor:?}");
    state.drain = DrainState::Draining;
    state.draining_since = Some(now.instant);
    state.audit.push(now.wall_ms, actor, AuditEvent::DrainStarted);
}

fn finish_drain(state: &mut ControlState, now: Now) {
    let cut_off = state.running;
    info!("drain finished, {cut_off} requests cut off");
    state.drain = DrainState::Finished;
    state.record(now, AuditEvent::DrainFinished { cut_off });
}

fn run_audit(state: &mut ControlState, event: &Event, now: Now) {
    match event {
        Event::Audited(event) => state.record(now, event.clone()),
        Event::AuditAppended(result) => {
            state.audit_in_flight = false;
            if let Ok(batch) = result {
                state.audit.confirm(batch);
            }
        }
        _ => {}
    }
    let is_due = match state.audit_sent_at {
        Some(sent_at) => now.instant.duration_since(sent_at) >= AUDIT_PERIOD,
        None => true,
    };
    let is_last = state.drain == DrainState::Finished;
    let may_send = state.platform == PlatformState::Available && !state.audit_in_flight;
    if !may_send || !(is_due || is_last) {
        return;
    }
    let batch = state.audit.next_batch();
    if batch.is_empty() {
        return;
    }
    state.audit_in_flight = true;
    state.audit_sent_at = Some(now.instant);
    state.side_effects.push(SideEffect::AppendAudit(batch));
}
