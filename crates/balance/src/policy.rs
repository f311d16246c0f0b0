//! The closed set of policies, and what they have in common.

use crate::{ExpertMap, Shape, adaptive::Adaptive, replan::replan};

/// Limits and weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceOptions {
    /// Weight of step-time skew.
    pub skew_weight: f64,
    /// Weight of the cost of rebalancing.
    pub cost_weight: f64,
    /// Steps between decisions.
    pub window_steps: u64,
    /// Bytes of one expert's weights.
    pub expert_bytes: u64,
    /// Bytes that the weight store gives a group in one step.
    pub staging_bytes_per_step: u64,
    /// Steps that are lost when a map is switched.
    pub steps_lost_per_switch: f64,
    /// What fetching one expert costs, in steps.
    pub steps_per_fetch: f64,
}

impl Default for BalanceOptions {
    /// Equal weights, windows of 50 steps, experts of 44 MB (7168 x 2048 x 3
    /// weights of one byte), one of them a step.
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
    /// How many experts can be fetched within one window.
    pub(crate) fn fetches_per_window(&self) -> usize {
        let bytes = self.staging_bytes_per_step.saturating_mul(self.window_steps);
        (bytes / self.expert_bytes.max(1)) as usize
    }
}

/// A policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// Few moves, and only those that pay.
    Adaptive,
    /// A map from scratch in every window.
    Replan,
    /// The first map for ever.
    Static,
}

/// A policy at work on one group.
#[derive(Clone, Debug)]
pub struct Planner {
    kind: PolicyKind,
    shape: Shape,
    adaptive: Adaptive,
}

impl Planner {
    /// Starts a policy that has seen nothing.
    pub fn new(kind: PolicyKind, shape: Shape, options: BalanceOptions) -> Planner {
        Planner { kind, shape, adaptive: Adaptive::new(shape, options) }
    }

    /// Decides about the next window, from the counts of the last one by layer
    /// and expert and the maps in force. Returns the layers that change.
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
