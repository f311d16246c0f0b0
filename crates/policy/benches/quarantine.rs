//! By which way calls under which endpoints end are told from others.
//!
//! `cargo bench -p lynxmount-policy --bench quarantine` prints a row for each world and way:
//! how many endpoints end under one such call, and how many innocent calls are held back.
//! Then by points with more entries.

#[path = "../tests/quarantine_model/mod.rs"]
mod quarantine_model;

use quarantine_model::{GROUP, Played, WAYS, World, play, worlds};

/// Seeds of a row, unless another number is given.
const SEEDS: u64 = 200;

fn main() {
    let seeds = std::env::args().find_map(|text| text.parse().ok()).unwrap_or(SEEDS);
    println!("world | way | ends of each call | most | innocent held back | innocent served");
    for (name, world) in worlds() {
        for way in WAYS {
            print(name, &format!("{way:?}"), &play(World { way, ..world }, 0..seeds));
        }
    }
    for (entries, seeds) in [(3, seeds), (35, seeds), (2500, seeds / 10)] {
        let apart = World { entries, is_group: false, ..GROUP };
        let name = format!("{entries} entries");
        print(&name, "apart", &play(apart, 0..seeds));
        print(&name, "apart, 0.3 told late", &play(World { late_part: 0.3, ..apart }, 0..seeds));
        print(&name, "group", &play(World { is_group: true, ..apart }, 0..seeds));
        let asked_by_many = World { hot_per_s: 10.0, other_ends_per_s: 0.2, ..apart };
        print(&name, "apart, one call asked by many", &play(asked_by_many, 0..seeds));
    }
}

fn print(world: &str, way: &str, played: &Played) {
    println!(
        "{world} | {way} | {:.2} | {} | {} of {} ({:.5}) | {:.4}",
        played.ends_of_each(),
        played.most_under_one,
        played.innocent_held_back,
        played.innocent,
        played.held_back_part(),
        played.served_part(),
    );
}
