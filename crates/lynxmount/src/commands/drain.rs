//! `lynxmount drain`.

use anyhow::{Context, bail};
use clap::ArgMatches;
use lynxmount_node::ControlClient;

use crate::{
    Exit,
    cli::PROCESSES,
    commands::{operator::Operator, status::members},
    table::OutputForm,
};

/// Asks processes to leave.
pub(crate) async fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let operator = Operator::from_matches(matches, OutputForm::Table)?;
    let Some(operator) = operator else { return Ok(Exit::Invalid) };
    let log = operator.config_log().await?;
    let head = log.config_state.head().context("no fleet file was ever accepted")?;
    let members = members(&head.fleet);
    let wanted: Vec<&String> = matches.get_many(PROCESSES).into_iter().flatten().collect();
    // All names are checked before the first process is asked.
    for id in &wanted {
        if !members.iter().any(|member| *member.id == ***id) {
            bail!("the fleet in force has no process \"{id}\"");
        }
    }
    for member in members.iter().filter(|member| wanted.iter().any(|id| ***id == *member.id)) {
        let client = ControlClient::new(member.control_address)?;
        client.drain(&operator.settings.author).await?;
        println!("{} drains", member.id);
    }
    Ok(Exit::Done)
}
