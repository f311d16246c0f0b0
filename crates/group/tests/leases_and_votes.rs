//! Leases, fencing, and votes that must survive a restart of a participant.

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

fn participant(log_end: u64) -> CommitParticipant {
    CommitParticipant::start(0, 2, engine(), log_end)
}

fn arm(fencing_token: u64) -> CommitRequest {
    CommitRequest::Arm { fencing_token, change: CHANGE, map: 2, at: AT }
}

fn vote(has_armed: bool) -> Vec<ParticipantAction> {
    vec![ParticipantAction::Vote { rank: 1, change: CHANGE, has_armed }]
}

fn has_hold(actions: &[ParticipantAction]) -> bool {
    actions.iter().any(|action| matches!(action, ParticipantAction::Hold(_)))
}

#[test]
fn a_participant_that_has_voted_no_never_arms() {
    let mut participant = participant(0);

    assert_eq!(participant.on_query(1, CHANGE), vote(false));

    let aborted = ParticipantAction::Respond(CommitResponse::Aborted { change: CHANGE });
    assert_eq!(participant.on_request(arm(1), 10), [aborted]);
    assert_eq!(participant.on_query(1, CHANGE), vote(false));
}

#[test]
fn a_no_vote_survives_a_restart_as_changes_before_the_log_end_are_never_armed() {
    let mut first_incarnation = participant(0);
    assert_eq!(first_incarnation.on_query(1, CHANGE), vote(false));

    // The change was announced before any participant could query it.
    let mut second_incarnation = participant(CHANGE + 1);
    assert!(!has_hold(&second_incarnation.on_request(arm(1), 10)));
    assert_eq!(second_incarnation.on_query(1, CHANGE), vote(false));

    // If the log end is unknown to the restarted participant, it breaks its vote.
    assert!(has_hold(&participant(0).on_request(arm(1), 10)));
}

#[test]
fn a_participant_that_can_not_read_the_log_arms_nothing() {
    let mut participant = participant(u64::MAX);
    assert!(!has_hold(&participant.on_request(arm(1), 10)));

    participant.set_log_end(CHANGE + 1);

    let later = CommitRequest::Arm { fencing_token: 1, change: CHANGE + 1, map: 2, at: AT };
    assert!(has_hold(&participant.on_request(later, 10)));
}

#[test]
fn a_participant_does_not_vote_before_its_engine_holds() {
    let mut participant = participant(0);
    assert!(has_hold(&participant.on_request(arm(1), 10)));

    assert_eq!(participant.on_query(1, CHANGE), []);
    participant.on_hold_result(CHANGE, true);

    assert_eq!(participant.on_query(1, CHANGE), vote(true));
}

#[test]
fn an_engine_that_is_past_the_step_makes_its_participant_abort() {
    let mut participant = participant(0);
    participant.on_request(arm(1), 10);

    let actions = participant.on_hold_result(CHANGE, false);

    assert_eq!(actions, [ParticipantAction::Respond(CommitResponse::Aborted { change: CHANGE })]);
    assert_eq!(participant.on_query(1, CHANGE), vote(false));
}

#[test]
fn a_restarted_participant_resumes_the_change_that_its_engine_holds_for() {
    let armed = ArmedChange { change: CHANGE, map: 2, at: AT };
    let mut participant =
        CommitParticipant::start(0, 2, EngineState { armed: Some(armed), ..engine() }, CHANGE + 1);

    assert_eq!(participant.on_query(1, CHANGE), vote(true));
    let actions = participant.on_vote(1, CHANGE, true);

    assert_eq!(actions, [ParticipantAction::Release { change: CHANGE, map: Some(2) }]);
}

#[test]
fn requests_under_an_older_lease_are_refused() {
    let mut participant = participant(0);
    participant.on_request(CommitRequest::Stage { fencing_token: 9, change: 10, map: 3 }, 10);

    let actions = participant.on_request(arm(5), 10);

    assert_eq!(actions, [ParticipantAction::Respond(CommitResponse::Fenced { by: 9 })]);
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
fn a_renewed_lease_keeps_its_fencing_token_and_an_expired_one_does_not() {
    let mut table = LeaseTable::default();
    table.apply(0, 100, &lease("a", None));

    assert!(table.apply(1, 105, &lease("a", Some(0))));
    assert_eq!(
        table.lease().map(|lease| (lease.fencing_token, lease.expires_at_ms)),
        Some((0, 115))
    );

    assert!(table.apply(2, 120, &lease("a", Some(0))));
    assert_eq!(table.lease().map(|lease| lease.fencing_token), Some(2));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn fencing_tokens_never_decrease_and_leases_never_overlap(
        records in prop::collection::vec((0..3_u8, 0..8_u64, prop::option::of(0..10_u64)), 1..40),
    ) {
        let mut table = LeaseTable::default();
        let mut time_ms = 0;
        for (offset, (holder, elapsed_ms, renews)) in records.into_iter().enumerate() {
            time_ms += elapsed_ms;
            let before = table.lease().cloned();
            let granted = table.apply(offset as u64, time_ms, &lease(&holder.to_string(), renews));
            let after = table.lease().cloned();
            if let (Some(before), Some(after), true) = (before, after, granted) {
                prop_assert!(after.fencing_token >= before.fencing_token);
                let is_new = after.fencing_token != before.fencing_token;
                prop_assert!(!is_new || time_ms >= before.expires_at_ms);
            }
        }
    }
}
