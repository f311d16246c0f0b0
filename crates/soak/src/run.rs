//! One run, from the start of the fleet to the judgement.

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
use lynxmount_platform_standin::{CallerOutcome, CallerStandin, Execution};
use tempfile::TempDir;
use tokio::task::JoinSet;

use crate::{
    Report,
    callers::{call, run_caller, run_probe},
    faults::Injector,
    history::{CallSort, Disturbed, RunRecord, WorkRecord},
    plan::{self, ProcessId, Size},
    poison::restart_crashed,
    promises::RECOVERY,
    world::{World, name},
};

/// Callers of each entry.
const CALLERS_PER_ENTRY: usize = 4;

/// How long all entries may take to serve at first.
const START_LIMIT: Duration = Duration::from_secs(30);

/// How long callers go on once service has to be back.
const AFTER_RECOVERY: Duration = Duration::from_secs(3);

/// How often processes are looked at.
const WATCH_PERIOD: Duration = Duration::from_millis(100);

/// What a run does.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of faults and callers.
    pub seed: u64,
    /// How long faults begin.
    pub time: Duration,
    /// The fleet.
    pub size: Size,
    /// The program under test.
    pub binary: PathBuf,
    /// Mechanisms of entries that are switched off, to see what they keep.
    pub without: Vec<String>,
    /// Which addresses are used; runs at the same time need different ones.
    pub number: u8,
}

/// Runs once and judges.
///
/// Fails if the fleet can't be started or a fault can't be done.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let folder = TempDir::new().context("a folder for settings and logs")?;
    let faults = plan::draw(options.seed, options.size, options.time);
    let world = World::start(options, folder.path()).await?;
    let world = Arc::new(world);
    wait_until_served(&world).await?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut traffic = JoinSet::new();
    for number in 0..CALLERS_PER_ENTRY * options.size.entries {
        let (world, is_over) = (Arc::clone(&world), Arc::clone(&is_over));
        traffic.spawn(run_caller(world, number, options.seed, is_over));
    }
    for entry in 0..options.size.entries {
        traffic.spawn(run_probe(Arc::clone(&world), entry, Arc::clone(&is_over)));
    }
    traffic.spawn(restart_crashed(Arc::clone(&world), Arc::clone(&is_over)));
    traffic.spawn(watch_processes(Arc::clone(&world), Arc::clone(&is_over)));
    Arc::new(Injector::new(Arc::clone(&world))).run(&faults).await?;
    let step = world.group.step();
    world.history.lock().faults_over = world.now();
    tokio::time::sleep(RECOVERY + AFTER_RECOVERY).await;
    world.history.lock().passes_after = world.group.step() - step;
    is_over.store(true, Ordering::Relaxed);
    while let Some(ended) = traffic.join_next().await {
        ended.context("a caller")?;
    }
    let mut report = judge_world(&world, options, &faults);
    if !report.violations.is_empty() {
        report.logs = Some(folder.keep().display().to_string());
    }
    Ok(report)
}

fn judge_world(world: &World, options: &Options, faults: &[plan::Fault]) -> Report {
    let (version, _, split) = world.group.map();
    let mut history = world.history.lock().clone();
    history.split_pass = split;
    for (endpoint, replica) in world.endpoints.iter().enumerate() {
        for seen in replica.requests() {
            let at = seen.received_at.saturating_duration_since(world.started);
            let id = id_in_line(&seen.request_line);
            history
                .works
                .extend(seen.execution.map(|work| work_record(world, &id, endpoint, work)));
            let arrival = RunRecord { id, endpoint, at };
            if seen.is_executed {
                history.runs.push(arrival.clone());
            }
            history.arrivals.push(arrival);
        }
    }
    Report::new(options.seed, options.size, faults, &history, version)
}

fn work_record(world: &World, id: &str, endpoint: usize, work: Execution) -> WorkRecord {
    let since_start = |at: Instant| at.saturating_duration_since(world.started);
    let ended = work.ended_at.map_or(Duration::MAX, since_start);
    WorkRecord {
        id: id.to_owned(),
        endpoint,
        is_begun_after_close: work.is_started_after_close,
        ended,
        would_end: ended.saturating_add(work.remaining_time),
    }
}

/// The id at the end of a request line's path, as callers write it.
fn id_in_line(line: &str) -> String {
    let path = line.split(' ').nth(1).unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

async fn wait_until_served(world: &World) -> anyhow::Result<()> {
    for entry in 0..world.size.entries {
        let mut caller = CallerStandin::new(world.callers_links[entry].address());
        let until = world.now() + START_LIMIT;
        while !is_served(&mut caller).await {
            if world.now() > until {
                bail!("entry {entry} does not serve after its start");
            }
            tokio::time::sleep(WATCH_PERIOD).await;
        }
    }
    Ok(())
}

async fn is_served(caller: &mut CallerStandin) -> bool {
    matches!(caller.call(&call("start", CallSort::Lookup)).await, CallerOutcome::Response(answer) if answer.status == StatusCode::OK)
}

/// Notes processes that end although nobody has asked them to.
async fn watch_processes(world: Arc<World>, is_over: Arc<AtomicBool>) {
    while !is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(WATCH_PERIOD).await;
        let entries = (0..world.size.entries).map(ProcessId::Entry);
        for id in entries.chain((0..world.size.ranks).map(ProcessId::Endpoint)) {
            let Ok(Some(status)) = world.process(id).lock().ended() else { continue };
            let now = world.now();
            let is_asked = world.history.lock().is_disturbed(now, now, |what| {
                what == Disturbed::Process(id) || what == Disturbed::Leaving(id)
            });
            let seen = format!("{} has ended by itself with {status}", name(id));
            let mut history = world.history.lock();
            if !is_asked && !history.ends.contains(&seen) {
                history.ends.push(seen);
            }
        }
    }
}
