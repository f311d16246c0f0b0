//! Many entries before many engines of few slots: whose calls find a full engine.
//!
//! A play without network: callers come in a Poisson stream to entries that see their
//! own calls and what an engine told with its last answer, and nothing else.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use lynxmount_policy::{EndpointSnapshot, OwnSlots, Selection, SlotOwners, select_endpoint};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ENTRIES: usize = 35;
const ENGINES: usize = 192;
const SLOTS: u32 = 6;
/// Calls that an engine takes in beside its slots; one more is refused.
const QUEUED: u32 = 0;
const CALLS_PER_S: f64 = 467.0;
/// How long a stream holds its slot, at least and at most.
const STREAM_S: (f64, f64) = (0.4, 2.2);
/// How long what an engine has told counts.
const TOLD_LIFE_US: u64 = 600_000;
const SECONDS: u64 = 20;

#[derive(Clone, Copy, Default)]
struct View {
    running: u32,
    last_chosen: u64,
    told: u32,
    told_at_us: Option<u64>,
}

struct Entry {
    views: Vec<View>,
    own: Vec<OwnSlots>,
    choices: u64,
}

impl Entry {
    fn seat(&self, engine: usize, now_us: u64) -> EndpointSnapshot {
        let view = self.views[engine];
        let is_fresh = view.told_at_us.is_some_and(|at_us| now_us < at_us + TOLD_LIFE_US);
        EndpointSnapshot {
            own_running: view.running,
            others_running: if is_fresh { view.told.saturating_sub(view.running) } else { 0 },
            capacity: SLOTS,
            own_capacity: 1,
            own_slots: self.own[engine].count,
            own_order: self.own[engine].order,
            last_chosen: view.last_chosen,
            ..EndpointSnapshot::default()
        }
    }

    fn choose(&self, now_us: u64) -> Option<usize> {
        let seats: Vec<EndpointSnapshot> =
            (0..ENGINES).map(|engine| self.seat(engine, now_us)).collect();
        match select_endpoint(&seats) {
            Selection::Endpoint(engine) => Some(engine),
            Selection::Closed
            | Selection::Full
            | Selection::NoEndpoint
            | Selection::Paused { .. } => None,
        }
    }
}

/// What became of the calls.
#[derive(Debug, Default)]
struct Played {
    calls: u32,
    found_full: u32,
    no_place: u32,
}

impl Played {
    fn found_full_part(&self) -> f64 {
        f64::from(self.found_full) / f64::from(self.calls)
    }
}

fn name(index: usize) -> String {
    format!("10.0.{}.{}:8229", index / 250, index % 250)
}

/// Entries that own slots, or have none and no order of their own.
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

/// Plays callers that reach entries by weights.
fn play(mut entries: Vec<Entry>, weights: &[f64], from_s: u64, seed: u64) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running = vec![0_u32; ENGINES];
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let total: f64 = weights.iter().sum();
    let mut played = Played::default();
    let mut now_us = 0;
    while now_us < SECONDS * 1_000_000 {
        now_us += (-(1.0 - rng.random::<f64>()).ln() / CALLS_PER_S * 1e6) as u64;
        while let Some(Reverse((at_us, entry, engine))) = ends.peek().copied() {
            if at_us > now_us {
                break;
            }
            ends.pop();
            running[engine] -= 1;
            entries[entry].views[engine].running -= 1;
        }
        let mut drawn = rng.random::<f64>() * total;
        let is_it = |weight: &f64| {
            drawn -= weight;
            drawn <= 0.0
        };
        let at = weights.iter().position(is_it).unwrap_or_default();
        let counts = now_us >= from_s * 1_000_000;
        played.calls += u32::from(counts);
        let entry = &mut entries[at];
        let Some(engine) = entry.choose(now_us) else {
            played.no_place += u32::from(counts);
            continue;
        };
        entry.choices += 1;
        let is_full = running[engine] >= SLOTS + QUEUED;
        let view = &mut entry.views[engine];
        view.last_chosen = entry.choices;
        (view.told, view.told_at_us) = (running[engine] + u32::from(!is_full), Some(now_us));
        if is_full {
            played.found_full += u32::from(counts);
            continue;
        }
        view.running += 1;
        running[engine] += 1;
        let held_s = rng.random_range(STREAM_S.0..STREAM_S.1);
        ends.push(Reverse((now_us + (held_s * 1e6) as u64, at, engine)));
    }
    played
}

fn even() -> Vec<f64> {
    vec![1.0; ENTRIES]
}

/// Callers of a zone are hashed to its entries, so that some have twice as many.
fn uneven() -> Vec<f64> {
    (0..ENTRIES).map(|entry| if entry % 3 == 0 { 2.0 } else { 1.0 }).collect()
}

#[test]
fn few_calls_of_even_callers_find_a_full_engine() {
    for seed in 0..3 {
        let without = play(entries(false), &even(), 2, seed);
        let with = play(entries(true), &even(), 2, seed);

        assert!(with.found_full_part() < 0.01, "{with:?}");
        assert!(with.found_full * 4 < without.found_full, "{with:?}, without {without:?}");
        assert_eq!(with.no_place, 0);
    }
}

#[test]
fn few_calls_of_uneven_callers_find_a_full_engine() {
    for seed in 0..3 {
        let with = play(entries(true), &uneven(), 2, seed);

        assert!(with.found_full_part() < 0.02, "{with:?}");
        assert_eq!(with.no_place, 0);
    }
}

#[test]
fn entries_that_start_together_do_not_begin_with_the_same_engines() {
    for seed in 0..3 {
        let without = play(entries(false), &even(), 0, seed);
        let with = play(entries(true), &even(), 0, seed);

        assert!(with.found_full_part() < 0.01, "{with:?}");
        assert!(without.found_full_part() > 0.05, "{without:?}");
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
fn entries_own_about_as_much_as_others() {
    let owned: Vec<u32> =
        entries(true).iter().map(|entry| entry.own.iter().map(|own| own.count).sum()).collect();

    let even = SLOTS as f64 * ENGINES as f64 / ENTRIES as f64;
    let is_even = |count: &u32| (even * 0.55..even * 1.5).contains(&f64::from(*count));
    assert!(owned.iter().all(is_even), "{owned:?}");
}
