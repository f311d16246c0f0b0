//! Our policy: few moves, and only those that pay.
//!
//! For each layer the next window is forecast, the map is improved move by
//! move, and the point on that path is taken at which the steps that are saved
//! outweigh most what fetching costs. Improvements within the forecast's own
//! error are not believed.

use crate::{
    BalanceOptions, ExpertMap, Shape,
    forecast::Forecast,
    replan::replan_near,
    search::{Improved, Limits, Path, expected_skew, improve},
};

/// The part of the forecast's error that an improvement must exceed.
const ERROR_PART: f64 = 0.25;

/// The most fetches that are looked at for one layer in one window.
const MAX_FETCHES_PER_LAYER: usize = 12;

/// The gain below which nothing is moved while popularity does not change: what
/// could be gained was gained by the first decision, and the rest is noise.
const MIN_GAIN_WHEN_STEADY: f64 = 0.03;

/// The expected skew above which a map from scratch is weighed too: single moves
/// may have come to a point from which none of them helps.
const STUCK_SKEW: f64 = 1.12;

/// How many windows' worth of fetches the first decision may use. Nothing was
/// known when the first maps were made, so there is most to mend.
const FIRST_DECISION_WINDOWS: usize = 8;

/// The state of the policy.
#[derive(Clone, Debug)]
pub(crate) struct Adaptive {
    options: BalanceOptions,
    shape: Shape,
    layers: Vec<Forecast>,
    has_decided: bool,
}

/// A change of one layer that pays.
struct Choice {
    /// Steps that it saves, less what it costs.
    worth: f64,
    fetches: usize,
    target: Target,
}

/// Where a change leads.
enum Target {
    /// A point on the path of moves.
    OnPath(Improved),
    /// A map from scratch.
    Planned(ExpertMap),
}

/// The changes of one layer that pay, best first.
struct Proposal {
    layer: usize,
    path: Path,
    choices: Vec<Choice>,
}

impl Proposal {
    fn worth_per_fetch(&self) -> f64 {
        self.choices.first().map_or(0.0, |best| best.worth / best.fetches.max(1) as f64)
    }

    /// The best change within a number of fetches.
    fn take(self, max_fetches: usize) -> Option<(usize, ExpertMap)> {
        let best = self.choices.into_iter().find(|choice| choice.fetches <= max_fetches)?;
        let map = match best.target {
            Target::OnPath(point) => self.path.map_at(point),
            Target::Planned(map) => map,
        };
        Some((best.fetches, map))
    }
}

impl Adaptive {
    pub(crate) fn new(shape: Shape, options: BalanceOptions) -> Adaptive {
        Adaptive {
            options,
            shape,
            layers: vec![Forecast::default(); shape.layers],
            has_decided: false,
        }
    }

    /// Decides about the next window; see [`crate::Planner::decide`].
    pub(crate) fn decide(
        &mut self,
        window: &[Vec<f64>],
        maps: &[ExpertMap],
    ) -> Vec<(usize, ExpertMap)> {
        for (forecast, tokens) in self.layers.iter_mut().zip(window) {
            forecast.take(tokens);
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
        self.within_staging(proposals)
    }

    fn propose(&self, layer: usize, weight: f64, map: &ExpertMap) -> Option<Proposal> {
        let forecast = &self.layers[layer];
        let expected = forecast.expected()?;
        let limits = Limits {
            max_fetches: MAX_FETCHES_PER_LAYER * self.windows_to_use(),
            ..Limits::unlimited(self.shape.slots_per_rank)
        };
        let path = improve(map, &expected, limits);
        let now = path.points[0].skew;
        let doubt = ERROR_PART * forecast.error();
        let horizon_steps = forecast.horizon_windows() * self.options.window_steps as f64;
        let is_settled = self.has_decided && forecast.is_steady();
        let least_gain = if is_settled { self.min_gain_when_steady() } else { 0.0 };
        let mut choices = Vec::new();
        let mut offer = |skew: f64, fetches: usize, target: Target| {
            let saved = (now - skew - doubt) * weight * horizon_steps;
            let cost = self.cost(fetches) * self.options.cost_weight;
            let worth = saved * self.options.skew_weight - cost;
            if worth > 0.0 && now - skew > least_gain {
                choices.push(Choice { worth, fetches, target });
            }
        };
        for point in path.points.iter().skip(1) {
            offer(point.skew, point.fetches, Target::OnPath(*point));
        }
        if path.points.last().is_some_and(|last| last.skew > STUCK_SKEW) {
            let planned = replan_near(self.shape, &expected, map);
            let skew = expected_skew(&planned, &expected);
            offer(skew, planned.fetches_from(map), Target::Planned(planned));
        }
        choices.sort_by(|a, b| b.worth.total_cmp(&a.worth));
        Some(Proposal { layer, path, choices })
    }

    /// The dearer moves are, the more a gain must stand out.
    fn min_gain_when_steady(&self) -> f64 {
        let BalanceOptions { skew_weight, cost_weight, .. } = self.options;
        MIN_GAIN_WHEN_STEADY * (cost_weight / skew_weight.max(f64::MIN_POSITIVE)).max(1.0)
    }

    fn windows_to_use(&self) -> usize {
        if self.has_decided { 1 } else { FIRST_DECISION_WINDOWS }
    }

    fn cost(&self, fetches: usize) -> f64 {
        let layers = self.layers.len() as f64;
        // A switch may change all layers at once, so each bears its part.
        self.options.steps_lost_per_switch / layers + fetches as f64 * self.options.steps_per_fetch
    }

    /// Takes the proposals that are worth most, as far as the weight store can
    /// serve them within a window.
    fn within_staging(&mut self, mut proposals: Vec<Proposal>) -> Vec<(usize, ExpertMap)> {
        proposals.sort_by(|a, b| b.worth_per_fetch().total_cmp(&a.worth_per_fetch()));
        let mut left = self.options.fetches_per_window() * self.windows_to_use();
        self.has_decided = true;
        let mut taken = Vec::new();
        for proposal in proposals {
            let layer = proposal.layer;
            if let Some((fetches, map)) = proposal.take(left) {
                left -= fetches;
                taken.push((layer, map));
            }
        }
        taken
    }
}
