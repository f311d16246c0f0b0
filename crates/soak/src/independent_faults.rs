//! Draws the faults that have random sequences of their own, so that neither the other faults of a
//! seed nor each other depend on them.

use std::time::Duration;

use lynxmount_platform_standin::TopicSilence;
use lynxmount_standin::CrashKind;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::plan::{BackpressureKind, Fault, FaultKind, LENGTH_MS, RestoreFault, Rewrite, Size};

/// The mean gap between two draws of backpressure, in milliseconds.
const BACKPRESSURE_GAP_MS: u64 = 1500;

/// One of this many draws of backpressure is for all endpoints of a service.
const WHOLE_SERVICE_ONE_OF: u32 = 5;

/// The minimum gap between two kinds of backpressure of one endpoint.
const MIN_BACKPRESSURE_GAP: Duration = Duration::from_secs(1);

/// The duration of an endpoint's backpressure, in milliseconds: long enough for several windows.
const BACKPRESSURE_LENGTH_MS: std::ops::Range<u64> = 5000..12_000;

/// The retry-after times of endpoints, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<u64> = 1000..6000;

/// The rate limits of endpoints, in requests per ten seconds.
const RATE_LIMIT_PER_TEN_S: std::ops::Range<u32> = 5..60;

/// The mean gap between two stalls, in milliseconds.
const STALL_GAP_MS: u64 = 3000;

/// One of this many stalls blocks all endpoints of streams.
const BLOCKED_GROUP_ONE_OF: u32 = 3;

/// One of this many stalls is long.
const LONG_STALL_ONE_OF: u32 = 4;

/// The duration of a long stall, in milliseconds: beyond the idle timeouts of all callers.
const LONG_STALL_MS: std::ops::Range<u64> = 4000..9000;

/// Separates the random sequence of stalls from the others of a seed.
const STALL_SEED: u64 = 0x5354_414e_4453_5449;

/// The mean gap between two poison requests, in milliseconds.
const POISON_GAP_MS: u64 = 4000;

/// How long a poison request is repeated, in milliseconds.
const POISON_LENGTH_MS: std::ops::Range<u64> = 2000..5000;

/// How long after the connections of a crashed process its listener closes, in milliseconds.
const LATE_LISTENER_MS: [u64; 4] = [1, 20, 100, 500];

/// How long before the connections of a crashed process its listener closes, in milliseconds.
const EARLY_LISTENER_MS: std::ops::Range<u64> = 1..100;

/// Separates the random sequence of poison requests from the others of a seed.
const POISON_SEED: u64 = 0x504f_4953_4f4e;

/// The mean gap between two silences of the operators' topic, in milliseconds.
const SILENCE_GAP_MS: u64 = 3000;

/// The duration of such a silence, in milliseconds: the longest exceed the wait of a poll.
const SILENCE_LENGTH_MS: std::ops::Range<u64> = 100..4000;

/// How long after a silence a configuration may still be written, in milliseconds.
const CONFIG_AFTER_SILENCE_MS: u64 = 900;

/// Separates the random sequence of silences from the others of a seed.
const SILENCE_SEED: u64 = 0x5349_4c45_4e43;

/// The mean gap between two returns of the store from a copy, in milliseconds.
const RESTORE_GAP_MS: u64 = 5000;

/// How long the store is away before, in milliseconds: the shortest outages fit between two reads.
const AWAY_MS: std::ops::Range<u64> = 0..2500;

/// The age of a copy, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 300..6000;

/// How long after the store's return the lost records are written again, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..900;

/// How many records with other keys may be written before.
const OTHER_RECORDS: std::ops::Range<u64> = 1..20;

/// How long after these a configuration may be written, in milliseconds.
const CONFIG_AFTER_RESTORE_MS: u64 = 2000;

/// Separates the random sequence of returns from the others of a seed.
const RESTORE_SEED: u64 = 0x0052_4553_544f_5245;

/// Draws backpressure, stalls, poison requests, silences and returns of the store from copies.
pub(crate) fn draw_independent_faults(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut faults = draw_backpressure(seed, size, time);
    faults.extend(draw_stalls(seed, size, time));
    faults.extend(draw_poisons(seed, time));
    faults.extend(draw_silences(seed, time));
    faults.extend(draw_restores(seed, time));
    faults
}

/// Draws the backpressure of endpoints from a random sequence of its own, so that the other faults
/// of a seed do not depend on it.
fn draw_backpressure(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut faults = Vec::new();
    let mut over_at = vec![Duration::ZERO; 3 * size.endpoints];
    let mut at = Duration::from_millis(rng.random_range(0..BACKPRESSURE_GAP_MS));
    while at < time {
        let first = rng.random_range(0..3 * size.endpoints);
        let kind = match rng.random_range(0..3) {
            0 => BackpressureKind::Leave,
            1 => BackpressureKind::Limit(rng.random_range(RATE_LIMIT_PER_TEN_S)),
            _ => BackpressureKind::Rest(rng.random_range(RETRY_AFTER_MS)),
        };
        let length = Duration::from_millis(rng.random_range(BACKPRESSURE_LENGTH_MS));
        let is_for_all = rng.random_ratio(1, WHOLE_SERVICE_ONE_OF);
        let service = first - first % size.endpoints;
        let endpoints = match is_for_all {
            true => service..service + size.endpoints,
            false => first..first + 1,
        };
        for endpoint in endpoints {
            // An endpoint applies one kind of backpressure at a time.
            if over_at[endpoint] <= at {
                over_at[endpoint] = at + length + MIN_BACKPRESSURE_GAP;
                faults.push(Fault { at, length, kind: FaultKind::Advise(endpoint, kind) });
            }
        }
        at += Duration::from_millis(rng.random_range(0..2 * BACKPRESSURE_GAP_MS));
    }
    faults
}

/// Draws stalls of endpoints from a random sequence of its own, so that the other faults of a seed
/// do not depend on it.
fn draw_stalls(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ STALL_SEED);
    let mut stalls = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..STALL_GAP_MS));
    while at < time {
        let kind = match rng.random_ratio(1, BLOCKED_GROUP_ONE_OF) {
            true => FaultKind::BlockGroup { frozen: draw_frozen_rank(&mut rng, size) },
            false => FaultKind::Freeze(rng.random_range(0..3 * size.endpoints)),
        };
        let length_ms = match rng.random_ratio(1, LONG_STALL_ONE_OF) {
            true => LONG_STALL_MS,
            false => LENGTH_MS,
        };
        let length = Duration::from_millis(rng.random_range(length_ms));
        stalls.push(Fault { at, length, kind });
        at += Duration::from_millis(rng.random_range(0..2 * STALL_GAP_MS));
    }
    stalls
}

/// Draws poison requests, one at a time, from a random sequence of its own, so that the other
/// faults of a seed do not depend on it.
fn draw_poisons(seed: u64, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ POISON_SEED);
    let mut poisons = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..POISON_GAP_MS));
    while at < time {
        let service = rng.random_range(0..3);
        let kind = FaultKind::Poison { service, crash: draw_crash(&mut rng) };
        let length = Duration::from_millis(rng.random_range(POISON_LENGTH_MS));
        poisons.push(Fault { at, length, kind });
        at += length + Duration::from_millis(rng.random_range(0..2 * POISON_GAP_MS));
    }
    poisons
}

/// Draws silences of the operators' topic, one at a time, each with a configuration that is written
/// during it or soon after, from a random sequence of its own, so that the other faults of a seed
/// do not depend on it.
fn draw_silences(seed: u64, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SILENCE_SEED);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..SILENCE_GAP_MS));
    while at < time {
        let silence = match rng.random_bool(0.5) {
            true => TopicSilence::All,
            false => TopicSilence::EverySecond,
        };
        let length_ms = rng.random_range(SILENCE_LENGTH_MS);
        let change_ms = rng.random_range(0..length_ms + CONFIG_AFTER_SILENCE_MS);
        let length = Duration::from_millis(length_ms);
        faults.push(Fault { at, length, kind: FaultKind::SilenceConfigs(silence) });
        faults.push(Fault {
            at: at + Duration::from_millis(change_ms),
            length: Duration::ZERO,
            kind: FaultKind::ChangeConfig,
        });
        at += length + Duration::from_millis(rng.random_range(0..2 * SILENCE_GAP_MS));
    }
    faults
}

/// Draws returns of the store from copies, one at a time, each with a configuration that is lost and
/// another one soon after, from a random sequence of its own, so that the other faults of a seed do
/// not depend on it.
fn draw_restores(seed: u64, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..RESTORE_GAP_MS));
    while at < time {
        let restore = RestoreFault {
            copy_age_ms: rng.random_range(COPY_AGE_MS),
            is_busy: rng.random_bool(0.5),
            rewrite: match rng.random_range(0..3) {
                0 => Rewrite::All,
                1 => Rewrite::Newest,
                _ => Rewrite::NewestAfterOthers(rng.random_range(OTHER_RECORDS)),
            },
            rewrite_delay_ms: rng.random_range(REWRITE_DELAY_MS),
        };
        let length = Duration::from_millis(rng.random_range(AWAY_MS));
        faults.push(Fault { at, length, kind: FaultKind::RestoreStore(restore) });
        let away_at = at + Duration::from_millis(restore.copy_age_ms);
        let written_at = away_at + length + Duration::from_millis(restore.rewrite_delay_ms);
        let lost_ms = rng.random_range(0..restore.copy_age_ms);
        let next_ms = rng.random_range(0..CONFIG_AFTER_RESTORE_MS);
        let changes =
            [at + Duration::from_millis(lost_ms), written_at + Duration::from_millis(next_ms)];
        faults.extend(changes.map(|at| Fault {
            at,
            length: Duration::ZERO,
            kind: FaultKind::ChangeConfig,
        }));
        at = written_at + Duration::from_millis(rng.random_range(0..2 * RESTORE_GAP_MS));
    }
    faults
}

fn draw_crash(rng: &mut SmallRng) -> CrashKind {
    let millis = Duration::from_millis;
    match rng.random_range(0..5) {
        0 => CrashKind::AllAtOnce,
        1 => CrashKind::ListenerFirst {
            connections_after: millis(rng.random_range(EARLY_LISTENER_MS)),
        },
        2 | 3 => {
            let late_ms = LATE_LISTENER_MS.choose(rng).expect("not empty");
            CrashKind::ListenerLast { listener_after: millis(*late_ms) }
        }
        _ => CrashKind::Restarted,
    }
}

fn draw_frozen_rank(rng: &mut SmallRng, size: Size) -> Option<usize> {
    let rank = 2 * size.endpoints + rng.random_range(0..size.endpoints);
    rng.random_bool(0.5).then_some(rank)
}
