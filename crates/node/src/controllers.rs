//! The controllers and the order in which they run.
//!
//! | controller | reads | writes |
//! |---|---|---|
//! | `Platform` | reads and failures of the log | `platform`, `audit` |
//! | `Config` | records of the log, heads of peers | `config_state`, `recorded_at_ms`, `audit` |
//! | `Snapshot` | `config_state`, `recorded_at_ms`, `platform` | `recorded_at_ms`, `orders` |
//! | `Drain` | orders to leave, `running` | `drain`, `drain_since`, `audit` |
//! | `Audit` | `audit`, `platform` | `audit_in_flight`, `audit_sent_at`, `orders` |

use std::{net::SocketAddr, time::Duration};

use log::info;
use lynxmount_audit::{Actor, AuditEvent};
use lynxmount_config::{ConfigRecord, Head, Verdict};
use lynxmount_core::{Offset, duration_ms};
use lynxmount_policy::rendezvous;

use crate::{
    control_state::{ConfigRead, ControlState, Event, Now, Order, PlatformState},
    view::DrainState,
};

/// How long records wait for others to share their append.
const AUDIT_PERIOD: Duration = Duration::from_millis(500);

/// The part of the log's retention after which a snapshot is due.
const SNAPSHOT_AFTER_PART: u32 = 2;

/// The part of the log's retention by which each further process waits longer
/// for the one before it to append the snapshot.
const SNAPSHOT_TURN_PART: u32 = 64;

/// How many processes take turns; all others wait like the last of these.
const SNAPSHOT_TURNS: usize = 16;

/// The closed set of controllers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Controller {
    Audit,
    Config,
    Drain,
    Platform,
    Snapshot,
}

/// The order in which controllers run after each event.
const ORDER: [Controller; 5] = [
    Controller::Platform,
    Controller::Config,
    Controller::Snapshot,
    Controller::Drain,
    Controller::Audit,
];

/// Lets all controllers see an event.
pub(crate) fn run_all(board: &mut ControlState, event: &Event, now: Now) {
    for controller in ORDER {
        match controller {
            Controller::Audit => run_audit(board, event, now),
            Controller::Config => run_config(board, event, now),
            Controller::Drain => run_drain(board, event, now),
            Controller::Platform => run_platform(board, event, now),
            Controller::Snapshot => run_snapshot(board, now),
        }
    }
}

fn run_platform(board: &mut ControlState, event: &Event, now: Now) {
    let state = match event {
        Event::ConfigRead(_) => PlatformState::Available,
        Event::PlatformFailed(_) => PlatformState::Unavailable,
        _ => board.platform,
    };
    let before = std::mem::replace(&mut board.platform, state);
    match (before, state, event) {
        (PlatformState::Unavailable, PlatformState::Available, _) => {
            info!("platform is back");
            board.record(now, AuditEvent::PlatformBack);
        }
        (
            PlatformState::Available | PlatformState::Unknown,
            PlatformState::Unavailable,
            Event::PlatformFailed(error),
        ) => {
            info!("platform is out: {error}");
            board.record(now, AuditEvent::PlatformOut { why: error.to_string() });
        }
        _ => {}
    }
}

fn run_config(board: &mut ControlState, event: &Event, now: Now) {
    match event {
        Event::ConfigRead(read) => take_read(board, read, now),
        Event::PeerHead { peer, head } => take_peer_head(board, *peer, head, now),
        _ => {}
    }
}

fn take_peer_head(board: &mut ControlState, peer: SocketAddr, head: &Head, now: Now) {
    if board.config_state.adopt_head(head.clone()) {
        board.recorded_at_ms = now.wall_ms;
        note_in_force(board, format!("peer {peer}"), now);
    }
}

fn take_read(board: &mut ControlState, read: &ConfigRead, now: Now) {
    let version_before = version(board);
    if read.first > board.config_state.next_offset() {
        board.config_state.restore(read.first, read.records.iter().map(|(_, record)| record));
    }
    for (offset, record) in &read.records {
        let verdict = board.config_state.apply(*offset, record);
        match (record, verdict) {
            (ConfigRecord::Change(change), Some(Verdict::Refused(why))) => {
                let (change_id, why) = (change.change_id, format!("{why:?}"));
                board.record(now, AuditEvent::ChangeRefused { offset: *offset, change_id, why });
            }
            (ConfigRecord::Snapshot(snapshot), _) if snapshot.scope == board.settings.scope => {
                board.recorded_at_ms = read.newest_time_ms.unwrap_or(now.wall_ms);
            }
            _ => {}
        }
    }
    board.config_state.prune_before(read.first);
    if version(board) != version_before {
        board.recorded_at_ms = read.newest_time_ms.unwrap_or(now.wall_ms);
        note_in_force(board, "log".to_owned(), now);
    }
}

fn note_in_force(board: &mut ControlState, source: String, now: Now) {
    let Some(head) = board.config_state.head() else { return };
    let (version, change_id) = (head.offset, head.change_id);
    info!("configuration {version} is in force, from {source}");
    board.record(now, AuditEvent::ConfigInForce { version, change_id, source });
}

fn version(board: &ControlState) -> Option<Offset> {
    board.config_state.head().map(|head| head.offset)
}

/// Appends a snapshot when half of the retention of what is in force is over.
///
/// Processes wait for each other by rank. It does no harm if two append one.
fn run_snapshot(board: &mut ControlState, now: Now) {
    let Some(head) = board.config_state.head() else { return };
    let retention = board.settings.log_retention_ms;
    let age_ms = now.wall_ms.saturating_sub(board.recorded_at_ms);
    // Ranking all entries on each tick would cost more than all else here.
    if age_ms < duration_ms(retention / SNAPSHOT_AFTER_PART) {
        return;
    }
    let turn = retention / SNAPSHOT_TURN_PART * turn_of(&board.settings.process_id, head) as u32;
    let due_ms = duration_ms(retention / SNAPSHOT_AFTER_PART + turn);
    if age_ms < due_ms || board.platform != PlatformState::Available {
        return;
    }
    let snapshot = board.config_state.snapshot();
    // If the append fails, the next try is due after as long again.
    board.recorded_at_ms = now.wall_ms;
    board.orders.extend(snapshot.map(|snapshot| Order::AppendSnapshot(Box::new(snapshot))));
}

/// The process's place among the entries, which differs from version to version.
fn turn_of(process: &str, head: &Head) -> usize {
    let key = head.offset.to_string();
    let entries = &head.fleet.entries;
    let first = rendezvous(&key, entries, |entry| &entry.id, SNAPSHOT_TURNS);
    first.iter().position(|entry| &*entry.id == process).unwrap_or(SNAPSHOT_TURNS)
}

fn run_drain(board: &mut ControlState, event: &Event, now: Now) {
    match (board.drain, event) {
        (DrainState::Serving, Event::Drain(actor)) => start_drain(board, actor.clone(), now),
        (DrainState::Draining, _) if board.running == 0 => finish_drain(board, now),
        (DrainState::Draining, _) if board.draining_for(now) >= board.settings.drain_timeout_ms => {
            finish_drain(board, now);
        }
        _ => {}
    }
}

fn start_drain(board: &mut ControlState, actor: Actor, now: Now) {
    info!("draining, asked by {actor:?}");
    board.drain = DrainState::Draining;
    board.drain_since = Some(now.instant);
    board.audit.push(now.wall_ms, actor, AuditEvent::DrainStarted);
}

fn finish_drain(board: &mut ControlState, now: Now) {
    let cut_off = board.running;
    info!("drained, {cut_off} requests cut off");
    board.drain = DrainState::Finished;
    board.record(now, AuditEvent::DrainFinished { cut_off });
}

fn run_audit(board: &mut ControlState, event: &Event, now: Now) {
    match event {
        Event::Audited(event) => board.record(now, event.clone()),
        Event::AuditAppended(result) => {
            board.audit_in_flight = false;
            if let Ok(batch) = result {
                board.audit.confirm(batch);
            }
        }
        _ => {}
    }
    let is_due = match board.audit_sent_at {
        Some(sent_at) => now.instant.duration_since(sent_at) >= AUDIT_PERIOD,
        None => true,
    };
    let is_last = board.drain == DrainState::Finished;
    let may_send = board.platform == PlatformState::Available && !board.audit_in_flight;
    if !may_send || !(is_due || is_last) {
        return;
    }
    let batch = board.audit.next_batch();
    if batch.is_empty() {
        return;
    }
    board.audit_in_flight = true;
    board.audit_sent_at = Some(now.instant);
    board.orders.push(Order::AppendAudit(batch));
}
