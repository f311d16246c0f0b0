//! Replays a trace through a policy and measures the result.

use serde::Serialize;

use crate::{
    BalanceOptions, ExpertMap, Planner, PolicyKind, Shape, StepCounts,
    skew::{layer_skew, percentile},
};

/// The new map of a layer and its first step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MapUpdate {
    /// The first step with the map.
    pub step: u64,
    /// The layer.
    pub layer: usize,
    /// The experts that each rank holds.
    pub ranks: ExpertMap,
}

/// The measures of a policy over a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplaySummary {
    /// The policy's name.
    pub policy: String,
    /// The number of steps.
    pub steps: u64,
    /// The mean skew of the steps.
    pub step_skew_mean: f64,
    /// The 99th percentile of the steps' skew, by the nearest-rank method.
    pub step_skew_p99: f64,
    /// The number of map switches; several layers in one step count as one.
    pub rebalances: u64,
    /// The number of experts fetched.
    pub experts_moved: u64,
    /// The number of bytes fetched.
    pub bytes_moved: u64,
    /// The steps lost by switches.
    pub steps_lost: f64,
}

/// A replay of a trace through a policy.
#[derive(Clone, Debug)]
pub struct Replay {
    kind: PolicyKind,
    options: BalanceOptions,
    planner: Planner,
    maps: Vec<ExpertMap>,
    window: Vec<Vec<f64>>,
    steps_in_window: u64,
    skews: Vec<f64>,
    rebalances: u64,
    experts_moved: u64,
}

impl Replay {
    /// Starts a replay with the initial map, which is the same for all policies.
    pub fn new(kind: PolicyKind, shape: Shape, options: BalanceOptions) -> Replay {
        Replay {
            kind,
            options,
            planner: Planner::new(kind, shape, options),
            maps: vec![ExpertMap::initial(shape); shape.layers],
            window: vec![vec![0.0; shape.experts]; shape.layers],
            steps_in_window: 0,
            skews: Vec::new(),
            rebalances: 0,
            experts_moved: 0,
        }
    }

    /// The maps in use.
    pub fn maps(&self) -> &[ExpertMap] {
        &self.maps
    }

    /// The skew of each step so far.
    pub fn skews(&self) -> &[f64] {
        &self.skews
    }

    /// Replays the next step; returns the maps that are first used in it.
    pub fn step(&mut self, counts: &StepCounts) -> Vec<MapUpdate> {
        let updates = self.update_maps(counts.step);
        self.skews.push(step_skew(&self.maps, &counts.tokens));
        for (window, tokens) in self.window.iter_mut().zip(&counts.tokens) {
            window.iter_mut().zip(tokens).for_each(|(sum, count)| *sum += count);
        }
        self.steps_in_window += 1;
        updates
    }

    /// The measures of all steps so far.
    pub fn summary(&self) -> ReplaySummary {
        let steps = self.skews.len();
        let name = match self.kind {
            PolicyKind::Adaptive => "adaptive",
            PolicyKind::Replan => "replan",
            PolicyKind::Static => "static",
        };
        ReplaySummary {
            policy: name.to_owned(),
            steps: steps as u64,
            step_skew_mean: self.skews.iter().sum::<f64>() / steps.max(1) as f64,
            step_skew_p99: percentile(&self.skews, 0.99),
            rebalances: self.rebalances,
            experts_moved: self.experts_moved,
            bytes_moved: self.experts_moved * self.options.expert_bytes,
            steps_lost: self.rebalances as f64 * self.options.steps_lost_per_switch,
        }
    }

    fn update_maps(&mut self, step: u64) -> Vec<MapUpdate> {
        if self.skews.is_empty() {
            return (0..self.maps.len()).map(|layer| self.map_update(step, layer)).collect();
        }
        if self.steps_in_window < self.options.window_steps {
            return Vec::new();
        }
        let new_maps = self.planner.decide(&self.window, &self.maps);
        self.steps_in_window = 0;
        self.window.iter_mut().flatten().for_each(|count| *count = 0.0);
        let mut updates = Vec::new();
        for (layer, map) in new_maps {
            let fetches = map.fetches_from(&self.maps[layer]);
            if fetches > 0 {
                self.experts_moved += fetches as u64;
                self.maps[layer] = map;
                updates.push(self.map_update(step, layer));
            }
        }
        self.rebalances += u64::from(!updates.is_empty());
        updates
    }

    fn map_update(&self, step: u64, layer: usize) -> MapUpdate {
        MapUpdate { step, layer, ranks: self.maps[layer].clone() }
    }
}

/// The skew of a step: the load-weighted average of its layers' skews.
fn step_skew(maps: &[ExpertMap], tokens: &[Vec<f64>]) -> f64 {
    let mut weighted_skew = 0.0;
    let mut total_load = 0.0;
    for (map, tokens) in maps.iter().zip(tokens) {
        let load: f64 = tokens.iter().sum();
        weighted_skew += load * layer_skew(map, tokens);
        total_load += load;
    }
    if total_load > 0.0 { weighted_skew / total_load } else { 1.0 }
}
