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
        show::{describe, print_differences},
        status::{ask_all, members, print_status},
    },
    config_log::{ConfigLog, JudgedChange},
    table::OutputForm,
};

/// How long to look for a change whose append had no answer.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between looks at the log or at the processes.
const PAUSE: Duration = Duration::from_millis(50);

/// Puts a fleet file in force and waits until it is in force everywhere.
pub(crate) async fn run(matches: &ArgMatches, form: OutputForm) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, form)? else { return Ok(Exit::Invalid) };
    let Some(fleet) = read_fleet(matches, form)? else { return Ok(Exit::Invalid) };
    if fleet.scope != operator.settings.scope {
        let (file, settings) = (&fleet.scope, &operator.settings.scope);
        eprintln!("lynxmount: the file is of scope \"{file}\", the settings of \"{settings}\"");
        return Ok(Exit::Invalid);
    }
    let mut log = operator.config_log().await?;
    let change_id = matches.get_one(CHANGE_ID).copied().unwrap_or_else(Uuid::new_v4);
    if let Some(known) = find(&log, change_id) {
        let known = known.clone();
        return report(&known, &log, matches, form).await;
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
    match resolve(&mut log, change_id).await {
        Some(judged) => report(&judged, &log, matches, form).await,
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

/// Appends a change once; a lost answer is no failure, as the log will tell.
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

/// Reads the log until it shows the change.
async fn resolve(log: &mut ConfigLog, change_id: ChangeId) -> Option<JudgedChange> {
    let started = Instant::now();
    while started.elapsed() < RESOLVE_TIMEOUT {
        // An outage may end within the time.
        let _ = log.read_on().await;
        if let Some(judged) = find(log, change_id) {
            return Some(judged.clone());
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

fn find(log: &ConfigLog, change_id: ChangeId) -> Option<&JudgedChange> {
    log.changes.iter().find(|judged| judged.change.change_id == change_id)
}

async fn report(
    judged: &JudgedChange,
    log: &ConfigLog,
    matches: &ArgMatches,
    form: OutputForm,
) -> anyhow::Result<Exit> {
    let (version, change_id) = (judged.offset, judged.change.change_id);
    eprintln!("change {change_id} at version {version}: {}", describe(&judged.verdict));
    match &judged.verdict {
        Verdict::Accepted => Ok(wait_in_force(version, &judged.fleet, matches, form).await),
        Verdict::Refused(ChangeRefusal::Overtaken { by: Some(by), .. }) => {
            let winner = log.at(*by).map(|winner| &winner.fleet);
            let base = judged.change.base.and_then(|base| log.at(base));
            if let Some(winner) = winner {
                eprintln!("what the other change did:");
                let base = base.map(|base| &*base.fleet);
                print_differences(&diff_fleets(base, winner), form);
            }
            Ok(Exit::Failed)
        }
        Verdict::Refused(_) | Verdict::Repeated { .. } => Ok(Exit::Failed),
    }
}

/// Waits until every process of the new fleet has the version in force.
async fn wait_in_force(
    version: Offset,
    fleet: &Fleet,
    matches: &ArgMatches,
    form: OutputForm,
) -> Exit {
    let timeout = Duration::from_millis(matches.get_one(TIMEOUT_MS).copied().unwrap_or_default());
    let members = members(fleet);
    let started = Instant::now();
    loop {
        let rows = ask_all(&members).await;
        let is_everywhere = rows.iter().all(|row| row.is_at(version));
        if is_everywhere || started.elapsed() >= timeout {
            print_status(&rows, form);
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
            false => tokio::time::sleep(PAUSE).await,
        }
    }
}
