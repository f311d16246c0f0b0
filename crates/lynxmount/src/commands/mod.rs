//! What each command does.

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

use crate::{Exit, table::OutputForm};

/// Runs the command that was given, and says how it ended.
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
    let form = OutputForm::of(matches);
    match matches.subcommand() {
        Some(("entry", matches)) => processes::run_entry(matches),
        Some(("endpoint", matches)) => processes::run_endpoint(matches),
        Some(("platform-entry", matches)) => platform::run_platform_entry(matches),
        Some(("platform-endpoint", matches)) => platform::run_platform_endpoint(matches),
        Some(("config", matches)) => dispatch_config(matches, form),
        Some(("status", matches)) => block_on(status::run(matches, form)),
        Some(("audit", matches)) => block_on(audit::run(matches, form)),
        Some(("drain", matches)) => block_on(drain::run(matches)),
        Some(("balance", matches)) => match matches.subcommand() {
            Some(("replay", matches)) => balance::run_replay(matches, form),
            _ => Ok(Exit::Invalid),
        },
        Some(("replay", matches)) => replay::run(matches),
        Some(("completions", matches)) => Ok(completions::run(matches)),
        _ => Ok(Exit::Invalid),
    }
}

fn dispatch_config(matches: &ArgMatches, form: OutputForm) -> anyhow::Result<Exit> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches, form),
        Some(("diff", matches)) => block_on(show::run_diff(matches, form)),
        Some(("apply", matches)) => block_on(apply::run(matches, form)),
        Some(("show", matches)) => block_on(show::run_show(matches)),
        Some(("history", matches)) => block_on(show::run_history(matches, form)),
        _ => Ok(Exit::Invalid),
    }
}

fn block_on(command: impl Future<Output = anyhow::Result<Exit>>) -> anyhow::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.context("start the runtime")?.block_on(command)
}
