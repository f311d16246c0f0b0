//! `lynxmount balance replay`.

use std::{
    fs::File,
    io::{BufReader, BufWriter, Write},
};

use anyhow::Context;
use clap::ArgMatches;
use lynxmount_balance::{
    BalanceOptions, MapUpdate, PolicyKind, Replay, ReplaySummary, TraceError, TraceReader,
};
use lynxmount_config::{Diagnostics, ServiceKind, parse_balance_settings, parse_fleet};

use crate::{
    Exit,
    cli::{MAPS_OUT, POLICY, SETTINGS, TRACE},
    commands::operator::read_file,
    table::{OutputFormat, print_json},
};

/// The field that distinguishes a fleet file from balance settings.
const FLEET_FIELD: &str = "\"services\"";

/// Replays a trace under a balancing policy and prints the policy's metrics.
pub(crate) fn run_replay(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    let Some(options) = read_options(matches, format)? else { return Ok(Exit::Invalid) };
    let path = matches.get_one::<String>(TRACE).context("the argument is required")?;
    let file = File::open(path).with_context(|| format!("read {path}"))?;
    let maps_out = match matches.get_one::<String>(MAPS_OUT) {
        Some(path) => Some(File::create(path).with_context(|| format!("write {path}"))?),
        None => None,
    };
    let mut maps_out = maps_out.map(BufWriter::new);
    let summary =
        match replay_trace(BufReader::new(file), policy_of(matches), options, &mut maps_out)? {
            Ok(summary) => summary,
            Err(error) => {
                eprintln!("lynxmount: {path}:{error}");
                return Ok(Exit::Invalid);
            }
        };
    print_summary(&summary, format);
    Ok(Exit::Done)
}

fn policy_of(matches: &ArgMatches) -> PolicyKind {
    match matches.get_one::<String>(POLICY).map(String::as_str) {
        Some("static") => PolicyKind::Static,
        Some("replan") => PolicyKind::Replan,
        _ => PolicyKind::Adaptive,
    }
}

fn read_options(
    matches: &ArgMatches,
    format: OutputFormat,
) -> anyhow::Result<Option<BalanceOptions>> {
    if matches.get_one::<String>(SETTINGS).is_none() {
        return Ok(Some(BalanceOptions::default()));
    }
    read_file(matches, SETTINGS, parse_options, format)
}

fn parse_options(file: &str, text: &str) -> Result<BalanceOptions, Diagnostics> {
    if !text.contains(FLEET_FIELD) {
        return parse_balance_settings(file, text);
    }
    let fleet = parse_fleet(file, text)?;
    let model = fleet.services.iter().find(|service| service.kind == ServiceKind::Model);
    let weights = model.map(|service| service.balance);
    Ok(weights.map_or_else(BalanceOptions::default, |weights| BalanceOptions {
        skew_weight: weights.skew,
        cost_weight: weights.cost,
        ..BalanceOptions::default()
    }))
}

/// Replays the whole trace. The inner error is a fault of the trace, the outer one a failure to
/// write maps.
fn replay_trace(
    input: BufReader<File>,
    policy: PolicyKind,
    options: BalanceOptions,
    maps_out: &mut Option<BufWriter<File>>,
) -> anyhow::Result<Result<ReplaySummary, TraceError>> {
    let mut reader = match TraceReader::new(input) {
        Ok(reader) => reader,
        Err(error) => return Ok(Err(error)),
    };
    let mut replay = Replay::new(policy, reader.shape(), options);
    loop {
        match reader.next_step() {
            Ok(Some(counts)) => write_maps(maps_out, &replay.step(&counts))?,
            Ok(None) => break,
            Err(error) => return Ok(Err(error)),
        }
    }
    if let Some(out) = maps_out {
        out.flush().context("write maps")?;
    }
    Ok(Ok(replay.summary()))
}

fn write_maps(out: &mut Option<BufWriter<File>>, maps: &[MapUpdate]) -> anyhow::Result<()> {
    let Some(out) = out else { return Ok(()) };
    for map in maps {
        serde_json::to_writer(&mut *out, map).context("write maps")?;
        out.write_all(b"\n").context("write maps")?;
    }
    Ok(())
}

fn print_summary(summary: &ReplaySummary, format: OutputFormat) {
    match format {
        OutputFormat::Json => print_json(summary),
        OutputFormat::Table => {
            let heading = [
                "POLICY",
                "STEPS",
                "SKEW_MEAN",
                "SKEW_P99",
                "REBALANCES",
                "MOVED",
                "BYTES",
                "LOST",
            ];
            format.print(&heading, std::slice::from_ref(summary), |s| {
                vec![
                    s.policy.clone(),
                    s.steps.to_string(),
                    format!("{:.4}", s.step_skew_mean),
                    format!("{:.4}", s.step_skew_p99),
                    s.rebalances.to_string(),
                    s.experts_moved.to_string(),
                    s.bytes_moved.to_string(),
                    format!("{:.1}", s.steps_lost),
                ]
            });
        }
    }
}
