//! The resource budget of a process.

use std::time::Duration;

use lynxmount_policy::{
    ConnectionId, ConnectionPhase, PeerKind, PeerTimeouts, ResourceBudget, ResourceLimits,
    SMALL_BODY_BYTES, Verdict,
};
use proptest::prelude::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

const TIMEOUTS: PeerTimeouts =
    PeerTimeouts { head: Duration::from_secs(3), blocked: Duration::from_secs(60) };

fn limits() -> ResourceLimits {
    ResourceLimits {
        caller_connections: 3,
        internal_connections: 1,
        connection_bytes: MIB,
        body_bytes: 8 * MIB,
        small_body_bytes: 2 * MIB,
    }
}

fn at_ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn open(budget: &mut ResourceBudget, phase: ConnectionPhase, now: Duration) -> ConnectionId {
    assert_eq!(budget.admit(PeerKind::Caller, now), Verdict::Granted);
    let id = budget.open(PeerKind::Caller, now);
    budget.set_phase(id, phase, now);
    id
}

#[test]
fn a_body_grows_to_what_is_left_beside_small_ones_and_no_further() {
    let mut budget = ResourceBudget::new(limits());
    let id = open(&mut budget, ConnectionPhase::Body, at_ms(0));

    assert_eq!(budget.reserve(id, 6 * MIB, 6 * MIB, at_ms(0)), Verdict::Granted);
    assert_eq!(budget.reserve(id, 1, 6 * MIB + 1, at_ms(0)), Verdict::Refused);
}

/// Guards against bodies of many calls that exceed the memory together.
#[test]
fn all_bodies_together_stay_within_the_memory_and_small_ones_fit_beside_large_ones() {
    let limits = ResourceLimits { caller_connections: 100, connection_bytes: 16 * MIB, ..limits() };
    let mut budget = ResourceBudget::new(limits);
    let mut reserve = |bytes| {
        let id = open(&mut budget, ConnectionPhase::Running, at_ms(0));
        budget.reserve(id, bytes, bytes, at_ms(0)) == Verdict::Granted
    };

    let large = (0..20).filter(|_| reserve(3 * MIB)).count();
    let small = (0..80).filter(|_| reserve(SMALL_BODY_BYTES)).count();

    assert_eq!((large, small), (2, 2 * MIB / SMALL_BODY_BYTES));
    assert_eq!(budget.body_bytes(), 8 * MIB);
}

#[test]
fn released_memory_is_granted_again() {
    let mut budget = ResourceBudget::new(limits());
    let id = open(&mut budget, ConnectionPhase::Body, at_ms(0));
    for _ in 0..5 {
        assert_eq!(budget.reserve(id, 6 * MIB, 6 * MIB, at_ms(0)), Verdict::Granted);
        budget.release(id, 6 * MIB);
    }

    assert_eq!(budget.body_bytes(), 0);
}

/// Guards against a budget full of bodies that have stopped.
#[test]
fn a_body_that_has_stalled_is_evicted_for_one_that_makes_progress() {
    let mut budget = ResourceBudget::new(limits());
    let stalled = open(&mut budget, ConnectionPhase::Body, at_ms(0));
    budget.reserve(stalled, 6 * MIB, 6 * MIB, at_ms(0));

    let young = open(&mut budget, ConnectionPhase::Body, at_ms(500));
    assert_eq!(budget.reserve(young, MIB, MIB, at_ms(500)), Verdict::Refused);
    assert_eq!(budget.reserve(young, MIB, MIB, at_ms(1100)), Verdict::Evict(stalled));
    budget.release(stalled, 6 * MIB);
    budget.close(stalled);

    assert_eq!(budget.reserve(young, MIB, MIB, at_ms(1100)), Verdict::Granted);
}

#[test]
fn a_body_of_single_bytes_counts_as_stalled_and_one_that_keeps_its_rate_does_not() {
    let mut budget = ResourceBudget::new(limits());
    let trickling = open(&mut budget, ConnectionPhase::Body, at_ms(0));
    let sound = open(&mut budget, ConnectionPhase::Body, at_ms(0));
    for id in [sound, trickling] {
        budget.reserve(id, 3 * MIB, 3 * MIB, at_ms(0));
    }
    for tenth in 1..30 {
        budget.on_progress(trickling, 1, at_ms(tenth * 100));
        budget.on_progress(sound, 2 * KIB, at_ms(tenth * 100));
    }

    let next = open(&mut budget, ConnectionPhase::Body, at_ms(2900));

    assert_eq!(budget.reserve(next, MIB, MIB, at_ms(3000)), Verdict::Evict(trickling));
    assert_eq!(budget.reserve(next, MIB, MIB, at_ms(3000)), Verdict::Refused);
}

#[test]
fn calls_that_run_are_never_evicted() {
    let mut budget = ResourceBudget::new(limits());
    for _ in 0..3 {
        open(&mut budget, ConnectionPhase::Running, at_ms(0));
    }

    assert_eq!(budget.admit(PeerKind::Caller, at_ms(60_000)), Verdict::Refused);
}

#[test]
fn unused_connections_are_evicted_before_idle_ones_and_the_oldest_ones_first() {
    let mut budget = ResourceBudget::new(limits());
    let idle = open(&mut budget, ConnectionPhase::Idle, at_ms(0));
    let older = open(&mut budget, ConnectionPhase::Unused, at_ms(10));
    let newer = open(&mut budget, ConnectionPhase::Unused, at_ms(20));

    for expected in [older, newer, idle] {
        assert_eq!(budget.admit(PeerKind::Caller, at_ms(30)), Verdict::Evict(expected));
    }
    assert_eq!(budget.admit(PeerKind::Caller, at_ms(30)), Verdict::Refused);
}

#[test]
fn callers_do_not_take_the_connections_of_internal_ports() {
    let mut budget = ResourceBudget::new(limits());
    for _ in 0..3 {
        open(&mut budget, ConnectionPhase::Idle, at_ms(0));
    }

    assert_eq!(budget.admit(PeerKind::Internal, at_ms(0)), Verdict::Granted);
}

#[test]
fn connections_with_large_heads_are_evicted_when_their_buffers_take_too_much() {
    let mut budget = ResourceBudget::new(ResourceLimits { caller_connections: 1000, ..limits() });
    let first = open(&mut budget, ConnectionPhase::Head, at_ms(0));
    assert_eq!(budget.grow_buffer(first, 0, 256 * KIB, at_ms(0)), Verdict::Granted);

    let second = open(&mut budget, ConnectionPhase::Head, at_ms(1));

    assert_eq!(budget.grow_buffer(second, 0, 256 * KIB, at_ms(1)), Verdict::Evict(first));
    budget.close(first);
    assert_eq!(budget.grow_buffer(second, 0, 256 * KIB, at_ms(1)), Verdict::Granted);
}

/// Guards against a buffer that grows by its first size again and again, each time unnoticed.
#[test]
fn a_read_buffer_counts_with_what_it_holds() {
    let mut budget = ResourceBudget::new(limits());
    let head = open(&mut budget, ConnectionPhase::Head, at_ms(0));
    let opened_bytes = budget.buffer_bytes();

    for filled_bytes in [0, 100, 8 * KIB, 16 * KIB] {
        let growth_bytes = 8 * KIB - filled_bytes % (8 * KIB);
        let verdict = budget.grow_buffer(head, filled_bytes, growth_bytes, at_ms(1));
        assert_eq!(verdict, Verdict::Granted);
        let counted_bytes = budget.buffer_bytes() - opened_bytes;
        assert_eq!(counted_bytes, filled_bytes + growth_bytes - 8 * KIB);
    }
}

#[test]
fn heads_and_unread_responses_are_overdue_after_their_timeouts() {
    let mut budget = ResourceBudget::new(limits());
    let head = open(&mut budget, ConnectionPhase::Head, at_ms(0));
    let blocked = open(&mut budget, ConnectionPhase::Blocked, at_ms(0));
    open(&mut budget, ConnectionPhase::Idle, at_ms(0));
    let mut overdue = |now| budget.evict_overdue(PeerKind::Caller, TIMEOUTS, now);

    assert_eq!(overdue(at_ms(2_999)), None);
    assert_eq!(overdue(at_ms(3_000)), Some(head));
    assert_eq!(overdue(at_ms(59_999)), None);
    assert_eq!(overdue(at_ms(60_000)), Some(blocked));
    assert_eq!(overdue(at_ms(600_000)), None);
}

#[test]
fn a_process_of_the_smallest_size_serves_a_body_of_16_mib_and_a_thousand_connections() {
    let limits = ResourceLimits::of_process(160_000_000, 4100);

    assert!(limits.max_body_bytes() >= 16 * MIB, "{limits:?}");
    assert!(limits.caller_connections >= 1000, "{limits:?}");
    assert!(limits.connection_bytes >= 1000 * 36 * KIB, "{limits:?}");
    let parts = limits.connection_bytes + limits.body_bytes;
    assert!(parts + 40_000_000 <= 160_000_000, "{limits:?}");
}

proptest! {
    /// Whatever peers do, the totals are the sums of what is open, and the limits hold.
    #[test]
    fn totals_match_what_is_held(steps in prop::collection::vec((0u8..6, 0usize..8, 1usize..MIB), 1..300)) {
        let limits = limits();
        let mut budget = ResourceBudget::new(limits);
        let mut held: Vec<(ConnectionId, usize)> = Vec::new();
        for (index, (step, which, bytes)) in steps.into_iter().enumerate() {
            let now = at_ms(index as u64 * 100);
            let chosen = which.checked_rem(held.len()).unwrap_or(0);
            match (step, held.get_mut(chosen)) {
                (0, _) | (_, None) => match budget.admit(PeerKind::Caller, now) {
                    Verdict::Granted => held.push((budget.open(PeerKind::Caller, now), 0)),
                    Verdict::Evict(id) => {
                        let position = held.iter().position(|(other, _)| *other == id).expect("is open");
                        let (id, bytes) = held.remove(position);
                        budget.close(id);
                        budget.release(id, bytes);
                    }
                    Verdict::Refused => {}
                },
                (1, Some((id, _))) => budget.set_phase(*id, ConnectionPhase::Body, now),
                (2, Some((id, _))) => budget.set_phase(*id, ConnectionPhase::Idle, now),
                (3, Some((id, total))) => {
                    if budget.reserve(*id, bytes, *total + bytes, now) == Verdict::Granted {
                        *total += bytes;
                    }
                }
                (4, Some((id, total))) => budget.release(*id, std::mem::take(total)),
                (_, Some((id, _))) => budget.on_progress(*id, bytes, now),
            }
            let total: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.body_bytes(), total);
            prop_assert_eq!(budget.open_connections(), held.len());
            prop_assert!(budget.body_bytes() <= limits.body_bytes);
            prop_assert!(budget.buffer_bytes() <= limits.connection_bytes);
            prop_assert!(held.len() <= limits.caller_connections);
        }
    }
}
