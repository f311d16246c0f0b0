//! Recovery of configuration polls from lost responses, in virtual time.

mod store_model;

use std::time::Duration;

use futures::future::join_all;
use lynxmount_core::SiteBounds;
use lynxmount_direct::ConfigPoll;
use store_model::{Loss, Outage, StoreModel};

const STEP: Duration = Duration::from_millis(50);

/// How long before an outage a process has been polling.
const BEFORE: Duration = Duration::from_secs(5);

fn bounds(config_apply_ms: u64, settle_ms: u64) -> SiteBounds {
    SiteBounds {
        config_apply: Duration::from_millis(config_apply_ms),
        drain: Duration::from_secs(2),
        grace: Duration::from_secs(8),
        settle: Duration::from_millis(settle_ms),
        heartbeat: Duration::from_millis(1200),
        retry_ratio: 0.2,
        retry_slack: 88.0,
        retry_window: Duration::from_secs(10),
        group_stall: Duration::from_millis(1500),
    }
}

/// Polls until the configuration is received, and returns when that was.
async fn receive_config(store: &StoreModel, bounds: &SiteBounds) -> Duration {
    let mut poll = ConfigPoll::new(bounds);
    loop {
        if let Ok(Some(_)) = poll.read(store, || ()).await {
            return store.now();
        }
    }
}

fn steps(step: Duration, to: Duration) -> impl Iterator<Item = Duration> {
    (0..).map(move |count| step * count).take_while(move |at| *at <= to)
}

/// Guards against a configuration that comes into force late because the wait of a lost poll, its
/// timeout and a retry delay add up to more than the settle time.
#[tokio::test(start_paused = true)]
async fn configuration_is_in_force_within_the_settle_time_after_any_outage() {
    for (config_apply_ms, settle_ms) in [(2000, 3000), (4000, 5000), (2000, 6000), (4000, 3000)] {
        let bounds = bounds(config_apply_ms, settle_ms);
        let longest = ConfigPoll::new(&bounds).recovery_time();
        for loss in [Loss::All, Loss::EverySecond] {
            for phase in steps(STEP, bounds.config_apply) {
                for length in steps(3 * STEP, Duration::from_secs(6)) {
                    let from = BEFORE + phase;
                    let to = from + length;
                    let store = StoreModel::new(Some(Outage { from, to, loss }), to);

                    let late = receive_config(&store, &bounds).await - to;

                    let case = format!("{length:?} at {phase:?}, {loss:?}");
                    assert!(late < bounds.settle, "{late:?} after {case}");
                    assert!(late <= longest + store.response_time, "{late:?} after {case}");
                }
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn idle_process_makes_one_read_per_wait() {
    let bounds = bounds(2000, 3000);
    let store = StoreModel::new(None, Duration::MAX);

    let polling = receive_config(&store, &bounds);
    let _ = tokio::time::timeout(Duration::from_secs(60), polling).await;

    let reads = store.reads_within(Duration::ZERO, Duration::MAX);
    assert!(reads <= 31, "{reads} reads in a minute");
}

#[tokio::test(start_paused = true)]
async fn polls_with_slow_responses_are_not_hedged() {
    let bounds = bounds(2000, 3000);
    let mut store = StoreModel::new(None, Duration::MAX);
    store.response_time = Duration::from_millis(280);
    let mut poll = ConfigPoll::new(&bounds);
    let mut hedges = 0;

    for _ in 0..10 {
        poll.read(&store, || hedges += 1).await.expect("response");
    }

    assert_eq!((hedges, store.reads_within(Duration::ZERO, Duration::MAX)), (0, 10));
}

const PROCESSES: u64 = 2500;

fn outage() -> Outage {
    Outage { from: BEFORE, to: BEFORE + Duration::from_millis(3500), loss: Loss::All }
}

#[tokio::test(start_paused = true)]
async fn whole_fleet_returns_with_three_reads_of_each_process() {
    let bounds = bounds(2000, 3000);
    let Outage { to, .. } = outage();
    let store = StoreModel::new(Some(outage()), Duration::MAX);

    let polling = join_all((0..PROCESSES).map(|_| receive_config(&store, &bounds)));
    let _ = tokio::time::timeout(to + bounds.settle, polling).await;

    let reads = store.reads_within(to, to + bounds.settle);
    assert!(reads <= 3 * PROCESSES, "{reads} reads by {PROCESSES} processes");
}

/// Guards against a fleet whose processes, after an outage that all of them lost their polls in, are
/// rejected by an overloaded store until the settle time is over.
#[tokio::test(start_paused = true)]
async fn whole_fleet_returns_within_the_settle_time_while_the_store_rejects_reads() {
    let bounds = bounds(2000, 3000);
    let Outage { to, .. } = outage();
    let mut store = StoreModel::new(Some(outage()), to + Duration::from_millis(200));
    store.max_reads_per_s = 2000;

    let received_at = join_all((0..PROCESSES).map(|_| receive_config(&store, &bounds))).await;

    let last = received_at.into_iter().max().expect("processes") - to;
    assert!(last < bounds.settle, "{last:?}");
}
