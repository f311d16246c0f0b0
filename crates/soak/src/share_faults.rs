//! Draws disturbances of what is divided among entries, beside endpoints that fail: registrations
//! that expire in an outage of the store, and entries that end in series.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::plan::{EndpointFault, ExpiryFault, Fault, FaultKind, ProcessId, Size};

/// The mean gap between two disturbances, in milliseconds.
const SHARE_GAP_MS: u64 = 4000;

/// How long the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 1500..7000;

/// How long after the store's return endpoints register again, in milliseconds.
const REGISTER_DELAY_MS: std::ops::Range<u64> = 0..1800;

/// The number of ends in a series.
const ENDS: std::ops::Range<usize> = 4..16;

/// The gap between two ends, in milliseconds.
const END_GAP_MS: std::ops::Range<u64> = 400..1500;

/// How much longer endpoints fail, in milliseconds: the longest outlast a window of the retry budget.
const FAILS_AFTER_MS: std::ops::Range<u64> = 0..12_000;

/// One of this many ends is a SIGTERM.
const TERMINATE_ONE_OF: u32 = 4;

/// Separates the random sequence of these disturbances from the others of a seed.
const SHARE_SEED: u64 = 0x5348_4152_4553;

/// Draws disturbances from a random sequence of their own, so that the other faults of a seed do not
/// depend on them.
pub(crate) fn draw_share_faults(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SHARE_SEED);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..SHARE_GAP_MS));
    while at < time {
        let disturbed_for = match rng.random_bool(0.5) {
            true => draw_expiry(&mut rng, at, &mut faults),
            false => draw_ends(&mut rng, size, at, &mut faults),
        };
        let length = disturbed_for + Duration::from_millis(rng.random_range(FAILS_AFTER_MS));
        let service = rng.random_range(0..3) * size.endpoints;
        let failing = service..service + size.endpoints;
        faults.extend(failing.map(|endpoint| Fault {
            at,
            length,
            kind: FaultKind::Misbehave(endpoint, EndpointFault::Fail),
        }));
        at += length + Duration::from_millis(rng.random_range(0..2 * SHARE_GAP_MS));
    }
    faults
}

/// Draws an outage; returns its length.
fn draw_expiry(rng: &mut SmallRng, at: Duration, faults: &mut Vec<Fault>) -> Duration {
    let length = Duration::from_millis(rng.random_range(AWAY_MS));
    let expiry = ExpiryFault {
        is_busy: rng.random_bool(0.5),
        register_delay_ms: rng.random_range(REGISTER_DELAY_MS),
    };
    faults.push(Fault { at, length, kind: FaultKind::ExpireRegistrations(expiry) });
    length
}

/// Draws a series of ends; returns its length.
fn draw_ends(rng: &mut SmallRng, size: Size, at: Duration, faults: &mut Vec<Fault>) -> Duration {
    let first = rng.random_range(0..size.entries);
    let mut after = Duration::ZERO;
    for number in 0..rng.random_range(ENDS) {
        let entry = ProcessId::Entry((first + number) % size.entries);
        let kind = match rng.random_ratio(1, TERMINATE_ONE_OF) {
            true => FaultKind::Terminate(entry),
            false => FaultKind::Kill(entry),
        };
        faults.push(Fault { at: at + after, length: Duration::ZERO, kind });
        after += Duration::from_millis(rng.random_range(END_GAP_MS));
    }
    after
}
