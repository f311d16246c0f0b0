//! `lynxmount audit`.

use std::time::Duration;

use clap::ArgMatches;
use lynxmount_audit::{AUDIT_STREAM, AuditBatch, AuditRecord};
use lynxmount_config::CONFIG_STREAM;
use lynxmount_core::{Offset, Result};
use lynxmount_platform::{PlatformClient, StreamRead};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::{
    Exit,
    cli::{EVENT, FOLLOW, LIMIT, PROCESS},
    commands::{operator::Operator, show::describe_verdict},
    config_log::{ConfigLog, ResolvedChange},
    table::OutputFormat,
};

/// How long a long-poll read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// The event name of configuration changes.
const CHANGE_EVENT: &str = "change";

/// One row of the audit trail.
#[derive(Clone, Debug, Serialize)]
struct AuditRow {
    time_ms: u64,
    offset: Offset,
    process: String,
    actor: String,
    event: String,
    detail: Map<String, Value>,
}

/// Prints the audit trail: changes that operators applied and events that processes recorded.
pub(crate) async fn run(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, format)? else { return Ok(Exit::Invalid) };
    let scope = &operator.settings.scope;
    let mut log = operator.config_log().await?;
    let (mut next, mut rows) = (0, Vec::new());
    let on_page = |page: StreamRead<AuditBatch>| {
        next = page.next;
        rows.extend(audit_rows(page, scope));
    };
    operator.platform.read_pages_to_end(AUDIT_STREAM, 0, on_page).await?;
    rows.extend(log.changes.iter().map(change_row));
    rows.sort_by_key(|row| row.time_ms);
    rows.retain(|row| is_selected(row, matches));
    if let Some(&limit) = matches.get_one::<usize>(LIMIT) {
        rows.drain(..rows.len().saturating_sub(limit));
    }
    print_rows(&rows, format);
    while matches.get_flag(FOLLOW) {
        let mut rows = follow(&operator.platform, &mut next, &mut log, scope).await?;
        rows.retain(|row| is_selected(row, matches));
        print_rows(&rows, format);
    }
    Ok(Exit::Done)
}

async fn follow(
    platform: &PlatformClient,
    next: &mut Offset,
    log: &mut ConfigLog,
    scope: &str,
) -> Result<Vec<AuditRow>> {
    let page = platform.read(AUDIT_STREAM, *next, LONG_POLL_TIMEOUT).await?;
    *next = page.next;
    let reported = log.changes.len();
    log.refresh().await?;
    let mut rows: Vec<AuditRow> = log.changes[reported..].iter().map(change_row).collect();
    rows.extend(audit_rows(page, scope));
    Ok(rows)
}

fn audit_rows(page: StreamRead<AuditBatch>, scope: &str) -> Vec<AuditRow> {
    let of_scope = page.records.iter().filter(|record| record.data.scope == scope);
    of_scope
        .flat_map(|record| {
            record.data.records.iter().map(|audit| process_row(record.offset, audit))
        })
        .collect()
}

fn process_row(offset: Offset, record: &AuditRecord) -> AuditRow {
    let actor = serde_json::to_value(&record.actor).unwrap_or_default();
    let mut detail = match serde_json::to_value(&record.event) {
        Ok(Value::Object(detail)) => detail,
        _ => Map::new(),
    };
    let event = detail.remove("event").unwrap_or_default();
    AuditRow {
        time_ms: record.time_ms,
        offset,
        process: record.process.to_string(),
        actor: format_actor(&actor),
        event: event.as_str().unwrap_or_default().to_owned(),
        detail,
    }
}

fn change_row(resolved: &ResolvedChange) -> AuditRow {
    let change = &resolved.change;
    let mut detail = Map::new();
    detail.insert("change_id".to_owned(), change.change_id.to_string().into());
    detail.insert("base".to_owned(), change.base.into());
    detail.insert("result".to_owned(), describe_verdict(&resolved.verdict).into());
    AuditRow {
        time_ms: resolved.time_ms,
        offset: resolved.offset,
        process: CONFIG_STREAM.to_owned(),
        actor: format!("operator {}", change.author),
        event: CHANGE_EVENT.to_owned(),
        detail,
    }
}

/// Formats an actor as `operator NAME`, `process NAME` or `signal`.
fn format_actor(actor: &Value) -> String {
    match actor {
        Value::Object(object) => {
            let parts =
                object.iter().map(|(k, v)| format!("{k} {}", v.as_str().unwrap_or_default()));
            parts.collect::<Vec<String>>().join(" ")
        }
        other => other.as_str().unwrap_or_default().to_owned(),
    }
}

fn is_selected(row: &AuditRow, matches: &ArgMatches) -> bool {
    let is_match = |argument: &str, value: &str| {
        matches.get_one::<String>(argument).is_none_or(|selected| selected == value)
    };
    is_match(EVENT, &row.event) && is_match(PROCESS, &row.process)
}

fn print_rows(rows: &[AuditRow], format: OutputFormat) {
    if rows.is_empty() {
        return;
    }
    format.print(&["TIME_MS", "OFFSET", "PROCESS", "ACTOR", "EVENT", "DETAIL"], rows, |row| {
        let detail = row.detail.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        });
        vec![
            row.time_ms.to_string(),
            row.offset.to_string(),
            row.process.clone(),
            row.actor.clone(),
            row.event.clone(),
            detail.collect::<Vec<String>>().join(" "),
        ]
    });
}
