//! `lynxmount audit`.

use std::time::Duration;

use clap::ArgMatches;
use lynxmount_audit::{AUDIT_STREAM, AuditBatch, AuditRecord};
use lynxmount_config::CONFIG_STREAM;
use lynxmount_core::{Offset, Result};
use lynxmount_platform::{Page, PlatformClient};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::{
    Exit,
    cli::{EVENT, FOLLOW, LIMIT, PROCESS},
    commands::{operator::Operator, show::describe},
    config_log::{ConfigLog, JudgedChange},
    table::OutputForm,
};

/// How long a read waits for new records.
const LONG_POLL: Duration = Duration::from_secs(5);

/// The event under which changes are listed.
const CHANGE_EVENT: &str = "change";

/// One row of the trail.
#[derive(Clone, Debug, Serialize)]
struct AuditRow {
    time_ms: u64,
    offset: Offset,
    process: String,
    actor: String,
    event: String,
    detail: Map<String, Value>,
}

/// Prints the trail: what operators applied and what processes did.
pub(crate) async fn run(matches: &ArgMatches, form: OutputForm) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, form)? else { return Ok(Exit::Invalid) };
    let scope = &operator.settings.scope;
    let mut log = operator.config_log().await?;
    let page = operator.platform.read_to_end(AUDIT_STREAM, 0).await?;
    let mut next = next_offset(&page);
    let mut rows = rows_of(page, scope);
    rows.extend(log.changes.iter().map(change_row));
    rows.sort_by_key(|row| row.time_ms);
    rows.retain(|row| is_wanted(row, matches));
    if let Some(&limit) = matches.get_one::<usize>(LIMIT) {
        rows.drain(..rows.len().saturating_sub(limit));
    }
    print_rows(&rows, form);
    while matches.get_flag(FOLLOW) {
        let mut rows = follow(&operator.platform, &mut next, &mut log, scope).await?;
        rows.retain(|row| is_wanted(row, matches));
        print_rows(&rows, form);
    }
    Ok(Exit::Done)
}

async fn follow(
    platform: &PlatformClient,
    next: &mut Offset,
    log: &mut ConfigLog,
    scope: &str,
) -> Result<Vec<AuditRow>> {
    let page = platform.read(AUDIT_STREAM, *next, LONG_POLL).await?;
    *next = next_offset(&page).max(*next);
    let known = log.changes.len();
    log.read_on().await?;
    let mut rows: Vec<AuditRow> = log.changes[known..].iter().map(change_row).collect();
    rows.extend(rows_of(page, scope));
    Ok(rows)
}

fn next_offset(page: &Page) -> Offset {
    page.records.last().map_or(page.end, |record| record.offset + 1)
}

fn rows_of(page: Page, scope: &str) -> Vec<AuditRow> {
    let mut rows = Vec::new();
    for record in page.records {
        let Ok(batch) = serde_json::from_value::<AuditBatch>(record.data) else { continue };
        if batch.scope == scope {
            rows.extend(batch.records.iter().map(|audit| process_row(record.offset, audit)));
        }
    }
    rows
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
        actor: short(&actor),
        event: event.as_str().unwrap_or_default().to_owned(),
        detail,
    }
}

fn change_row(judged: &JudgedChange) -> AuditRow {
    let change = &judged.change;
    let mut detail = Map::new();
    detail.insert("change_id".to_owned(), change.change_id.to_string().into());
    detail.insert("base".to_owned(), change.base.into());
    detail.insert("result".to_owned(), describe(&judged.verdict).into());
    AuditRow {
        time_ms: judged.time_ms,
        offset: judged.offset,
        process: CONFIG_STREAM.to_owned(),
        actor: format!("operator {}", change.author),
        event: CHANGE_EVENT.to_owned(),
        detail,
    }
}

/// Writes an actor as `operator NAME`, `process NAME` or `signal`.
fn short(actor: &Value) -> String {
    match actor {
        Value::Object(object) => {
            let parts =
                object.iter().map(|(k, v)| format!("{k} {}", v.as_str().unwrap_or_default()));
            parts.collect::<Vec<String>>().join(" ")
        }
        other => other.as_str().unwrap_or_default().to_owned(),
    }
}

fn is_wanted(row: &AuditRow, matches: &ArgMatches) -> bool {
    let is = |argument: &str, value: &str| {
        matches.get_one::<String>(argument).is_none_or(|wanted| wanted == value)
    };
    is(EVENT, &row.event) && is(PROCESS, &row.process)
}

fn print_rows(rows: &[AuditRow], form: OutputForm) {
    if rows.is_empty() {
        return;
    }
    form.print(&["TIME_MS", "OFFSET", "PROCESS", "ACTOR", "EVENT", "DETAIL"], rows, |row| {
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
