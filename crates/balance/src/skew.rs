//! Step-time skew: the load of the slowest rank over the mean load.

use crate::ExpertMap;

/// The load of each rank; an expert's tokens are split evenly over its replicas.
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

/// The percentile of the values at `fraction`, by the nearest-rank method; 1 if there are
/// no values.
pub fn percentile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(1.0)
}
