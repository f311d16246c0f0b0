//! Traces to build against, from seeds and named parameters.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rand_distr::{Distribution, Normal, Poisson};

use crate::{Shape, StepCounts};

/// Tokens that a layer routes in one step.
const TOKENS_PER_STEP: f64 = 16_384.0;
/// How unequal experts are: the spread of the logarithm of their popularity.
const POPULARITY_SPREAD: f64 = 0.7;
/// Steps in which slow drift goes around once.
const DRIFT_PERIOD_STEPS: f64 = 6_000.0;
/// How far drift moves the logarithm of an expert's popularity.
const DRIFT_AMPLITUDE: f64 = 0.9;
/// Steps after which alternating hot experts take turns.
const ALTERNATION_STEPS: u64 = 60;
/// How much hotter a hot expert is.
const HOT_FACTOR: f64 = 6.0;
/// How many experts alternate.
const ALTERNATING_EXPERTS: usize = 6;
/// The part of the load that the very hot expert takes.
const VERY_HOT_PART: f64 = 0.10;

/// The kinds of trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TraceKind {
    /// Hot experts that take turns faster than it pays to follow.
    Alternating,
    /// A sudden change to another popularity for a third of the time.
    FestivalSwing,
    /// Constant popularity with noise.
    NoiseOnly,
    /// One expert with more than a rank's fair share.
    OneVeryHot,
    /// No load for a while, in the middle of slow drift.
    Outage,
    /// Popularity that changes slowly all the time.
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

/// A trace that is made step by step.
#[derive(Clone, Debug)]
pub struct GeneratedTrace {
    shape: Shape,
    kind: TraceKind,
    steps: u64,
    next: u64,
    layers: Vec<Layer>,
    rng: SmallRng,
}

#[derive(Clone, Debug)]
struct Layer {
    /// Logarithm of each expert's popularity.
    base: Vec<f64>,
    /// Another order of the same.
    swung: Vec<f64>,
    /// Where each expert's drift begins.
    phases: Vec<f64>,
}

/// Makes a trace of a kind; the same arguments make the same trace.
pub fn generate(kind: TraceKind, shape: Shape, steps: u64, seed: u64) -> GeneratedTrace {
    let mut rng = SmallRng::seed_from_u64(seed);
    let layers = (0..shape.layers).map(|_| layer(shape, &mut rng)).collect();
    GeneratedTrace { shape, kind, steps, next: 0, layers, rng }
}

fn layer(shape: Shape, rng: &mut SmallRng) -> Layer {
    let spread = Normal::new(0.0, POPULARITY_SPREAD).expect("the spread is positive");
    let base: Vec<f64> = (0..shape.experts).map(|_| spread.sample(rng)).collect();
    let mut swung = base.clone();
    swung.shuffle(rng);
    let phases = (0..shape.experts).map(|_| rng.random_range(0.0..std::f64::consts::TAU)).collect();
    Layer { base, swung, phases }
}

impl GeneratedTrace {
    /// The size of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    fn popularity(&self, layer: &Layer, step: u64) -> Vec<f64> {
        let third = self.steps / 3;
        let is_middle = (third..2 * third).contains(&step);
        let drift = |expert: usize| {
            let turn = step as f64 / DRIFT_PERIOD_STEPS * std::f64::consts::TAU;
            layer.base[expert] + DRIFT_AMPLITUDE * (turn + layer.phases[expert]).sin()
        };
        let experts = 0..self.shape.experts;
        match self.kind {
            TraceKind::NoiseOnly => layer.base.iter().map(|log| log.exp()).collect(),
            TraceKind::SlowDrift => experts.map(|expert| drift(expert).exp()).collect(),
            TraceKind::Outage if is_middle => vec![0.0; self.shape.experts],
            TraceKind::Outage => experts.map(|expert| drift(expert).exp()).collect(),
            TraceKind::FestivalSwing if is_middle => {
                layer.swung.iter().map(|log| log.exp()).collect()
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
                popularity[0] = others * VERY_HOT_PART / (1.0 - VERY_HOT_PART);
                popularity
            }
        }
    }
}

impl Iterator for GeneratedTrace {
    type Item = StepCounts;

    fn next(&mut self) -> Option<StepCounts> {
        if self.next >= self.steps {
            return None;
        }
        let step = self.next;
        self.next += 1;
        let mut tokens = Vec::new();
        for layer in 0..self.layers.len() {
            let popularity = self.popularity(&self.layers[layer], step);
            let total = popularity.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            let counts = popularity.iter().map(|part| {
                let mean = part / total * TOKENS_PER_STEP;
                Poisson::new(mean).map_or(0.0, |counts| counts.sample(&mut self.rng))
            });
            tokens.push(counts.collect());
        }
        Some(StepCounts { step, tokens })
    }
}
