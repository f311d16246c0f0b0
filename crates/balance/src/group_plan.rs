//! Plans the next map of a group whose engines switch all sets at once.

use crate::{
    ExpertMap,
    search::{Limits, StopRule, expected_skew, improve},
};

/// The number of least loaded ranks that are considered for each move. Considering all
/// of 72 ranks took 0.8 s on a seventh of a core for 12 sets.
const MAX_TARGETS: usize = 12;

/// The number of moves without a gain after which the search stops: equally loaded ranks
/// have to be relieved one by one before the maximum load falls.
const MAX_MOVES_WITHOUT_GAIN: usize = 6;

/// Limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimits {
    /// The number of experts that a rank can hold per set.
    pub slots_per_rank: usize,
    /// The maximum number of experts that a rank fetches per set.
    pub fetches_per_set: usize,
    /// The maximum number of experts that a rank fetches over all sets. Ranks copy in
    /// parallel, so that this determines how long a change takes.
    pub fetches_per_rank: usize,
    /// The minimum gain in the skew of a set per fetched expert.
    pub min_gain_per_fetch: f64,
}

/// A planned map for a group and its expected effect.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// The experts of each set and rank.
    pub maps: Vec<Vec<Vec<usize>>>,
    /// The skew (see [`group_skew`]) of the current map.
    pub skew_before: f64,
    /// The skew of the planned map.
    pub skew_after: f64,
    /// The number of experts that ranks have to fetch.
    pub fetches: usize,
}

/// The skew of a group: the load of the slowest rank, times its slowdown, over the mean load,
/// averaged over all sets. Ranks without a slowdown have the usual speed.
pub fn group_skew(current: &[Vec<Vec<usize>>], demand: &[Vec<f64>], slowdowns: &[f64]) -> f64 {
    let skews = current.iter().zip(demand).map(|(ranks, demand)| {
        expected_skew(&ExpertMap::from_ranks(ranks.clone()), demand, slowdowns)
    });
    skews.sum::<f64>() / current.len().max(1) as f64
}

/// Plans the next map for the expected demand by set and expert, and the slowdown of each rank.
/// The set with the highest skew is planned first.
///
/// `None` if no change is expected to gain enough.
pub fn plan_group(
    current: &[Vec<Vec<usize>>],
    demand: &[Vec<f64>],
    slowdowns: &[f64],
    limits: PlanLimits,
) -> Option<GroupPlan> {
    let maps: Vec<ExpertMap> =
        current.iter().map(|ranks| ExpertMap::from_ranks(ranks.clone())).collect();
    let skews: Vec<f64> = maps
        .iter()
        .zip(demand)
        .map(|(map, demand)| expected_skew(map, demand, slowdowns))
        .collect();
    let mut order: Vec<usize> = (0..skews.len()).collect();
    order.sort_by(|&a, &b| skews[b].total_cmp(&skews[a]));
    let ranks = current.first().map_or(0, Vec::len);
    let mut fetches_left_by_rank = vec![limits.fetches_per_rank; ranks];
    let mut planned = maps.clone();
    for set in order {
        planned[set] = plan_set(&maps[set], &demand[set], slowdowns, limits, &fetches_left_by_rank);
        for (rank, fetches_left) in fetches_left_by_rank.iter_mut().enumerate() {
            *fetches_left -= count_fetches(&planned[set], &maps[set], rank);
        }
    }
    let after: f64 =
        planned.iter().zip(demand).map(|(map, demand)| expected_skew(map, demand, slowdowns)).sum();
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
    slowdowns: &[f64],
    limits: PlanLimits,
    fetches_left_by_rank: &[usize],
) -> ExpertMap {
    let fetches_by_rank =
        fetches_left_by_rank.iter().map(|left| (*left).min(limits.fetches_per_set)).collect();
    let stop_rule = StopRule::NoGain {
        moves: MAX_MOVES_WITHOUT_GAIN,
        min_gain_per_fetch: limits.min_gain_per_fetch,
    };
    let search_limits = Limits {
        fetches_by_rank,
        max_targets: MAX_TARGETS,
        stop_rule,
        ..Limits::unlimited(limits.slots_per_rank)
    };
    let path = improve(map, demand, slowdowns, search_limits);
    let cost = |skew: f64, fetches: usize| skew + limits.min_gain_per_fetch * fetches as f64;
    let best = path
        .points
        .iter()
        .min_by(|a, b| cost(a.skew, a.fetches).total_cmp(&cost(b.skew, b.fetches)));
    best.map_or_else(|| map.clone(), |point| path.map_at(*point))
}

fn count_fetches(new: &ExpertMap, old: &ExpertMap, rank: usize) -> usize {
    new.ranks()[rank].iter().filter(|expert| !old.ranks()[rank].contains(expert)).count()
}
