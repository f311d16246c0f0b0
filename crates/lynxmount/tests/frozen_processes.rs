//! Parties that freeze together, so that no neighbour shows what is wrong.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, chat_request, eventually, streamed_text};
use http::Method;
use http_body_util::BodyExt;
use lynxmount_standin::{BatchOptions, ReceivedResponse};
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

const CHAT: &str = "/v1/chat/completions";
const NOTES: &str = "/bookings/notes";

/// A stream that outlasts the test.
const ENDLESS: u32 = 100_000;

/// A call that is still running when its endpoint is frozen.
const LONG_CALL: Duration = Duration::from_secs(3);

/// So large that the kernel keeps a few of them for a frozen process.
const LARGE_BODY: usize = 1_500_000;

/// Requests that are in the air at a time.
const CALLS: usize = 20;

/// A fleet whose calls have far more time than a test takes.
fn patient() -> FleetOptions {
    let batch = BatchOptions { step: Duration::from_millis(20), ..BatchOptions::default() };
    let (plain_service_timeout_ms, model_timeout_ms) = (60_000, 60_000);
    FleetOptions { batch, plain_service_timeout_ms, model_timeout_ms, ..FleetOptions::default() }
}

fn plain_services(plain_services: usize) -> FleetOptions {
    FleetOptions { engines: 0, plain_services, ..patient() }
}

fn signal_endpoints(fleet: &Fleet, signal: Signal) {
    fleet.endpoints.iter().flatten().for_each(|process| process.signal(signal));
}

fn runs(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum()
}

fn note(fleet: &Fleet) -> JoinHandle<anyhow::Result<ReceivedResponse>> {
    post(fleet, 2)
}

fn post(fleet: &Fleet, body_bytes: usize) -> JoinHandle<anyhow::Result<ReceivedResponse>> {
    let (caller, body) = (fleet.caller(0), vec![b' '; body_bytes]);
    tokio::spawn(async move { caller.call(Method::POST, NOTES, &[], body).await })
}

/// Posts notes that nobody answers, and leaves once the entry has them all.
async fn post_and_leave(fleet: &Fleet) {
    let notes: Vec<_> = (0..CALLS).map(|_| note(fleet)).collect();
    // The entry counts a call as a request, and again once it is let in.
    eventually("the entry has the notes", async || {
        fleet.entry_status(0).await.is_some_and(|status| status.running as usize == 2 * CALLS)
    })
    .await;
    notes.iter().for_each(JoinHandle::abort);
    eventually("the entry has seen the callers leave", async || {
        fleet.entry_status(0).await.is_some_and(|status| status.running == 0)
    })
    .await;
}

async fn entry_reaches_nobody(fleet: &Fleet) {
    eventually("the entry reaches no endpoint", async || {
        let answer = fleet.caller(0).call(Method::GET, "/bookings/1", &[], "").await;
        answer.is_ok_and(|a| (a.status.as_u16(), a.outcome()) == (503, "not-run"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_under_which_all_endpoints_freeze_is_told_as_unknown_before_its_time_is_over() {
    let fleet =
        Fleet::start(FleetOptions { plain_service_delay: LONG_CALL, ..plain_services(2) }).await;
    let call = note(&fleet);
    eventually("the call runs", async || runs(&fleet) == 1).await;

    signal_endpoints(&fleet, Signal::SIGSTOP);
    let answer = call.await.unwrap().unwrap();
    signal_endpoints(&fleet, Signal::SIGCONT);

    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    assert_ne!(answer.json()["reason"], "timed-out");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_waits_at_endpoints_that_all_froze_is_told_before_its_time_is_over() {
    let fleet = Fleet::start(FleetOptions { plain_services: 0, ..patient() }).await;

    signal_endpoints(&fleet, Signal::SIGSTOP);
    let answer = fleet.caller(0).call(Method::POST, CHAT, &[], chat_request("dent", 5, true)).await;
    signal_endpoints(&fleet, Signal::SIGCONT);

    let answer = answer.unwrap();
    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    assert_ne!(answer.json()["reason"], "timed-out");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_under_which_all_endpoints_freeze_ends_with_a_problem() {
    let fleet = Fleet::start(FleetOptions { plain_services: 0, ..patient() }).await;
    let body = chat_request("dent", ENDLESS, true);
    let mut response = fleet.caller(0).open(Method::POST, CHAT, &[], body).await.unwrap();
    assert!(response.body_mut().frame().await.unwrap().is_ok());

    signal_endpoints(&fleet, Signal::SIGSTOP);
    let mut text = String::new();
    while let Some(Ok(frame)) = response.body_mut().frame().await {
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
    }
    signal_endpoints(&fleet, Signal::SIGCONT);

    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!streamed_text(&text).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_wakes_begins_nothing_whose_callers_have_left() {
    let fleet = Fleet::start(plain_services(1)).await;
    signal_endpoints(&fleet, Signal::SIGSTOP);
    post_and_leave(&fleet).await;

    signal_endpoints(&fleet, Signal::SIGCONT);
    eventually("the endpoint serves", async || note(&fleet).await.unwrap().unwrap().status == 200)
        .await;

    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_wakes_begins_nothing_that_its_entry_has_given_up() {
    let fleet = Fleet::start(plain_services(1)).await;
    signal_endpoints(&fleet, Signal::SIGSTOP);
    let notes: Vec<_> = (0..CALLS).map(|_| note(&fleet)).collect();
    for note in notes {
        assert_eq!(note.await.unwrap().unwrap().outcome(), "unknown");
    }
    entry_reaches_nobody(&fleet).await;

    signal_endpoints(&fleet, Signal::SIGCONT);
    fleet.wait_until_entry_serves(0).await;

    assert_eq!(runs(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_a_back_end_that_freezes_is_answered_by_another() {
    let options =
        FleetOptions { plain_service_delay: Duration::from_millis(500), ..plain_services(2) };
    let fleet = Fleet::start(options).await;
    fleet.plain_services.iter().for_each(|plain| plain.freeze());
    let call = note(&fleet);
    eventually("the call is at a back end", async || {
        fleet.plain_services.iter().any(|plain| plain.active_calls() > 0)
    })
    .await;

    let other =
        fleet.plain_services.iter().find(|plain| plain.active_calls() == 0).expect("another");
    other.thaw();
    let answer = call.await.unwrap().unwrap();

    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_back_ends_that_all_freeze_is_told_as_unknown_before_its_time_is_over() {
    let fleet = Fleet::start(plain_services(2)).await;

    fleet.plain_services.iter().for_each(|plain| plain.freeze());
    let answer = note(&fleet).await.unwrap().unwrap();

    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    assert_ne!(answer.json()["reason"], "timed-out");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_wakes_gets_nothing_more_of_a_connection_that_its_entry_has_given_up() {
    let fleet = Fleet::start(plain_services(1)).await;
    let large =
        fleet.fleet_file().replace("\"max_body_bytes\": 4096", "\"max_body_bytes\": 2000000");
    fleet.write_file("fleet.jsonc", &large);
    fleet.apply_config();
    eventually("large bodies are taken", async || {
        post(&fleet, LARGE_BODY).await.unwrap().unwrap().status == 200
    })
    .await;
    signal_endpoints(&fleet, Signal::SIGSTOP);
    let notes: Vec<_> = (0..CALLS).map(|_| post(&fleet, LARGE_BODY)).collect();
    for note in notes {
        assert_eq!(note.await.unwrap().unwrap().outcome(), "unknown");
    }
    entry_reaches_nobody(&fleet).await;
    let before = runs(&fleet);

    signal_endpoints(&fleet, Signal::SIGCONT);
    fleet.wait_until_entry_serves(0).await;

    assert_eq!(runs(&fleet) - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_leaves_answers_a_call_at_endpoints_that_all_froze() {
    let mut fleet =
        Fleet::start(FleetOptions { plain_service_delay: LONG_CALL, ..plain_services(2) }).await;
    let call = note(&fleet);
    eventually("the call runs", async || runs(&fleet) == 1).await;

    signal_endpoints(&fleet, Signal::SIGSTOP);
    fleet.entries[0].as_ref().unwrap().signal(Signal::SIGTERM);
    let answer = call.await.unwrap().unwrap();
    let code = fleet.entries[0].as_mut().unwrap().exit_code().await;
    signal_endpoints(&fleet, Signal::SIGCONT);

    assert_eq!((answer.outcome(), code), ("unknown", Some(0)), "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_hands_a_call_at_its_silent_back_end_to_another() {
    let mut fleet = Fleet::start(plain_services(2)).await;
    fleet.plain_services.iter().for_each(|plain| plain.freeze());
    let call = note(&fleet);
    eventually("the call is at a back end", async || {
        fleet.plain_services.iter().any(|plain| plain.active_calls() > 0)
    })
    .await;
    let busy = fleet
        .plain_services
        .iter()
        .position(|plain| plain.active_calls() > 0)
        .expect("one is busy");
    let other = 1 - busy;

    fleet.endpoints[busy].as_ref().unwrap().signal(Signal::SIGTERM);
    fleet.plain_services[other].thaw();
    let answer = call.await.unwrap().unwrap();

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(fleet.endpoints[busy].as_mut().unwrap().exit_code().await, Some(0));
}
