//! Quarantine of poison requests, which crash every back end that runs them.
//!
//! Guards against a poison request that crashes all back ends one after the other, as happened on
//! the users' platform. The endpoint process outlives its back end and reports a failed attempt,
//! whereupon the entry or the caller retries at the next back end. A request with an idempotency
//! key stays at one back end, but callers repeat it with another key. The fault was that a crash
//! was reported like any other failure and forgotten with the attempt. With crashes reported as
//! such and requests identified by their content, two of seven back ends crash instead of all.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, eventually};
use http::Method;
use lynxmount_standin::{CrashKind, Faults, ReceivedResponse};

/// Requests with this in their path crash the back end that runs them.
const POISON: &str = "poison";

/// The most back ends that one request may crash before all entries have quarantined it.
const MAX_CRASHES: usize = 3;

const BACKENDS: usize = 7;

async fn start_fleet() -> Fleet {
    let options = FleetOptions { engines: 0, plain_services: BACKENDS, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    fleet.plain_services.iter().for_each(|plain| plain.crash_on_path(POISON));
    fleet
}

fn crashed_backend_count(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().filter(|plain| plain.has_crashed()).count()
}

async fn send_poison_lookup(fleet: &Fleet, entry: usize) -> ReceivedResponse {
    let path = format!("/bookings/{POISON}/1");
    fleet.caller(entry).call(Method::GET, &path, &[], "").await.expect("an answer")
}

async fn send_poison_order(fleet: &Fleet, entry: usize, number: usize) -> ReceivedResponse {
    let key = format!("order-{number}");
    let path = format!("/bookings/orders/{POISON}");
    let headers = [("idempotency-key", key.as_str())];
    fleet.caller(entry).call(Method::POST, &path, &headers, "{}").await.expect("an answer")
}

/// Whether an answer refuses the request because it is quarantined.
fn is_quarantined(answer: &ReceivedResponse) -> bool {
    answer.body.contains("\"held-back\"")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_crashes_back_ends_is_quarantined_at_all_entries() {
    let fleet = start_fleet().await;

    for entry in [0, 1] {
        eventually("the call is quarantined", async || {
            is_quarantined(&send_poison_lookup(&fleet, entry).await)
                || crashed_backend_count(&fleet) == BACKENDS
        })
        .await;
    }

    assert!(
        crashed_backend_count(&fleet) <= MAX_CRASHES,
        "{} back ends have crashed",
        crashed_backend_count(&fleet)
    );
    let answer = send_poison_lookup(&fleet, 0).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not-run"));
    let other = fleet.caller(1).call(Method::GET, "/bookings/9", &[], "").await;
    assert_eq!(other.expect("an answer").status.as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_crashes_back_ends_is_quarantined_whatever_its_key() {
    let fleet = start_fleet().await;
    let mut numbers = 0..;

    for entry in [0, 1] {
        eventually("the order is quarantined", async || {
            let number = numbers.next().expect("an unbounded range");
            is_quarantined(&send_poison_order(&fleet, entry, number).await)
                || crashed_backend_count(&fleet) == BACKENDS
        })
        .await;
    }

    assert!(
        crashed_backend_count(&fleet) <= MAX_CRASHES,
        "{} back ends have crashed",
        crashed_backend_count(&fleet)
    );
}

fn crash_count(fleet: &Fleet) -> u32 {
    fleet.plain_services.iter().map(|plain| plain.crash_count()).sum()
}

/// Sends the poison lookup to both entries until they quarantine it, or until there were as many
/// crashes as back ends. Returns the number of crashes.
async fn count_crashes_until_quarantined(fleet: &Fleet) -> u32 {
    for entry in [0, 1] {
        eventually("the call is quarantined", async || {
            let answer = send_poison_lookup(fleet, entry).await;
            is_quarantined(&answer) || crash_count(fleet) as usize >= BACKENDS
        })
        .await;
    }
    crash_count(fleet)
}

async fn crashes_until_quarantined(kind: CrashKind) -> u32 {
    let fleet = start_fleet().await;
    fleet.plain_services.iter().for_each(|plain| plain.set_crash_kind(kind));
    count_crashes_until_quarantined(&fleet).await
}

/// Guards against an entry that retries a request before it reads what the others know of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_quarantined_at_all_entries_while_the_log_is_slow() {
    let fleet = start_fleet().await;
    let delay = Duration::from_millis(200);
    fleet.platform.log.set_faults(Faults { delay, ..Faults::default() });

    let crashes = count_crashes_until_quarantined(&fleet).await;

    assert!(crashes as usize <= MAX_CRASHES, "{crashes} crashes");
}

/// Guards against a crash that is not detected because the listener of the back end closes after
/// its connections: the request was retried until no back end was left.
async fn assert_crash_with_late_listener_is_detected(listener_after_ms: u64) {
    let listener_after = Duration::from_millis(listener_after_ms);

    let crashes = crashes_until_quarantined(CrashKind::ListenerLast { listener_after }).await;

    assert!(crashes as usize <= MAX_CRASHES, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_1_ms_late_is_detected() {
    assert_crash_with_late_listener_is_detected(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_20_ms_late_is_detected() {
    assert_crash_with_late_listener_is_detected(20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_100_ms_late_is_detected() {
    assert_crash_with_late_listener_is_detected(100).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_500_ms_late_is_detected() {
    assert_crash_with_late_listener_is_detected(500).await;
}

/// A forwarder in front of a back end may accept connections long after the back end has crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_behind_a_forwarder_is_detected() {
    assert_crash_with_late_listener_is_detected(60_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_whose_listener_closes_first_is_detected() {
    let connections_after = Duration::from_millis(20);

    let crashes = crashes_until_quarantined(CrashKind::ListenerFirst { connections_after }).await;

    assert!(crashes as usize <= MAX_CRASHES, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_of_a_back_end_that_restarts_at_once_is_detected() {
    let crashes = crashes_until_quarantined(CrashKind::Restarted).await;

    assert!(crashes as usize <= MAX_CRASHES, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_behind_a_listener_held_by_a_supervisor_is_detected() {
    let crashes = crashes_until_quarantined(CrashKind::ListenerHeld).await;

    assert!(crashes as usize <= MAX_CRASHES, "{crashes} crashes");
}

/// Back ends close the connection of requests with this in their path, and keep running.
const DISCONNECTING: &str = "disconnecting";

/// Guards against a quarantine of requests whose connections break while their back ends are alive.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connections_to_live_back_ends_do_not_quarantine_a_request() {
    let options = FleetOptions { engines: 0, plain_services: 2, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await;
    fleet.plain_services.iter().for_each(|plain| plain.disconnect_on_path(DISCONNECTING));

    for number in 1..=6 {
        let path = format!("/bookings/{DISCONNECTING}/1");
        let answer = fleet.caller(0).call(Method::GET, &path, &[], "").await.expect("an answer");

        assert_eq!((answer.status.as_u16(), answer.outcome()), (502, "unknown"));
        let disconnected: usize =
            fleet.plain_services.iter().map(|plain| plain.disconnect_count()).sum();
        assert!(disconnected >= number, "{disconnected} calls of {number} have reached back ends");
    }
}
