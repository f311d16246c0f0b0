//! One map in every pass, and for how long a group stands still, if a machine freezes during a
//! change.

mod engines;
mod freeze_world;

use std::{collections::BTreeMap, time::Duration};

use freeze_world::{COORDINATOR, Freeze, Moment, Outcome, play};
use lynxmount_group::{SwitchOptions, SwitchOutcome};

const RANKS: usize = 16;

/// From which time on a group counts as standing still.
const LONG: Duration = Duration::from_secs(1);

/// How far apart the moments are at which machines freeze.
const MOMENT_STEP_MS: usize = 4;

fn check(outcome: &Outcome, freeze: Freeze) {
    assert!(outcome.end.is_some(), "{freeze:?}: the change does not end");
    assert_eq!(outcome.held, None, "{freeze:?}: the group is still held");
}

/// The standstill of a group by the order at which a machine freezes, the longest one.
#[test]
fn a_machine_that_freezes_at_any_order_leaves_one_map_and_no_hold() {
    let options = SwitchOptions::default();
    let calm = play(RANKS, options, None);
    let mut longest: BTreeMap<(&str, &str, &str), Duration> = BTreeMap::new();
    for (index, order) in calm.delivered.iter().enumerate() {
        for moment in [Moment::BeforeOrder(index), Moment::AfterOrder(index)] {
            for rank in [order.rank, COORDINATOR] {
                let freeze = Freeze { rank, moment };

                let outcome = play(RANKS, options, Some(freeze));

                check(&outcome, freeze);
                let who = if rank == COORDINATOR { "coordinator" } else { "receiver" };
                let when = if moment == Moment::BeforeOrder(index) { "before" } else { "after" };
                let entry = longest.entry((who, order.name, when)).or_default();
                *entry = outcome.standstill.max(*entry);
            }
        }
    }

    assert_eq!(calm.end, Some(SwitchOutcome::Switched));
    println!("calm: {:?} of standstill, switched after {:?}", calm.standstill, calm.took);
    for ((who, name, when), standstill) in longest {
        println!("{who} freezes {when} {name}: {standstill:?}");
    }
}

/// The standstill of a group over all machines and moments of a change.
#[test]
fn a_machine_that_freezes_at_any_moment_leaves_one_map_and_no_hold() {
    for lead_steps in [1, 2, 4, 8] {
        let options = SwitchOptions { lead_steps, ..SwitchOptions::default() };
        let calm = play(RANKS, options, None);
        let moments = (1..=calm.took.as_millis() as usize).step_by(MOMENT_STEP_MS);
        let (mut plays, mut long, mut total) = (0, 0, Duration::ZERO);
        for at in moments {
            for rank in 0..RANKS {
                let moment = Moment::At(Duration::from_millis(at as u64));
                let freeze = Freeze { rank, moment };

                let outcome = play(RANKS, options, Some(freeze));

                check(&outcome, freeze);
                plays += 1;
                long += usize::from(outcome.standstill >= LONG);
                total += outcome.standstill;
            }
        }

        assert_eq!(calm.end, Some(SwitchOutcome::Switched));
        println!(
            "lead {lead_steps}: {long} of {plays} freezes stop the group for over a second, {:?} on \
             average; calm: {:?}, switched after {:?}",
            total / plays as u32,
            calm.standstill,
            calm.took
        );
    }
}

#[test]
fn a_rank_that_freezes_after_it_has_prepared_does_not_stop_the_group() {
    // By then ranks 1 to 8 have prepared, and others still copy.
    let moment = Moment::At(Duration::from_millis(100));
    for rank in 1..=8 {
        let freeze = Freeze { rank, moment };

        let outcome = play(RANKS, SwitchOptions::default(), Some(freeze));

        check(&outcome, freeze);
        assert_eq!(outcome.end, Some(SwitchOutcome::PrepareFailed), "rank {rank}");
        assert_eq!(outcome.standstill, Duration::ZERO, "rank {rank}");
    }
}

#[test]
fn a_late_refusal_of_an_earlier_hold_leaves_no_hold_behind() {
    let options = SwitchOptions::default();
    let calm = play(RANKS, options, None);
    let hold = calm.delivered.iter().position(|order| order.name == "hold").expect("a hold");
    let freeze = Freeze { rank: COORDINATOR, moment: Moment::BeforeOrder(hold) };

    let outcome = play(RANKS, options, Some(freeze));

    check(&outcome, freeze);
    assert_eq!(outcome.end, Some(SwitchOutcome::Switched));
    assert_eq!(outcome.standstill, Duration::ZERO);
}
