//! The adaptive policy: hill climbing from the current map, with a cost-benefit test.
//!
//! For each layer it forecasts the load of the next window, improves the map move by
//! move, and takes the point on that path where the saved steps exceed the cost of
//! fetching by most. Gains within the forecast's own error do not count.

use crate::{
    BalanceOptions, ExpertMap, Shape,
    forecast::Forecast,
    replan::replan_near,
    search::{Limits, Path, PathPoint, expected_skew, improve},
};

/// The fraction of the forecast's error that a gain in skew must exceed.
const ERROR_FRACTION: f64 = 0.25;

/// The maximum number of fetches for one layer in one window.
const MAX_FETCHES_PER_LAYER: usize = 12;

/// The gain in skew below which nothing is moved while popularity is steady: the first
/// decision has made the possible gains, and the rest is noise.
const MIN_GAIN_WHEN_STEADY: f64 = 0.03;

/// The expected skew above which a map from scratch is considered too: the hill climbing
/// may be in a local optimum that no single move improves.
const LOCAL_OPTIMUM_SKEW: f64 = 1.12;

/// How many windows' fetch budget the first decision may use. The initial maps were made
/// without any counts, so that the first decision has most to improve.
const FIRST_DECISION_WINDOWS: usize = 8;

/// The state of the policy.
#[derive(Clone, Debug)]
pub(crate) struct AdaptivePolicy {
    options: BalanceOptions,
    shape: Shape,
    forecasts: Vec<Forecast>,
    has_decided: bool,
}

/// A change of one layer whose benefit exceeds its cost.
struct Candidate {
    /// The benefit less the cost, both in steps and weighted by the options.
    net_benefit: f64,
    fetches: usize,
    target: Target,
}

/// The map that a change leads to.
enum Target {
    /// A point on the path of moves.
    OnPath(PathPoint),
    /// A map from scratch.
    Replanned(ExpertMap),
}

/// The candidates for one layer, best first.
struct Proposal {
    layer: usize,
    path: Path,
    candidates: Vec<Candidate>,
}

impl Proposal {
    fn net_benefit_per_fetch(&self) -> f64 {
        self.candidates.first().map_or(0.0, |best| best.net_benefit / best.fetches.max(1) as f64)
    }

    /// The best change with at most `max_fetches` fetches, and its fetches.
    fn into_best(self, max_fetches: usize) -> Option<(usize, ExpertMap)> {
        let best =
            self.candidates.into_iter().find(|candidate| candidate.fetches <= max_fetches)?;
        let map = match best.target {
            Target::OnPath(point) => self.path.map_at(point),
            Target::Replanned(map) => map,
        };
        Some((best.fetches, map))
    }
}

impl AdaptivePolicy {
    pub(crate) fn new(shape: Shape, options: BalanceOptions) -> AdaptivePolicy {
        AdaptivePolicy {
            options,
            shape,
            forecasts: vec![Forecast::default(); shape.layers],
            has_decided: false,
        }
    }

    /// Decides on the maps of the next window; see [`crate::Planner::decide`].
    pub(crate) fn decide(
        &mut self,
        window: &[Vec<f64>],
        maps: &[ExpertMap],
    ) -> Vec<(usize, ExpertMap)> {
        for (forecast, tokens) in self.forecasts.iter_mut().zip(window) {
            forecast.observe(tokens);
        }
        let total: f64 = window.iter().flatten().sum();
        if total <= 0.0 {
            return Vec::new();
        }
        let mut proposals: Vec<Proposal> = Vec::new();
        for (layer, tokens) in window.iter().enumerate() {
            let weight = tokens.iter().sum::<f64>() / total;
            proposals.extend(self.propose(layer, weight, &maps[layer]));
        }
        self.select_within_budget(proposals)
    }

    fn propose(&self, layer: usize, weight: f64, map: &ExpertMap) -> Option<Proposal> {
        let forecast = &self.forecasts[layer];
        let expected = forecast.expected()?;
        let limits = Limits {
            max_fetches: MAX_FETCHES_PER_LAYER * self.budget_windows(),
            ..Limits::unlimited(self.shape.slots_per_rank)
        };
        let path = improve(map, &expected, &[], limits);
        let current_skew = path.points[0].skew;
        let uncertainty = ERROR_FRACTION * forecast.error();
        let horizon_steps = forecast.horizon_windows() * self.options.window_steps as f64;
        let is_steady = self.has_decided && forecast.is_steady();
        let min_gain = if is_steady { self.min_gain_when_steady() } else { 0.0 };
        let mut candidates = Vec::new();
        let mut consider = |skew: f64, fetches: usize, target: Target| {
            let saved_steps = (current_skew - skew - uncertainty) * weight * horizon_steps;
            let cost = self.cost_steps(fetches) * self.options.cost_weight;
            let net_benefit = saved_steps * self.options.skew_weight - cost;
            if net_benefit > 0.0 && current_skew - skew > min_gain {
                candidates.push(Candidate { net_benefit, fetches, target });
            }
        };
        for point in path.points.iter().skip(1) {
            consider(point.skew, point.fetches, Target::OnPath(*point));
        }
        if path.points.last().is_some_and(|last| last.skew > LOCAL_OPTIMUM_SKEW) {
            let replanned = replan_near(self.shape, &expected, map);
            let skew = expected_skew(&replanned, &expected, &[]);
            consider(skew, replanned.fetches_from(map), Target::Replanned(replanned));
        }
        candidates.sort_by(|a, b| b.net_benefit.total_cmp(&a.net_benefit));
        Some(Proposal { layer, path, candidates })
    }

    /// The minimum gain in skew while popularity is steady; it grows with the cost of moves.
    fn min_gain_when_steady(&self) -> f64 {
        let BalanceOptions { skew_weight, cost_weight, .. } = self.options;
        MIN_GAIN_WHEN_STEADY * (cost_weight / skew_weight.max(f64::MIN_POSITIVE)).max(1.0)
    }

    fn budget_windows(&self) -> usize {
        if self.has_decided { 1 } else { FIRST_DECISION_WINDOWS }
    }

    fn cost_steps(&self, fetches: usize) -> f64 {
        let layers = self.forecasts.len() as f64;
        // A switch may change all layers at once, so that each one bears its share.
        self.options.steps_lost_per_switch / layers + fetches as f64 * self.options.steps_per_fetch
    }

    /// Selects proposals greedily by their net benefit per fetch, within the fetches that
    /// the weight store can serve in a window.
    fn select_within_budget(&mut self, mut proposals: Vec<Proposal>) -> Vec<(usize, ExpertMap)> {
        proposals.sort_by(|a, b| b.net_benefit_per_fetch().total_cmp(&a.net_benefit_per_fetch()));
        let mut fetches_left = self.options.fetches_per_window() * self.budget_windows();
        self.has_decided = true;
        let mut selected = Vec::new();
        for proposal in proposals {
            let layer = proposal.layer;
            if let Some((fetches, map)) = proposal.into_best(fetches_left) {
                fetches_left -= fetches;
                selected.push((layer, map));
            }
        }
        selected
    }
}
