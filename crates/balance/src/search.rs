//! Improving a map by few moves.

use crate::{Expert, ExpertMap};

/// The power by which loads are summed up: high, so that the slowest ranks
/// decide, and not so high that second-slowest ones do not count.
const POWER: i32 = 8;

/// The gain below which a move is taken for rounding.
const MIN_GAIN: f64 = 1e-9;

/// Limits of a search.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Slots that may have to fetch, in all.
    pub(crate) max_fetches: usize,
    /// Slots of each rank that may have to fetch; any number if it is empty.
    pub(crate) fetches_by_rank: Vec<usize>,
    /// Experts that a rank has room for.
    pub(crate) slots_per_rank: usize,
    /// How many of the least loaded ranks may take over load.
    pub(crate) targets: usize,
    /// When to stop looking for further moves.
    pub(crate) patience: Patience,
}

/// When to stop looking for further moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Patience {
    /// When no move helps.
    Endless,
    /// When so many moves in a row have not lowered the skew by what their fetches
    /// must gain.
    Moves {
        /// The number of moves.
        moves: usize,
        /// By how much the skew must fall for each fetch.
        gain_per_fetch: f64,
    },
}

impl Limits {
    /// A search with no limits but room.
    pub(crate) fn unlimited(slots_per_rank: usize) -> Limits {
        Limits {
            max_fetches: usize::MAX,
            fetches_by_rank: Vec::new(),
            slots_per_rank,
            targets: usize::MAX,
            patience: Patience::Endless,
        }
    }

    /// Says whether a path is not worth following any more.
    fn is_exhausted(&self, points: &[Improved]) -> bool {
        let Patience::Moves { moves, gain_per_fetch } = self.patience else { return false };
        let cost = |point: &Improved| point.skew + gain_per_fetch * point.fetches as f64;
        let best = points.iter().enumerate().min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        best.is_some_and(|(index, _)| points.len() - index > moves)
    }
}

/// One change of a map.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    /// An empty slot takes a replica of an expert.
    Add { rank: usize, expert: Expert },
    /// A slot takes a further replica of an expert in place of a replica.
    Replicate { rank: usize, slot: usize, expert: Expert },
    /// Two ranks exchange an expert each.
    Swap { rank: usize, slot: usize, other_rank: usize, other_slot: usize },
}

/// A point on the path of improvements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Improved {
    /// The skew that is expected there.
    pub(crate) skew: f64,
    /// Slots that have to fetch to come there.
    pub(crate) fetches: usize,
    /// How many moves of the path lead there.
    moves: usize,
}

/// A map and the path of moves that improves it.
#[derive(Debug)]
pub(crate) struct Path {
    from: ExpertMap,
    moves: Vec<Move>,
    /// The map itself, and the point after each move.
    pub(crate) points: Vec<Improved>,
}

impl Path {
    /// The map at a point.
    pub(crate) fn map_at(&self, point: Improved) -> ExpertMap {
        let mut map = self.from.clone();
        self.moves[..point.moves].iter().for_each(|m| apply(&mut map, *m));
        map
    }
}

/// A map with what is needed to judge moves quickly.
struct Search {
    limits: Limits,
    /// The map that the search has started from.
    from: ExpertMap,
    /// Each expert's load, in units of the mean rank's load.
    parts: Vec<f64>,
    map: ExpertMap,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Each expert's load at each of its holders.
    shares: Vec<f64>,
    loads: Vec<f64>,
    costs: Vec<f64>,
}

/// Improves a map until no move helps or the fetches are used up.
pub(crate) fn improve(map: &ExpertMap, parts: &[f64], limits: Limits) -> Path {
    let max_fetches = limits.max_fetches;
    let mut search = Search::new(map, parts, limits);
    let mut path =
        Path { from: map.clone(), moves: Vec::new(), points: vec![search.point(map, 0)] };
    while let Some(best) = search.best_move() {
        apply(&mut search.map, best);
        search.refresh();
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

/// The skew that a map is expected to have.
pub(crate) fn expected_skew(map: &ExpertMap, parts: &[f64]) -> f64 {
    Search::new(map, parts, Limits::unlimited(usize::MAX)).skew()
}

fn apply(map: &mut ExpertMap, m: Move) {
    match m {
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

/// The best move so far, by its gain for each fetch.
#[derive(Default)]
struct Best(Option<(Move, f64)>);

impl Best {
    fn offer(&mut self, m: Move, gain_per_fetch: f64) {
        let best = self.0.map_or(MIN_GAIN, |(_, gain)| gain);
        if gain_per_fetch > best {
            self.0 = Some((m, gain_per_fetch));
        }
    }
}

impl Search {
    fn new(map: &ExpertMap, parts: &[f64], limits: Limits) -> Search {
        // Moves don't change the whole load, so the mean stays what it is.
        let mean = parts.iter().sum::<f64>() / map.ranks().len() as f64;
        let unit = mean.max(f64::MIN_POSITIVE);
        let mut search = Search {
            limits,
            from: map.clone(),
            parts: parts.iter().map(|part| part / unit).collect(),
            map: map.clone(),
            holders: vec![Vec::new(); parts.len()],
            shares: vec![0.0; parts.len()],
            loads: Vec::new(),
            costs: Vec::new(),
        };
        search.refresh();
        search
    }

    /// Works everything out again after a move.
    fn refresh(&mut self) {
        self.holders.iter_mut().for_each(Vec::clear);
        for (rank, held) in self.map.ranks().iter().enumerate() {
            held.iter().for_each(|&expert| self.holders[expert].push(rank));
        }
        for (expert, holders) in self.holders.iter().enumerate() {
            self.shares[expert] = self.parts[expert] / holders.len() as f64;
        }
        let load = |held: &Vec<Expert>| held.iter().map(|&expert| self.shares[expert]).sum();
        self.loads = self.map.ranks().iter().map(load).collect();
        self.costs = self.loads.iter().map(|load| cost(*load)).collect();
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    fn point(&self, from: &ExpertMap, moves: usize) -> Improved {
        Improved { skew: self.skew(), fetches: self.map.fetches_from(from), moves }
    }

    /// The move off the slowest rank that gains most for each fetch.
    fn best_move(&self) -> Option<Move> {
        let by_load = |a: &usize, b: &usize| self.loads[*a].total_cmp(&self.loads[*b]);
        let slowest = (0..self.loads.len()).max_by(by_load)?;
        let mut best = Best::default();
        let targets = self.targets();
        for slot in 0..self.map.ranks()[slowest].len() {
            self.offer_swaps(slowest, slot, &targets, &mut best);
            self.offer_replications(self.map.ranks()[slowest][slot], &targets, &mut best);
        }
        best.0.map(|(m, _)| m)
    }

    /// The ranks that may take over load, in their order.
    fn targets(&self) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.loads.len()).collect();
        if self.limits.targets < targets.len() {
            targets.sort_by(|&a, &b| self.loads[a].total_cmp(&self.loads[b]));
            targets.truncate(self.limits.targets);
        }
        targets
    }

    fn offer_swaps(&self, rank: usize, slot: usize, targets: &[usize], best: &mut Best) {
        let held_here = &self.map.ranks()[rank];
        let expert = held_here[slot];
        for &other_rank in targets {
            let held = &self.map.ranks()[other_rank];
            if self.loads[other_rank] >= self.loads[rank]
                || held.contains(&expert)
                || !self.may_fetch(other_rank, expert)
            {
                continue;
            }
            for (other_slot, &other) in held.iter().enumerate() {
                let difference = self.shares[expert] - self.shares[other];
                if difference <= 0.0 || held_here.contains(&other) || !self.may_fetch(rank, other) {
                    continue;
                }
                let after =
                    cost(self.loads[rank] - difference) + cost(self.loads[other_rank] + difference);
                let gain = self.costs[rank] + self.costs[other_rank] - after;
                // Both ranks have to fetch.
                best.offer(Move::Swap { rank, slot, other_rank, other_slot }, gain / 2.0);
            }
        }
    }

    fn offer_replications(&self, expert: Expert, targets: &[usize], best: &mut Best) {
        for &rank in targets {
            let held = &self.map.ranks()[rank];
            if held.contains(&expert) || !self.may_fetch(rank, expert) {
                continue;
            }
            if held.len() < self.limits.slots_per_rank {
                best.offer(Move::Add { rank, expert }, self.addition_gain(rank, expert));
            }
            for (slot, &given_up) in held.iter().enumerate() {
                if self.holders[given_up].len() > 1 {
                    let gain = self.replication_gain(rank, expert, given_up);
                    best.offer(Move::Replicate { rank, slot, expert }, gain);
                }
            }
        }
    }

    /// Says whether a rank may come to hold an expert: it held it before, or may
    /// fetch one more.
    fn may_fetch(&self, rank: usize, expert: Expert) -> bool {
        let before = &self.from.ranks()[rank];
        let is_new = |expert: &&Expert| !before.contains(expert);
        let fetched = self.map.ranks()[rank].iter().filter(is_new).count();
        let limit = self.limits.fetches_by_rank.get(rank).copied();
        before.contains(&expert) || limit.is_none_or(|limit| fetched < limit)
    }

    /// What a further replica of `expert` at a rank gains.
    fn addition_gain(&self, at: usize, expert: Expert) -> f64 {
        let replicas = self.holders[expert].len() as f64;
        let new_share = self.parts[expert] / (replicas + 1.0);
        let relief = self.shares[expert] - new_share;
        let at_holders = self.holders[expert].iter();
        let relieved: f64 =
            at_holders.map(|&rank| self.costs[rank] - cost(self.loads[rank] - relief)).sum();
        relieved + self.costs[at] - cost(self.loads[at] + new_share)
    }

    /// What a replica of `expert` at a rank, in place of one of `given_up`, gains.
    fn replication_gain(&self, at: usize, expert: Expert, given_up: Expert) -> f64 {
        let replicas = |expert: Expert| self.holders[expert].len() as f64;
        let new_share = self.parts[expert] / (replicas(expert) + 1.0);
        let relief = self.shares[expert] - new_share;
        let burden = self.parts[given_up] / (replicas(given_up) - 1.0) - self.shares[given_up];
        let mut gain = 0.0;
        for &rank in &self.holders[expert] {
            let more = if self.holders[given_up].contains(&rank) { burden } else { 0.0 };
            gain += self.costs[rank] - cost(self.loads[rank] - relief + more);
        }
        for &rank in &self.holders[given_up] {
            if rank != at && !self.holders[expert].contains(&rank) {
                gain += self.costs[rank] - cost(self.loads[rank] + burden);
            }
        }
        gain + self.costs[at] - cost(self.loads[at] + new_share - self.shares[given_up])
    }
}

fn cost(load: f64) -> f64 {
    load.powi(POWER)
}
