//! `lynxmount completions`.

use clap::ArgMatches;
use clap_complete::{Shell, generate};

use crate::{Exit, cli::SHELL, command};

/// Prints a completion script for a shell.
pub(crate) fn run(matches: &ArgMatches) -> Exit {
    let Some(shell) = matches.get_one::<Shell>(SHELL) else { return Exit::Invalid };
    generate(*shell, &mut command(), "lynxmount", &mut std::io::stdout());
    Exit::Done
}
