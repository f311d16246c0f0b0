//! The command line, as `--help` shows it.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use clap_complete::Shell;
use lynxmount_core::Mechanism;
use uuid::Uuid;

/// Name of the argument for the output format.
pub(crate) const OUTPUT: &str = "output";
/// Value of [`OUTPUT`] that selects JSON lines.
pub(crate) const OUTPUT_JSON: &str = "json";
/// Name of the argument for a settings file.
pub(crate) const SETTINGS: &str = "settings";
/// Name of the argument for the port that serves metrics.
pub(crate) const METRICS_PORT: &str = "metrics-port";
/// Name of the argument for a mechanism to disable.
pub(crate) const WITHOUT: &str = "without";
/// Name of the argument for a file.
pub(crate) const FILE: &str = "file";
/// Name of the argument for the kind of a file.
pub(crate) const KIND: &str = "kind";
/// Name of the argument for the accepted offset that a change is based on.
pub(crate) const BASE: &str = "base";
/// Name of the argument for a change's id.
pub(crate) const CHANGE_ID: &str = "change-id";
/// Name of the argument for a time limit.
pub(crate) const TIMEOUT_MS: &str = "timeout-ms";
/// Name of the argument for a configuration version.
pub(crate) const VERSION: &str = "at";
/// Name of the flag to keep reading new records.
pub(crate) const FOLLOW: &str = "follow";
/// Name of the argument for the kind of event to select.
pub(crate) const EVENT: &str = "event";
/// Name of the argument for the process to select.
pub(crate) const PROCESS: &str = "process";
/// Name of the argument for the processes to drain.
pub(crate) const PROCESSES: &str = "processes";
/// Name of the argument for the maximum number of rows.
pub(crate) const LIMIT: &str = "limit";
/// Name of the argument for a trace.
pub(crate) const TRACE: &str = "trace";
/// Name of the argument for a balancing policy.
pub(crate) const POLICY: &str = "policy";
/// Name of the argument for the file that maps are written to.
pub(crate) const MAPS_OUT: &str = "maps-out";
/// Name of the flag to print actual results.
pub(crate) const RECORD: &str = "record";
/// Name of the argument for a shell.
pub(crate) const SHELL: &str = "shell";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message names the step and the peer
  2  wrong arguments or an invalid file; nothing was changed";

/// Builds the whole command tree.
pub fn command() -> Command {
    Command::new("lynxmount")
        .version(crate_version!())
        .about("A load balancer for expert-parallel model groups")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output())
        .subcommand(process("entry", "Take callers' requests on an entry VM"))
        .subcommand(process("endpoint", "Run beside one back end and forward requests to it"))
        .subcommand(platform_process("platform-entry", "Take callers' requests on the platform"))
        .subcommand(platform_process("platform-endpoint", "Run beside one engine on the platform"))
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
        .help("Output format: a table, or one JSON value per line")
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
            Arg::new(SETTINGS).long(SETTINGS).short('s').value_name("FILE").help(
                "The settings file; defaults to the path in the platform's environment variable",
            ),
        )
        .arg(
            Arg::new(METRICS_PORT)
                .long(METRICS_PORT)
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .help("The port on the process's own address that serves counters and latencies"),
        )
        .arg(
            Arg::new(WITHOUT)
                .long(WITHOUT)
                .value_name("MECHANISM")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(Mechanism::ALL.map(|(_, name)| name))
                .help("Disable a mechanism, to measure its effect (docs/SETTINGS.md)"),
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
                .about("List all changes that the log retains, accepted and refused")
                .arg(operator_settings()),
        )
}

fn fleet_file() -> Arg {
    Arg::new(FILE).required(true).value_name("FILE").help("A fleet file, in JSON with comments")
}

fn config_check() -> Command {
    Command::new("check")
        .about("Check a file and list every error in it; works without the platform")
        .arg(
            Arg::new(KIND)
                .long(KIND)
                .value_parser(["fleet", "entry", "endpoint", "operator", "balance"])
                .default_value("fleet")
                .help("Kind of the file"),
        )
        .arg(fleet_file())
}

fn config_apply() -> Command {
    Command::new("apply")
        .about("Put a fleet file in force as a whole, on every process")
        .after_help(
            "The change is written against the version in force when the command starts. If \
             another operator's change comes first, this one is refused and exit code 1 says so: \
             compare again with `lynxmount config diff`, then apply again.\n\n\
             If it is unknown whether the change was recorded, repeat the command with the \
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
                .help("Id of the change, to repeat an earlier attempt"),
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
        .about("Show the audit trail: what was done, when, by whom and why")
        .arg(operator_settings())
        .arg(
            Arg::new(FOLLOW)
                .long(FOLLOW)
                .action(ArgAction::SetTrue)
                .help("Keep printing records as they arrive"),
        )
        .arg(Arg::new(EVENT).long(EVENT).value_name("EVENT").help("Only events of this kind"))
        .arg(Arg::new(PROCESS).long(PROCESS).value_name("ID").help("Only records of this process"))
        .arg(
            Arg::new(LIMIT)
                .long(LIMIT)
                .value_parser(value_parser!(usize))
                .help("Only this many of the newest records"),
        )
}

fn drain() -> Command {
    Command::new("drain")
        .about("Ask processes to accept no new work, finish what they have, and exit")
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
        .about("Evaluate the expert balancer on recorded traces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(balance_replay())
}

fn balance_replay() -> Command {
    Command::new("replay")
        .about("Run a policy over a trace of expert popularity and print its metrics")
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
                .help("Balance settings, or a fleet file, whose first model service's weights are used"),
        )
        .arg(
            Arg::new(POLICY)
                .long(POLICY)
                .value_parser(["static", "replan", "adaptive"])
                .default_value("adaptive")
                .help("Keep the initial map, plan from scratch each window, or adapt the map"),
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
        .about("Replay a recorded trace of events and faults against the decision logic")
        .after_help(
            "Exits 1 at the first event whose result is not the expected one (docs/TRACES.md).",
        )
        .arg(
            Arg::new(RECORD)
                .long(RECORD)
                .action(ArgAction::SetTrue)
                .help("Print every event with its actual result"),
        )
        .arg(Arg::new(FILE).required(true).value_name("FILE").help("A trace, in JSON lines"))
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print a completion script")
        .arg(Arg::new(SHELL).required(true).value_parser(value_parser!(Shell)))
}
