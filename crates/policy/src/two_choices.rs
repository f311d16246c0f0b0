//! Which endpoint gets an attempt.
//!
//! Two random candidates are compared by load, never all of them: reports
//! are late, and entries that all pick the least loaded endpoint swamp it. The
//! older a report, the less it counts.

use std::time::Duration;

use rand::{Rng, seq::index};

/// How many candidates are compared.
const CANDIDATES_COMPARED: usize = 2;

/// What an entry knows of an endpoint that could take an attempt. Loads are in
/// parts of what the endpoint runs at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// What this entry has in progress there; always true.
    pub own_load: f64,
    /// What others had in progress there when the endpoint last reported.
    pub others_load: f64,
    /// How long ago that was.
    pub report_age: Duration,
    /// When this entry last chose it, as a count of its choices; 0 for never.
    pub last_chosen: u64,
    /// Stands in the entry's own failure domain.
    pub is_local: bool,
}

/// Limits of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceOptions {
    /// The load above which other failure domains are asked too.
    pub spillover_load: f64,
    /// How much more load an endpoint may have that holds the prompt's prefix,
    /// going by a fresh report.
    pub prefix_margin: f64,
    /// How old a report is when it counts for about a third. Old reports draw all
    /// entries to the same endpoints, which then are not what they were.
    pub report_decay_time: Duration,
}

impl Default for ChoiceOptions {
    /// Spills at four fifths; a prefix is worth a quarter of an endpoint; a
    /// report's worth falls to a third in half a second.
    fn default() -> ChoiceOptions {
        let report_decay_time = Duration::from_millis(500);
        ChoiceOptions { spillover_load: 0.8, prefix_margin: 0.25, report_decay_time }
    }
}

impl Candidate {
    /// What the last report is still worth, from 1 down to 0.
    fn freshness(&self, options: ChoiceOptions) -> f64 {
        (-self.report_age.as_secs_f64() / options.report_decay_time.as_secs_f64()).exp()
    }

    /// The load that is to be expected there by now.
    pub fn expected_load(&self, options: ChoiceOptions) -> f64 {
        self.own_load + self.others_load * self.freshness(options)
    }
}

/// A choice, as an index into the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The candidate that was taken.
    pub index: usize,
    /// Whether it was taken for the prompt's prefix.
    pub is_by_prefix: bool,
}

/// Chooses among candidates that all have a place; `None` if there are none.
///
/// `holders` are the candidates that probably hold the prompt's prefix.
pub fn choose(
    candidates: &[Candidate],
    holders: &[usize],
    options: ChoiceOptions,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let loads: Vec<f64> =
        candidates.iter().map(|candidate| candidate.expected_load(options)).collect();
    let local: Vec<usize> = (0..candidates.len()).filter(|&i| candidates[i].is_local).collect();
    let all: Vec<usize> = (0..candidates.len()).collect();
    let pick = match pick_among(&local, candidates, &loads, rng) {
        Some(pick) if loads[pick] < options.spillover_load => pick,
        _ => pick_among(&all, candidates, &loads, rng)?,
    };
    let margin = |holder: usize| options.prefix_margin * candidates[holder].freshness(options);
    let holder = pick_among(holders, candidates, &loads, rng);
    match holder {
        Some(holder) if loads[holder] <= loads[pick] + margin(holder) => {
            Some(Choice { index: holder, is_by_prefix: true })
        }
        _ => Some(Choice { index: pick, is_by_prefix: false }),
    }
}

/// Compares two random candidates of the half that was not chosen lately: that
/// spreads an entry's own requests evenly where it knows little of others'.
fn pick_among(
    eligible: &[usize],
    candidates: &[Candidate],
    loads: &[f64],
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut rested = eligible.to_vec();
    rested.sort_by_key(|&index| candidates[index].last_chosen);
    rested.truncate(eligible.len().div_ceil(2).max(CANDIDATES_COMPARED));
    let count = rested.len().min(CANDIDATES_COMPARED);
    index::sample(rng, rested.len(), count)
        .into_iter()
        .map(|i| rested[i])
        .min_by(|&a, &b| loads[a].total_cmp(&loads[b]))
}
