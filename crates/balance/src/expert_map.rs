//! The experts that each rank of a group holds in one layer.

use serde::{Deserialize, Serialize};

/// An expert of a layer, starting with 0.
pub type Expert = usize;

/// The dimensions of a group; also the header line of a trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// The number of ranks.
    pub ranks: usize,
    /// The number of experts per layer.
    pub experts: usize,
    /// The number of layers with experts.
    pub layers: usize,
    /// The number of experts that a rank can hold per layer.
    pub slots_per_rank: usize,
}

impl Shape {
    /// The reason why the dimensions are invalid, if they are.
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

/// The expert map of one layer. A rank holds an expert at most once, and every expert is
/// held by at least one rank.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ExpertMap {
    ranks: Vec<Vec<Expert>>,
}

impl ExpertMap {
    /// The map without any knowledge of load: experts, then replicas, placed round robin.
    pub fn initial(shape: Shape) -> ExpertMap {
        let mut ranks = vec![Vec::new(); shape.ranks];
        let slots_of_rank = shape.slots_per_rank.min(shape.experts);
        for slot in 0..slots_of_rank * shape.ranks {
            let rank = slot % shape.ranks;
            // The offset by round keeps replicas off the ranks of the round before.
            let round = slot / shape.experts;
            let preferred = (slot + round) % shape.experts;
            let held: &Vec<Expert> = &ranks[rank];
            let expert = (0..shape.experts)
                .map(|offset| (preferred + offset) % shape.experts)
                .find(|expert| !held.contains(expert))
                .unwrap_or(preferred);
            ranks[rank].push(expert);
        }
        let mut map = ExpertMap { ranks };
        map.add_missing(shape);
        map
    }

    /// Makes a map from the experts of each rank, which must satisfy the invariants.
    pub(crate) fn from_ranks(ranks: Vec<Vec<Expert>>) -> ExpertMap {
        ExpertMap { ranks }
    }

    /// The experts that each rank holds.
    pub fn ranks(&self) -> &[Vec<Expert>] {
        &self.ranks
    }

    /// The number of ranks that hold each expert.
    pub fn replicas(&self, experts: usize) -> Vec<u32> {
        let mut replicas = vec![0; experts];
        self.ranks.iter().flatten().for_each(|&expert| replicas[expert] += 1);
        replicas
    }

    /// The number of experts that ranks have to fetch to change from `old` to this map.
    pub fn fetches_from(&self, old: &ExpertMap) -> usize {
        let pairs = self.ranks.iter().zip(&old.ranks);
        pairs.map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count()).sum()
    }

    /// Whether the map satisfies the invariants for these dimensions.
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

    /// Adds an expert to a rank.
    pub(crate) fn add(&mut self, rank: usize, expert: Expert) {
        self.ranks[rank].push(expert);
    }

    /// Replaces the expert in one slot of a rank.
    pub(crate) fn replace(&mut self, rank: usize, slot: usize, expert: Expert) {
        self.ranks[rank][slot] = expert;
    }

    /// Assigns experts that round robin has left out to the slots of replicas.
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
