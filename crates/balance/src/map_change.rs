//! Decides whether a change of a group's map pays off, and limits its size.

use std::time::Duration;

use lynxmount_core::{ExpertSpec, experts::GroupMap};

use crate::{GroupPlan, PlanLimits, group_skew, plan_group};

/// The minimum gain in skew of a change at high pressure.
const MIN_GAIN: f64 = 0.07;

/// The pressure up to which gaps between events have slack: with a skew of 1.6 instead of
/// 1.2 passes take 1.3 times as long, and gaps still meet the objective.
const LOW_PRESSURE: f64 = 0.5;

/// The pressure from which on gaps have no slack. The limit on running requests aims
/// for this pressure.
const HIGH_PRESSURE: f64 = 0.66;

/// The factor by which the gain of a change has to be higher at low pressure.
const SLACK_FACTOR: f64 = 3.0;

/// The minimum gain in the skew of a set per fetched expert, in a group of
/// [`REFERENCE_RANKS`].
const MIN_GAIN_PER_FETCH: f64 = 0.025;

/// The group size to which [`MIN_GAIN_PER_FETCH`] applies.
const REFERENCE_RANKS: f64 = 16.0;

/// The skew from which on a change may take longer: after a shift of demand, copies of a
/// few experts are not enough to spread the load.
const HIGH_SKEW: f64 = 1.6;

/// How long the copies of a change may take after a shift. During longer copies the passes
/// of all ranks are longer, and the next change has to wait.
const LONG_COPY_TIME: Duration = Duration::from_millis(110);

/// How long the copies may take otherwise; longer copies cost more than they gain. Every
/// change copies at least one expert, however long that takes.
const SHORT_COPY_TIME: Duration = Duration::from_millis(60);

/// Plans a quick change, or a larger one if the skew is high; `None` if no change gains
/// enough.
///
/// `slowdowns` tells how much longer than usual each rank takes: the map of a group with a slow
/// rank moves load away from it, as all ranks wait for it in every pass.
///
/// `pressure` is the time between passes as a fraction of the longest gap between events
/// that meets the objective.
/// At low pressure streams gain little by shorter passes, while copies still cost time.
pub fn plan_change(
    current: &GroupMap,
    demand: &[Vec<f64>],
    slowdowns: &[f64],
    spec: &ExpertSpec,
    pressure: f64,
) -> Option<GroupPlan> {
    let skew = group_skew(current, demand, slowdowns);
    let gain_factor = gain_factor(pressure);
    let min_gain = MIN_GAIN * gain_factor;
    if skew < 1.0 + min_gain {
        return None;
    }
    let limits = PlanLimits {
        slots_per_rank: spec.slots_per_rank,
        fetches_per_set: spec.spare_per_set,
        fetches_per_rank: fetches_per_rank(skew, spec),
        min_gain_per_fetch: min_gain_per_fetch(current) * gain_factor,
    };
    plan_group(current, demand, slowdowns, limits)
        .filter(|p| p.skew_before - p.skew_after >= min_gain)
}

/// The factor on the minimum gain: interpolated from [`SLACK_FACTOR`] at low pressure to 1
/// at high pressure.
fn gain_factor(pressure: f64) -> f64 {
    let slack = (HIGH_PRESSURE - pressure) / (HIGH_PRESSURE - LOW_PRESSURE);
    1.0 + (SLACK_FACTOR - 1.0) * slack.clamp(0.0, 1.0)
}

/// How many experts a rank may fetch, given the skew. Smaller experts are copied faster,
/// so that a rank may fetch more of them.
fn fetches_per_rank(skew: f64, spec: &ExpertSpec) -> usize {
    let max_time = if skew >= HIGH_SKEW { LONG_COPY_TIME } else { SHORT_COPY_TIME };
    let copies = max_time.as_secs_f64() / spec.copy_time.as_secs_f64().max(f64::MIN_POSITIVE);
    (copies.round() as usize).max(1)
}

/// The minimum gain in the skew of a set per fetched expert. It falls with the number of
/// ranks, as one replica relieves a larger set less.
fn min_gain_per_fetch(current: &GroupMap) -> f64 {
    let ranks = current.first().map_or(0, Vec::len);
    MIN_GAIN_PER_FETCH * REFERENCE_RANKS / ranks.max(1) as f64
}
