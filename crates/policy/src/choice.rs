//! Which endpoint gets an attempt.
//!
//! Two random candidates are compared by load, never all of them: reports
//! are late, and entries that all pick the least loaded endpoint swamp it.

use rand::{Rng, seq::index};

/// How many candidates are compared.
const CANDIDATES_COMPARED: usize = 2;

/// What an entry knows of an endpoint that could take an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Work in progress over what the endpoint runs at a time, with what this
    /// entry has sent since the last report.
    pub load: f64,
    /// Stands in the entry's own failure domain.
    pub is_local: bool,
}

/// Limits of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceOptions {
    /// The load above which other failure domains are asked too.
    pub spill_load: f64,
    /// How much more load an endpoint may have that holds the prompt's prefix.
    pub prefix_margin: f64,
}

impl Default for ChoiceOptions {
    /// Spills at four fifths; a prefix is worth a quarter of an endpoint.
    fn default() -> ChoiceOptions {
        ChoiceOptions { spill_load: 0.8, prefix_margin: 0.25 }
    }
}

/// A choice, as an index into the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The candidate that was taken.
    pub index: usize,
    /// Whether it was taken for the prompt's prefix.
    pub by_prefix: bool,
}

/// Chooses among candidates that all have a place; `None` if there are none.
///
/// `prefix` is the candidate that probably holds the prompt's prefix.
pub fn choose(
    candidates: &[Candidate],
    prefix: Option<usize>,
    options: ChoiceOptions,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let local: Vec<usize> = (0..candidates.len()).filter(|&i| candidates[i].is_local).collect();
    let all: Vec<usize> = (0..candidates.len()).collect();
    let pick = match pick_among(&local, candidates, rng) {
        Some(pick) if candidates[pick].load < options.spill_load => pick,
        _ => pick_among(&all, candidates, rng)?,
    };
    match prefix {
        Some(index) if candidates[index].load <= candidates[pick].load + options.prefix_margin => {
            Some(Choice { index, by_prefix: true })
        }
        _ => Some(Choice { index: pick, by_prefix: false }),
    }
}

fn pick_among(eligible: &[usize], candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let count = eligible.len().min(CANDIDATES_COMPARED);
    index::sample(rng, eligible.len(), count)
        .into_iter()
        .map(|i| eligible[i])
        .min_by(|&a, &b| candidates[a].load.total_cmp(&candidates[b].load))
}
