//! The balancing policies and their common options.

use crate::{ExpertMap, Shape, adaptive::AdaptivePolicy, replan::replan};

/// Weights, costs and limits of a policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceOptions {
    /// The weight of step-time skew.
    pub skew_weight: f64,
    /// The weight of the cost of rebalancing.
    pub cost_weight: f64,
    /// The number of steps between decisions.
    pub window_steps: u64,
    /// The size of one expert's weights.
    pub expert_bytes: u64,
    /// The number of bytes that the weight store serves to a group per step.
    pub staging_bytes_per_step: u64,
    /// The cost of a map switch, in steps.
    pub steps_lost_per_switch: f64,
    /// The cost of fetching one expert, in steps.
    pub steps_per_fetch: f64,
}

impl Default for BalanceOptions {
    /// Equal weights, windows of 50 steps, and experts of 44 MB (7168 x 2048 x 3
    /// weights of one byte), of which the store serves one per step.
    fn default() -> BalanceOptions {
        BalanceOptions {
            skew_weight: 1.0,
            cost_weight: 1.0,
            window_steps: 50,
            expert_bytes: 44_040_192,
            staging_bytes_per_step: 44_040_192,
            steps_lost_per_switch: 0.1,
            steps_per_fetch: 0.15,
        }
    }
}

impl BalanceOptions {
    /// The number of experts that can be fetched within one window.
    pub(crate) fn fetches_per_window(&self) -> usize {
        let bytes = self.staging_bytes_per_step.saturating_mul(self.window_steps);
        (bytes / self.expert_bytes.max(1)) as usize
    }
}

/// The kind of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// Few moves, only those whose benefit exceeds their cost.
    Adaptive,
    /// A map from scratch in every window.
    Replan,
    /// The initial map, never changed.
    Static,
}

/// A policy and its state for one group.
#[derive(Clone, Debug)]
pub struct Planner {
    kind: PolicyKind,
    shape: Shape,
    adaptive: AdaptivePolicy,
}

impl Planner {
    /// Creates a policy without any counts.
    pub fn new(kind: PolicyKind, shape: Shape, options: BalanceOptions) -> Planner {
        Planner { kind, shape, adaptive: AdaptivePolicy::new(shape, options) }
    }

    /// Decides on the maps of the next window, from the counts of the last one by layer and
    /// expert and the maps in use. Returns the new maps of the layers that change.
    pub fn decide(&mut self, window: &[Vec<f64>], maps: &[ExpertMap]) -> Vec<(usize, ExpertMap)> {
        match self.kind {
            PolicyKind::Static => Vec::new(),
            PolicyKind::Adaptive => self.adaptive.decide(window, maps),
            PolicyKind::Replan => {
                let layers = window.iter().enumerate();
                let loaded = layers.filter(|(_, tokens)| tokens.iter().sum::<f64>() > 0.0);
                loaded.map(|(layer, tokens)| (layer, replan(self.shape, tokens))).collect()
            }
        }
    }
}
