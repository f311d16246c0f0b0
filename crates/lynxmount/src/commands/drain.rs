//! `lynxmount drain`.

use anyhow::{Context, bail};
use clap::ArgMatches;
use lynxmount_node::ControlClient;

use crate::{
    Exit,
    cli::PROCESSES,
    commands::{operator::Operator, status::fleet_members},
    table::OutputFormat,
};

/// Asks processes to drain.
pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let operator = Operator::from_matches(matches, OutputFormat::Table)?;
    let Some(operator) = operator else { return Ok(Exit::Invalid) };
    let log = operator.config_log().await?;
    let head = log.config_state.head().context("no fleet file was ever accepted")?;
    let members = fleet_members(&head.fleet);
    let ids: Vec<&String> = matches.get_many(PROCESSES).into_iter().flatten().collect();
    // All ids are checked before the first process is asked, so that a wrong one drains nothing.
    for id in &ids {
        if !members.iter().any(|member| *member.id == ***id) {
            bail!("the fleet in force has no process \"{id}\"");
        }
    }
    for member in members.iter().filter(|member| ids.iter().any(|id| ***id == *member.id)) {
        let client = ControlClient::new(member.control_address)?;
        client.drain(&operator.settings.author).await?;
        println!("{} drains", member.id);
    }
    Ok(Exit::Done)
}
