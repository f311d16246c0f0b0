//! What operators' commands have in common: files, settings and complaints.

use anyhow::Context;
use clap::ArgMatches;
use lynxmount_config::{
    Diagnostics, Fleet, OperatorSettings, parse_fleet, parse_operator_settings,
};
use lynxmount_platform::PlatformClient;

use crate::{
    cli::{FILE, SETTINGS},
    config_log::ConfigLog,
    table::{OutputForm, print_json},
};

/// An operator's settings and the platform that they name.
pub(crate) struct Operator {
    pub(crate) settings: OperatorSettings,
    pub(crate) platform: PlatformClient,
}

impl Operator {
    /// Reads the settings that the command names.
    ///
    /// `Ok(Err)` if they are invalid; fails if the file can't be read.
    pub(crate) fn from_matches(
        matches: &ArgMatches,
        form: OutputForm,
    ) -> anyhow::Result<Option<Operator>> {
        let settings = read_file(matches, SETTINGS, parse_operator_settings, form)?;
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

/// Reads the fleet file that the command names; `None` if it is invalid, after
/// the complaints were printed.
///
/// Fails if the file can't be read.
pub(crate) fn read_fleet(matches: &ArgMatches, form: OutputForm) -> anyhow::Result<Option<Fleet>> {
    read_file(matches, FILE, parse_fleet, form)
}

/// Reads and checks a file; `None` if it is invalid, after the complaints were
/// printed.
///
/// Fails if the file can't be read.
pub(crate) fn read_file<T>(
    matches: &ArgMatches,
    argument: &str,
    parse: impl FnOnce(&str, &str) -> Result<T, Diagnostics>,
    form: OutputForm,
) -> anyhow::Result<Option<T>> {
    let file = matches.get_one::<String>(argument).context("the argument is required")?;
    let text = std::fs::read_to_string(file).with_context(|| format!("read {file}"))?;
    match parse(file, &text) {
        Ok(value) => Ok(Some(value)),
        Err(complaints) => {
            print_complaints(&complaints, form);
            Ok(None)
        }
    }
}

fn print_complaints(complaints: &Diagnostics, form: OutputForm) {
    match form {
        OutputForm::Json => complaints.0.iter().for_each(print_json),
        OutputForm::Table => eprintln!("{complaints}"),
    }
}
