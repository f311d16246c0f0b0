//! Calls under which back ends end, between entry and endpoint processes.
//!
//! What callers saw on the users' platform: a call that ended each back end which began to
//! run it was sent on, by its entry and by its caller, until none was left. The same happens
//! here, where a process beside each back end outlives it: each reports a failed attempt, and
//! the entry moves the call to the next. A call with a key stays at one back end, but comes
//! again with another key.
//!
//! The cause: a back end that had ended was reported like one that had failed the request, and
//! what an entry knew of it ended with the attempt. The evidence: with the end told apart, and
//! the request known by what it asks, two back ends of seven end where all seven did.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, eventually};
use http::Method;
use lynxmount_standin::{CrashKind, ReceivedResponse};

/// A part of the path of the call under which back ends end.
const ENDING: &str = "ending";

/// Back ends that may end under one call before all entries hold it back.
const MAX_ENDS: usize = 3;

const BACKENDS: usize = 7;

async fn fleet() -> Fleet {
    let options = FleetOptions { engines: 0, plain_services: BACKENDS, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    fleet.plain_services.iter().for_each(|plain| plain.crash_on_path(ENDING));
    fleet
}

fn ended(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().filter(|plain| plain.has_crashed()).count()
}

async fn look_up(fleet: &Fleet, entry: usize) -> ReceivedResponse {
    let path = format!("/bookings/{ENDING}/1");
    fleet.caller(entry).call(Method::GET, &path, &[], "").await.expect("an answer")
}

async fn order(fleet: &Fleet, entry: usize, number: usize) -> ReceivedResponse {
    let key = format!("order-{number}");
    let path = format!("/bookings/orders/{ENDING}");
    let headers = [("idempotency-key", key.as_str())];
    fleet.caller(entry).call(Method::POST, &path, &headers, "{}").await.expect("an answer")
}

/// Says whether an answer tells that the call is held back.
fn is_held_back(answer: &ReceivedResponse) -> bool {
    answer.body.contains("\"held-back\"")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_ends_back_ends_is_held_back_at_all_entries() {
    let fleet = fleet().await;

    for entry in [0, 1] {
        eventually("the call is held back", async || {
            is_held_back(&look_up(&fleet, entry).await) || ended(&fleet) == BACKENDS
        })
        .await;
    }

    assert!(ended(&fleet) <= MAX_ENDS, "{} back ends have ended", ended(&fleet));
    let answer = look_up(&fleet, 0).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not-run"));
    let other = fleet.caller(1).call(Method::GET, "/bookings/9", &[], "").await;
    assert_eq!(other.expect("an answer").status.as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_ends_back_ends_is_held_back_with_another_key() {
    let fleet = fleet().await;
    let mut numbers = 0..;

    for entry in [0, 1] {
        eventually("the order is held back", async || {
            let number = numbers.next().expect("there are numbers");
            is_held_back(&order(&fleet, entry, number).await) || ended(&fleet) == BACKENDS
        })
        .await;
    }

    assert!(ended(&fleet) <= MAX_ENDS, "{} back ends have ended", ended(&fleet));
}

fn crashes(fleet: &Fleet) -> u32 {
    fleet.plain_services.iter().map(|plain| plain.crash_count()).sum()
}

/// Calls at both entries until they quarantine the lookup, or as many back ends as there are have
/// crashed. Returns how many crashes that took.
async fn crashes_until_quarantined(kind: CrashKind) -> u32 {
    let fleet = fleet().await;
    fleet.plain_services.iter().for_each(|plain| plain.set_crash_kind(kind));
    for entry in [0, 1] {
        eventually("the call is quarantined", async || {
            let answer = look_up(&fleet, entry).await;
            is_held_back(&answer) || crashes(&fleet) as usize >= BACKENDS
        })
        .await;
    }
    crashes(&fleet)
}

/// Guards against a crash that is missed as the back end's listener closes after its connections:
/// the request went on to the next back end, until none was left.
async fn a_crash_with_a_late_listener_is_recorded(listener_after_ms: u64) {
    let listener_after = Duration::from_millis(listener_after_ms);

    let crashes = crashes_until_quarantined(CrashKind::ListenerLast { listener_after }).await;

    assert!(crashes as usize <= MAX_ENDS, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_1_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_20_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_100_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(100).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_500_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(500).await;
}

/// What stands in front of a back end may take connections for as long as it likes.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_behind_a_forwarder_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(60_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_first_is_recorded() {
    let connections_after = Duration::from_millis(20);

    let crashes = crashes_until_quarantined(CrashKind::ListenerFirst { connections_after }).await;

    assert!(crashes as usize <= MAX_ENDS, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_of_a_back_end_that_is_back_at_once_is_recorded() {
    let crashes = crashes_until_quarantined(CrashKind::Restarted).await;

    assert!(crashes as usize <= MAX_ENDS, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_behind_a_listener_that_another_process_holds_is_recorded() {
    let crashes = crashes_until_quarantined(CrashKind::ListenerHeld).await;

    assert!(crashes as usize <= MAX_ENDS, "{crashes} crashes");
}

/// A part of the path of the call whose connections back ends cut.
const CUT: &str = "cut";

/// Guards against a quarantine of calls whose connections break while their back ends live.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_break_while_the_back_end_lives_quarantine_nothing() {
    let options = FleetOptions { engines: 0, plain_services: 2, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    fleet.plain_services.iter().for_each(|plain| plain.disconnect_on_path(CUT));

    for number in 1..=6 {
        let path = format!("/bookings/{CUT}/1");
        let answer = fleet.caller(0).call(Method::GET, &path, &[], "").await.expect("an answer");

        assert_eq!((answer.status.as_u16(), answer.outcome()), (502, "unknown"));
        let cut: usize = fleet.plain_services.iter().map(|plain| plain.disconnect_count()).sum();
        assert!(cut >= number, "{cut} calls of {number} have reached back ends");
    }
}
