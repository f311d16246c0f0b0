//! Consistency of maps, and the stall of the group, when a machine freezes during a switch.

mod engines;
mod freeze_simulation;

use std::{collections::BTreeMap, time::Duration};

use freeze_simulation::{COORDINATOR, Freeze, HOLD_DELEGATE, Moment, Outcome, run};
use lynxmount_group::{SwitchOptions, SwitchOutcome};

const RANKS: usize = 16;

/// The stall from which on it is counted as long.
const LONG_STALL: Duration = Duration::from_secs(1);

/// The interval between the simulated moments of a freeze.
const MOMENT_STEP_MS: usize = 4;

fn check(outcome: &Outcome, freeze: Freeze) {
    assert!(outcome.switch.is_some(), "{freeze:?}: the switch does not end");
    assert_eq!(outcome.held, None, "{freeze:?}: the group is still held");
}

/// Prints the longest stall of the group by the order at which a machine freezes.
#[test]
fn a_freeze_at_any_order_keeps_maps_consistent_and_leaves_no_hold() {
    let options = SwitchOptions::default();
    let baseline = run(RANKS, options, None);
    let mut longest: BTreeMap<(&str, &str, &str), Duration> = BTreeMap::new();
    for (index, order) in baseline.delivered.iter().enumerate() {
        for moment in [Moment::BeforeOrder(index), Moment::AfterOrder(index)] {
            for rank in [order.rank, COORDINATOR] {
                let freeze = Freeze { rank, moment };

                let outcome = run(RANKS, options, Some(freeze));

                check(&outcome, freeze);
                let who = if rank == COORDINATOR { "coordinator" } else { "receiver" };
                let when = if moment == Moment::BeforeOrder(index) { "before" } else { "after" };
                let entry = longest.entry((who, order.name, when)).or_default();
                *entry = outcome.stall.max(*entry);
            }
        }
    }

    assert_eq!(baseline.switch, Some(SwitchOutcome::Switched));
    println!("no freeze: stall of {:?}, switched after {:?}", baseline.stall, baseline.took);
    for ((who, name, when), stall) in longest {
        println!("{who} freezes {when} {name}: stall of {stall:?}");
    }
}

/// Prints the stall of the group over all machines and moments of a switch.
#[test]
fn a_freeze_at_any_moment_keeps_maps_consistent_and_leaves_no_hold() {
    for lead_steps in [1, 2, 4, 8] {
        let options = SwitchOptions { lead_steps, ..SwitchOptions::default() };
        let baseline = run(RANKS, options, None);
        let moments = (1..=baseline.took.as_millis() as usize).step_by(MOMENT_STEP_MS);
        let (mut runs, mut long_stalls, mut total) = (0, 0, Duration::ZERO);
        for at in moments {
            for rank in 0..RANKS {
                let moment = Moment::At(Duration::from_millis(at as u64));
                let freeze = Freeze { rank, moment };

                let outcome = run(RANKS, options, Some(freeze));

                check(&outcome, freeze);
                runs += 1;
                long_stalls += usize::from(outcome.stall >= LONG_STALL);
                total += outcome.stall;
            }
        }

        assert_eq!(baseline.switch, Some(SwitchOutcome::Switched));
        println!(
            "lead {lead_steps}: {long_stalls} of {runs} freezes stall the group for over a second, \
             {:?} on average; no freeze: {:?}, switched after {:?}",
            total / runs as u32,
            baseline.stall,
            baseline.took
        );
    }
}

#[test]
fn a_rank_that_freezes_after_it_has_prepared_does_not_stall_the_group() {
    // By then ranks 1 to 8 have prepared, and the others are still copying.
    let moment = Moment::At(Duration::from_millis(100));
    for rank in 1..=8 {
        let freeze = Freeze { rank, moment };

        let outcome = run(RANKS, SwitchOptions::default(), Some(freeze));

        check(&outcome, freeze);
        assert_eq!(outcome.switch, Some(SwitchOutcome::PrepareFailed), "rank {rank}");
        assert_eq!(outcome.stall, Duration::ZERO, "rank {rank}");
    }
}

#[test]
fn a_late_refusal_of_an_earlier_hold_leaves_no_hold_behind() {
    let options = SwitchOptions::default();
    let baseline = run(RANKS, options, None);
    let hold = baseline.delivered.iter().position(|order| order.name == "hold").expect("a hold");
    let freeze = Freeze { rank: COORDINATOR, moment: Moment::BeforeOrder(hold) };

    let outcome = run(RANKS, options, Some(freeze));

    check(&outcome, freeze);
    assert_eq!(outcome.switch, Some(SwitchOutcome::HoldFailed));
    assert_eq!(outcome.stall, Duration::ZERO);
}

#[test]
fn a_freeze_of_the_process_that_places_the_hold_stalls_the_group_for_less_than_a_second() {
    let options = SwitchOptions::default();
    let baseline = run(RANKS, options, None);
    let hold = baseline.delivered.iter().position(|order| order.name == "hold").expect("a hold");
    for moment in [Moment::BeforeOrder(hold), Moment::AfterOrder(hold)] {
        let freeze = Freeze { rank: HOLD_DELEGATE, moment };

        let outcome = run(RANKS, options, Some(freeze));

        check(&outcome, freeze);
        assert_eq!(outcome.switch, Some(SwitchOutcome::HoldFailed), "{moment:?}");
        assert!(outcome.stall < LONG_STALL, "{moment:?}: stall of {:?}", outcome.stall);
    }
}
