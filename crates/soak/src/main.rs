//! The soak's command line: one or more runs in sequence, one JSON line per run.

#![forbid(unsafe_code)]

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};
use lynxmount_soak::{
    Options,
    plan::{self, Size},
    run,
};

const SEED: &str = "seed";
const SEEDS: &str = "seeds";
const SECONDS: &str = "seconds";
const PROCESSES: &str = "processes";
const PROGRAM: &str = "program";
const NUMBER: &str = "number";
const WITHOUT: &str = "without";
const PLAN: &str = "plan";

const EXIT_CODES: &str = "\
Exit codes:
  0  all promises held
  1  a promise was broken, or a run could not be made
  2  wrong arguments";

/// One of this many processes is an entry.
const PROCESSES_PER_ENTRY: usize = 3;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("N").default_value(default).help(help)
    };
    Command::new("lynxmount-soak")
        .version(crate_version!())
        .about("Injects faults into real processes and checks what callers and back ends observe")
        .after_help(EXIT_CODES)
        .arg(number(SEED, "1", "The first seed").value_parser(value_parser!(u64)))
        .arg(
            number(SEEDS, "1", "Number of consecutive seeds to run")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            number(SECONDS, "20", "How long new faults are injected, in seconds")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            number(PROCESSES, "9", "Processes under test, at least 6")
                .value_parser(value_parser!(u64).range(6..=600)),
        )
        .arg(
            number(
                NUMBER,
                "1",
                "Selects the loopback addresses; concurrent runs need different numbers",
            )
            .value_parser(value_parser!(u8).range(1..)),
        )
        .arg(
            Arg::new(PROGRAM)
                .long(PROGRAM)
                .value_name("FILE")
                .default_value("target/debug/lynxmount")
                .value_parser(value_parser!(PathBuf))
                .help("The program under test"),
        )
        .arg(
            Arg::new(WITHOUT)
                .long(WITHOUT)
                .value_name("MECHANISM")
                .action(ArgAction::Append)
                .help("Disable a mechanism of entries, to see which promise depends on it"),
        )
        .arg(
            Arg::new(PLAN)
                .long(PLAN)
                .action(ArgAction::SetTrue)
                .help("Print the faults of the first seed and exit"),
        )
}

fn size(processes: u64) -> Size {
    let processes = processes as usize;
    let entries = (processes / PROCESSES_PER_ENTRY).clamp(2, 200);
    Size { entries, ranks: (processes - entries).min(200), endpoints: 3 }
}

fn options(arguments: &ArgMatches) -> anyhow::Result<Options> {
    let number = |name: &str| arguments.get_one::<u64>(name).copied().context("has a default");
    Ok(Options {
        seed: number(SEED)?,
        time: Duration::from_secs(number(SECONDS)?),
        size: size(number(PROCESSES)?),
        binary: arguments.get_one::<PathBuf>(PROGRAM).cloned().context("has a default")?,
        without: arguments.get_many::<String>(WITHOUT).into_iter().flatten().cloned().collect(),
        number: arguments.get_one::<u8>(NUMBER).copied().context("has a default")?,
    })
}

/// Runs seeds in sequence, each on its own runtime: dropping the runtime stops the stand-ins, whose
/// addresses the next run reuses.
fn run_seeds(first: &Options, seeds: u64) -> anyhow::Result<bool> {
    let mut is_passed = true;
    for seed in first.seed..first.seed + seeds {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let report = runtime.block_on(run(&Options { seed, ..first.clone() }))?;
        is_passed &= report.violations.is_empty();
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(is_passed)
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = command().get_matches();
    let options = options(&arguments)?;
    if arguments.get_flag(PLAN) {
        for fault in plan::draw_faults(options.seed, options.size, options.time) {
            println!("{}", serde_json::to_string(&fault)?);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let seeds = arguments.get_one::<u64>(SEEDS).copied().context("has a default")?;
    let is_passed = run_seeds(&options, seeds)?;
    Ok(if is_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
