//! Steepest-descent local search (hill climbing) that improves a map by few moves.

use crate::{Expert, ExpertMap};

/// The exponent of a load in the cost of a map. High, so that the slowest ranks dominate,
/// but not so high that the second-slowest ones do not count.
const COST_EXPONENT: i32 = 8;

/// The gain below which a move counts as a rounding error.
const MIN_MOVE_GAIN: f64 = 1e-9;

/// Limits of a search.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Limits {
    /// The maximum number of fetches of all ranks.
    pub(crate) max_fetches: usize,
    /// The maximum number of fetches of each rank; unlimited if empty.
    pub(crate) fetches_by_rank: Vec<usize>,
    /// The number of experts that a rank can hold.
    pub(crate) slots_per_rank: usize,
    /// How many of the least loaded ranks are considered as targets of a move.
    pub(crate) max_targets: usize,
    /// When to stop the search.
    pub(crate) stop_rule: StopRule,
}

/// When to stop the search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StopRule {
    /// When no move improves the map.
    LocalOptimum,
    /// When a number of moves in a row have not lowered the skew by the minimum gain of
    /// their fetches.
    NoGain {
        /// The number of moves.
        moves: usize,
        /// The minimum gain in skew per fetch.
        min_gain_per_fetch: f64,
    },
}

impl Limits {
    /// Limits only the number of experts per rank.
    pub(crate) fn unlimited(slots_per_rank: usize) -> Limits {
        Limits {
            max_fetches: usize::MAX,
            fetches_by_rank: Vec::new(),
            slots_per_rank,
            max_targets: usize::MAX,
            stop_rule: StopRule::LocalOptimum,
        }
    }

    /// Whether the stop rule ends the search on this path.
    fn is_exhausted(&self, points: &[PathPoint]) -> bool {
        let StopRule::NoGain { moves, min_gain_per_fetch } = self.stop_rule else { return false };
        let cost = |point: &PathPoint| point.skew + min_gain_per_fetch * point.fetches as f64;
        let best = points.iter().enumerate().min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        best.is_some_and(|(index, _)| points.len() - index > moves)
    }
}

/// One change of a map.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    /// Adds a replica of an expert in an empty slot.
    Add { rank: usize, expert: Expert },
    /// Replaces a replica of another expert by one of this expert.
    Replicate { rank: usize, slot: usize, expert: Expert },
    /// Two ranks exchange an expert each.
    Swap { rank: usize, slot: usize, other_rank: usize, other_slot: usize },
}

/// A map on the path of improvements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathPoint {
    /// Its expected skew.
    pub(crate) skew: f64,
    /// The number of fetches from the initial map.
    pub(crate) fetches: usize,
    /// The number of moves from the initial map.
    moves: usize,
}

/// A map and the sequence of moves that improves it.
#[derive(Debug)]
pub(crate) struct Path {
    from: ExpertMap,
    moves: Vec<Move>,
    /// The initial point, and the point after each move.
    pub(crate) points: Vec<PathPoint>,
}

impl Path {
    /// The map at a point.
    pub(crate) fn map_at(&self, point: PathPoint) -> ExpertMap {
        let mut map = self.from.clone();
        self.moves[..point.moves].iter().for_each(|change| apply(&mut map, *change));
        map
    }
}

/// The current map of a search, with derived values to evaluate moves quickly.
struct SearchState {
    limits: Limits,
    /// The initial map.
    from: ExpertMap,
    /// The load of each expert, in units of the mean load of a rank.
    expert_loads: Vec<f64>,
    map: ExpertMap,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The load of each expert on each of its holders.
    shares: Vec<f64>,
    /// How much longer than usual each rank takes for the same load.
    slowdowns: Vec<f64>,
    /// The load of each rank times its slowdown.
    loads: Vec<f64>,
    costs: Vec<f64>,
}

/// Improves a map until the stop rule applies or the maximum number of fetches is reached.
pub(crate) fn improve(
    map: &ExpertMap,
    expert_loads: &[f64],
    slowdowns: &[f64],
    limits: Limits,
) -> Path {
    let max_fetches = limits.max_fetches;
    let mut search = SearchState::new(map, expert_loads, slowdowns, limits);
    let mut path =
        Path { from: map.clone(), moves: Vec::new(), points: vec![search.point(map, 0)] };
    while let Some(best) = search.best_move() {
        apply(&mut search.map, best);
        search.update();
        path.moves.push(best);
        let point = search.point(map, path.moves.len());
        if point.fetches > max_fetches {
            break;
        }
        path.points.push(point);
        if search.limits.is_exhausted(&path.points) {
            break;
        }
    }
    path
}

/// The skew of a map for the given load of each expert and slowdown of each rank.
pub(crate) fn expected_skew(map: &ExpertMap, expert_loads: &[f64], slowdowns: &[f64]) -> f64 {
    SearchState::new(map, expert_loads, slowdowns, Limits::unlimited(usize::MAX)).skew()
}

fn apply(map: &mut ExpertMap, change: Move) {
    match change {
        Move::Add { rank, expert } => map.add(rank, expert),
        Move::Replicate { rank, slot, expert } => map.replace(rank, slot, expert),
        Move::Swap { rank, slot, other_rank, other_slot } => {
            let expert = map.ranks()[rank][slot];
            let other = map.ranks()[other_rank][other_slot];
            map.replace(rank, slot, other);
            map.replace(other_rank, other_slot, expert);
        }
    }
}

/// The best move so far, by its gain per fetch.
#[derive(Default)]
struct BestMove(Option<(Move, f64)>);

impl BestMove {
    fn consider(&mut self, change: Move, gain_per_fetch: f64) {
        let best = self.0.map_or(MIN_MOVE_GAIN, |(_, gain)| gain);
        if gain_per_fetch > best {
            self.0 = Some((change, gain_per_fetch));
        }
    }
}

impl SearchState {
    /// Ranks without a slowdown have the usual speed.
    fn new(
        map: &ExpertMap,
        expert_loads: &[f64],
        slowdowns: &[f64],
        limits: Limits,
    ) -> SearchState {
        // Moves don't change the total load, so that the mean is constant.
        let ranks = map.ranks().len();
        let mean = expert_loads.iter().sum::<f64>() / ranks as f64;
        let unit = mean.max(f64::MIN_POSITIVE);
        let mut search = SearchState {
            limits,
            from: map.clone(),
            expert_loads: expert_loads.iter().map(|load| load / unit).collect(),
            map: map.clone(),
            holders: vec![Vec::new(); expert_loads.len()],
            shares: vec![0.0; expert_loads.len()],
            slowdowns: (0..ranks).map(|rank| slowdowns.get(rank).copied().unwrap_or(1.0)).collect(),
            loads: Vec::new(),
            costs: Vec::new(),
        };
        search.update();
        search
    }

    /// Recomputes the derived values after a move.
    fn update(&mut self) {
        self.holders.iter_mut().for_each(Vec::clear);
        for (rank, held) in self.map.ranks().iter().enumerate() {
            held.iter().for_each(|&expert| self.holders[expert].push(rank));
        }
        for (expert, holders) in self.holders.iter().enumerate() {
            self.shares[expert] = self.expert_loads[expert] / holders.len() as f64;
        }
        let load = |held: &Vec<Expert>| held.iter().map(|&expert| self.shares[expert]).sum::<f64>();
        let ranks = self.map.ranks().iter().zip(&self.slowdowns);
        self.loads = ranks.map(|(held, slowdown)| load(held) * slowdown).collect();
        self.costs = self.loads.iter().map(|load| load_cost(*load)).collect();
    }

    /// The cost of a rank after a change of its load.
    fn cost_after(&self, rank: usize, change: f64) -> f64 {
        load_cost(self.loads[rank] + change * self.slowdowns[rank])
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    fn point(&self, from: &ExpertMap, moves: usize) -> PathPoint {
        PathPoint { skew: self.skew(), fetches: self.map.fetches_from(from), moves }
    }

    /// The move of load from the slowest rank with the highest gain per fetch.
    fn best_move(&self) -> Option<Move> {
        let by_load = |a: &usize, b: &usize| self.loads[*a].total_cmp(&self.loads[*b]);
        let slowest = (0..self.loads.len()).max_by(by_load)?;
        let mut best = BestMove::default();
        let targets = self.targets();
        for slot in 0..self.map.ranks()[slowest].len() {
            self.consider_swaps(slowest, slot, &targets, &mut best);
            self.consider_replications(self.map.ranks()[slowest][slot], &targets, &mut best);
        }
        best.0.map(|(change, _)| change)
    }

    /// The ranks that may take over load.
    fn targets(&self) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.loads.len()).collect();
        if self.limits.max_targets < targets.len() {
            targets.sort_by(|&a, &b| self.loads[a].total_cmp(&self.loads[b]));
            targets.truncate(self.limits.max_targets);
        }
        targets
    }

    fn consider_swaps(&self, rank: usize, slot: usize, targets: &[usize], best: &mut BestMove) {
        let held_here = &self.map.ranks()[rank];
        let expert = held_here[slot];
        for &other_rank in targets {
            let held = &self.map.ranks()[other_rank];
            if self.loads[other_rank] >= self.loads[rank]
                || held.contains(&expert)
                || !self.can_fetch(other_rank, expert)
            {
                continue;
            }
            for (other_slot, &other) in held.iter().enumerate() {
                let difference = self.shares[expert] - self.shares[other];
                if difference <= 0.0 || held_here.contains(&other) || !self.can_fetch(rank, other) {
                    continue;
                }
                let after =
                    self.cost_after(rank, -difference) + self.cost_after(other_rank, difference);
                let gain = self.costs[rank] + self.costs[other_rank] - after;
                // Both ranks have to fetch.
                best.consider(Move::Swap { rank, slot, other_rank, other_slot }, gain / 2.0);
            }
        }
    }

    fn consider_replications(&self, expert: Expert, targets: &[usize], best: &mut BestMove) {
        for &rank in targets {
            let held = &self.map.ranks()[rank];
            if held.contains(&expert) || !self.can_fetch(rank, expert) {
                continue;
            }
            if held.len() < self.limits.slots_per_rank {
                best.consider(Move::Add { rank, expert }, self.addition_gain(rank, expert));
            }
            for (slot, &replaced) in held.iter().enumerate() {
                if self.holders[replaced].len() > 1 {
                    let gain = self.replication_gain(rank, expert, replaced);
                    best.consider(Move::Replicate { rank, slot, expert }, gain);
                }
            }
        }
    }

    /// Whether a rank may hold an expert: it held the expert initially, or has fetches left.
    fn can_fetch(&self, rank: usize, expert: Expert) -> bool {
        let initially_held = &self.from.ranks()[rank];
        let is_new = |expert: &&Expert| !initially_held.contains(expert);
        let fetched = self.map.ranks()[rank].iter().filter(is_new).count();
        let limit = self.limits.fetches_by_rank.get(rank).copied();
        initially_held.contains(&expert) || limit.is_none_or(|limit| fetched < limit)
    }

    /// The gain of a further replica of `expert` on a rank.
    fn addition_gain(&self, at: usize, expert: Expert) -> f64 {
        let replicas = self.holders[expert].len() as f64;
        let new_share = self.expert_loads[expert] / (replicas + 1.0);
        let share_reduction = self.shares[expert] - new_share;
        let at_holders = self.holders[expert].iter();
        let holders_gain: f64 = at_holders
            .map(|&rank| self.costs[rank] - self.cost_after(rank, -share_reduction))
            .sum();
        holders_gain + self.costs[at] - self.cost_after(at, new_share)
    }

    /// The gain of a replica of `expert` on a rank in place of one of `replaced`.
    fn replication_gain(&self, at: usize, expert: Expert, replaced: Expert) -> f64 {
        let replicas = |expert: Expert| self.holders[expert].len() as f64;
        let new_share = self.expert_loads[expert] / (replicas(expert) + 1.0);
        let share_reduction = self.shares[expert] - new_share;
        let extra_share =
            self.expert_loads[replaced] / (replicas(replaced) - 1.0) - self.shares[replaced];
        let mut gain = 0.0;
        for &rank in &self.holders[expert] {
            let increase = if self.holders[replaced].contains(&rank) { extra_share } else { 0.0 };
            gain += self.costs[rank] - self.cost_after(rank, increase - share_reduction);
        }
        for &rank in &self.holders[replaced] {
            if rank != at && !self.holders[expert].contains(&rank) {
                gain += self.costs[rank] - self.cost_after(rank, extra_share);
            }
        }
        gain + self.costs[at] - self.cost_after(at, new_share - self.shares[replaced])
    }
}

fn load_cost(load: f64) -> f64 {
    load.powi(COST_EXPONENT)
}
