//! `lynxmount entry` and `lynxmount endpoint`.

use clap::ArgMatches;
use lynxmount_config::{parse_endpoint_settings, parse_entry_settings};
use lynxmount_node::init_logging;

use crate::{Exit, cli::SETTINGS, commands::operator::read_file, table::OutputFormat};

/// Runs an entry process until it has drained.
pub(crate) fn run_entry(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = read_file(matches, SETTINGS, parse_entry_settings, OutputFormat::Table)?;
    let Some(settings) = settings else { return Ok(Exit::Invalid) };
    init_logging(&settings.process.process_id)?;
    lynxmount_entry::run(settings)?;
    Ok(Exit::Done)
}

/// Runs an endpoint process until it has drained.
pub(crate) fn run_endpoint(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let settings = read_file(matches, SETTINGS, parse_endpoint_settings, OutputFormat::Table)?;
    let Some(settings) = settings else { return Ok(Exit::Invalid) };
    init_logging(&settings.process.process_id)?;
    lynxmount_endpoint::run(settings)?;
    Ok(Exit::Done)
}
