//! Power of two choices: picks an endpoint by comparing the load of two random candidates.
//!
//! Load reports are late, and entries that all pick the least loaded endpoint would overload it.
//! The older a report, the less it counts.

use std::time::Duration;

use rand::{Rng, seq::index};

/// Candidates that are compared.
const CANDIDATES_COMPARED: usize = 2;

/// An endpoint that could take an attempt, as an entry sees it. Loads are fractions of the
/// number of calls that the endpoint runs at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Load of this entry's calls in progress there; always exact.
    pub own_load: f64,
    /// Load of other entries' calls when the endpoint last reported.
    pub others_load: f64,
    /// Age of that report.
    pub report_age: Duration,
    /// Sequence number of this entry's last choice of the endpoint; 0 for never.
    pub last_chosen: u64,
    /// Whether it is in the entry's own failure domain.
    pub is_local: bool,
}

/// Thresholds of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceOptions {
    /// Load above which endpoints in other failure domains are candidates too.
    pub spillover_load: f64,
    /// Additional load up to which an endpoint that holds the prompt's prefix is preferred, if
    /// its report is fresh.
    pub prefix_margin: f64,
    /// Age at which a report's weight has decayed to 1/e. Old reports draw all entries to the
    /// same endpoints, whose load has changed by then.
    pub report_decay_time: Duration,
}

impl Default for ChoiceOptions {
    /// Spills over at a load of 0.8. A cached prefix is worth a quarter of an endpoint, and a
    /// report's weight decays to 1/e in half a second.
    fn default() -> ChoiceOptions {
        let report_decay_time = Duration::from_millis(500);
        ChoiceOptions { spillover_load: 0.8, prefix_margin: 0.25, report_decay_time }
    }
}

impl Candidate {
    /// Weight of the last report, from 1 down to 0.
    fn report_weight(&self, options: ChoiceOptions) -> f64 {
        (-self.report_age.as_secs_f64() / options.report_decay_time.as_secs_f64()).exp()
    }

    /// Estimated current load.
    pub fn expected_load(&self, options: ChoiceOptions) -> f64 {
        self.own_load + self.others_load * self.report_weight(options)
    }
}

/// The chosen candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its index among the candidates.
    pub index: usize,
    /// Whether it was chosen because it holds the prompt's prefix.
    pub is_by_prefix: bool,
}

/// Chooses among candidates that all have free capacity; `None` if there are none.
///
/// `prefix_holders` are the candidates that probably have the prompt's prefix cached.
pub fn choose(
    candidates: &[Candidate],
    prefix_holders: &[usize],
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
    let margin = |holder: usize| options.prefix_margin * candidates[holder].report_weight(options);
    let holder = pick_among(prefix_holders, candidates, &loads, rng);
    match holder {
        Some(holder) if loads[holder] <= loads[pick] + margin(holder) => {
            Some(Choice { index: holder, is_by_prefix: true })
        }
        _ => Some(Choice { index: pick, is_by_prefix: false }),
    }
}

/// Compares two random candidates of the less recently chosen half. That spreads an entry's own
/// requests evenly where it knows little of the others' load.
fn pick_among(
    eligible: &[usize],
    candidates: &[Candidate],
    loads: &[f64],
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut least_recent = eligible.to_vec();
    least_recent.sort_by_key(|&index| candidates[index].last_chosen);
    least_recent.truncate(eligible.len().div_ceil(2).max(CANDIDATES_COMPARED));
    let count = least_recent.len().min(CANDIDATES_COMPARED);
    index::sample(rng, least_recent.len(), count)
        .into_iter()
        .map(|i| least_recent[i])
        .min_by(|&a, &b| loads[a].total_cmp(&loads[b]))
}
