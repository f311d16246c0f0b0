//! Synthetic traces of expert popularity, generated from a seed.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rand_distr::{Distribution, Normal, Poisson};

use crate::{Shape, StepCounts};

/// The number of tokens that a layer routes in one step.
const TOKENS_PER_STEP: f64 = 16_384.0;
/// The standard deviation of the logarithm of the experts' popularity.
const POPULARITY_STD_DEV: f64 = 0.7;
/// The period of slow drift.
const DRIFT_PERIOD_STEPS: f64 = 6_000.0;
/// The amplitude of drift in the logarithm of an expert's popularity.
const DRIFT_AMPLITUDE: f64 = 0.9;
/// The number of steps after which alternating hot experts swap.
const ALTERNATION_STEPS: u64 = 60;
/// The factor by which the popularity of a hot expert is higher.
const HOT_FACTOR: f64 = 6.0;
/// The number of alternating experts.
const ALTERNATING_EXPERTS: usize = 6;
/// The share of the load of the very hot expert.
const VERY_HOT_SHARE: f64 = 0.10;

/// The kinds of trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TraceKind {
    /// Hot experts that alternate faster than it pays to follow.
    Alternating,
    /// A sudden change to another popularity during the middle third of the steps.
    FestivalSwing,
    /// Constant popularity with noise.
    NoiseOnly,
    /// One expert with more than a rank's fair share of the load.
    OneVeryHot,
    /// Slow drift with no load during the middle third of the steps.
    Outage,
    /// Popularity that drifts slowly all the time.
    SlowDrift,
}

impl TraceKind {
    /// All kinds.
    pub const ALL: [TraceKind; 6] = [
        TraceKind::Alternating,
        TraceKind::FestivalSwing,
        TraceKind::NoiseOnly,
        TraceKind::OneVeryHot,
        TraceKind::Outage,
        TraceKind::SlowDrift,
    ];

    /// The kind's name.
    pub fn name(self) -> &'static str {
        match self {
            TraceKind::Alternating => "alternating",
            TraceKind::FestivalSwing => "festival-swing",
            TraceKind::NoiseOnly => "noise-only",
            TraceKind::OneVeryHot => "one-very-hot",
            TraceKind::Outage => "outage",
            TraceKind::SlowDrift => "slow-drift",
        }
    }
}

/// An iterator over the steps of a synthetic trace.
#[derive(Clone, Debug)]
pub struct GeneratedTrace {
    shape: Shape,
    kind: TraceKind,
    steps: u64,
    next_step: u64,
    layers: Vec<Layer>,
    rng: SmallRng,
}

#[derive(Clone, Debug)]
struct Layer {
    /// The logarithm of each expert's popularity.
    base: Vec<f64>,
    /// The same values, shuffled.
    shuffled: Vec<f64>,
    /// The phase of each expert's drift, in radians.
    phases: Vec<f64>,
}

/// Generates a trace; the same arguments give the same trace.
pub fn generate(kind: TraceKind, shape: Shape, steps: u64, seed: u64) -> GeneratedTrace {
    let mut rng = SmallRng::seed_from_u64(seed);
    let layers = (0..shape.layers).map(|_| random_layer(shape, &mut rng)).collect();
    GeneratedTrace { shape, kind, steps, next_step: 0, layers, rng }
}

fn random_layer(shape: Shape, rng: &mut SmallRng) -> Layer {
    let log_popularity =
        Normal::new(0.0, POPULARITY_STD_DEV).expect("the standard deviation is finite");
    let base: Vec<f64> = (0..shape.experts).map(|_| log_popularity.sample(rng)).collect();
    let mut shuffled = base.clone();
    shuffled.shuffle(rng);
    let phases = (0..shape.experts).map(|_| rng.random_range(0.0..std::f64::consts::TAU)).collect();
    Layer { base, shuffled, phases }
}

impl GeneratedTrace {
    /// The dimensions of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    fn popularity(&self, layer: &Layer, step: u64) -> Vec<f64> {
        let third = self.steps / 3;
        let is_middle = (third..2 * third).contains(&step);
        let drift = |expert: usize| {
            let angle = step as f64 / DRIFT_PERIOD_STEPS * std::f64::consts::TAU;
            layer.base[expert] + DRIFT_AMPLITUDE * (angle + layer.phases[expert]).sin()
        };
        let experts = 0..self.shape.experts;
        match self.kind {
            TraceKind::NoiseOnly => layer.base.iter().map(|log| log.exp()).collect(),
            TraceKind::SlowDrift => experts.map(|expert| drift(expert).exp()).collect(),
            TraceKind::Outage if is_middle => vec![0.0; self.shape.experts],
            TraceKind::Outage => experts.map(|expert| drift(expert).exp()).collect(),
            TraceKind::FestivalSwing if is_middle => {
                layer.shuffled.iter().map(|log| log.exp()).collect()
            }
            TraceKind::FestivalSwing => layer.base.iter().map(|log| log.exp()).collect(),
            TraceKind::Alternating => {
                let turn = (step / ALTERNATION_STEPS) as usize % 2;
                let is_hot = |expert: usize| expert < ALTERNATING_EXPERTS && expert % 2 == turn;
                let factor = |expert: usize| if is_hot(expert) { HOT_FACTOR } else { 1.0 };
                experts.map(|expert| layer.base[expert].exp() * factor(expert)).collect()
            }
            TraceKind::OneVeryHot => {
                let mut popularity: Vec<f64> = experts.map(|expert| drift(expert).exp()).collect();
                let others: f64 = popularity[1..].iter().sum();
                popularity[0] = others * VERY_HOT_SHARE / (1.0 - VERY_HOT_SHARE);
                popularity
            }
        }
    }
}

impl Iterator for GeneratedTrace {
    type Item = StepCounts;

    fn next(&mut self) -> Option<StepCounts> {
        if self.next_step >= self.steps {
            return None;
        }
        let step = self.next_step;
        self.next_step += 1;
        let mut tokens = Vec::new();
        for layer in 0..self.layers.len() {
            let popularity = self.popularity(&self.layers[layer], step);
            let total = popularity.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            let counts = popularity.iter().map(|share| {
                let mean = share / total * TOKENS_PER_STEP;
                Poisson::new(mean).map_or(0.0, |counts| counts.sample(&mut self.rng))
            });
            tokens.push(counts.collect());
        }
        Some(StepCounts { step, tokens })
    }
}
