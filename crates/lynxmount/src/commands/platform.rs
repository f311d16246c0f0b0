//! `lynxmount platform-entry` and `lynxmount platform-endpoint`: the processes that run on the
//! users' platform.

use std::{env, fs};

use anyhow::Context;
use clap::ArgMatches;
use lynxmount_adapter::{
    PlatformDialect, PlatformEngine, SETTINGS_PATH_VARIABLE, StoreClient, parse_settings,
};
use lynxmount_core::{Mechanism, Mechanisms, SiteSettings};
use lynxmount_telemetry::init_json_logging;

use crate::{
    Exit,
    cli::{METRICS_PORT, SETTINGS, WITHOUT},
};

/// Runs an entry process until it has drained.
pub(crate) fn run_platform_entry(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let Some(settings) = read_settings(matches)? else { return Ok(Exit::Invalid) };
    let source = StoreClient::new(settings.store_address);
    let metrics_port = matches.get_one::<u16>(METRICS_PORT).copied();
    let run = lynxmount_direct::run(settings, metrics_port, PlatformDialect, source);
    log::logger().flush();
    run.map(|()| Exit::Done)
}

/// Runs an endpoint process until it has drained.
pub(crate) fn run_platform_endpoint(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let Some(settings) = read_settings(matches)? else { return Ok(Exit::Invalid) };
    let source = StoreClient::new(settings.store_address);
    let metrics_port = matches.get_one::<u16>(METRICS_PORT).copied();
    let run = lynxmount_rank::run(settings, metrics_port, source, PlatformEngine::new);
    log::logger().flush();
    run.map(|()| Exit::Done)
}

/// Reads the settings and initializes logging; prints the error and returns `None` if the file is
/// invalid.
fn read_settings(matches: &ArgMatches) -> anyhow::Result<Option<SiteSettings>> {
    let argument = matches.get_one::<String>(SETTINGS).cloned();
    let path = match argument {
        Some(path) => path,
        None => env::var(SETTINGS_PATH_VARIABLE).with_context(|| {
            format!("neither --{SETTINGS} nor {SETTINGS_PATH_VARIABLE} names a settings file")
        })?,
    };
    let text = fs::read_to_string(&path).with_context(|| format!("{path} can't be read"))?;
    let (mut settings, unknown) = match parse_settings(&path, &text) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("{error}");
            return Ok(None);
        }
    };
    let without = matches.get_many::<String>(WITHOUT).into_iter().flatten();
    let disabled: Result<Vec<Mechanism>, String> = without.map(|name| name.parse()).collect();
    settings.mechanisms = Mechanisms::without(disabled.map_err(anyhow::Error::msg)?);
    init_json_logging()?;
    if settings.mechanisms != Mechanisms::default() {
        log::warn!(mechanisms:? = settings.mechanisms; "mechanisms disabled");
    }
    if !unknown.is_empty() {
        log::info!(fields:? = unknown; "unknown settings ignored");
    }
    Ok(Some(settings))
}
