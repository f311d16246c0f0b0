//! Whether a change of map pays, and how large it is to be.

use std::time::Duration;

use lynxmount_core::{ExpertSpec, experts::GroupMap};

use crate::{GroupPlan, PlanLimits, group_skew, plan_group};

/// The smallest gain in skew that a change is made for while pauses have no room.
const MIN_GAIN: f64 = 0.07;

/// The pressure up to which pauses have room: a skew of 1.6 in place of 1.2 makes
/// passes 1.3 times as long, and they are still on time.
const LOW_PRESSURE: f64 = 0.5;

/// The pressure from which on they have none: that which the limit of what runs
/// aims for.
const HIGH_PRESSURE: f64 = 0.66;

/// By how much more a change has to gain while pauses have room.
const ROOM_FACTOR: f64 = 3.0;

/// By how much the skew of a set must fall for each expert that is fetched, in a
/// group of [`REFERENCE_RANKS`].
const MIN_GAIN_PER_FETCH: f64 = 0.025;

/// The size of the groups that the gain was measured on.
const REFERENCE_RANKS: f64 = 16.0;

/// The skew from which on a change may take longer: after a shift, a few experts
/// are not enough to spread those that are in demand now.
const HIGH_SKEW: f64 = 1.6;

/// How long the copies of a change take after a shift. All ranks' passes are
/// longer meanwhile, and the next change waits for this one: with 220 ms the mean
/// worth on the heaviest days of the large sites was 0.66 and 0.49, against 0.71 and
/// 0.54 (two seeds each).
const LONG_COPY: Duration = Duration::from_millis(110);

/// How long they take otherwise. With 110 ms it was 0.61 and 0.42, against 0.71 and
/// 0.43 (three seeds each). Every change copies one expert at least.
const SHORT_COPY: Duration = Duration::from_millis(60);

/// Plans a change that is quick, or a larger one if much is out of balance; `None`
/// if none gains enough.
///
/// `pressure` is the time between passes as a part of the longest pause that is on
/// time. Below it streams gain little by shorter passes, and copies are dear.
pub fn plan_change(
    current: &GroupMap,
    demand: &[Vec<f64>],
    spec: &ExpertSpec,
    pressure: f64,
) -> Option<GroupPlan> {
    let skew = group_skew(current, demand);
    let factor = gain_factor(pressure);
    let min_gain = MIN_GAIN * factor;
    if skew < 1.0 + min_gain {
        return None;
    }
    let limits = PlanLimits {
        slots_per_rank: spec.places_per_rank,
        fetches_per_set: spec.spare_per_set,
        fetches_per_rank: fetches_per_rank(skew, spec),
        min_gain_per_fetch: min_gain_per_fetch(current) * factor,
    };
    plan_group(current, demand, limits).filter(|p| p.skew_before - p.skew_after >= min_gain)
}

/// By how much more a change has to gain than without any room in pauses.
fn gain_factor(pressure: f64) -> f64 {
    let room = (HIGH_PRESSURE - pressure) / (HIGH_PRESSURE - LOW_PRESSURE);
    1.0 + (ROOM_FACTOR - 1.0) * room.clamp(0.0, 1.0)
}

/// How many experts a rank fetches, by how much is out of balance. Smaller experts
/// are copied sooner.
fn fetches_per_rank(skew: f64, spec: &ExpertSpec) -> usize {
    let time = if skew >= HIGH_SKEW { LONG_COPY } else { SHORT_COPY };
    let copies = time.as_secs_f64() / spec.copy_time.as_secs_f64().max(f64::MIN_POSITIVE);
    (copies.round() as usize).max(1)
}

/// By how much the skew of a set must fall for each expert that is fetched: one
/// replica relieves a set of more ranks less.
fn min_gain_per_fetch(current: &GroupMap) -> f64 {
    let ranks = current.first().map_or(0, Vec::len);
    MIN_GAIN_PER_FETCH * REFERENCE_RANKS / ranks.max(1) as f64
}
