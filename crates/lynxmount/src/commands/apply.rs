//! `lynxmount config apply`.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use lynxmount_config::{
    CONFIG_STREAM, ChangeRecord, ChangeRefusal, ConfigRecord, Fleet, FleetDigest, Verdict,
    diff_fleets,
};
use lynxmount_core::{Cause, ChangeId, Offset};
use uuid::Uuid;

use crate::{
    Exit,
    cli::{BASE, CHANGE_ID, TIMEOUT_MS},
    commands::{
        operator::{Operator, read_fleet},
        show::{describe_verdict, print_diff},
        status::{fleet_members, print_status, query_all},
    },
    config_log::{ConfigLog, ResolvedChange},
    table::OutputFormat,
};

/// How long to look for a change whose append got no response.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time between two reads of the log or of the processes' status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Applies a fleet file and waits until every process has it in force.
pub(crate) async fn run(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, format)? else { return Ok(Exit::Invalid) };
    let Some(fleet) = read_fleet(matches, format)? else { return Ok(Exit::Invalid) };
    if fleet.scope != operator.settings.scope {
        let (file, settings) = (&fleet.scope, &operator.settings.scope);
        eprintln!("lynxmount: the file is of scope \"{file}\", the settings of \"{settings}\"");
        return Ok(Exit::Invalid);
    }
    let mut log = operator.config_log().await?;
    let change_id = matches.get_one(CHANGE_ID).copied().unwrap_or_else(Uuid::new_v4);
    if let Some(existing) = find_change(&log, change_id) {
        let existing = existing.clone();
        return report_outcome(&existing, &log, matches, format).await;
    }
    let head = log.config_state.head();
    if head.is_some_and(|head| head.digest == FleetDigest::of(&fleet)) {
        eprintln!("this fleet is in force already");
        return Ok(Exit::Done);
    }
    let author = operator.settings.author.clone();
    let mut change = ChangeRecord::new(change_id, head, author, &fleet);
    if let Some(&base) = matches.get_one::<Offset>(BASE) {
        change.base = Some(base);
    }
    if let Err(error) = append(&operator, &change).await {
        eprintln!("lynxmount: {error}; nothing was changed");
        return Ok(Exit::Failed);
    }
    match resolve_append(&mut log, change_id).await {
        Some(resolved) => report_outcome(&resolved, &log, matches, format).await,
        None => {
            eprintln!(
                "lynxmount: append to log: {}: it is not known whether the change was recorded; \
                 repeat the command with --change-id {change_id}",
                operator.settings.platform_address
            );
            Ok(Exit::Failed)
        }
    }
}

/// Appends a change once. A lost response is no failure: reading the log resolves the outcome.
async fn append(operator: &Operator, change: &ChangeRecord) -> lynxmount_core::Result<()> {
    match operator
        .platform
        .append(CONFIG_STREAM, &ConfigRecord::Change(Box::new(change.clone())))
        .await
    {
        Ok(_) => Ok(()),
        Err(error) => match error.cause {
            Cause::Indeterminate | Cause::TimedOut => Ok(()),
            Cause::Invalid | Cause::Refused | Cause::Unreachable => Err(error),
        },
    }
}

/// Reads the log until it contains the change; `None` if it does not within the timeout.
async fn resolve_append(log: &mut ConfigLog, change_id: ChangeId) -> Option<ResolvedChange> {
    let started = Instant::now();
    while started.elapsed() < RESOLVE_TIMEOUT {
        // Errors are ignored, as an outage may end before the timeout.
        let _ = log.refresh().await;
        if let Some(resolved) = find_change(log, change_id) {
            return Some(resolved.clone());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

fn find_change(log: &ConfigLog, change_id: ChangeId) -> Option<&ResolvedChange> {
    log.changes.iter().find(|resolved| resolved.change.change_id == change_id)
}

async fn report_outcome(
    resolved: &ResolvedChange,
    log: &ConfigLog,
    matches: &ArgMatches,
    format: OutputFormat,
) -> anyhow::Result<Exit> {
    let (version, change_id) = (resolved.offset, resolved.change.change_id);
    eprintln!("change {change_id} at version {version}: {}", describe_verdict(&resolved.verdict));
    match &resolved.verdict {
        Verdict::Accepted => Ok(wait_in_force(version, &resolved.fleet, matches, format).await),
        Verdict::Refused(ChangeRefusal::Overtaken { by: Some(by), .. }) => {
            let winner = log.change_at(*by).map(|winner| &winner.fleet);
            let base = resolved.change.base.and_then(|base| log.change_at(base));
            if let Some(winner) = winner {
                eprintln!("what the other change did:");
                let base = base.map(|base| &*base.fleet);
                print_diff(&diff_fleets(base, winner), format);
            }
            Ok(Exit::Failed)
        }
        Verdict::Refused(_) | Verdict::Repeated { .. } => Ok(Exit::Failed),
    }
}

/// Waits until every process of the new fleet has the version in force, or until the timeout.
async fn wait_in_force(
    version: Offset,
    fleet: &Fleet,
    matches: &ArgMatches,
    format: OutputFormat,
) -> Exit {
    let timeout = Duration::from_millis(matches.get_one(TIMEOUT_MS).copied().unwrap_or_default());
    let members = fleet_members(fleet);
    let started = Instant::now();
    loop {
        let rows = query_all(&members).await;
        let is_everywhere = rows.iter().all(|row| row.is_at(version));
        if is_everywhere || started.elapsed() >= timeout {
            print_status(&rows, format);
        }
        match is_everywhere {
            true => {
                eprintln!("in force everywhere after {} ms", started.elapsed().as_millis());
                return Exit::Done;
            }
            false if started.elapsed() >= timeout => {
                eprintln!("lynxmount: accepted, but not in force everywhere yet");
                return Exit::Failed;
            }
            false => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
