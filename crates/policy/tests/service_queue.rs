//! The queue: priorities first, teams in turn, no hopeless waiting.

use std::time::Duration;

use lynxmount_core::TeamId;
use lynxmount_policy::{QueueDecision, ServiceQueue, Ticket, Waiter};
use proptest::{prelude::*, test_runner::RngSeed};

const MAX_WAIT: Duration = Duration::from_secs(2);

fn queue() -> ServiceQueue {
    ServiceQueue::default()
}

fn waiter(team: &str, priority: u8) -> Waiter {
    Waiter { team: TeamId::from(team), priority, wait_until: MAX_WAIT }
}

fn wait(queue: &mut ServiceQueue, team: &str, priority: u8) -> Ticket {
    match queue.try_admit(waiter(team, priority), false, Duration::ZERO) {
        QueueDecision::Wait(ticket) => ticket,
        other => panic!("{team} got {other:?}"),
    }
}

#[test]
fn a_free_place_is_taken_at_once_if_nobody_waits() {
    assert_eq!(queue().try_admit(waiter("a", 0), true, Duration::ZERO), QueueDecision::Start);
}

#[test]
fn nobody_overtakes_those_of_the_same_priority() {
    let mut queue = queue();
    wait(&mut queue, "a", 1);

    let same = queue.try_admit(waiter("b", 1), true, Duration::ZERO);
    let higher = queue.try_admit(waiter("b", 0), true, Duration::ZERO);

    assert!(matches!(same, QueueDecision::Wait(_)));
    assert_eq!(higher, QueueDecision::Start);
}

#[test]
fn higher_priorities_go_first() {
    let mut queue = queue();
    let low = wait(&mut queue, "a", 5);
    let high = wait(&mut queue, "b", 0);

    assert_eq!(queue.dequeue(Duration::ZERO), Some(high));
    assert_eq!(queue.dequeue(Duration::ZERO), Some(low));
    assert_eq!(queue.dequeue(Duration::ZERO), None);
}

#[test]
fn the_lowest_priority_is_not_shut_out_for_ever() {
    let mut queue = queue();
    let low = wait(&mut queue, "a", 9);
    let mut started = Vec::new();
    for _ in 0..16 {
        wait(&mut queue, "b", 0);
        started.extend(queue.dequeue(Duration::ZERO));
    }

    assert_eq!(started.iter().filter(|ticket| **ticket == low).count(), 1);
}

#[test]
fn expectations_that_were_too_good_are_corrected() {
    let mut queue = queue();
    let patient = Waiter { wait_until: Duration::from_secs(60), ..waiter("a", 1) };
    let accepted = |queue: &mut ServiceQueue, now: Duration| {
        let waiter = Waiter { wait_until: now + MAX_WAIT, ..waiter("a", 1) };
        let offers = std::iter::repeat_with(|| queue.try_admit(waiter.clone(), false, now));
        offers.take_while(|offer| matches!(offer, QueueDecision::Wait(_))).count()
    };
    let at_first = accepted(&mut ServiceQueue::default(), Duration::ZERO);
    // Each waits four times as long as one interval between departures.
    for number in 0..100 {
        let now = Duration::from_millis(number * 80);
        queue.try_admit(patient.clone(), false, now);
        queue.dequeue(now + Duration::from_millis(80));
    }

    let later = accepted(&mut queue, Duration::from_secs(10));

    assert!(later < at_first, "{later} are let in, {at_first} at first");
}

#[test]
fn a_large_team_does_not_keep_a_small_one_waiting() {
    let mut queue = queue();
    for _ in 0..40 {
        wait(&mut queue, "large", 1);
    }
    let small = wait(&mut queue, "small", 1);

    let started: Vec<Option<Ticket>> = (0..2).map(|_| queue.dequeue(Duration::ZERO)).collect();

    assert!(started.contains(&Some(small)));
}

#[test]
fn a_large_teams_backlog_does_not_get_a_small_one_refused() {
    let mut queue = queue();
    while let QueueDecision::Wait(_) = queue.try_admit(waiter("large", 1), false, Duration::ZERO) {}

    assert!(matches!(
        queue.try_admit(waiter("small", 1), false, Duration::ZERO),
        QueueDecision::Wait(_)
    ));
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_with_a_time_to_come_back() {
    let mut queue = queue();

    let refusal = std::iter::repeat_with(|| queue.try_admit(waiter("a", 1), false, Duration::ZERO))
        .find(|offer| !matches!(offer, QueueDecision::Wait(_)));

    let Some(QueueDecision::Refuse { retry_after }) = refusal else { panic!("it was {refusal:?}") };
    assert!(retry_after >= Duration::from_millis(100));
    assert!(queue.drain_time() <= MAX_WAIT);
}

#[test]
fn a_request_that_may_wait_less_is_refused_sooner() {
    let mut queue = queue();
    for _ in 0..10 {
        wait(&mut queue, "a", 1);
    }
    let hurried = Waiter { wait_until: Duration::from_millis(10), ..waiter("a", 1) };

    assert!(matches!(
        queue.try_admit(hurried, false, Duration::ZERO),
        QueueDecision::Refuse { .. }
    ));
}

#[test]
fn a_slower_drain_shortens_the_queue() {
    let mut queue = queue();
    let patient = Waiter { wait_until: Duration::from_secs(600), ..waiter("a", 1) };
    queue.try_admit(patient.clone(), false, Duration::ZERO);
    for number in 1..60 {
        let now = Duration::from_millis(number * 500);
        queue.try_admit(patient.clone(), false, now);
        queue.dequeue(now);
    }

    let accepted =
        std::iter::repeat_with(|| queue.try_admit(waiter("a", 1), false, Duration::ZERO))
            .take_while(|offer| matches!(offer, QueueDecision::Wait(_)))
            .count();

    assert!(accepted <= 5, "{accepted} requests wait for places that come each 500 ms");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn every_ticket_is_started_once_or_removed(
        acts in prop::collection::vec((0..3_u8, 0..3_u8, 0..4_u8), 1..200),
    ) {
        let mut queue = queue();
        let mut waiting: Vec<Ticket> = Vec::new();
        for (act, team, priority) in acts {
            match act {
                0 => {
                    let offer = queue.try_admit(waiter(&team.to_string(), priority), false, Duration::ZERO);
                    if let QueueDecision::Wait(ticket) = offer {
                        waiting.push(ticket);
                    }
                }
                1 => {
                    let started = queue.dequeue(Duration::ZERO);
                    prop_assert_eq!(started.is_some(), !waiting.is_empty());
                    waiting.retain(|ticket| Some(*ticket) != started);
                }
                _ if !waiting.is_empty() => {
                    let gone = waiting.remove(usize::from(team) % waiting.len());
                    queue.remove(gone, Duration::ZERO);
                }
                _ => {}
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
    }
}
