//! Callers of an entry whose drain has ended while calls are in progress.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, chat_request, eventually, streamed_text, token_of};
use http::Method;
use http_body_util::BodyExt;
use lynxmount_standin::{BatchOptions, ReceivedResponse};
use nix::sys::signal::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

const CHAT_PATH: &str = "/v1/chat/completions";

/// The number of tokens of an answer that is not complete when the entry exits.
const ENDLESS_ANSWER_TOKENS: u32 = 100_000;

/// The number of tokens of an answer that is completed after the drain, before the entry exits.
const LONG_ANSWER_TOKENS: u32 = 150;

/// Options with which a drain ends at once, although calls are in progress.
fn short_drain() -> FleetOptions {
    let batch = BatchOptions { step: Duration::from_millis(20), ..BatchOptions::default() };
    FleetOptions {
        entries: 1,
        engines: 1,
        plain_services: 0,
        max_running: 2,
        max_queue_ms: 60_000,
        model_timeout_ms: 60_000,
        drain_timeout_ms: 1,
        header_timeout_ms: 60_000,
        batch,
        ..FleetOptions::default()
    }
}

fn send_chat(fleet: &Fleet, tokens: u32) -> JoinHandle<anyhow::Result<ReceivedResponse>> {
    let caller = fleet.caller(0);
    let body = chat_request("dent", tokens, false);
    tokio::spawn(async move { caller.call(Method::POST, CHAT_PATH, &[], body).await })
}

fn terminate(fleet: &Fleet) {
    fleet.entries[0].as_ref().unwrap().signal(Signal::SIGTERM);
}

/// Waits until the engine runs `count` calls.
async fn wait_until_running(fleet: &Fleet, count: usize) {
    let engine = &fleet.engines[0];
    eventually("the engine runs the calls", async || engine.active_sequences() == count).await;
}

/// Guards against calls whose connections are closed without an answer because the entry exits.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_outlast_the_drain_are_answered_before_the_entry_exits() {
    let mut fleet = Fleet::start(short_drain()).await;
    let body = chat_request("dent", ENDLESS_ANSWER_TOKENS, true);
    let mut stream = fleet.caller(0).open(Method::POST, CHAT_PATH, &[], body).await.unwrap();
    assert!(stream.body_mut().frame().await.unwrap().is_ok());
    let running = send_chat(&fleet, ENDLESS_ANSWER_TOKENS);
    wait_until_running(&fleet, 2).await;
    let queued = send_chat(&fleet, 1);
    // The entry counts a call when it arrives, and again when it is admitted.
    eventually("the entry has queued the call", async || {
        fleet.entry_status(0).await.is_some_and(|status| status.running == 5)
    })
    .await;

    terminate(&fleet);
    let mut text = String::new();
    while let Some(Ok(frame)) = stream.body_mut().frame().await {
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
    }
    let running = running.await.unwrap().expect("an answer to the running call");
    let queued = queued.await.unwrap().expect("an answer to the queued call");
    let code = fleet.entries[0].as_mut().unwrap().exit_code().await;

    assert_eq!((running.status.as_u16(), running.outcome()), (504, "unknown"));
    assert_eq!((queued.status.as_u16(), queued.outcome()), (503, "not-run"));
    assert!(text.contains("\"outcome\":\"unknown\""), "the stream ends with an error event");
    assert!(!streamed_text(&text).1);
    assert_eq!(code, Some(0));
}

/// Guards against connections that the kernel accepts for an entry that no longer reads from them.
#[tokio::test(flavor = "multi_thread")]
async fn connections_are_refused_after_the_drain_while_calls_are_completed() {
    let fleet = Fleet::start(short_drain()).await;
    let running = send_chat(&fleet, LONG_ANSWER_TOKENS);
    wait_until_running(&fleet, 1).await;

    terminate(&fleet);
    let address = fleet.callers_address(0);
    eventually("connections are refused", async || TcpStream::connect(address).await.is_err())
        .await;

    assert!(!running.is_finished(), "the entry has closed its listener before it exits");
    assert_eq!(running.await.unwrap().unwrap().status, 200);
}

/// Guards against connections that are accepted and then closed before their first request is read.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_request_of_an_accepted_connection_is_answered_after_the_drain() {
    let fleet = Fleet::start(short_drain()).await;
    let running = send_chat(&fleet, LONG_ANSWER_TOKENS);
    wait_until_running(&fleet, 1).await;
    let address = fleet.callers_address(0);
    let mut connection = TcpStream::connect(address).await.unwrap();

    terminate(&fleet);
    eventually("the drain has ended", async || TcpStream::connect(address).await.is_err()).await;
    let token = token_of(common::TEAM);
    let request = format!("GET /lm HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\r\n");
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("lynxmount-outcome: not-run"), "{answer}");
    assert_eq!(running.await.unwrap().unwrap().status, 200);
}
