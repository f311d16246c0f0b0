//! The experts that each rank of a group holds in one layer.

use serde::{Deserialize, Serialize};

/// An expert of a layer, starting with 0.
pub type Expert = usize;

/// The size of a group; also the first line of a trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Ranks of the group.
    pub ranks: usize,
    /// Experts of each layer.
    pub experts: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Experts that a rank has room for in each layer.
    pub slots_per_rank: usize,
}

impl Shape {
    /// Says what is wrong with the size, if anything.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        match *self {
            Shape { ranks: 0, .. } => Some("ranks must be at least 1"),
            Shape { experts: 0, .. } => Some("experts must be at least 1"),
            Shape { layers: 0, .. } => Some("layers must be at least 1"),
            Shape { ranks, experts, slots_per_rank, .. } if ranks * slots_per_rank < experts => {
                Some("ranks times slots_per_rank must be at least experts")
            }
            _ => None,
        }
    }
}

/// One layer's map. A rank holds an expert at most once, and every expert is
/// held by at least one rank.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ExpertMap {
    ranks: Vec<Vec<Expert>>,
}

impl ExpertMap {
    /// The map before anything was seen: experts in turn, then replicas in turn.
    pub fn initial(shape: Shape) -> ExpertMap {
        let mut ranks = vec![Vec::new(); shape.ranks];
        let slots_of_rank = shape.slots_per_rank.min(shape.experts);
        for slot in 0..slots_of_rank * shape.ranks {
            let rank = slot % shape.ranks;
            // The shift keeps a second round from meeting the same ranks.
            let round = slot / shape.experts;
            let wanted = (slot + round) % shape.experts;
            let held: &Vec<Expert> = &ranks[rank];
            let expert = (0..shape.experts)
                .map(|step| (wanted + step) % shape.experts)
                .find(|expert| !held.contains(expert))
                .unwrap_or(wanted);
            ranks[rank].push(expert);
        }
        let mut map = ExpertMap { ranks };
        map.add_missing(shape);
        map
    }

    /// Makes a map of what each rank holds; the caller keeps the rules.
    pub(crate) fn from_ranks(ranks: Vec<Vec<Expert>>) -> ExpertMap {
        ExpertMap { ranks }
    }

    /// What each rank holds.
    pub fn ranks(&self) -> &[Vec<Expert>] {
        &self.ranks
    }

    /// How many ranks hold each expert.
    pub fn replicas(&self, experts: usize) -> Vec<u32> {
        let mut replicas = vec![0; experts];
        self.ranks.iter().flatten().for_each(|&expert| replicas[expert] += 1);
        replicas
    }

    /// How many slots have to fetch an expert to come from an earlier map to
    /// this one.
    pub fn fetches_from(&self, earlier: &ExpertMap) -> usize {
        let pairs = self.ranks.iter().zip(&earlier.ranks);
        pairs.map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count()).sum()
    }

    /// Says whether the map keeps the rules.
    pub fn is_valid(&self, shape: Shape) -> bool {
        let has_room = self.ranks.iter().all(|held| held.len() <= shape.slots_per_rank);
        let holds_once = self
            .ranks
            .iter()
            .all(|held| held.iter().enumerate().all(|(i, expert)| !held[..i].contains(expert)));
        let replicas = self.replicas(shape.experts);
        self.ranks.len() == shape.ranks
            && has_room
            && holds_once
            && replicas.iter().all(|count| *count > 0)
    }

    /// Lets a rank hold one more expert.
    pub(crate) fn add(&mut self, rank: usize, expert: Expert) {
        self.ranks[rank].push(expert);
    }

    /// Replaces what a rank holds in one slot.
    pub(crate) fn replace(&mut self, rank: usize, slot: usize, expert: Expert) {
        self.ranks[rank][slot] = expert;
    }

    /// Gives experts that the round robin has left out the place of a replica.
    fn add_missing(&mut self, shape: Shape) {
        for expert in 0..shape.experts {
            let replicas = self.replicas(shape.experts);
            if replicas[expert] > 0 {
                continue;
            }
            let replica = self.ranks.iter().enumerate().find_map(|(rank, held)| {
                let slot = held.iter().position(|other| replicas[*other] > 1)?;
                Some((rank, slot))
            });
            if let Some((rank, slot)) = replica {
                self.replace(rank, slot, expert);
            }
        }
    }
}
