//! Draws SIGTERMs of entries with pauses of endpoints of streams beside them.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::plan::{Fault, FaultKind, Paused, ProcessId, Size};

/// The mean gap between two drains, in milliseconds.
const DRAIN_GAP_MS: u64 = 3000;

/// The number of pauses beside a drain.
const PAUSES: std::ops::Range<u32> = 2..5;

/// How long after SIGTERM a pause may begin, in milliseconds.
const PAUSE_AFTER_MS: std::ops::Range<u64> = 0..4000;

/// The duration of a pause, in milliseconds: the longest exceed the idle timeouts of callers.
const PAUSE_LENGTH_MS: std::ops::Range<u64> = 800..2600;

/// Separates the random sequence of drains from the others of a seed.
const DRAIN_SEED: u64 = 0x4452_4149_4e53;

/// Draws drains and pauses from a random sequence of their own, so that the other faults of a seed
/// do not depend on them.
pub(crate) fn draw_drains(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ DRAIN_SEED);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..DRAIN_GAP_MS));
    while at < time {
        let entry = ProcessId::Entry(rng.random_range(0..size.entries));
        faults.push(Fault { at, length: Duration::ZERO, kind: FaultKind::Terminate(entry) });
        for _ in 0..rng.random_range(PAUSES) {
            faults.push(draw_pause(&mut rng, size, at));
        }
        at += Duration::from_millis(rng.random_range(0..2 * DRAIN_GAP_MS));
    }
    faults
}

fn draw_pause(rng: &mut SmallRng, size: Size, drain_at: Duration) -> Fault {
    let endpoint = 2 * size.endpoints + rng.random_range(0..size.endpoints);
    let paused = match rng.random_range(0..3) {
        0 => Paused::AllStreams,
        1 => Paused::Endpoint(endpoint),
        _ => Paused::Stream(endpoint),
    };
    Fault {
        at: drain_at + Duration::from_millis(rng.random_range(PAUSE_AFTER_MS)),
        length: Duration::from_millis(rng.random_range(PAUSE_LENGTH_MS)),
        kind: FaultKind::PauseStreams(paused),
    }
}
