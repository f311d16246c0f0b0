//! Processes that are killed, frozen or drained while requests run.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, answer_text, chat_request, eventually, streamed_text};
use http::Method;
use http_body_util::BodyExt;
use lynxmount_standin::{BatchOptions, ReceivedResponse};
use nix::sys::signal::Signal;

const CHAT_PATH: &str = "/v1/chat/completions";
const ORDERS_PATH: &str = "/bookings/orders";

/// The number of tokens of a stream that is still running when the test interrupts it.
const LONG_STREAM_TOKENS: u32 = 60;

fn slow_engines() -> FleetOptions {
    let batch = BatchOptions { step: Duration::from_millis(20), ..BatchOptions::default() };
    FleetOptions { batch, plain_services: 1, ..FleetOptions::default() }
}

fn slow_orders(plain_services: usize) -> FleetOptions {
    FleetOptions {
        engines: 0,
        plain_services,
        plain_service_delay: Duration::from_millis(500),
        ..FleetOptions::default()
    }
}

fn run_count(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum()
}

/// The endpoint whose back end runs the only call.
fn busy_service(fleet: &Fleet) -> usize {
    fleet
        .plain_services
        .iter()
        .position(|plain| plain.active_calls() > 0)
        .expect("a back end that runs a call")
}

/// Sends an order to an entry from a task of its own.
fn send_order(
    fleet: &Fleet,
    entry: usize,
    key: &'static str,
) -> tokio::task::JoinHandle<anyhow::Result<ReceivedResponse>> {
    let caller = fleet.caller(entry);
    tokio::spawn(async move {
        caller.call(Method::POST, ORDERS_PATH, &[("idempotency-key", key)], "{}").await
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_key_is_replayed_by_another_entry_after_its_entry_is_killed() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let key = [("idempotency-key", "estimate-1")];
    let before: usize = fleet.engines.iter().map(|engine| engine.recorded_runs().len()).sum();
    let caller = fleet.caller(0);
    let mut response = caller
        .open(Method::POST, CHAT_PATH, &key, chat_request("dent", LONG_STREAM_TOKENS, true))
        .await
        .unwrap();
    assert!(response.body_mut().frame().await.unwrap().is_ok());

    fleet.entries[0] = None;
    let rest = response.into_body().collect().await;
    let again = fleet
        .caller(1)
        .call(Method::POST, CHAT_PATH, &key, chat_request("dent", LONG_STREAM_TOKENS, true))
        .await;

    assert!(rest.is_err(), "a truncated answer must not look complete");
    assert_eq!(
        streamed_text(&again.unwrap().body),
        (answer_text("dent", LONG_STREAM_TOKENS), true)
    );
    let after: usize = fleet.engines.iter().map(|engine| engine.recorded_runs().len()).sum();
    assert_eq!(after - before, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_after_its_connection_to_the_engine_breaks() {
    let fleet =
        Fleet::start(FleetOptions { engines: 1, plain_services: 0, ..slow_engines() }).await;
    let before = fleet.engines[0].recorded_runs().len();
    fleet.engines[0].cut_next_stream_after(7);

    let answer =
        fleet.caller(0).call(Method::POST, CHAT_PATH, &[], chat_request("dent", 20, true)).await;

    assert_eq!(streamed_text(&answer.unwrap().body), (answer_text("dent", 20), true));
    assert_eq!(fleet.engines[0].recorded_runs().len() - before, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_endpoint_is_killed_ends_with_an_error_event() {
    let mut fleet = Fleet::start(FleetOptions { engines: 1, ..slow_engines() }).await;
    let caller = fleet.caller(0);
    let mut response = caller
        .open(Method::POST, CHAT_PATH, &[], chat_request("dent", 10_000, true))
        .await
        .unwrap();
    assert!(response.body_mut().frame().await.unwrap().is_ok());

    fleet.endpoints[0] = None;

    let mut text = String::new();
    let mut is_truncated = false;
    while let Some(frame) = response.body_mut().frame().await {
        match frame {
            Ok(frame) => text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap())),
            Err(_) => is_truncated = true,
        }
    }
    assert!(is_truncated);
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!streamed_text(&text).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_retried_after_its_endpoint_is_killed() {
    let mut fleet = Fleet::start(slow_orders(2)).await;
    let caller = fleet.caller(0);
    let call = tokio::spawn(async move { caller.call(Method::GET, "/bookings/9", &[], "").await });
    eventually("the request runs", async || {
        fleet.plain_services.iter().any(|p| p.active_calls() > 0)
    })
    .await;

    let busy = busy_service(&fleet);
    fleet.endpoints[busy] = None;

    let answer = call.await.unwrap().unwrap();
    assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "complete"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_endpoint_is_killed_is_unknown_and_not_run_again() {
    let mut fleet = Fleet::start(slow_orders(2)).await;
    let first = send_order(&fleet, 0, "o-1");
    eventually("the order runs", async || run_count(&fleet) == 1).await;

    let busy = busy_service(&fleet);
    fleet.endpoints[busy] = None;

    let first = first.await.unwrap().unwrap();
    assert_eq!((first.status.as_u16(), first.outcome()), (502, "unknown"));
    assert!(!first.header("retry-after").is_empty());
    // The new incarnation of the process does not know what the old one has run.
    fleet.endpoints[busy] = Some(fleet.spawn_endpoint(busy));
    fleet.wait_until_ready(async || fleet.endpoint_status(busy).await).await;
    for entry in [0, 1] {
        let again = send_order(&fleet, entry, "o-1").await.unwrap().unwrap();
        assert_eq!((again.status.as_u16(), again.outcome()), (502, "unknown"));
    }
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_entry_is_killed_is_answered_from_its_only_run() {
    let mut fleet = Fleet::start(slow_orders(2)).await;
    let first = send_order(&fleet, 0, "o-1");
    eventually("the order runs", async || run_count(&fleet) == 1).await;

    fleet.entries[0] = None;

    assert!(first.await.unwrap().is_err());
    let again = send_order(&fleet, 1, "o-1").await.unwrap().unwrap();
    assert_eq!((again.status.as_u16(), again.json()["run_number"].as_u64()), (200, Some(1)));
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_endpoint_is_avoided_and_its_order_runs_once() {
    let fleet = Fleet::start(slow_orders(2)).await;
    let first = send_order(&fleet, 0, "o-1");
    eventually("the order runs", async || run_count(&fleet) == 1).await;
    let frozen = busy_service(&fleet);
    let process = fleet.endpoints[frozen].as_ref().unwrap();

    process.signal(Signal::SIGSTOP);
    let first = first.await.unwrap().unwrap();
    let lookup = fleet.caller(0).call(Method::GET, "/bookings/1", &[], "").await.unwrap();
    process.signal(Signal::SIGCONT);

    assert_eq!(first.outcome(), "unknown");
    assert_eq!(lookup.status, 200);
    eventually("the order is answered", async || {
        send_order(&fleet, 1, "o-1").await.unwrap().unwrap().status == 200
    })
    .await;
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_completes_its_streams() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let caller = fleet.caller(0);
    let mut response = caller
        .open(Method::POST, CHAT_PATH, &[], chat_request("dent", LONG_STREAM_TOKENS, true))
        .await
        .unwrap();
    let first = response.body_mut().frame().await.unwrap().unwrap().into_data().unwrap();

    fleet.entries[0].as_ref().unwrap().signal(Signal::SIGTERM);
    eventually("the entry is draining", async || {
        let answer = fleet.caller(0).call(Method::GET, "/bookings/1", &[], "").await;
        answer.is_ok_and(|a| a.status == 503 && a.outcome() == "not-run")
    })
    .await;
    let rest =
        response.into_body().collect().await.expect("an answer that is not truncated").to_bytes();

    let body = [first, rest].concat();
    let text = streamed_text(&String::from_utf8_lossy(&body));
    assert_eq!(text, (answer_text("dent", LONG_STREAM_TOKENS), true));
    assert_eq!(fleet.entries[0].as_mut().unwrap().exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_answers_a_request_whose_body_is_still_arriving() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut fleet = Fleet::start(slow_orders(1)).await;
    let mut stream = tokio::net::TcpStream::connect(fleet.callers_address(0)).await.unwrap();
    let token = common::token_of(common::TEAM);
    let head = format!(
        "POST /bookings/notes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\ncontent-length: 8\r\n\r\nhalf"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    eventually("the request has arrived", async || {
        fleet.entry_status(0).await.is_some_and(|status| status.running == 1)
    })
    .await;

    fleet.entries[0].as_ref().unwrap().signal(Signal::SIGTERM);
    eventually("the entry is draining", async || {
        let status = fleet.entry_status(0).await;
        status.is_some_and(|s| s.readiness == lynxmount_node::Readiness::Draining)
    })
    .await;
    stream.write_all(b"rest").await.unwrap();
    let mut answer = vec![0; 4_096];
    let length = stream.read(&mut answer).await.unwrap();

    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(fleet.entries[0].as_mut().unwrap().exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_completes_its_attempts_and_gets_no_new_ones() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let mut responses = Vec::new();
    for entry in [0, 1, 0, 1] {
        let caller = fleet.caller(entry);
        let body = chat_request("dent", LONG_STREAM_TOKENS, true);
        responses.push(caller.open(Method::POST, CHAT_PATH, &[], body).await.unwrap());
    }
    let before = fleet.engines[0].recorded_runs().len();

    let drained = fleet.run_command(&["drain", "lm-0"]);
    assert_eq!(drained.status.code(), Some(0));
    // The endpoint refuses attempts from the moment at which it reports that it is draining.
    eventually("the endpoint is draining", async || {
        let status = fleet.endpoint_status(0).await;
        status.is_none_or(|s| s.readiness == lynxmount_node::Readiness::Draining)
    })
    .await;
    let seen = fleet.engines[0].recorded_runs().len();
    for number in 0..20 {
        let body = chat_request("after", 1, false);
        let answer =
            fleet.caller(number % 2).call(Method::POST, CHAT_PATH, &[], body).await.unwrap();
        assert_eq!(answer.status, 200);
    }

    assert_eq!(fleet.engines[0].recorded_runs().len(), seen);
    assert!(seen >= before);
    for response in responses {
        let body = response
            .into_body()
            .collect()
            .await
            .expect("an answer that is not truncated")
            .to_bytes();
        let text = streamed_text(&String::from_utf8_lossy(&body));
        assert_eq!(text, (answer_text("dent", LONG_STREAM_TOKENS), true));
    }
    assert_eq!(fleet.endpoints[0].as_mut().unwrap().exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_the_endpoints_under_load_loses_no_request() {
    let mut fleet =
        Fleet::start(FleetOptions { engines: 0, plain_services: 3, ..FleetOptions::default() })
            .await;
    let stop = stop_flag();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..8 {
        let (caller, stop) = (fleet.caller(number % 2), stop.clone());
        callers.spawn(async move {
            let mut answered = 0;
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                let answer = caller.call(Method::GET, "/bookings/1", &[], "").await.unwrap();
                assert_eq!(answer.status, 200, "{}", answer.body);
                answered += 1;
            }
            answered
        });
    }

    for number in 0..3 {
        fleet.endpoints[number].as_ref().unwrap().signal(Signal::SIGTERM);
        assert_eq!(fleet.endpoints[number].as_mut().unwrap().exit_code().await, Some(0));
        fleet.endpoints[number] = Some(fleet.spawn_endpoint(number));
        fleet.wait_until_ready(async || fleet.endpoint_status(number).await).await;
        // The next one is restarted once both entries are connected to this one again.
        for entry in [0, 1] {
            let name = format!("bookings-{number}");
            eventually("the entry is connected again", async || {
                let audit = fleet.run_command(&[
                    "audit",
                    "--event",
                    "endpoint-up",
                    "--process",
                    &format!("entry-{entry}"),
                ]);
                String::from_utf8_lossy(&audit.stdout).matches(&name).count() == 2
            })
            .await;
        }
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);

    let mut answered = 0;
    while let Some(count) = callers.join_next().await {
        answered += count.unwrap();
    }
    assert!(answered > 0);
}

fn stop_flag() -> std::sync::Arc<std::sync::atomic::AtomicBool> {
    std::sync::Arc::default()
}
