//! What callers get from an entry that was asked to exit.

mod platform_common;

use std::{net::TcpStream, time::Duration};

use http::Method;
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin,
    fixture::{CONFIG_KEY, IDEMPOTENT, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, STREAM, service_of},
};
use nix::sys::signal::Signal;
use platform_common::{Fleet, KEY, config, registration, wait_for};
use tokio::task::JoinHandle;

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
