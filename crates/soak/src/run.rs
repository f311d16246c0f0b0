//! One run, from the start of the fleet to the check of its history.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use http::StatusCode;
use lynxmount_platform_standin::{
    CallerOutcome, CallerStandin, Execution, RetryBounds, fixture::RETRY_BOUNDS,
};
use tempfile::TempDir;
use tokio::task::JoinSet;

use crate::{
    Report,
    callers::{Load, call, run_caller, run_probe},
    faults::Injector,
    fleet::{Fleet, process_name, retry_slack},
    history::{CallClass, Disturbed, ExecutionRecord, RetryBudgetRecord, RunRecord},
    plan::{self, ProcessId, Size},
    poison::restart_crashed,
    promises::RECOVERY_TIME,
};

/// The number of callers of each entry.
const CALLERS_PER_ENTRY: usize = 4;

/// The number of further callers of each entry, which send long streams only.
const STREAM_CALLERS_PER_ENTRY: usize = 4;

/// How long each entry may take to serve at the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// How long callers continue after service must have recovered.
const TIME_AFTER_RECOVERY: Duration = Duration::from_secs(3);

/// The interval at which processes and entries are polled.
const WATCH_PERIOD: Duration = Duration::from_millis(100);

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the faults and of the callers.
    pub seed: u64,
    /// How long new faults are injected.
    pub time: Duration,
    /// The size of the fleet.
    pub size: Size,
    /// The program under test.
    pub binary: PathBuf,
    /// Mechanisms of entries that are disabled, to see which promises depend on them.
    pub without: Vec<String>,
    /// Selects the loopback addresses; concurrent runs need different numbers.
    pub number: u8,
}

/// Runs once and checks the history.
///
/// Fails if the fleet can't be started or a fault can't be injected.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let folder = TempDir::new().context("create a folder for settings and logs")?;
    let faults = plan::draw_faults(options.seed, options.size, options.time);
    let fleet = Fleet::start(options, folder.path()).await?;
    let fleet = Arc::new(fleet);
    wait_until_serving(&fleet).await?;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut traffic = JoinSet::new();
    let entries = options.size.entries;
    let mixed = CALLERS_PER_ENTRY * entries;
    for number in 0..mixed + STREAM_CALLERS_PER_ENTRY * entries {
        let (fleet, is_stopped) = (Arc::clone(&fleet), Arc::clone(&is_stopped));
        let load = if number < mixed { Load::Mixed } else { Load::LongStreams };
        traffic.spawn(run_caller(fleet, number, load, options.seed, is_stopped));
    }
    for entry in 0..options.size.entries {
        traffic.spawn(run_probe(Arc::clone(&fleet), entry, Arc::clone(&is_stopped)));
    }
    traffic.spawn(restart_crashed(Arc::clone(&fleet), Arc::clone(&is_stopped)));
    traffic.spawn(watch_processes(Arc::clone(&fleet), Arc::clone(&is_stopped)));
    Arc::new(Injector::new(Arc::clone(&fleet))).run(&faults).await?;
    let step = fleet.group.step();
    fleet.history.lock().faults_over = fleet.now();
    tokio::time::sleep(RECOVERY_TIME + TIME_AFTER_RECOVERY).await;
    fleet.history.lock().passes_after = fleet.group.step() - step;
    is_stopped.store(true, Ordering::Relaxed);
    while let Some(ended) = traffic.join_next().await {
        ended.context("a traffic task panicked")?;
    }
    let mut report = build_report(&fleet, options, &faults);
    if !report.violations.is_empty() {
        report.logs = Some(folder.keep().display().to_string());
    }
    Ok(report)
}

fn build_report(fleet: &Fleet, options: &Options, faults: &[plan::Fault]) -> Report {
    let (version, _, split) = fleet.group.map();
    let mut history = fleet.history.lock().clone();
    history.split_pass = split;
    history.retry_budget = Some(RetryBudgetRecord {
        bounds: RetryBounds { slack: retry_slack(options.seed).into(), ..RETRY_BOUNDS },
        endpoints_per_service: options.size.endpoints,
    });
    for (endpoint, replica) in fleet.endpoints.iter().enumerate() {
        for request in replica.requests() {
            let at = request.received_at.saturating_duration_since(fleet.started);
            let id = call_id(&request.request_line);
            history.executions.extend(
                request
                    .execution
                    .map(|execution| execution_record(fleet, &id, endpoint, execution)),
            );
            let arrival = RunRecord { id, endpoint, at };
            if request.is_executed {
                history.runs.push(arrival.clone());
            }
            if request.is_misdirected {
                history.misdirected.push(arrival.clone());
            }
            history.arrivals.push(arrival);
        }
    }
    Report::new(options.seed, options.size, faults, &history, version)
}

fn execution_record(
    fleet: &Fleet,
    id: &str,
    endpoint: usize,
    execution: Execution,
) -> ExecutionRecord {
    let since_start = |at: Instant| at.saturating_duration_since(fleet.started);
    let ended = execution.ended_at.map_or(Duration::MAX, since_start);
    ExecutionRecord {
        id: id.to_owned(),
        endpoint,
        is_started_after_close: execution.is_started_after_close,
        is_canceled: execution.is_canceled,
        ended,
        would_end: ended.saturating_add(execution.remaining_time),
    }
}

/// The call's id, which callers put at the end of the path in the request line.
fn call_id(line: &str) -> String {
    let path = line.split(' ').nth(1).unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

async fn wait_until_serving(fleet: &Fleet) -> anyhow::Result<()> {
    for entry in 0..fleet.size.entries {
        let mut caller = CallerStandin::new(fleet.callers_links[entry].address());
        let deadline = fleet.now() + START_TIMEOUT;
        while !is_serving(&mut caller).await {
            if fleet.now() > deadline {
                bail!("entry {entry} does not serve after its start");
            }
            tokio::time::sleep(WATCH_PERIOD).await;
        }
    }
    Ok(())
}

async fn is_serving(caller: &mut CallerStandin) -> bool {
    matches!(caller.call(&call("start", CallClass::Lookup)).await, CallerOutcome::Response(response) if response.status == StatusCode::OK)
}

/// Records processes that exit without being asked to.
async fn watch_processes(fleet: Arc<Fleet>, is_stopped: Arc<AtomicBool>) {
    while !is_stopped.load(Ordering::Relaxed) {
        tokio::time::sleep(WATCH_PERIOD).await;
        let entries = (0..fleet.size.entries).map(ProcessId::Entry);
        for id in entries.chain((0..fleet.size.ranks).map(ProcessId::Endpoint)) {
            let Ok(Some(status)) = fleet.process(id).lock().exit_status() else { continue };
            let now = fleet.now();
            let is_asked = fleet.history.lock().is_disturbed(now, now, |what| {
                what == Disturbed::Process(id) || what == Disturbed::Leaving(id)
            });
            let seen = format!("{} exited by itself with {status}", process_name(id));
            let mut history = fleet.history.lock();
            if !is_asked && !history.ends.contains(&seen) {
                history.ends.push(seen);
            }
        }
    }
}
