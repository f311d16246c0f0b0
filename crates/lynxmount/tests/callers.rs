//! The callers' HTTP interface: answers to valid requests and refusals of invalid ones.

mod common;

use std::time::Duration;

use common::{
    Fleet, FleetOptions, OTHER_TEAM, answer_text, chat_request, eventually, streamed_text, token_of,
};
use http::Method;
use http_body_util::BodyExt;
use lynxmount_standin::{BatchOptions, Caller, ReceivedResponse};

const CHAT_PATH: &str = "/v1/chat/completions";

fn assert_refused(answer: &ReceivedResponse, status: u16, reason: &str, case: &str) {
    assert_eq!(answer.status, status, "{case}: {}", answer.body);
    assert_eq!(answer.outcome(), "not-run", "{case}");
    assert_eq!(answer.header("content-type"), "application/problem+json", "{case}");
    assert_eq!(answer.json()["reason"], reason, "{case}");
    assert_eq!(answer.json()["outcome"], "not-run", "{case}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_complete_answers_and_lookups_are_answered() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let caller = fleet.caller(0);

    let streamed =
        caller.call(Method::POST, CHAT_PATH, &[], chat_request("dent", 5, true)).await.unwrap();
    let whole =
        caller.call(Method::POST, CHAT_PATH, &[], chat_request("dent", 5, false)).await.unwrap();
    let headers = [("x-request-id", "mine-7")];
    let lookup = caller.call(Method::GET, "/bookings/7?day=2", &headers, "").await.unwrap();

    assert_eq!(streamed_text(&streamed.body), (answer_text("dent", 5), true));
    let content = &whole.json()["choices"][0]["message"]["content"];
    assert_eq!(content.as_str(), Some(answer_text("dent", 5).as_str()));
    assert_eq!(whole.outcome(), "complete");
    assert_eq!(lookup.json()["path"], "/7?day=2");
    assert_eq!(lookup.header("x-request-id"), "mine-7");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_as_not_run() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let caller = fleet.caller(0);
    let other_team = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    let unauthenticated = Caller::new(fleet.callers_address(0), "guess");
    let large = "x".repeat(5_000);
    let empty_key = [("idempotency-key", "")];
    let seen_before = fleet.engines.iter().map(|e| e.recorded_runs().len()).sum::<usize>();
    let cases = [
        (&unauthenticated, Method::GET, "/bookings/1", "", &[][..], 401, "unauthenticated"),
        (
            &other_team,
            Method::POST,
            CHAT_PATH,
            &chat_request("x", 1, false)[..],
            &[],
            403,
            "team-not-allowed",
        ),
        (&caller, Method::GET, "/nowhere/1", "", &[], 404, "unknown-service"),
        (&caller, Method::GET, "/", "", &[], 404, "unknown-service"),
        (&caller, Method::GET, "/lm/1", "", &[], 404, "unknown-service"),
        (&caller, Method::POST, CHAT_PATH, r#"{"model": "nobody"}"#, &[], 404, "unknown-service"),
        (&caller, Method::POST, CHAT_PATH, r#"{"model": 7}"#, &[], 400, "malformed"),
        (&caller, Method::POST, CHAT_PATH, "not json", &[], 400, "malformed"),
        (&caller, Method::POST, "/bookings/orders", "{}", &[], 400, "missing-key"),
        (&caller, Method::POST, "/bookings/orders", "{}", &empty_key, 400, "malformed"),
        (&caller, Method::POST, "/bookings/notes", &large, &[], 413, "body-too-large"),
        (&caller, Method::POST, CHAT_PATH, &large, &[], 413, "body-too-large"),
    ];

    for (caller, method, path, body, headers, status, reason) in cases {
        let case = format!("{method} {path} {body:.20}");
        let answer = caller.call(method, path, headers, body.to_owned()).await.unwrap();
        assert_refused(&answer, status, reason, &case);
    }

    assert_eq!(fleet.engines.iter().map(|e| e.recorded_runs().len()).sum::<usize>(), seen_before);
    assert!(fleet.plain_services.iter().all(|plain| plain.recorded_calls().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_over_its_limit_gets_a_retry_after() {
    let fleet = Fleet::start(FleetOptions { entries: 1, ..FleetOptions::default() }).await;
    let other_team = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));

    let mut answers = Vec::new();
    for _ in 0..3 {
        answers.push(other_team.call(Method::GET, "/bookings/1", &[], "").await.unwrap());
    }

    assert_eq!(answers[0].status, 200);
    assert_eq!(answers[1].status, 200);
    assert_refused(&answers[2], 429, "over-limit", "the third call");
    assert_eq!(answers[2].header("retry-after"), "1");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_overloaded_service_refuses_new_requests_and_completes_running_ones() {
    let options = FleetOptions {
        entries: 1,
        engines: 0,
        plain_services: 1,
        max_running: 1,
        max_queue_ms: 0,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    let slow = lynxmount_standin::PlainServiceOptions { delay: Duration::from_secs(5) };
    let slow = lynxmount_standin::PlainService::start(fleet.address(0), slow).await.unwrap();
    fleet.plain_services = vec![slow];
    fleet.endpoints[0] = None;
    fleet.endpoints[0] = Some(fleet.spawn_endpoint(0));
    let (first, second) = (fleet.caller(0), fleet.caller(0));
    fleet.wait_until_ready(async || fleet.endpoint_status(0).await).await;
    let running = tokio::spawn(async move {
        loop {
            // The entry has to connect to the new process first.
            let answer = first.call(Method::GET, "/bookings/1", &[], "").await.unwrap();
            if answer.status == 200 {
                return answer;
            }
        }
    });
    eventually("the first call runs", async || fleet.plain_services[0].active_calls() == 1).await;

    let refused = second.call(Method::GET, "/bookings/2", &[], "").await.unwrap();

    assert_refused(&refused, 503, "overload", "the second call");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(fleet.plain_services[0].active_calls(), 1);
    assert_eq!(running.await.unwrap().outcome(), "complete");
}

/// Engine options with which a stream that nobody reads runs on until it is cancelled.
fn long_resume_window() -> BatchOptions {
    let (step, resume_window) = (Duration::from_millis(20), Duration::from_secs(3_600));
    BatchOptions { step, resume_window, ..BatchOptions::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_deadline_is_cancelled_at_the_engine() {
    let options = FleetOptions {
        batch: long_resume_window(),
        model_timeout_ms: 1_000,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await;
    let caller = fleet.caller(0);

    let whole =
        caller.call(Method::POST, CHAT_PATH, &[], chat_request("long story", 100_000, false)).await;

    let whole = whole.unwrap();
    assert_eq!((whole.status.as_u16(), whole.outcome()), (504, "unknown"));
    assert_eq!(whole.json()["reason"], "timed-out");
    eventually("the engine is idle", async || {
        fleet.engines.iter().all(|e| e.active_sequences() == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_disconnects_is_cancelled_at_the_engine() {
    let fleet =
        Fleet::start(FleetOptions { batch: long_resume_window(), ..FleetOptions::default() }).await;
    let caller = fleet.caller(0);
    let body = chat_request("long story", 100_000, true);
    let mut response = caller.open(Method::POST, CHAT_PATH, &[], body).await.unwrap();
    let first = response.body_mut().frame().await;
    assert!(first.is_some_and(|frame| frame.is_ok()));
    assert_eq!(fleet.engines.iter().map(|engine| engine.active_sequences()).sum::<usize>(), 1);

    drop(response);
    drop(caller);

    eventually("the engine is idle", async || {
        fleet.engines.iter().all(|e| e.active_sequences() == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_exceeds_the_idle_timeout_is_refused() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = Fleet::start(FleetOptions::default()).await;
    let mut stream = tokio::net::TcpStream::connect(fleet.callers_address(0)).await.unwrap();
    let token = token_of(common::TEAM);
    let head = format!(
        "POST /bookings/notes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\ncontent-length: 100\r\n\r\nhalf"
    );

    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let length = stream.read(&mut answer).await.unwrap();

    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("the body paused for too long"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_that_are_too_large_or_too_slow_close_the_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = Fleet::start(FleetOptions::default()).await;
    let mut large = tokio::net::TcpStream::connect(fleet.callers_address(0)).await.unwrap();
    let mut slow = tokio::net::TcpStream::connect(fleet.callers_address(0)).await.unwrap();
    let head =
        format!("GET /bookings/1 HTTP/1.1\r\nhost: x\r\nx-fill: {}\r\n\r\n", "x".repeat(20_000));

    large.write_all(head.as_bytes()).await.unwrap();
    slow.write_all(b"GET /bookings/1 HTTP/1.1\r\nhost").await.unwrap();
    let mut response = vec![0; 4_096];
    let length = large.read(&mut response).await.unwrap();
    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).await.unwrap();

    let response = String::from_utf8_lossy(&response[..length]);
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_at_whichever_entry_it_is_repeated() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let key = [("idempotency-key", "order-1")];
    let path = "/bookings/orders";

    let first = fleet.caller(0).call(Method::POST, path, &key, "{}").await.unwrap();
    // An entry that serves requests may not be connected to every endpoint yet; until then it
    // answers that the outcome of the key is unknown.
    eventually("the other entry connects to the endpoint that has run the key", async || {
        let repeated = fleet.caller(1).call(Method::POST, path, &key, "{}").await.unwrap();
        assert!(
            repeated.status == 200 || repeated.body.contains("lost-attempt"),
            "{}",
            repeated.body
        );
        repeated.status == 200
    })
    .await;
    let again = fleet.caller(1).call(Method::POST, path, &key, "{}").await.unwrap();
    let other = fleet.caller(1).call(Method::POST, path, &key, "{\"seats\": 2}").await.unwrap();

    assert_eq!(first.body, again.body);
    assert_eq!((first.status.as_u16(), again.status.as_u16()), (200, 200));
    assert_refused(&other, 422, "key-reused", "the same key with another body");
    let runs: usize = fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_each_get_their_own_answer() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..200_u32 {
        let caller = fleet.caller(number as usize % 2);
        calls.spawn(async move {
            let prompt = format!("caller-{number}");
            let tokens = 1 + number % 20;
            let answer = caller
                .call(Method::POST, CHAT_PATH, &[], chat_request(&prompt, tokens, true))
                .await;
            (prompt, tokens, answer.unwrap())
        });
    }

    while let Some(call) = calls.join_next().await {
        let (prompt, tokens, answer) = call.unwrap();
        let response = format!("{prompt}: {}", answer.body);
        assert_eq!(streamed_text(&answer.body), (answer_text(&prompt, tokens), true), "{response}");
    }
}
