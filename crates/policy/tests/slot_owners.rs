//! Slot ownership with many entries and many engines of few slots: how many calls find a full
//! engine.
//!
//! A simulation without network: calls arrive as a Poisson process at entries that know only their
//! own calls and the load that an engine reported with its last answer.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use lynxmount_policy::{EndpointSnapshot, OwnSlots, Selection, SlotOwners, select_endpoint};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENTRIES: usize = 35;
const ENGINES: usize = 192;
const SLOTS: u32 = 6;
/// Calls that an engine queues in addition to its slots; one more is refused.
const QUEUE_CAPACITY: u32 = 0;
const CALLS_PER_S: f64 = 467.0;
/// How long a stream holds its slot, at least and at most.
const STREAM_S: (f64, f64) = (0.4, 2.2);
/// How long the load that an engine has reported is used.
const REPORT_VALIDITY_US: u64 = 600_000;
const SECONDS: u64 = 20;

#[derive(Clone, Copy, Default)]
struct View {
    running: u32,
    last_chosen: u64,
    reported: u32,
    reported_at_us: Option<u64>,
}

struct Entry {
    views: Vec<View>,
    own: Vec<OwnSlots>,
    choices: u64,
}

impl Entry {
    fn snapshot(&self, engine: usize, now_us: u64) -> EndpointSnapshot {
        let view = self.views[engine];
        let is_fresh = view.reported_at_us.is_some_and(|at_us| now_us < at_us + REPORT_VALIDITY_US);
        EndpointSnapshot {
            own_running: view.running,
            others_running: if is_fresh { view.reported.saturating_sub(view.running) } else { 0 },
            capacity: SLOTS,
            own_capacity: 1,
            own_slots: self.own[engine].count,
            own_order: self.own[engine].order,
            last_chosen: view.last_chosen,
            ..EndpointSnapshot::default()
        }
    }

    fn choose(&self, now_us: u64) -> Option<usize> {
        let snapshots: Vec<EndpointSnapshot> =
            (0..ENGINES).map(|engine| self.snapshot(engine, now_us)).collect();
        match select_endpoint(&snapshots) {
            Selection::Endpoint(engine) => Some(engine),
            Selection::Closed
            | Selection::Full
            | Selection::NoEndpoint
            | Selection::Paused { .. } => None,
        }
    }
}

/// Counts of simulated calls.
#[derive(Debug, Default)]
struct SimulationResult {
    calls: u32,
    found_full: u32,
    no_endpoint: u32,
}

impl SimulationResult {
    fn found_full_fraction(&self) -> f64 {
        f64::from(self.found_full) / f64::from(self.calls)
    }
}

fn name(index: usize) -> String {
    format!("10.0.{}.{}:8229", index / 250, index % 250)
}

/// Entries that own slots, or own none and have no order of their own.
fn entries(own_slots: bool) -> Vec<Entry> {
    let names: Vec<String> = (0..ENTRIES).map(name).collect();
    let none = OwnSlots { count: 0, order: 0 };
    let entry = |own: &String| {
        let owners = SlotOwners::new(own, names.iter().map(String::as_str));
        let at = |engine: usize| owners.own_slots(&format!("i-{engine}"), SLOTS);
        let own = (0..ENGINES).map(|engine| if own_slots { at(engine) } else { none }).collect();
        Entry { views: vec![View::default(); ENGINES], own, choices: 0 }
    };
    names.iter().map(entry).collect()
}

/// Simulates calls that arrive at entries by weight, and counts them from `from_s` on.
fn simulate(mut entries: Vec<Entry>, weights: &[f64], from_s: u64, seed: u64) -> SimulationResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running = vec![0_u32; ENGINES];
    let mut stream_ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let total: f64 = weights.iter().sum();
    let mut result = SimulationResult::default();
    let mut now_us = 0;
    while now_us < SECONDS * 1_000_000 {
        now_us += (-(1.0 - rng.random::<f64>()).ln() / CALLS_PER_S * 1e6) as u64;
        while let Some(Reverse((at_us, entry, engine))) = stream_ends.peek().copied() {
            if at_us > now_us {
                break;
            }
            stream_ends.pop();
            running[engine] -= 1;
            entries[entry].views[engine].running -= 1;
        }
        let mut draw = rng.random::<f64>() * total;
        let is_drawn = |weight: &f64| {
            draw -= weight;
            draw <= 0.0
        };
        let at = weights.iter().position(is_drawn).unwrap_or_default();
        let is_counted = now_us >= from_s * 1_000_000;
        result.calls += u32::from(is_counted);
        let entry = &mut entries[at];
        let Some(engine) = entry.choose(now_us) else {
            result.no_endpoint += u32::from(is_counted);
            continue;
        };
        entry.choices += 1;
        let is_full = running[engine] >= SLOTS + QUEUE_CAPACITY;
        let view = &mut entry.views[engine];
        view.last_chosen = entry.choices;
        (view.reported, view.reported_at_us) =
            (running[engine] + u32::from(!is_full), Some(now_us));
        if is_full {
            result.found_full += u32::from(is_counted);
            continue;
        }
        view.running += 1;
        running[engine] += 1;
        let stream_s = rng.random_range(STREAM_S.0..STREAM_S.1);
        stream_ends.push(Reverse((now_us + (stream_s * 1e6) as u64, at, engine)));
    }
    result
}

fn even() -> Vec<f64> {
    vec![1.0; ENTRIES]
}

/// Callers of a zone are hashed to its entries, so that some entries have twice as many.
fn uneven() -> Vec<f64> {
    (0..ENTRIES).map(|entry| if entry % 3 == 0 { 2.0 } else { 1.0 }).collect()
}

#[test]
fn few_calls_find_a_full_engine_under_even_load() {
    for seed in 0..3 {
        let without = simulate(entries(false), &even(), 2, seed);
        let with = simulate(entries(true), &even(), 2, seed);

        assert!(with.found_full_fraction() < 0.01, "{with:?}");
        assert!(with.found_full * 4 < without.found_full, "{with:?}, without {without:?}");
        assert_eq!(with.no_endpoint, 0);
    }
}

#[test]
fn few_calls_find_a_full_engine_under_uneven_load() {
    for seed in 0..3 {
        let with = simulate(entries(true), &uneven(), 2, seed);

        assert!(with.found_full_fraction() < 0.02, "{with:?}");
        assert_eq!(with.no_endpoint, 0);
    }
}

#[test]
fn entries_that_start_together_do_not_select_the_same_engines() {
    for seed in 0..3 {
        let without = simulate(entries(false), &even(), 0, seed);
        let with = simulate(entries(true), &even(), 0, seed);

        assert!(with.found_full_fraction() < 0.01, "{with:?}");
        assert!(without.found_full_fraction() > 0.05, "{without:?}");
    }
}

#[test]
fn every_slot_has_one_owner() {
    let entries = entries(true);

    for engine in 0..ENGINES {
        let owned: u32 = entries.iter().map(|entry| entry.own[engine].count).sum();
        assert_eq!(owned, SLOTS);
    }
}

#[test]
fn an_entry_that_leaves_moves_only_its_own_slots() {
    let names: Vec<String> = (0..ENTRIES).map(name).collect();
    let owned = |own: &str, all: &[String]| -> HashMap<usize, u32> {
        let owners = SlotOwners::new(own, all.iter().map(String::as_str));
        (0..ENGINES).map(|e| (e, owners.own_slots(&format!("i-{e}"), SLOTS).count)).collect()
    };

    for name in &names[1..] {
        let (before, after) = (owned(name, &names), owned(name, &names[1..]));

        assert!((0..ENGINES).all(|engine| after[&engine] >= before[&engine]));
    }
}

#[test]
fn entries_own_similar_numbers_of_slots() {
    let owned: Vec<u32> =
        entries(true).iter().map(|entry| entry.own.iter().map(|own| own.count).sum()).collect();

    let even = SLOTS as f64 * ENGINES as f64 / ENTRIES as f64;
    let is_even = |count: &u32| (even * 0.55..even * 1.5).contains(&f64::from(*count));
    assert!(owned.iter().all(is_even), "{owned:?}");
}
