//! Leases, fencing, and promises that outlive a gate's process.

use std::time::Duration;

use lynxmount_group::{
    ArmedChange, CommitParticipant, CommitRequest, CommitResponse, EngineState, LeaseRecord,
    LeaseTable, ParticipantAction,
};
use proptest::{prelude::*, test_runner::RngSeed};

const CHANGE: u64 = 7;
const AT: u64 = 50;

fn engine() -> EngineState {
    EngineState { step: 10, map: 1, armed: None, released: None }
}

fn gate(log_end: u64) -> CommitParticipant {
    CommitParticipant::start(0, 2, engine(), log_end)
}

fn arm(fencing_token: u64) -> CommitRequest {
    CommitRequest::Arm { fencing_token, change: CHANGE, map: 2, at: AT }
}

fn vote(has_armed: bool) -> Vec<ParticipantAction> {
    vec![ParticipantAction::Vote { rank: 1, change: CHANGE, has_armed }]
}

fn holds_for(actions: &[ParticipantAction]) -> bool {
    actions.iter().any(|action| matches!(action, ParticipantAction::Hold(_)))
}

#[test]
fn a_gate_that_has_said_no_never_arms() {
    let mut gate = gate(0);

    assert_eq!(gate.on_query(1, CHANGE), vote(false));

    let forgone = ParticipantAction::Respond(CommitResponse::Aborted { change: CHANGE });
    assert_eq!(gate.on_request(arm(1), 10), [forgone]);
    assert_eq!(gate.on_query(1, CHANGE), vote(false));
}

#[test]
fn the_promise_outlives_the_process_because_older_changes_are_never_armed() {
    let mut first_life = gate(0);
    assert_eq!(first_life.on_query(1, CHANGE), vote(false));

    // The change was announced before anyone could ask about it.
    let mut second_life = gate(CHANGE + 1);
    assert!(!holds_for(&second_life.on_request(arm(1), 10)));
    assert_eq!(second_life.on_query(1, CHANGE), vote(false));

    // Without the mechanism the promise is broken.
    assert!(holds_for(&gate(0).on_request(arm(1), 10)));
}

#[test]
fn a_gate_that_can_not_read_the_log_arms_nothing() {
    let mut gate = gate(u64::MAX);
    assert!(!holds_for(&gate.on_request(arm(1), 10)));

    gate.set_log_end(CHANGE + 1);

    let later = CommitRequest::Arm { fencing_token: 1, change: CHANGE + 1, map: 2, at: AT };
    assert!(holds_for(&gate.on_request(later, 10)));
}

#[test]
fn a_gate_does_not_answer_before_its_engine_holds() {
    let mut gate = gate(0);
    assert!(holds_for(&gate.on_request(arm(1), 10)));

    assert_eq!(gate.on_query(1, CHANGE), []);
    gate.on_hold_result(CHANGE, true);

    assert_eq!(gate.on_query(1, CHANGE), vote(true));
}

#[test]
fn an_engine_that_is_past_the_step_makes_its_gate_forgo() {
    let mut gate = gate(0);
    gate.on_request(arm(1), 10);

    let answer = gate.on_hold_result(CHANGE, false);

    assert_eq!(answer, [ParticipantAction::Respond(CommitResponse::Aborted { change: CHANGE })]);
    assert_eq!(gate.on_query(1, CHANGE), vote(false));
}

#[test]
fn a_restarted_gate_takes_over_what_its_engine_holds_for() {
    let armed = ArmedChange { change: CHANGE, map: 2, at: AT };
    let mut gate =
        CommitParticipant::start(0, 2, EngineState { armed: Some(armed), ..engine() }, CHANGE + 1);

    assert_eq!(gate.on_query(1, CHANGE), vote(true));
    let released = gate.on_vote(1, CHANGE, true);

    assert_eq!(released, [ParticipantAction::Release { change: CHANGE, map: Some(2) }]);
}

#[test]
fn orders_under_an_older_lease_are_refused() {
    let mut gate = gate(0);
    gate.on_request(CommitRequest::Stage { fencing_token: 9, change: 10, map: 3 }, 10);

    let answer = gate.on_request(arm(5), 10);

    assert_eq!(answer, [ParticipantAction::Respond(CommitResponse::Fenced { by: 9 })]);
}

fn lease(holder: &str, renews: Option<u64>) -> LeaseRecord {
    LeaseRecord { holder: holder.into(), lasts_ms: Duration::from_millis(10), renews }
}

#[test]
fn a_lease_is_granted_to_one_holder_at_a_time() {
    let mut table = LeaseTable::default();

    assert!(table.apply(0, 100, &lease("a", None)));
    assert!(!table.apply(1, 109, &lease("b", None)));
    assert!(table.apply(2, 110, &lease("b", None)));

    assert_eq!(table.lease().map(|lease| lease.fencing_token), Some(2));
}

#[test]
fn a_renewed_lease_keeps_its_number_and_an_ended_one_does_not() {
    let mut table = LeaseTable::default();
    table.apply(0, 100, &lease("a", None));

    assert!(table.apply(1, 105, &lease("a", Some(0))));
    assert_eq!(table.lease().map(|lease| (lease.fencing_token, lease.ends_at_ms)), Some((0, 115)));

    assert!(table.apply(2, 120, &lease("a", Some(0))));
    assert_eq!(table.lease().map(|lease| lease.fencing_token), Some(2));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn fencing_numbers_never_go_back_and_holders_never_overlap(
        records in prop::collection::vec((0..3_u8, 0..8_u64, prop::option::of(0..10_u64)), 1..40),
    ) {
        let mut table = LeaseTable::default();
        let mut time_ms = 0;
        for (offset, (holder, pause_ms, renews)) in records.into_iter().enumerate() {
            time_ms += pause_ms;
            let before = table.lease().cloned();
            let granted = table.apply(offset as u64, time_ms, &lease(&holder.to_string(), renews));
            let after = table.lease().cloned();
            if let (Some(before), Some(after), true) = (before, after, granted) {
                prop_assert!(after.fencing_token >= before.fencing_token);
                let is_new = after.fencing_token != before.fencing_token;
                prop_assert!(!is_new || time_ms >= before.ends_at_ms);
            }
        }
    }
}
