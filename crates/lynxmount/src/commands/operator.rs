//! Shared parts of the operators' commands: reading files and settings, printing diagnostics.

use anyhow::Context;
use clap::ArgMatches;
use lynxmount_config::{
    Diagnostics, Fleet, OperatorSettings, parse_fleet, parse_operator_settings,
};
use lynxmount_platform::PlatformClient;

use crate::{
    cli::{FILE, SETTINGS},
    config_log::ConfigLog,
    table::{OutputFormat, print_json},
};

/// An operator's settings and a client of the platform at their address.
pub(crate) struct Operator {
    pub(crate) settings: OperatorSettings,
    pub(crate) platform: PlatformClient,
}

impl Operator {
    /// Reads the settings file given on the command line.
    ///
    /// `Ok(None)` if it is invalid; fails if the file can't be read.
    pub(crate) fn from_matches(
        matches: &ArgMatches,
        format: OutputFormat,
    ) -> anyhow::Result<Option<Operator>> {
        let settings = read_file(matches, SETTINGS, parse_operator_settings, format)?;
        Ok(settings.map(|settings| {
            let platform = PlatformClient::new(settings.platform_address);
            Operator { settings, platform }
        }))
    }

    /// Reads the configuration stream.
    ///
    /// Fails if the platform can't be reached.
    pub(crate) async fn config_log(&self) -> anyhow::Result<ConfigLog> {
        Ok(ConfigLog::read(self.platform.clone(), &self.settings.scope).await?)
    }
}

/// Reads the fleet file given on the command line; prints the diagnostics and returns `None` if it
/// is invalid.
///
/// Fails if the file can't be read.
pub(crate) fn read_fleet(
    matches: &ArgMatches,
    format: OutputFormat,
) -> anyhow::Result<Option<Fleet>> {
    read_file(matches, FILE, parse_fleet, format)
}

/// Reads and parses a file; prints the diagnostics and returns `None` if it is invalid.
///
/// Fails if the file can't be read.
pub(crate) fn read_file<T>(
    matches: &ArgMatches,
    argument: &str,
    parse: impl FnOnce(&str, &str) -> Result<T, Diagnostics>,
    format: OutputFormat,
) -> anyhow::Result<Option<T>> {
    let file = matches.get_one::<String>(argument).context("the argument is required")?;
    let text = std::fs::read_to_string(file).with_context(|| format!("read {file}"))?;
    match parse(file, &text) {
        Ok(value) => Ok(Some(value)),
        Err(diagnostics) => {
            print_diagnostics(&diagnostics, format);
            Ok(None)
        }
    }
}

fn print_diagnostics(diagnostics: &Diagnostics, format: OutputFormat) {
    match format {
        OutputFormat::Json => diagnostics.0.iter().for_each(print_json),
        OutputFormat::Table => eprintln!("{diagnostics}"),
    }
}
