//! The service queue: strict priorities, fair turns of teams, and load shedding.

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

fn enqueue(queue: &mut ServiceQueue, team: &str, priority: u8) -> Ticket {
    match queue.try_admit(waiter(team, priority), false, Duration::ZERO) {
        QueueDecision::Wait(ticket) => ticket,
        other => panic!("team {team}: unexpected decision {other:?}"),
    }
}

#[test]
fn a_request_starts_at_once_if_there_is_capacity_and_the_queue_is_empty() {
    assert_eq!(queue().try_admit(waiter("a", 0), true, Duration::ZERO), QueueDecision::Start);
}

#[test]
fn a_request_does_not_overtake_those_of_the_same_priority() {
    let mut queue = queue();
    enqueue(&mut queue, "a", 1);

    let same = queue.try_admit(waiter("b", 1), true, Duration::ZERO);
    let higher = queue.try_admit(waiter("b", 0), true, Duration::ZERO);

    assert!(matches!(same, QueueDecision::Wait(_)));
    assert_eq!(higher, QueueDecision::Start);
}

#[test]
fn higher_priorities_go_first() {
    let mut queue = queue();
    let low = enqueue(&mut queue, "a", 5);
    let high = enqueue(&mut queue, "b", 0);

    assert_eq!(queue.dequeue(Duration::ZERO), Some(high));
    assert_eq!(queue.dequeue(Duration::ZERO), Some(low));
    assert_eq!(queue.dequeue(Duration::ZERO), None);
}

#[test]
fn the_lowest_priority_is_not_starved() {
    let mut queue = queue();
    let low = enqueue(&mut queue, "a", 9);
    let mut dequeued = Vec::new();
    for _ in 0..16 {
        enqueue(&mut queue, "b", 0);
        dequeued.extend(queue.dequeue(Duration::ZERO));
    }

    assert_eq!(dequeued.iter().filter(|ticket| **ticket == low).count(), 1);
}

#[test]
fn expected_waits_that_were_too_short_are_corrected() {
    let mut queue = queue();
    let patient_waiter = Waiter { wait_until: Duration::from_secs(60), ..waiter("a", 1) };
    let accepted = |queue: &mut ServiceQueue, now: Duration| {
        let waiter = Waiter { wait_until: now + MAX_WAIT, ..waiter("a", 1) };
        let decisions = std::iter::repeat_with(|| queue.try_admit(waiter.clone(), false, now));
        decisions.take_while(|decision| matches!(decision, QueueDecision::Wait(_))).count()
    };
    let initially = accepted(&mut ServiceQueue::default(), Duration::ZERO);
    // Each waits four times as long as one interval between departures.
    for number in 0..100 {
        let now = Duration::from_millis(number * 80);
        queue.try_admit(patient_waiter.clone(), false, now);
        queue.dequeue(now + Duration::from_millis(80));
    }

    let later = accepted(&mut queue, Duration::from_secs(10));

    assert!(later < initially, "{later} are admitted later, {initially} initially");
}

#[test]
fn a_large_teams_backlog_does_not_delay_a_small_team() {
    let mut queue = queue();
    for _ in 0..40 {
        enqueue(&mut queue, "large", 1);
    }
    let small = enqueue(&mut queue, "small", 1);

    let dequeued: Vec<Option<Ticket>> = (0..2).map(|_| queue.dequeue(Duration::ZERO)).collect();

    assert!(dequeued.contains(&Some(small)));
}

#[test]
fn a_large_teams_backlog_does_not_cause_refusals_of_a_small_team() {
    let mut queue = queue();
    while let QueueDecision::Wait(_) = queue.try_admit(waiter("large", 1), false, Duration::ZERO) {}

    assert!(matches!(
        queue.try_admit(waiter("small", 1), false, Duration::ZERO),
        QueueDecision::Wait(_)
    ));
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_with_a_retry_time() {
    let mut queue = queue();

    let refusal = std::iter::repeat_with(|| queue.try_admit(waiter("a", 1), false, Duration::ZERO))
        .find(|decision| !matches!(decision, QueueDecision::Wait(_)));

    let Some(QueueDecision::Refuse { retry_after }) = refusal else {
        panic!("unexpected decision {refusal:?}")
    };
    assert!(retry_after >= Duration::from_millis(100));
    assert!(queue.drain_time() <= MAX_WAIT);
}

#[test]
fn a_request_with_a_shorter_maximum_wait_is_refused_earlier() {
    let mut queue = queue();
    for _ in 0..10 {
        enqueue(&mut queue, "a", 1);
    }
    let impatient_waiter = Waiter { wait_until: Duration::from_millis(10), ..waiter("a", 1) };

    assert!(matches!(
        queue.try_admit(impatient_waiter, false, Duration::ZERO),
        QueueDecision::Refuse { .. }
    ));
}

#[test]
fn a_slower_drain_shortens_the_queue() {
    let mut queue = queue();
    let patient_waiter = Waiter { wait_until: Duration::from_secs(600), ..waiter("a", 1) };
    queue.try_admit(patient_waiter.clone(), false, Duration::ZERO);
    for number in 1..60 {
        let now = Duration::from_millis(number * 500);
        queue.try_admit(patient_waiter.clone(), false, now);
        queue.dequeue(now);
    }

    let accepted =
        std::iter::repeat_with(|| queue.try_admit(waiter("a", 1), false, Duration::ZERO))
            .take_while(|decision| matches!(decision, QueueDecision::Wait(_)))
            .count();

    assert!(accepted <= 5, "{accepted} requests are queued although one departs each 500 ms");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn every_ticket_is_dequeued_once_or_removed(
        actions in prop::collection::vec((0..3_u8, 0..3_u8, 0..4_u8), 1..200),
    ) {
        let mut queue = queue();
        let mut queued: Vec<Ticket> = Vec::new();
        for (action, team, priority) in actions {
            match action {
                0 => {
                    let decision =
                        queue.try_admit(waiter(&team.to_string(), priority), false, Duration::ZERO);
                    if let QueueDecision::Wait(ticket) = decision {
                        queued.push(ticket);
                    }
                }
                1 => {
                    let dequeued = queue.dequeue(Duration::ZERO);
                    prop_assert_eq!(dequeued.is_some(), !queued.is_empty());
                    queued.retain(|ticket| Some(*ticket) != dequeued);
                }
                _ if !queued.is_empty() => {
                    let removed = queued.remove(usize::from(team) % queued.len());
                    queue.remove(removed, Duration::ZERO);
                }
                _ => {}
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
    }
}
