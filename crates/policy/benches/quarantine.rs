//! Compares rules to detect poison requests.
//!
//! `cargo bench -p lynxmount-policy --bench quarantine` prints a row for each scenario and rule:
//! how many endpoints one poison request crashes, and how many innocent calls are quarantined. Then
//! rows for the score rule with more entries.

#[path = "../tests/quarantine_model/mod.rs"]
mod quarantine_model;

use quarantine_model::{GROUP, RULES, Scenario, SimulationResult, scenarios, simulate};

/// Seeds of a row, unless another number is given.
const SEEDS: u64 = 200;

fn main() {
    let seeds = std::env::args().find_map(|text| text.parse().ok()).unwrap_or(SEEDS);
    println!(
        "scenario | rule | crashes per request | max | innocent quarantined | innocent served"
    );
    for (name, scenario) in scenarios() {
        for rule in RULES {
            print(name, &format!("{rule:?}"), &simulate(Scenario { rule, ..scenario }, 0..seeds));
        }
    }
    for (entries, seeds) in [(3, seeds), (35, seeds), (2500, seeds / 10)] {
        let independent = Scenario { entries, is_group: false, ..GROUP };
        let name = format!("{entries} entries");
        print(&name, "independent", &simulate(independent, 0..seeds));
        print(
            &name,
            "independent, 0.3 of the evidence late",
            &simulate(Scenario { late_fraction: 0.3, ..independent }, 0..seeds),
        );
        print(&name, "group", &simulate(Scenario { is_group: true, ..independent }, 0..seeds));
        let popular = Scenario { popular_per_s: 10.0, other_crashes_per_s: 0.2, ..independent };
        print(&name, "independent, one popular call", &simulate(popular, 0..seeds));
    }
}

fn print(scenario: &str, rule: &str, result: &SimulationResult) {
    println!(
        "{scenario} | {rule} | {:.2} | {} | {} of {} ({:.5}) | {:.4}",
        result.crashes_per_poison_request(),
        result.max_crashes_of_one,
        result.innocent_quarantined,
        result.innocent,
        result.quarantined_fraction(),
        result.served_fraction(),
    );
}
