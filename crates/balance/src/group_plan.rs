//! The next map of a group whose engines take whole maps.

use crate::{
    ExpertMap,
    search::{Limits, Patience, expected_skew, improve},
};

/// How many of the least loaded ranks are looked at for each move. Looking at all
/// of 72 ranks took 0.8 s of a seventh of a core for 12 sets.
const TARGETS: usize = 12;

/// Moves that may pass without a gain: ranks that are equally loaded have to be
/// relieved one by one before the most loaded one is less loaded.
const PATIENCE_MOVES: usize = 6;

/// Limits of the next map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimits {
    /// Experts that a rank has room for in each set.
    pub slots_per_rank: usize,
    /// Experts of one set that a rank may fetch at once.
    pub fetches_per_set: usize,
    /// Experts of all sets that a rank may fetch at once: ranks copy at the same
    /// time, so that this decides how long a change takes.
    pub fetches_per_rank: usize,
    /// By how much the skew of a set must fall for each expert that is fetched.
    pub min_gain_per_fetch: f64,
}

/// A map for a group, with what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// The experts of each set and rank.
    pub maps: Vec<Vec<Vec<usize>>>,
    /// The most loaded rank against the mean, as a mean over all sets, in the
    /// map in use.
    pub skew_before: f64,
    /// The same in the planned map.
    pub skew_after: f64,
    /// Slots that fetch.
    pub fetches: usize,
}

/// The most loaded rank against the mean, as a mean over all sets.
pub fn group_skew(current: &[Vec<Vec<usize>>], demand: &[Vec<f64>]) -> f64 {
    let skews = current
        .iter()
        .zip(demand)
        .map(|(ranks, parts)| expected_skew(&ExpertMap::from_ranks(ranks.clone()), parts));
    skews.sum::<f64>() / current.len().max(1) as f64
}

/// Plans the next map for the demand that is expected, by set and expert. The
/// set that is worst off goes first.
///
/// `None` if no change is expected to gain.
pub fn plan_group(
    current: &[Vec<Vec<usize>>],
    demand: &[Vec<f64>],
    limits: PlanLimits,
) -> Option<GroupPlan> {
    let maps: Vec<ExpertMap> =
        current.iter().map(|ranks| ExpertMap::from_ranks(ranks.clone())).collect();
    let skews: Vec<f64> =
        maps.iter().zip(demand).map(|(map, parts)| expected_skew(map, parts)).collect();
    let mut order: Vec<usize> = (0..skews.len()).collect();
    order.sort_by(|&a, &b| skews[b].total_cmp(&skews[a]));
    let ranks = current.first().map_or(0, Vec::len);
    let mut left_by_rank = vec![limits.fetches_per_rank; ranks];
    let mut planned = maps.clone();
    for set in order {
        planned[set] = plan_set(&maps[set], &demand[set], limits, &left_by_rank);
        for (rank, left) in left_by_rank.iter_mut().enumerate() {
            *left -= new_experts(&planned[set], &maps[set], rank);
        }
    }
    let after: f64 = planned.iter().zip(demand).map(|(map, parts)| expected_skew(map, parts)).sum();
    let sets = skews.len().max(1) as f64;
    let fetches = planned.iter().zip(&maps).map(|(new, old)| new.fetches_from(old)).sum();
    let plan = GroupPlan {
        maps: planned.iter().map(|map| map.ranks().to_vec()).collect(),
        skew_before: skews.iter().sum::<f64>() / sets,
        skew_after: after / sets,
        fetches,
    };
    (fetches > 0).then_some(plan)
}

fn plan_set(
    map: &ExpertMap,
    demand: &[f64],
    limits: PlanLimits,
    left_by_rank: &[usize],
) -> ExpertMap {
    let fetches_by_rank =
        left_by_rank.iter().map(|left| (*left).min(limits.fetches_per_set)).collect();
    let patience =
        Patience::Moves { moves: PATIENCE_MOVES, gain_per_fetch: limits.min_gain_per_fetch };
    let search_limits = Limits {
        fetches_by_rank,
        targets: TARGETS,
        patience,
        ..Limits::unlimited(limits.slots_per_rank)
    };
    let path = improve(map, demand, search_limits);
    let cost = |skew: f64, fetches: usize| skew + limits.min_gain_per_fetch * fetches as f64;
    let best = path
        .points
        .iter()
        .min_by(|a, b| cost(a.skew, a.fetches).total_cmp(&cost(b.skew, b.fetches)));
    best.map_or_else(|| map.clone(), |point| path.map_at(*point))
}

fn new_experts(new: &ExpertMap, old: &ExpertMap, rank: usize) -> usize {
    new.ranks()[rank].iter().filter(|expert| !old.ranks()[rank].contains(expert)).count()
}
