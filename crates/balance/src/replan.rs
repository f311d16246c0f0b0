//! The published approach: replicate greedily, then pack, from scratch.

use crate::{Expert, ExpertMap, Shape};

/// Makes a map for given loads, without regard to the map in force.
pub(crate) fn replan(shape: Shape, tokens: &[f64]) -> ExpertMap {
    let replicas = replicate(shape, tokens);
    let mut items: Vec<(f64, Expert)> = Vec::new();
    for (expert, &count) in replicas.iter().enumerate() {
        items.extend((0..count).map(|_| (tokens[expert] / f64::from(count), expert)));
    }
    items.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    pack(shape, &items)
}

/// Gives each surplus slot to the expert with the most tokens a replica.
fn replicate(shape: Shape, tokens: &[f64]) -> Vec<u32> {
    let slots = shape.ranks * shape.slots_per_rank.min(shape.experts);
    let mut replicas = vec![1_u32; shape.experts];
    for _ in shape.experts..slots {
        let share = |expert: &Expert| tokens[*expert] / f64::from(replicas[*expert]);
        let fullest = (0..shape.experts)
            .filter(|expert| (replicas[*expert] as usize) < shape.ranks)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(fullest) = fullest else { break };
        replicas[fullest] += 1;
    }
    replicas
}

/// Puts the largest first, each on the least loaded rank that has room and does
/// not hold it.
fn pack(shape: Shape, items: &[(f64, Expert)]) -> ExpertMap {
    let mut ranks: Vec<Vec<Expert>> = vec![Vec::new(); shape.ranks];
    let mut loads = vec![0.0; shape.ranks];
    for &(load, expert) in items {
        let place = (0..shape.ranks)
            .filter(|&rank| ranks[rank].len() < shape.slots_per_rank)
            .filter(|&rank| !ranks[rank].contains(&expert))
            .min_by(|&a, &b| f64::total_cmp(&loads[a], &loads[b]));
        // A replica that fits nowhere is left out; its first one always fits,
        // or takes the place of a replica.
        match place {
            Some(rank) => {
                ranks[rank].push(expert);
                loads[rank] += load;
            }
            None if !ranks.iter().flatten().any(|held| *held == expert) => {
                displace(&mut ranks, expert);
            }
            None => {}
        }
    }
    ExpertMap::from_ranks(ranks)
}

fn displace(ranks: &mut [Vec<Expert>], expert: Expert) {
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

/// Makes a map from scratch and gives its parts to the ranks that hold most of
/// them already.
pub(crate) fn replan_near(shape: Shape, tokens: &[f64], current: &ExpertMap) -> ExpertMap {
    let planned = replan(shape, tokens);
    let mut pairs: Vec<(usize, usize, usize)> = Vec::new();
    for (rank, held) in current.ranks().iter().enumerate() {
        for (part, wanted) in planned.ranks().iter().enumerate() {
            let common = wanted.iter().filter(|expert| held.contains(expert)).count();
            pairs.push((common, rank, part));
        }
    }
    pairs.sort_by_key(|(common, rank, part)| (std::cmp::Reverse(*common), *rank, *part));
    let mut given: Vec<Option<usize>> = vec![None; shape.ranks];
    let mut is_taken = vec![false; shape.ranks];
    for (_, rank, part) in pairs {
        if given[rank].is_none() && !is_taken[part] {
            given[rank] = Some(part);
            is_taken[part] = true;
        }
    }
    let ranks = given.into_iter().flatten().map(|part| planned.ranks()[part].clone()).collect();
    ExpertMap::from_ranks(ranks)
}
