//! `lynxmount config diff`, `show` and `history`.

use anyhow::{Context, bail};
use clap::ArgMatches;
use lynxmount_config::{DiffEntry, Fleet, Verdict, diff_fleets};
use lynxmount_core::{ChangeId, Offset};
use serde::Serialize;
use serde_json::Value;

use crate::{
    Exit,
    cli::VERSION,
    commands::operator::{Operator, read_fleet},
    config_log::ResolvedChange,
    table::OutputFormat,
};

/// Prints what applying a file would change.
pub(crate) async fn run_diff(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, format)? else { return Ok(Exit::Invalid) };
    let Some(fleet) = read_fleet(matches, format)? else { return Ok(Exit::Invalid) };
    let log = operator.config_log().await?;
    let head = log.config_state.head().map(|head| &*head.fleet);
    print_diff(&diff_fleets(head, &fleet), format);
    Ok(Exit::Done)
}

/// Prints the differences between two fleets.
pub(crate) fn print_diff(entries: &[DiffEntry], format: OutputFormat) {
    format.print(&["PATH", "WHAT", "BEFORE", "AFTER"], entries, |entry| {
        let what = serde_json::to_value(entry.kind).unwrap_or_default();
        vec![
            entry.path.clone(),
            what.as_str().unwrap_or_default().to_owned(),
            format_cell(&entry.before),
            format_cell(&entry.after),
        ]
    });
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    }
}

/// Prints the fleet in force, or that of an earlier version, as JSON.
pub(crate) async fn run_show(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let operator = Operator::from_matches(matches, OutputFormat::Table)?;
    let Some(operator) = operator else { return Ok(Exit::Invalid) };
    let log = operator.config_log().await?;
    let fleet: &Fleet = match matches.get_one::<Offset>(VERSION) {
        None => &log.config_state.head().context("no fleet file was ever accepted")?.fleet,
        Some(&version) => match log.change_at(version) {
            Some(resolved) if resolved.verdict == Verdict::Accepted => &resolved.fleet,
            Some(_) => bail!("version {version} was not accepted"),
            None => bail!("the log has no version {version}"),
        },
    };
    println!("{}", serde_json::to_string_pretty(fleet)?);
    Ok(Exit::Done)
}

#[derive(Serialize)]
struct HistoryRow {
    version: Offset,
    time_ms: u64,
    author: String,
    base: Option<Offset>,
    change_id: ChangeId,
    result: Verdict,
}

/// Lists all changes that the log retains.
pub(crate) async fn run_history(
    matches: &ArgMatches,
    format: OutputFormat,
) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, format)? else { return Ok(Exit::Invalid) };
    let log = operator.config_log().await?;
    let rows: Vec<HistoryRow> = log.changes.iter().map(history_row).collect();
    format.print(&["VERSION", "TIME_MS", "AUTHOR", "BASE", "CHANGE", "RESULT"], &rows, |row| {
        vec![
            row.version.to_string(),
            row.time_ms.to_string(),
            row.author.clone(),
            row.base.map_or("-".to_owned(), |base| base.to_string()),
            row.change_id.to_string(),
            describe_verdict(&row.result),
        ]
    });
    Ok(Exit::Done)
}

fn history_row(resolved: &ResolvedChange) -> HistoryRow {
    HistoryRow {
        version: resolved.offset,
        time_ms: resolved.time_ms,
        author: resolved.change.author.clone(),
        base: resolved.change.base,
        change_id: resolved.change.change_id,
        result: resolved.verdict.clone(),
    }
}

/// Describes a verdict on a change in words.
pub(crate) fn describe_verdict(verdict: &Verdict) -> String {
    use lynxmount_config::ChangeRefusal;
    match verdict {
        Verdict::Accepted => "accepted".to_owned(),
        Verdict::Repeated { of } => format!("repeats {of}"),
        Verdict::Refused(ChangeRefusal::DigestWrong) => "refused: wrong digest".to_owned(),
        Verdict::Refused(ChangeRefusal::Overtaken { by, author }) => {
            let by = by.map_or("no version".to_owned(), |by| format!("version {by}"));
            let author = author.as_deref().unwrap_or("nobody");
            format!("refused: {by} of {author} is in force")
        }
    }
}
