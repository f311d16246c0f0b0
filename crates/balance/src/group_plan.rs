//! The next map of a group whose engines take whole maps.

use crate::{
    ExpertMap,
    search::{Limits, expected_skew, improve},
};

/// Limits of the next map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanLimits {
    /// Experts that a rank has room for in each set.
    pub slots_per_rank: usize,
    /// Experts of one set that a rank may fetch at once.
    pub fetches_per_rank: usize,
    /// Experts of one set that all ranks may fetch at once.
    pub fetches_per_set: usize,
}

/// A map for a group, with what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// The experts of each set and rank.
    pub maps: Vec<Vec<Vec<usize>>>,
    /// The most loaded rank against the mean, over all sets, in the map in use.
    pub skew_before: f64,
    /// The same in the planned map.
    pub skew_after: f64,
    /// Slots that fetch.
    pub fetches: usize,
}

/// Plans the next map for the demand that is expected, by set and expert.
///
/// `None` if no change is expected to gain.
pub fn plan_group(
    current: &[Vec<Vec<usize>>],
    demand: &[Vec<f64>],
    limits: PlanLimits,
) -> Option<GroupPlan> {
    let search_limits = Limits {
        max_fetches: limits.fetches_per_set,
        max_fetches_per_rank: limits.fetches_per_rank,
        slots_per_rank: limits.slots_per_rank,
    };
    let mut plan = GroupPlan { maps: Vec::new(), skew_before: 0.0, skew_after: 0.0, fetches: 0 };
    let sets = current.len().max(1) as f64;
    for (ranks, expected) in current.iter().zip(demand) {
        let map = ExpertMap::from_ranks(ranks.clone());
        let path = improve(&map, expected, search_limits);
        let best = path.points.iter().min_by(|a, b| a.skew.total_cmp(&b.skew));
        let planned = best.map_or_else(|| map.clone(), |point| path.map_at(*point));
        plan.skew_before += expected_skew(&map, expected) / sets;
        plan.skew_after += expected_skew(&planned, expected) / sets;
        plan.fetches += planned.fetches_from(&map);
        plan.maps.push(planned.ranks().to_vec());
    }
    (plan.fetches > 0).then_some(plan)
}
