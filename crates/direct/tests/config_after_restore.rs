//! Reads of configurations from a store that comes back from older copies, in virtual time.

mod restored_log;

use std::time::Duration;

use futures::future::join_all;
use lynxmount_core::{ConfigVersion, SiteBounds};
use lynxmount_direct::ConfigPoll;
use restored_log::{Event, RestoredLog};

/// Longest time until an acknowledged configuration is in force while the store is undisturbed.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time after the store's return from which on [`CONFIG_APPLY`] holds.
const SETTLE: Duration = Duration::from_secs(3);

/// When the store goes away. Versions 1 to 10 are written before, one a second.
const AWAY_AT: Duration = Duration::from_millis(10_300);

const NEWEST_LOST: ConfigVersion = 10;
const NEXT: ConfigVersion = NEWEST_LOST + 1;

/// What operators write again after the store's return.
#[derive(Clone, Copy, Debug)]
enum Rewrite {
    /// The newest configuration, after a number of records with other keys.
    Newest { others: usize },
    /// All lost configurations in their order.
    All,
    /// All lost configurations, the newest one first.
    Reversed,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    /// How long the store is away.
    away_for: Duration,
    /// Age of the copy at that time.
    copy_age: Duration,
    rewrite: Rewrite,
    /// How long after the return the operators write again.
    rewrite_delay: Duration,
    /// How long after that the next version is written.
    next_delay: Duration,
    returns: u32,
}

fn bounds() -> SiteBounds {
    SiteBounds {
        config_apply: CONFIG_APPLY,
        drain: Duration::from_secs(2),
        grace: Duration::from_secs(8),
        settle: SETTLE,
        heartbeat: Duration::from_millis(1200),
        retry_ratio: 0.2,
        retry_slack: 88.0,
        retry_window: Duration::from_secs(10),
        group_stall: Duration::from_millis(1500),
    }
}

/// The events of a case, when the store is back for good, and when the next version is written.
fn events(case: Case) -> (Vec<(Duration, Event)>, Duration, Duration) {
    let mut events: Vec<(Duration, Event)> = (1..=NEWEST_LOST)
        .map(|version| (Duration::from_secs(version), Event::Write(version)))
        .collect();
    let as_of = AWAY_AT - case.copy_age;
    let mut back_at = AWAY_AT;
    for _ in 0..case.returns {
        events.push((back_at, Event::SetAvailable(false)));
        back_at += case.away_for;
        events.push((back_at, Event::Restore { as_of }));
        events.push((back_at, Event::SetAvailable(true)));
        back_at += Duration::from_millis(50);
    }
    let rewritten_at = back_at + case.rewrite_delay;
    let first_lost = as_of.as_secs() + 1;
    let rewrites: Vec<Event> = match case.rewrite {
        Rewrite::Newest { others } => std::iter::repeat_n(Event::WriteOther, others)
            .chain([Event::Write(NEWEST_LOST)])
            .collect(),
        Rewrite::All => (first_lost..=NEWEST_LOST).map(Event::Write).collect(),
        Rewrite::Reversed => (first_lost..=NEWEST_LOST).rev().map(Event::Write).collect(),
    };
    events.extend(rewrites.into_iter().map(|event| (rewritten_at, event)));
    let next_at = rewritten_at + case.next_delay;
    events.push((next_at, Event::Write(NEXT)));
    (events, back_at, next_at)
}

/// Polls from a time on until a version is received, and returns when that was. Fails the test if
/// this never happens.
async fn receive(store: &RestoredLog, start: Duration, version: ConfigVersion) -> Duration {
    tokio::time::sleep(start).await;
    let mut poll = ConfigPoll::new(&bounds());
    let receiving = async {
        loop {
            let read = poll.read(store, || ()).await;
            if read.is_ok_and(|config| config.is_some_and(|config| config.version >= version)) {
                return store.now();
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(60), receiving).await.expect("version is received")
}

fn cases() -> Vec<Case> {
    let millis = Duration::from_millis;
    let rewrites = [
        Rewrite::Newest { others: 0 },
        Rewrite::Newest { others: 1 },
        Rewrite::Newest { others: 4 },
        Rewrite::Newest { others: 40 },
        Rewrite::All,
        Rewrite::Reversed,
    ];
    let mut cases = Vec::new();
    for away_for in [millis(0), millis(80), millis(700), millis(2500)] {
        for copy_age in [millis(500), millis(3000), millis(8000)] {
            for rewrite in rewrites {
                for rewrite_delay in [millis(0), millis(900)] {
                    for next_delay in [millis(0), millis(60), millis(1500)] {
                        for returns in [1, 2] {
                            cases.push(Case {
                                away_for,
                                copy_age,
                                rewrite,
                                rewrite_delay,
                                next_delay,
                                returns,
                            });
                        }
                    }
                }
            }
        }
    }
    cases
}

/// Guards against a version that comes into force late because offsets were given out again.
#[tokio::test(start_paused = true)]
async fn configuration_is_in_force_in_time_after_any_return_from_a_copy() {
    for case in cases() {
        let (events, back_at, next_at) = events(case);
        let due_at = (back_at + SETTLE).max(next_at + CONFIG_APPLY);
        let store = RestoredLog::new(events);
        // Processes poll in different phases, and some start after the return.
        let starts = (0..8).map(|phase| Duration::from_millis(270 * phase));
        let starts = starts.chain([back_at, back_at + Duration::from_millis(500)]);

        let received = join_all(starts.map(|start| receive(&store, start, NEXT))).await;

        let latest = received.into_iter().max().expect("processes");
        assert!(latest <= due_at, "{latest:?} after {due_at:?}: {case:?}");
    }
}

/// Guards against reads without a pause while the store has none of the positions that it names.
#[tokio::test(start_paused = true)]
async fn whole_fleet_reads_a_restored_store_three_times() {
    const PROCESSES: usize = 2500;
    let case = Case {
        away_for: Duration::ZERO,
        copy_age: Duration::from_secs(3),
        rewrite: Rewrite::Newest { others: 0 },
        rewrite_delay: Duration::from_secs(30),
        next_delay: Duration::ZERO,
        returns: 1,
    };
    let (events, back_at, _) = events(case);
    let store = RestoredLog::new(events);

    let polling = join_all((0..PROCESSES).map(|_| receive(&store, Duration::ZERO, NEXT)));
    let _ = tokio::time::timeout(back_at + Duration::from_millis(1500), polling).await;

    let reads = store.reads_within(AWAY_AT, back_at + Duration::from_millis(1500));
    assert!(reads <= 3 * PROCESSES, "{reads} reads by {PROCESSES} processes");
}
