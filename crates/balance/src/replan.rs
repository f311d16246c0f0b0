//! Plans a map from scratch: greedy replication, then bin packing of the replicas by load in
//! descending order (longest processing time first), as published for expert-parallel load
//! balancers (EPLB).

use crate::{Expert, ExpertMap, Shape};

/// Makes a map for the given load of each expert, independent of the map in use.
pub(crate) fn replan(shape: Shape, tokens: &[f64]) -> ExpertMap {
    let replicas = replicate(shape, tokens);
    let mut items: Vec<(f64, Expert)> = Vec::new();
    for (expert, &count) in replicas.iter().enumerate() {
        items.extend((0..count).map(|_| (tokens[expert] / f64::from(count), expert)));
    }
    items.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    pack(shape, &items)
}

/// Assigns each spare slot to the expert with the most tokens per replica.
fn replicate(shape: Shape, tokens: &[f64]) -> Vec<u32> {
    let slots = shape.ranks * shape.slots_per_rank.min(shape.experts);
    let mut replicas = vec![1_u32; shape.experts];
    for _ in shape.experts..slots {
        let share = |expert: &Expert| tokens[*expert] / f64::from(replicas[*expert]);
        let most_loaded = (0..shape.experts)
            .filter(|expert| (replicas[*expert] as usize) < shape.ranks)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(most_loaded) = most_loaded else { break };
        replicas[most_loaded] += 1;
    }
    replicas
}

/// Assigns each item to the least loaded rank that has a free slot and does not hold the
/// expert yet. Items are sorted by descending load.
fn pack(shape: Shape, items: &[(f64, Expert)]) -> ExpertMap {
    let mut ranks: Vec<Vec<Expert>> = vec![Vec::new(); shape.ranks];
    let mut loads = vec![0.0; shape.ranks];
    for &(load, expert) in items {
        let least_loaded = (0..shape.ranks)
            .filter(|&rank| ranks[rank].len() < shape.slots_per_rank)
            .filter(|&rank| !ranks[rank].contains(&expert))
            .min_by(|&a, &b| f64::total_cmp(&loads[a], &loads[b]));
        // A replica that fits on no rank is dropped. The first replica of an expert always
        // fits, or replaces a replica of another expert.
        match least_loaded {
            Some(rank) => {
                ranks[rank].push(expert);
                loads[rank] += load;
            }
            None if !ranks.iter().flatten().any(|held| *held == expert) => {
                replace_replica(&mut ranks, expert);
            }
            None => {}
        }
    }
    ExpertMap::from_ranks(ranks)
}

fn replace_replica(ranks: &mut [Vec<Expert>], expert: Expert) {
    let count =
        |ranks: &[Vec<Expert>], e: Expert| ranks.iter().flatten().filter(|h| **h == e).count();
    for rank in 0..ranks.len() {
        let replica = ranks[rank].iter().position(|&held| count(ranks, held) > 1);
        if let Some(slot) = replica {
            ranks[rank][slot] = expert;
            return;
        }
    }
}

/// Makes a map from scratch, and assigns its parts greedily to the ranks that already hold
/// most of their experts.
pub(crate) fn replan_near(shape: Shape, tokens: &[f64], current: &ExpertMap) -> ExpertMap {
    let planned = replan(shape, tokens);
    let mut pairs: Vec<(usize, usize, usize)> = Vec::new();
    for (rank, held) in current.ranks().iter().enumerate() {
        for (part, experts) in planned.ranks().iter().enumerate() {
            let common = experts.iter().filter(|expert| held.contains(expert)).count();
            pairs.push((common, rank, part));
        }
    }
    pairs.sort_by_key(|(common, rank, part)| (std::cmp::Reverse(*common), *rank, *part));
    let mut part_by_rank: Vec<Option<usize>> = vec![None; shape.ranks];
    let mut is_assigned = vec![false; shape.ranks];
    for (_, rank, part) in pairs {
        if part_by_rank[rank].is_none() && !is_assigned[part] {
            part_by_rank[rank] = Some(part);
            is_assigned[part] = true;
        }
    }
    let ranks =
        part_by_rank.into_iter().flatten().map(|part| planned.ranks()[part].clone()).collect();
    ExpertMap::from_ranks(ranks)
}
