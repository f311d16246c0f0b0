//! What callers get from an entry that was asked to exit.

mod platform_common;

use std::{
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin,
    fixture::{
        CONFIG_KEY, HOST, IDEMPOTENT, NON_IDEMPOTENT, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, STREAM,
        service_of,
    },
};
use nix::sys::signal::Signal;
use platform_common::{
    CONTROL_PORT, Fleet, KEY, Process, allocate_network, config, entry_ip, entry_settings, ip,
    registration, wait_for,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::JoinHandle,
};

/// The longest time after SIGTERM at which callers may expect a request to be served.
const ACCEPT_BOUND: Duration = Duration::from_secs(3);

/// Number of starts that get a signal, as its moment within the start varies.
const STARTS: usize = 5;

/// A stream that takes five seconds, longer than a draining entry takes requests.
const LONG_STREAM: Behaviour = Behaviour::Stream { events: 100, gap: Duration::from_millis(50) };

fn call(id: &str, method: Method, service: &str) -> Call {
    Call {
        id: id.to_owned(),
        method,
        path: format!("/{service}/{id}"),
        key: KEY.to_owned(),
        time_left: Duration::from_secs(8),
        prompt_parts: Vec::new(),
    }
}

/// A configuration whose routes have the timeout that callers have.
fn patient_config(version: u64) -> String {
    config(version, &[KEY]).replace(r#""TimeoutMs":4000"#, r#""TimeoutMs":8000"#)
}

async fn apply_config(fleet: &Fleet, version: usize, text: &str) {
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, text);
    wait_for("the configuration", async || {
        fleet.entry.logged("configuration applied").len() >= version
    })
    .await;
}

async fn start_fleet(service: &str, behaviour: Behaviour) -> Fleet {
    let fleet = Fleet::start(service, &[behaviour]).await;
    apply_config(&fleet, 2, &patient_config(2)).await;
    fleet
}

/// Starts a call and waits until its replica has it.
async fn start_call(fleet: &Fleet, service: &'static str) -> JoinHandle<CallerOutcome> {
    let address = fleet.address();
    let calling = tokio::spawn(async move {
        CallerStandin::new(address).call(&call("long", Method::POST, service)).await
    });
    wait_for("the call", async || fleet.arrivals() == 1).await;
    calling
}

async fn assert_complete(stream: JoinHandle<CallerOutcome>) {
    let outcome = stream.await.expect("task completes");
    let CallerOutcome::Response(response) = outcome else { panic!("no response: {outcome:?}") };
    assert!(response.is_complete, "truncated after {} bytes", response.body.len());
}

/// Checks that a stream of a draining entry is complete, whatever happens meanwhile.
async fn assert_stream_survives(disturb: impl AsyncFnOnce(&Fleet)) {
    let mut fleet = start_fleet(STREAM, LONG_STREAM).await;
    let stream = start_call(&fleet, STREAM).await;
    fleet.entry.signal(Signal::SIGTERM);
    wait_for("the drain", async || !fleet.entry.logged("draining").is_empty()).await;

    disturb(&fleet).await;

    assert_complete(stream).await;
    let exit_status = fleet.entry.child.wait().expect("entry exits");
    assert!(exit_status.success(), "{exit_status}");
}

/// Guards against connections that a draining entry accepts and closes unread.
#[tokio::test]
async fn each_accepted_connection_gets_a_response_during_the_drain() {
    let fleet = start_fleet(STREAM, LONG_STREAM).await;
    let address = fleet.address();
    // Keeps the process alive beyond the moment at which idle connections are closed.
    let long = start_call(&fleet, STREAM).await;

    fleet.entry.signal(Signal::SIGTERM);

    let mut outcomes = Vec::new();
    loop {
        let id = format!("short-{}", outcomes.len());
        let outcome = CallerStandin::new(address).call(&call(&id, Method::GET, IDEMPOTENT)).await;
        if let CallerOutcome::NoConnection = outcome {
            break;
        }
        outcomes.push(outcome);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let unanswered =
        outcomes.iter().filter(|outcome| matches!(outcome, CallerOutcome::NoResponse)).count();
    assert_eq!(unanswered, 0, "of {} calls", outcomes.len());
    assert_complete(long).await;
}

/// Guards against drains that wait for connections whose callers send nothing.
#[tokio::test]
async fn silent_connection_does_not_hold_up_the_drain() {
    let mut fleet = start_fleet(IDEMPOTENT, Behaviour::Answer).await;
    let silent = TcpStream::connect(fleet.address()).expect("connection opens");

    fleet.entry.signal(Signal::SIGTERM);

    let exit_status = fleet.entry.child.wait().expect("entry exits");
    drop(silent);
    assert!(exit_status.success(), "{exit_status}");
    let drained = &fleet.entry.logged("drained")[0]["attributes"];
    assert_eq!(drained["left_over"], "0", "{drained}");
    assert_eq!(drained["unused"], "1", "{drained}");
}

/// Guards against requests that are taken so late that they can't finish: the time to accept them
/// counts from the sending of the signal, and a busy machine handles it later.
#[tokio::test]
async fn no_request_is_served_that_is_sent_after_the_accept_bound() {
    let slow = Behaviour::Echo { delay: Duration::from_secs(5) };
    let fleet = start_fleet(NON_IDEMPOTENT, slow).await;
    let address = fleet.address();
    let long = start_call(&fleet, NON_IDEMPOTENT).await;
    fleet.replicas[0].set_behaviour(Behaviour::Answer);
    let status = async |id: &str| {
        let call = call(id, Method::POST, NON_IDEMPOTENT);
        match CallerStandin::new(address).call(&call).await {
            CallerOutcome::Response(response) => Some(response.status),
            _ => None,
        }
    };
    assert_eq!(status("early").await, Some(StatusCode::OK));

    fleet.entry.signal(Signal::SIGSTOP);
    fleet.entry.signal(Signal::SIGTERM);
    let signaled_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.entry.signal(Signal::SIGCONT);
    tokio::time::sleep_until((signaled_at + ACCEPT_BOUND).into()).await;

    for index in 0..20 {
        let late = status(&format!("late-{index}")).await;
        assert_ne!(late, Some(StatusCode::OK), "at {:?}", signaled_at.elapsed());
    }
    assert_complete(long).await;
}

/// Guards against calls whose connections close without a response at the end of the drain.
#[tokio::test]
async fn call_that_may_have_run_gets_502_at_the_end_of_the_drain() {
    let fleet = start_fleet(NON_IDEMPOTENT, Behaviour::Hang).await;
    let waiting = start_call(&fleet, NON_IDEMPOTENT).await;

    fleet.entry.signal(Signal::SIGTERM);

    let outcome = waiting.await.expect("task completes");
    let CallerOutcome::Response(response) = outcome else { panic!("no response: {outcome:?}") };
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    wait_for("the cancellation", async || fleet.replicas[0].canceled_count() == 1).await;
}

/// Guards against calls that were sent to no endpoint, and are not told so at the end of the drain.
#[tokio::test]
async fn call_that_was_not_sent_gets_503_at_the_end_of_the_drain() {
    let fleet = start_fleet(NON_IDEMPOTENT, Behaviour::Answer).await;
    let mut connection =
        tokio::net::TcpStream::connect(fleet.address()).await.expect("connection opens");
    let path = format!("/{NON_IDEMPOTENT}/1");
    let incomplete = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-credential: {KEY}\r\nx-deadline-ms: 8000\r\n\
         content-length: 2\r\n\r\n{{"
    );
    connection.write_all(incomplete.as_bytes()).await.expect("request is sent");

    fleet.entry.signal(Signal::SIGTERM);

    let mut response = String::new();
    connection.read_to_string(&mut response).await.expect("response is read");
    let response = response.to_ascii_lowercase();
    assert!(response.starts_with("http/1.1 503 "), "{response}");
    assert!(response.contains("\r\nretry-after: "), "{response}");
    assert_eq!(fleet.arrivals(), 0);
}

/// Guards against a process that ends as its operator repeats SIGTERM.
#[tokio::test]
async fn second_sigterm_does_not_cut_a_stream() {
    assert_stream_survives(async |fleet| fleet.entry.signal(Signal::SIGTERM)).await;
}

/// Guards against a draining process that ends by SIGHUP.
#[tokio::test]
async fn sighup_during_the_drain_does_not_cut_a_stream() {
    assert_stream_survives(async |fleet| fleet.entry.signal(Signal::SIGHUP)).await;
}

/// Guards against streams that end with their route while the entry drains.
#[tokio::test]
async fn dropped_route_does_not_cut_a_stream_during_the_drain() {
    let text = patient_config(3)
        .replace(&format!("\"r-{STREAM}\""), "\"r-other\"")
        .replace(&format!("\"/{STREAM}/\""), "\"/other/\"");
    assert_ne!(text, patient_config(3));
    assert_stream_survives(async |fleet| apply_config(fleet, 3, &text).await).await;
}

/// Guards against streams that end with their service while the entry drains.
#[tokio::test]
async fn dropped_service_does_not_cut_a_stream_during_the_drain() {
    let text = patient_config(3).replace(&service_of(STREAM), "other-service");
    assert_ne!(text, patient_config(3));
    assert_stream_survives(async |fleet| apply_config(fleet, 3, &text).await).await;
}

/// Guards against streams that end as their replica begins to drain after their entry.
#[tokio::test]
async fn draining_replica_of_a_draining_entry_finishes_its_stream() {
    assert_stream_survives(async |fleet| {
        let text = registration(&fleet.replicas[0], STREAM, "draining");
        fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &text);
        // The second read from now on starts after the result of the first was applied.
        let reads = fleet.store.request_count_of_topic(REGISTRATIONS_TOPIC);
        wait_for("reads of the registrations", async || {
            fleet.store.request_count_of_topic(REGISTRATIONS_TOPIC) >= reads + 2
        })
        .await;
    })
    .await;
}

/// Starts an entry, and sends it a signal as soon as its first port is bound.
fn signal_at_start(network: u8, signal: Signal) -> Process {
    let own_ip = entry_ip(network, 0);
    // The store is out of reach, as it plays no part in the start.
    let store = SocketAddr::new(ip(network, 250), 9);
    let entry = Process::start("platform-entry", &entry_settings(own_ip, store, &[]));
    let control = SocketAddr::new(own_ip, CONTROL_PORT);
    while TcpStream::connect(control).is_err() {
        std::hint::spin_loop();
    }
    entry.signal(signal);
    entry
}

/// Guards against a process that has bound its ports and ends by a signal before it handles it.
#[test]
fn signals_are_handled_from_the_first_bound_port_on() {
    let entries: Vec<Process> = (0..STARTS)
        .map(|_| {
            let entry = signal_at_start(allocate_network(), Signal::SIGHUP);
            entry.signal(Signal::SIGTERM);
            entry
        })
        .collect();

    for mut entry in entries {
        let exit_status = entry.child.wait().expect("entry exits");
        assert!(exit_status.success(), "{exit_status}");
        assert_eq!(entry.logged("drained").len(), 1);
    }
}
