//! Whether a call may have run, as its caller is told when the process exits.

use lynxmount_direct::ExecutionState;

#[test]
fn call_without_an_attempt_has_not_run() {
    let state = ExecutionState::default();

    assert!(!state.may_have_run());
}

/// Guards against a call that is told not to have run while its endpoint may have it.
#[test]
fn call_may_have_run_from_the_start_of_its_attempt_on() {
    let state = ExecutionState::default();

    let _attempt = state.start_attempt();

    assert!(state.may_have_run());
}

/// Guards against a canceled attempt that counts as not run.
#[test]
fn call_may_have_run_after_an_attempt_was_dropped() {
    let state = ExecutionState::default();

    drop(state.start_attempt());

    assert!(state.may_have_run());
}

#[test]
fn call_has_not_run_if_no_attempt_has() {
    let state = ExecutionState::default();

    state.start_attempt().on_not_run();
    state.start_attempt().on_not_run();

    assert!(!state.may_have_run());
}

/// Guards against a later attempt that did not run and hides an earlier one that may have.
#[test]
fn attempt_that_did_not_run_does_not_hide_an_earlier_one() {
    let state = ExecutionState::default();

    drop(state.start_attempt());
    state.start_attempt().on_not_run();

    assert!(state.may_have_run());
}
