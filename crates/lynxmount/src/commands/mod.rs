//! Dispatches subcommands to their implementations.

mod apply;
mod audit;
mod balance;
mod check;
mod completions;
mod drain;
mod operator;
mod platform;
mod processes;
mod replay;
mod show;
mod status;

use anyhow::Context;
use clap::ArgMatches;

use crate::{Exit, table::OutputFormat};

/// Runs the selected subcommand and returns its exit status.
pub fn run(matches: &ArgMatches) -> Exit {
    match dispatch(matches) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("lynxmount: {error:#}");
            Exit::Failed
        }
    }
}

fn dispatch(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let format = OutputFormat::from_matches(matches);
    match matches.subcommand() {
        Some(("entry", matches)) => processes::run_entry(matches),
        Some(("endpoint", matches)) => processes::run_endpoint(matches),
        Some(("platform-entry", matches)) => platform::run_platform_entry(matches),
        Some(("platform-endpoint", matches)) => platform::run_platform_endpoint(matches),
        Some(("config", matches)) => dispatch_config(matches, format),
        Some(("status", matches)) => block_on(status::run(matches, format)),
        Some(("audit", matches)) => block_on(audit::run(matches, format)),
        Some(("drain", matches)) => block_on(drain::run(matches)),
        Some(("balance", matches)) => match matches.subcommand() {
            Some(("replay", matches)) => balance::run_replay(matches, format),
            _ => Ok(Exit::Invalid),
        },
        Some(("replay", matches)) => replay::run(matches),
        Some(("completions", matches)) => Ok(completions::run(matches)),
        _ => Ok(Exit::Invalid),
    }
}

fn dispatch_config(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches, format),
        Some(("diff", matches)) => block_on(show::run_diff(matches, format)),
        Some(("apply", matches)) => block_on(apply::run(matches, format)),
        Some(("show", matches)) => block_on(show::run_show(matches)),
        Some(("history", matches)) => block_on(show::run_history(matches, format)),
        _ => Ok(Exit::Invalid),
    }
}

fn block_on(command: impl Future<Output = anyhow::Result<Exit>>) -> anyhow::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.context("start the runtime")?.block_on(command)
}
