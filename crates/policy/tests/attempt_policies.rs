//! Retries, team limits, power of two choices, prefix affinity and rendezvous hashing.

use std::time::Duration;

use lynxmount_core::{Outcome, Reason, TeamId};
use lynxmount_policy::{
    AttemptFailure, Candidate, ChoiceOptions, PrefixCounts, RequestFailure, RetryBudget,
    RetryDecision, RetryState, TeamLimits, TeamQuota, choose, rendezvous,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, rngs::SmallRng};

const WAIT_UNTIL: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(10);

fn retry(is_idempotent: bool) -> RetryState {
    RetryState::new(3, WAIT_UNTIL, DEADLINE, is_idempotent)
}

fn give_up(outcome: Outcome, reason: Reason) -> RetryDecision {
    RetryDecision::GiveUp(RequestFailure { outcome, reason })
}

#[test]
fn a_declined_attempt_is_retried_and_its_final_outcome_is_not_run() {
    let mut retry = retry(false);
    let declined = AttemptFailure::Declined(Reason::NoEndpoint);

    assert_eq!(retry.on_attempt_failed(declined, Duration::ZERO, || true), RetryDecision::Retry);
    assert_eq!(retry.on_attempt_failed(declined, Duration::ZERO, || true), RetryDecision::Retry);
    let last = retry.on_attempt_failed(declined, Duration::ZERO, || true);

    assert_eq!(last, give_up(Outcome::NotRun, Reason::NoEndpoint));
}

#[test]
fn an_attempt_at_a_busy_endpoint_is_queued_again_and_costs_no_retry() {
    let mut retry = retry(false);

    for _ in 0..10 {
        let decision = retry.on_attempt_failed(AttemptFailure::Busy, Duration::ZERO, || false);
        assert_eq!(decision, RetryDecision::Retry);
    }
    let last = retry.on_attempt_failed(AttemptFailure::Busy, WAIT_UNTIL, || true);

    assert_eq!(last, give_up(Outcome::NotRun, Reason::Overload));
}

#[test]
fn a_lost_attempt_of_a_non_idempotent_request_is_unknown_at_once() {
    let decision = retry(false).on_attempt_failed(AttemptFailure::Lost, Duration::ZERO, || true);

    assert_eq!(decision, give_up(Outcome::Unknown, Reason::LostAttempt));
}

#[test]
fn the_outcome_is_never_not_run_after_an_attempt_that_may_have_run() {
    let mut retry = retry(true);
    retry.on_attempt_failed(AttemptFailure::Lost, Duration::ZERO, || true);

    let decision = retry.on_attempt_failed(AttemptFailure::NoEndpoint, Duration::ZERO, || true);

    assert_eq!(decision, give_up(Outcome::Unknown, Reason::NoEndpoint));
}

#[test]
fn there_is_no_retry_after_the_deadline_or_without_budget() {
    let late = retry(true).on_attempt_failed(AttemptFailure::Failed, DEADLINE, || true);
    let without_budget =
        retry(true).on_attempt_failed(AttemptFailure::Failed, Duration::ZERO, || false);

    assert_eq!(late, give_up(Outcome::Unknown, Reason::TimedOut));
    assert_eq!(without_budget, give_up(Outcome::Unknown, Reason::BackendFailed));
}

#[test]
fn retries_stay_a_fixed_share_of_the_work() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;

    for _ in 0..10_000 {
        budget.deposit(10);
        retries += u32::from(budget.try_withdraw());
    }

    assert!((1_000..=1_011).contains(&retries), "{retries} retries");
}

#[test]
fn a_team_is_limited_to_its_rate() {
    let mut limits = TeamLimits::default();
    let team = TeamId::from("handlers");
    let quota = TeamQuota { rate_per_s: 10.0, burst: 5.0, max_concurrent: 1_000 };

    let admitted = (0..1_000_u64)
        .filter(|tick| limits.admit(&team, quota, Duration::from_millis(tick * 10)).is_ok())
        .count();

    // Ten seconds at ten requests a second, and the burst.
    assert!((104..=105).contains(&admitted), "{admitted} admitted");
}

#[test]
fn a_team_that_retries_after_the_given_time_is_admitted() {
    let mut limits = TeamLimits::default();
    let team = TeamId::from("handlers");
    let quota = TeamQuota { rate_per_s: 3.0, burst: 1.0, max_concurrent: 1_000 };
    limits.admit(&team, quota, Duration::ZERO).expect("the bucket is full");

    let exceeded = limits.admit(&team, quota, Duration::ZERO).expect_err("the bucket is empty");

    let margin = Duration::from_nanos(10);
    assert!(limits.admit(&team, quota, exceeded.retry_after + margin).is_ok());
}

#[test]
fn a_team_is_limited_to_its_concurrency() {
    let mut limits = TeamLimits::default();
    let team = TeamId::from("handlers");
    let quota = TeamQuota { rate_per_s: 1e6, burst: 1e6, max_concurrent: 2 };

    let admitted: Vec<bool> =
        (0..3).map(|_| limits.admit(&team, quota, Duration::ZERO).is_ok()).collect();
    limits.release(&team);

    assert_eq!(admitted, [true, true, false]);
    assert!(limits.admit(&team, quota, Duration::ZERO).is_ok());
}

#[test]
fn the_shares_of_all_entries_add_up_to_the_limit() {
    let share = TeamQuota::share(400, 800, 400, 4);

    assert_eq!(share, TeamQuota { rate_per_s: 100.0, burst: 200.0, max_concurrent: 100 });
}

fn candidate(load: f64, is_local: bool) -> Candidate {
    Candidate {
        own_load: load,
        others_load: 0.0,
        report_age: Duration::ZERO,
        last_chosen: 0,
        is_local,
    }
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

#[test]
fn the_local_failure_domain_is_preferred_until_it_is_loaded() {
    let options = ChoiceOptions::default();
    let idle = [candidate(0.5, true), candidate(0.0, false)];
    let loaded = [candidate(0.9, true), candidate(0.0, false)];

    assert_eq!(choose(&idle, &[], options, &mut rng()).map(|c| c.index), Some(0));
    assert_eq!(choose(&loaded, &[], options, &mut rng()).map(|c| c.index), Some(1));
}

#[test]
fn a_cached_prefix_outweighs_a_bounded_amount_of_load() {
    let options = ChoiceOptions::default();
    let slightly_loaded = [candidate(0.2, true), candidate(0.0, true)];
    let heavily_loaded = [candidate(0.7, true), candidate(0.0, true)];

    assert_eq!(choose(&slightly_loaded, &[0], options, &mut rng()).map(|c| c.index), Some(0));
    assert_eq!(choose(&heavily_loaded, &[0], options, &mut rng()).map(|c| c.index), Some(1));
}

#[test]
fn an_old_load_report_has_little_weight() {
    let options = ChoiceOptions::default();
    let reported = |others_load: f64, age_ms: u64| Candidate {
        own_load: 0.1,
        others_load,
        report_age: Duration::from_millis(age_ms),
        last_chosen: 0,
        is_local: true,
    };
    let fresh = [reported(0.5, 0), candidate(0.2, true)];
    let old = [reported(0.5, 5_000), candidate(0.2, true)];

    assert_eq!(choose(&fresh, &[], options, &mut rng()).map(|c| c.index), Some(1));
    assert_eq!(choose(&old, &[], options, &mut rng()).map(|c| c.index), Some(0));
}

#[test]
fn a_common_prefix_gets_several_holders_and_a_rare_one_a_single_one() {
    let mut counts = PrefixCounts::default();
    let mut holders = (0, 0);
    for number in 0..10_000 {
        let rare = counts.count(&format!("rare-{number}"), 16);
        let common = counts.count("common", 16);
        holders = (rare, common);
    }

    assert_eq!(holders, (1, 16));
}

#[test]
fn without_candidates_there_is_no_choice() {
    assert_eq!(choose(&[], &[], ChoiceOptions::default(), &mut rng()), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn a_member_that_leaves_moves_only_its_own_keys(
        keys in prop::collection::vec("[a-z]{1,8}", 1..40),
        removed in 0..10_usize,
    ) {
        let members: Vec<String> = (0..10).map(|number| format!("member-{number}")).collect();
        let mut fewer = members.clone();
        fewer.remove(removed);

        for key in keys {
            let before = rendezvous(&key, &members, |m| m, 1)[0];
            let after = rendezvous(&key, &fewer, |m| m, 1)[0];
            prop_assert!(before == &members[removed] || before == after);
        }
    }
}
