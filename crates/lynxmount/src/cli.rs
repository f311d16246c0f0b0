//! The command line, as `--help` shows it.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use clap_complete::Shell;
use lynxmount_core::Mechanism;
use uuid::Uuid;

/// Name of the argument for the form of output.
pub(crate) const OUTPUT: &str = "output";
/// Value of [`OUTPUT`] for JSON lines.
pub(crate) const OUTPUT_JSON: &str = "json";
/// Name of the argument for a settings file.
pub(crate) const SETTINGS: &str = "settings";
/// Name of the argument for the port that shows metrics.
pub(crate) const METRICS_PORT: &str = "metrics-port";
/// A mechanism that is switched off.
pub(crate) const WITHOUT: &str = "without";
/// Name of the argument for a file.
pub(crate) const FILE: &str = "file";
/// Name of the argument for the kind of a file.
pub(crate) const KIND: &str = "kind";
/// Name of the argument for the accepted offset that a change was written against.
pub(crate) const BASE: &str = "base";
/// Name of the argument for a change's id.
pub(crate) const CHANGE_ID: &str = "change-id";
/// Name of the argument for a time limit.
pub(crate) const TIMEOUT_MS: &str = "timeout-ms";
/// Name of the argument for a version.
pub(crate) const VERSION: &str = "at";
/// Name of the flag to go on reading.
pub(crate) const FOLLOW: &str = "follow";
/// Name of the argument for a kind of event.
pub(crate) const EVENT: &str = "event";
/// Name of the argument for a process.
pub(crate) const PROCESS: &str = "process";
/// Name of the argument for the processes to drain.
pub(crate) const PROCESSES: &str = "processes";
/// Name of the argument for the greatest number of rows.
pub(crate) const LIMIT: &str = "limit";
/// Name of the argument for a trace.
pub(crate) const TRACE: &str = "trace";
/// Name of the argument for a policy.
pub(crate) const POLICY: &str = "policy";
/// Name of the argument for the file that maps are written to.
pub(crate) const MAPS_OUT: &str = "maps-out";
/// Name of the flag to print results.
pub(crate) const RECORD: &str = "record";
/// Name of the argument for a shell.
pub(crate) const SHELL: &str = "shell";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message names the step and the peer
  2  wrong arguments or an invalid file; nothing was changed";

/// The whole command tree.
pub fn command() -> Command {
    Command::new("lynxmount")
        .version(crate_version!())
        .about("A load balancer for expert-parallel model groups")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output())
        .subcommand(process("entry", "Take callers' requests on an entry VM"))
        .subcommand(process("endpoint", "Stand beside one back end"))
        .subcommand(platform_process("platform-entry", "Take callers' requests on the platform"))
        .subcommand(platform_process(
            "platform-endpoint",
            "Stand beside one engine on the platform",
        ))
        .subcommand(config())
        .subcommand(status())
        .subcommand(audit())
        .subcommand(drain())
        .subcommand(balance())
        .subcommand(replay())
        .subcommand(completions())
}

fn output() -> Arg {
    Arg::new(OUTPUT)
        .long(OUTPUT)
        .global(true)
        .value_parser([OUTPUT_JSON, "table"])
        .default_value("table")
        .help("Form of the output: a table, or one JSON value a line")
}

fn settings(about: &'static str) -> Arg {
    Arg::new(SETTINGS).long(SETTINGS).short('s').required(true).value_name("FILE").help(about)
}

fn operator_settings() -> Arg {
    settings("Operator's settings: author, scope and platform address (docs/SETTINGS.md)")
}

fn process(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .after_help(
            "Runs until SIGTERM, SIGINT or `lynxmount drain`; then finishes the requests in \
             progress and exits 0.",
        )
        .arg(settings("The process's settings (docs/SETTINGS.md)"))
}

fn platform_process(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .after_help(
            "Runs until SIGTERM or SIGINT; then finishes the requests in progress and exits 0.",
        )
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .short('s')
                .value_name("FILE")
                .help("The settings file; by default the one that the platform's variable names"),
        )
        .arg(
            Arg::new(METRICS_PORT)
                .long(METRICS_PORT)
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .help("The port on the process's own address that shows counters and latencies"),
        )
        .arg(
            Arg::new(WITHOUT)
                .long(WITHOUT)
                .value_name("MECHANISM")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(Mechanism::ALL.map(|(_, name)| name))
                .help("Switch a mechanism off, to see what it is worth (docs/SETTINGS.md)"),
        )
}

fn config() -> Command {
    Command::new("config")
        .about("Check, compare, apply and list fleet files")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(config_check())
        .subcommand(
            Command::new("diff")
                .about("Show what applying a file would change")
                .arg(operator_settings())
                .arg(fleet_file()),
        )
        .subcommand(config_apply())
        .subcommand(
            Command::new("show")
                .about("Print the fleet in force, or an earlier one")
                .arg(operator_settings())
                .arg(
                    Arg::new(VERSION)
                        .long(VERSION)
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("An accepted version from `lynxmount config history`"),
                ),
        )
        .subcommand(
            Command::new("history")
                .about("List all changes that the log still has, accepted and refused")
                .arg(operator_settings()),
        )
}

fn fleet_file() -> Arg {
    Arg::new(FILE).required(true).value_name("FILE").help("A fleet file, in JSON with comments")
}

fn config_check() -> Command {
    Command::new("check")
        .about("Check a file and say everything that is wrong with it; needs no platform")
        .arg(
            Arg::new(KIND)
                .long(KIND)
                .value_parser(["fleet", "entry", "endpoint", "operator", "balance"])
                .default_value("fleet")
                .help("What the file is"),
        )
        .arg(fleet_file())
}

fn config_apply() -> Command {
    Command::new("apply")
        .about("Put a fleet file in force, as a whole and everywhere")
        .after_help(
            "The change is written against the version in force when the command starts. If \
             another operator's change comes first, this one is refused and exit code 1 says so: \
             compare again with `lynxmount config diff`, then apply again.\n\n\
             If it can't be learnt whether the change was recorded, repeat the command with the \
             printed --change-id: the same id is never applied twice.",
        )
        .arg(operator_settings())
        .arg(fleet_file())
        .arg(
            Arg::new(BASE)
                .long(BASE)
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Apply only if this version is still in force"),
        )
        .arg(
            Arg::new(CHANGE_ID)
                .long(CHANGE_ID)
                .value_name("UUID")
                .value_parser(value_parser!(Uuid))
                .help("Id of the change, to repeat an earlier try"),
        )
        .arg(
            Arg::new(TIMEOUT_MS)
                .long(TIMEOUT_MS)
                .value_parser(value_parser!(u64))
                .default_value("7000")
                .help("How long to wait until the change is in force everywhere"),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show every process of the fleet: version in force, readiness, requests in progress")
        .after_help("Exits 1 if a process does not answer or is not at the newest version.")
        .arg(operator_settings())
}

fn audit() -> Command {
    Command::new("audit")
        .about("Show what was done, when, by whom and why")
        .arg(operator_settings())
        .arg(Arg::new(FOLLOW).long(FOLLOW).action(ArgAction::SetTrue).help("Go on as records come"))
        .arg(Arg::new(EVENT).long(EVENT).value_name("EVENT").help("Only events of this kind"))
        .arg(Arg::new(PROCESS).long(PROCESS).value_name("ID").help("Only records of this process"))
        .arg(
            Arg::new(LIMIT)
                .long(LIMIT)
                .value_parser(value_parser!(usize))
                .help("Only the newest so many records"),
        )
}

fn drain() -> Command {
    Command::new("drain")
        .about("Ask processes to take no new work, finish what they have, and exit")
        .arg(operator_settings())
        .arg(
            Arg::new(PROCESSES)
                .required(true)
                .num_args(1..)
                .value_name("ID")
                .help("Entries or endpoints of the fleet in force"),
        )
}

fn balance() -> Command {
    Command::new("balance")
        .about("Try the expert balancer on recorded traces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(balance_replay())
}

fn balance_replay() -> Command {
    Command::new("replay")
        .about("Run a policy over a trace of expert popularity and print its measures")
        .after_help(
            "A trace is JSON lines: first {\"ranks\":R,\"experts\":E,\"layers\":L,\"slots_per_rank\":S}, \
             then one line for each step and layer: {\"step\":n,\"layer\":l,\"tokens\":[E counts]}. \
             A wrong line exits 2 with file, line and reason.",
        )
        .arg(Arg::new(TRACE).long(TRACE).required(true).value_name("FILE").help("The trace"))
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .short('s')
                .value_name("FILE")
                .help("Balance settings, or a fleet file, whose first model service's weights count"),
        )
        .arg(
            Arg::new(POLICY)
                .long(POLICY)
                .value_parser(["static", "replan", "adaptive"])
                .default_value("adaptive")
                .help("The first map for ever, a map from scratch each window, or ours"),
        )
        .arg(
            Arg::new(MAPS_OUT)
                .long(MAPS_OUT)
                .value_name("FILE")
                .help("Write every map that is put in force, one JSON value a line"),
        )
}

fn replay() -> Command {
    Command::new("replay")
        .about("Play a recorded trace of events and faults against the decisions")
        .after_help(
            "Exits 1 at the first event whose result is not the stated one (docs/TRACES.md).",
        )
        .arg(
            Arg::new(RECORD)
                .long(RECORD)
                .action(ArgAction::SetTrue)
                .help("Print every event with the result that it came to"),
        )
        .arg(Arg::new(FILE).required(true).value_name("FILE").help("A trace, in JSON lines"))
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print a completion script")
        .arg(Arg::new(SHELL).required(true).value_parser(value_parser!(Shell)))
}
