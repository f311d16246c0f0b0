//! Processes that are all frozen at the same time, so that requests cannot be retried elsewhere.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, Process, answer_text, chat_request, eventually, streamed_text};
use http::Method;
use http_body_util::BodyExt;
use lynxmount_standin::{BatchOptions, ReceivedResponse};
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

const CHAT_PATH: &str = "/v1/chat/completions";
const NOTES_PATH: &str = "/bookings/notes";

/// The number of tokens of a stream that runs longer than the test.
const ENDLESS_STREAM_TOKENS: u32 = 100_000;

/// The number of tokens of a stream that is still running when its back end is frozen.
const LONG_STREAM_TOKENS: u32 = 250;

/// The duration of a call that is still running when its endpoint is frozen.
const LONG_CALL_DURATION: Duration = Duration::from_secs(3);

/// So large that the socket buffers of a frozen process hold only a few of them.
const LARGE_BODY_BYTES: usize = 1_500_000;

/// The number of concurrent requests.
const CONCURRENT_CALLS: usize = 20;

/// Options with request timeouts that are far longer than a test.
fn long_timeouts() -> FleetOptions {
    let batch = BatchOptions { step: Duration::from_millis(20), ..BatchOptions::default() };
    let (plain_service_timeout_ms, model_timeout_ms) = (60_000, 60_000);
    FleetOptions { batch, plain_service_timeout_ms, model_timeout_ms, ..FleetOptions::default() }
}

fn only_plain_services(plain_services: usize) -> FleetOptions {
    FleetOptions { engines: 0, plain_services, ..long_timeouts() }
}

/// Freezes all endpoint processes, and returns when they are.
fn freeze_endpoints(fleet: &Fleet) {
    fleet.endpoints.iter().flatten().for_each(|process| process.signal(Signal::SIGSTOP));
    fleet.endpoints.iter().flatten().for_each(Process::wait_until_stopped);
}

fn thaw_endpoints(fleet: &Fleet) {
    fleet.endpoints.iter().flatten().for_each(|process| process.signal(Signal::SIGCONT));
}

fn run_count(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum()
}

fn post_note(fleet: &Fleet) -> JoinHandle<anyhow::Result<ReceivedResponse>> {
    post_body(fleet, 2)
}

fn post_body(fleet: &Fleet, body_bytes: usize) -> JoinHandle<anyhow::Result<ReceivedResponse>> {
    let (caller, body) = (fleet.caller(0), vec![b' '; body_bytes]);
    tokio::spawn(async move { caller.call(Method::POST, NOTES_PATH, &[], body).await })
}

/// Posts notes to a fleet that cannot answer, and disconnects once the entry has read them all.
async fn post_and_disconnect(fleet: &Fleet) {
    let notes: Vec<_> = (0..CONCURRENT_CALLS).map(|_| post_note(fleet)).collect();
    // The entry counts a request when it arrives, and again when it is admitted.
    eventually("the entry has read the notes", async || {
        fleet
            .entry_status(0)
            .await
            .is_some_and(|status| status.running as usize == 2 * CONCURRENT_CALLS)
    })
    .await;
    notes.iter().for_each(JoinHandle::abort);
    eventually("the entry has seen the callers disconnect", async || {
        fleet.entry_status(0).await.is_some_and(|status| status.running == 0)
    })
    .await;
}

async fn wait_until_no_endpoint_is_connected(fleet: &Fleet) {
    eventually("the entry is not connected to any endpoint", async || {
        let answer = fleet.caller(0).call(Method::GET, "/bookings/1", &[], "").await;
        answer.is_ok_and(|a| (a.status.as_u16(), a.outcome()) == (503, "not-run"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_endpoints_all_freeze_is_unknown_before_its_deadline() {
    let fleet = Fleet::start(FleetOptions {
        plain_service_delay: LONG_CALL_DURATION,
        ..only_plain_services(2)
    })
    .await;
    let call = post_note(&fleet);
    eventually("the call runs", async || run_count(&fleet) == 1).await;

    freeze_endpoints(&fleet);
    let answer = call.await.unwrap().unwrap();
    thaw_endpoints(&fleet);

    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    assert_ne!(answer.json()["reason"], "timed-out");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_sent_to_frozen_endpoints_is_unknown_before_its_deadline() {
    let fleet = Fleet::start(FleetOptions { plain_services: 0, ..long_timeouts() }).await;

    freeze_endpoints(&fleet);
    let answer =
        fleet.caller(0).call(Method::POST, CHAT_PATH, &[], chat_request("dent", 5, true)).await;
    thaw_endpoints(&fleet);

    let answer = answer.unwrap();
    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    assert_ne!(answer.json()["reason"], "timed-out");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_endpoints_all_freeze_ends_with_an_error_event() {
    let fleet = Fleet::start(FleetOptions { plain_services: 0, ..long_timeouts() }).await;
    let body = chat_request("dent", ENDLESS_STREAM_TOKENS, true);
    let mut response = fleet.caller(0).open(Method::POST, CHAT_PATH, &[], body).await.unwrap();
    assert!(response.body_mut().frame().await.unwrap().is_ok());

    freeze_endpoints(&fleet);
    let mut text = String::new();
    while let Some(Ok(frame)) = response.body_mut().frame().await {
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
    }
    thaw_endpoints(&fleet);

    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!streamed_text(&text).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_endpoint_does_not_start_calls_whose_callers_have_disconnected() {
    let fleet = Fleet::start(only_plain_services(1)).await;
    freeze_endpoints(&fleet);
    post_and_disconnect(&fleet).await;

    thaw_endpoints(&fleet);
    eventually("the endpoint serves requests", async || {
        post_note(&fleet).await.unwrap().unwrap().status == 200
    })
    .await;

    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_endpoint_does_not_start_calls_that_its_entry_has_abandoned() {
    let fleet = Fleet::start(only_plain_services(1)).await;
    freeze_endpoints(&fleet);
    let notes: Vec<_> = (0..CONCURRENT_CALLS).map(|_| post_note(&fleet)).collect();
    assert_abandoned(notes).await;
    wait_until_no_endpoint_is_connected(&fleet).await;

    thaw_endpoints(&fleet);
    fleet.wait_until_entry_serves(0).await;

    assert_eq!(run_count(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_a_frozen_back_end_is_answered_by_another() {
    let options =
        FleetOptions { plain_service_delay: Duration::from_millis(500), ..only_plain_services(2) };
    let fleet = Fleet::start(options).await;
    fleet.plain_services.iter().for_each(|plain| plain.freeze());
    let call = post_note(&fleet);
    eventually("a back end has the call", async || {
        fleet.plain_services.iter().any(|plain| plain.active_calls() > 0)
    })
    .await;

    let other = fleet
        .plain_services
        .iter()
        .find(|plain| plain.active_calls() == 0)
        .expect("an idle back end");
    other.thaw();
    let answer = call.await.unwrap().unwrap();

    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_back_ends_all_freeze_is_unknown_before_its_deadline() {
    let fleet = Fleet::start(only_plain_services(2)).await;

    fleet.plain_services.iter().for_each(|plain| plain.freeze());
    let answer = post_note(&fleet).await.unwrap().unwrap();

    assert_eq!(answer.outcome(), "unknown", "{}", answer.body);
    assert_ne!(answer.json()["reason"], "timed-out");
}

/// Guards against streams that are ended because their back end is silent: the caller has a part of
/// the answer, so that no other back end can take it over.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_after_its_back_end_was_frozen() {
    let fleet =
        Fleet::start(FleetOptions { engines: 1, plain_services: 0, ..long_timeouts() }).await;
    let caller = fleet.caller(0);
    let body = chat_request("dent", LONG_STREAM_TOKENS, true);
    let mut response = caller.open(Method::POST, CHAT_PATH, &[], body).await.unwrap();
    let first = response.body_mut().frame().await.unwrap().unwrap().into_data().unwrap();
    let unstarted = tokio::spawn(async move {
        let body = chat_request("dent", ENDLESS_STREAM_TOKENS, false);
        caller.call(Method::POST, CHAT_PATH, &[], body).await
    });
    eventually("the engine runs both", async || fleet.engines[0].active_sequences() == 2).await;

    fleet.engines[0].freeze();
    let unstarted = unstarted.await.unwrap().unwrap();
    fleet.engines[0].thaw();
    let rest = response.into_body().collect().await.expect("a whole answer").to_bytes();

    assert_eq!(unstarted.outcome(), "unknown", "{}", unstarted.body);
    let body = [first, rest].concat();
    let text = streamed_text(&String::from_utf8_lossy(&body));
    assert_eq!(text, (answer_text("dent", LONG_STREAM_TOKENS), true));
}

/// Checks that calls at a frozen endpoint have an unknown outcome. On a busy machine the entry may
/// notice the endpoint's silence before it has sent all of them, and the rest is not run.
async fn assert_abandoned(calls: Vec<JoinHandle<anyhow::Result<ReceivedResponse>>>) {
    let mut abandoned = 0;
    for call in calls {
        let answer = call.await.unwrap().unwrap();
        match answer.outcome() {
            "unknown" => abandoned += 1,
            outcome => {
                let json = answer.json();
                assert_eq!((outcome, &json["reason"]), ("not-run", &"no-endpoint".into()));
            }
        }
    }
    assert!(abandoned > 0, "no call was sent");
}

/// Checks that no call runs that was sent with a body of `body_bytes` to a frozen endpoint.
async fn assert_no_frames_after_resuming(body_bytes: usize) {
    let fleet = Fleet::start(only_plain_services(1)).await;
    let large =
        fleet.fleet_file().replace("\"max_body_bytes\": 4096", "\"max_body_bytes\": 2000000");
    fleet.write_file("fleet.jsonc", &large);
    fleet.apply_config();
    eventually("large bodies are accepted", async || {
        post_body(&fleet, body_bytes).await.unwrap().unwrap().status == 200
    })
    .await;
    freeze_endpoints(&fleet);
    let notes: Vec<_> = (0..CONCURRENT_CALLS).map(|_| post_body(&fleet, body_bytes)).collect();
    assert_abandoned(notes).await;
    wait_until_no_endpoint_is_connected(&fleet).await;
    let before = run_count(&fleet);

    thaw_endpoints(&fleet);
    fleet.wait_until_entry_serves(0).await;

    assert_eq!(run_count(&fleet) - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_endpoint_gets_no_more_frames_of_an_abandoned_connection() {
    assert_no_frames_after_resuming(LARGE_BODY_BYTES).await;
}

/// A frozen process's socket buffers hold about half of the calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_endpoint_gets_no_more_frames_that_half_fill_its_buffers() {
    assert_no_frames_after_resuming(LARGE_BODY_BYTES / 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_answers_a_call_whose_endpoints_are_all_frozen() {
    let mut fleet = Fleet::start(FleetOptions {
        plain_service_delay: LONG_CALL_DURATION,
        ..only_plain_services(2)
    })
    .await;
    let call = post_note(&fleet);
    eventually("the call runs", async || run_count(&fleet) == 1).await;

    freeze_endpoints(&fleet);
    fleet.entries[0].as_ref().unwrap().signal(Signal::SIGTERM);
    let answer = call.await.unwrap().unwrap();
    let code = fleet.entries[0].as_mut().unwrap().exit_code().await;
    thaw_endpoints(&fleet);

    assert_eq!((answer.outcome(), code), ("unknown", Some(0)), "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_fails_a_call_at_its_frozen_back_end_over_to_another() {
    let mut fleet = Fleet::start(only_plain_services(2)).await;
    fleet.plain_services.iter().for_each(|plain| plain.freeze());
    let call = post_note(&fleet);
    eventually("a back end has the call", async || {
        fleet.plain_services.iter().any(|plain| plain.active_calls() > 0)
    })
    .await;
    let busy = fleet
        .plain_services
        .iter()
        .position(|plain| plain.active_calls() > 0)
        .expect("a busy back end");
    let other = 1 - busy;

    fleet.endpoints[busy].as_ref().unwrap().signal(Signal::SIGTERM);
    fleet.plain_services[other].thaw();
    let answer = call.await.unwrap().unwrap();

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(fleet.endpoints[busy].as_mut().unwrap().exit_code().await, Some(0));
}
