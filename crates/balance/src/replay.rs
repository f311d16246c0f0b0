//! Running a policy over a trace, and measuring it.

use serde::Serialize;

use crate::{
    BalanceOptions, ExpertMap, Planner, PolicyKind, Shape, StepCounts,
    skew::{layer_skew, percentile},
};

/// A map that was put in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MapUpdate {
    /// The first step with the map.
    pub step: u64,
    /// The layer.
    pub layer: usize,
    /// What each rank holds.
    pub ranks: ExpertMap,
}

/// What a policy has come to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplaySummary {
    /// The policy's name.
    pub policy: String,
    /// How many steps there were.
    pub steps: u64,
    /// Mean of the steps' skew.
    pub step_skew_mean: f64,
    /// 99th percentile of the steps' skew, by nearest rank.
    pub step_skew_p99: f64,
    /// How often maps were switched; several layers at one step are one switch.
    pub rebalances: u64,
    /// Slots that had to fetch an expert.
    pub experts_moved: u64,
    /// Bytes that were fetched.
    pub bytes_moved: u64,
    /// Steps that switches have cost.
    pub steps_lost: f64,
}

/// A policy that runs over a trace.
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
    /// Starts a policy with the first map, which all policies share.
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

    /// The maps in force.
    pub fn maps(&self) -> &[ExpertMap] {
        &self.maps
    }

    /// The skew of each step so far.
    pub fn skews(&self) -> &[f64] {
        &self.skews
    }

    /// Takes the next step and returns the maps that come into force with it.
    pub fn step(&mut self, counts: &StepCounts) -> Vec<MapUpdate> {
        let new_maps = self.maps_for(counts.step);
        self.skews.push(step_skew(&self.maps, &counts.tokens));
        for (window, tokens) in self.window.iter_mut().zip(&counts.tokens) {
            window.iter_mut().zip(tokens).for_each(|(sum, count)| *sum += count);
        }
        self.steps_in_window += 1;
        new_maps
    }

    /// Sums up.
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

    fn maps_for(&mut self, step: u64) -> Vec<MapUpdate> {
        if self.skews.is_empty() {
            return (0..self.maps.len()).map(|layer| self.in_force(step, layer)).collect();
        }
        if self.steps_in_window < self.options.window_steps {
            return Vec::new();
        }
        let changes = self.planner.decide(&self.window, &self.maps);
        self.steps_in_window = 0;
        self.window.iter_mut().flatten().for_each(|count| *count = 0.0);
        let mut changed = Vec::new();
        for (layer, map) in changes {
            let fetches = map.fetches_from(&self.maps[layer]);
            if fetches > 0 {
                self.experts_moved += fetches as u64;
                self.maps[layer] = map;
                changed.push(self.in_force(step, layer));
            }
        }
        self.rebalances += u64::from(!changed.is_empty());
        changed
    }

    fn in_force(&self, step: u64, layer: usize) -> MapUpdate {
        MapUpdate { step, layer, ranks: self.maps[layer].clone() }
    }
}

/// A step's skew: its layers' skews, averaged by load.
fn step_skew(maps: &[ExpertMap], tokens: &[Vec<f64>]) -> f64 {
    let mut weighted = 0.0;
    let mut total = 0.0;
    for (map, tokens) in maps.iter().zip(tokens) {
        let load: f64 = tokens.iter().sum();
        weighted += load * layer_skew(map, tokens);
        total += load;
    }
    if total > 0.0 { weighted / total } else { 1.0 }
}
