//! `lynxmount config check`.

use clap::ArgMatches;
use lynxmount_config::{
    parse_balance_settings, parse_endpoint_settings, parse_entry_settings, parse_fleet,
    parse_operator_settings,
};

use crate::{
    Exit,
    cli::{FILE, KIND},
    commands::operator::read_file,
    table::OutputFormat,
};

/// Checks a file and prints all diagnostics.
pub(crate) fn run(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    let kind = matches.get_one::<String>(KIND).map(String::as_str);
    let is_valid = match kind {
        Some("balance") => read_file(matches, FILE, parse_balance_settings, format)?.is_some(),
        Some("entry") => read_file(matches, FILE, parse_entry_settings, format)?.is_some(),
        Some("endpoint") => read_file(matches, FILE, parse_endpoint_settings, format)?.is_some(),
        Some("operator") => read_file(matches, FILE, parse_operator_settings, format)?.is_some(),
        _ => read_file(matches, FILE, parse_fleet, format)?.is_some(),
    };
    match is_valid {
        true => {
            eprintln!("valid");
            Ok(Exit::Done)
        }
        false => Ok(Exit::Invalid),
    }
}
