//! Step-time skew: the slowest rank over the mean rank.

use crate::ExpertMap;

/// The load of each rank; an expert's tokens divide evenly over its replicas.
pub fn rank_loads(map: &ExpertMap, tokens: &[f64]) -> Vec<f64> {
    let replicas = map.replicas(tokens.len());
    let share = |expert: usize| tokens[expert] / f64::from(replicas[expert].max(1));
    map.ranks().iter().map(|held| held.iter().map(|&expert| share(expert)).sum()).collect()
}

/// The skew of one layer; 1 if there is no load.
pub fn layer_skew(map: &ExpertMap, tokens: &[f64]) -> f64 {
    let loads = rank_loads(map, tokens);
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let slowest = loads.iter().copied().fold(0.0, f64::max);
    slowest * loads.len() as f64 / total
}

/// The value below which a part of the values lie, by nearest rank.
pub fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(1.0)
}
