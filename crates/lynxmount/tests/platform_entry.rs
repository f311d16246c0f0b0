//! Behaviour of an entry on the users' platform towards callers and replicas.

mod platform_common;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lynxmount_core::experts::GroupState;
use lynxmount_link::{GROUP_PORT_OFFSET, GroupMembersNotice, GroupMessage, GroupNotice};
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin, StoreMode, StoreStandin,
    fixture::{
        CONFIG_KEY, GroupService, IDEMPOTENT, NON_IDEMPOTENT, OPERATOR_TOPIC, REGISTRATIONS_TOPIC,
        STREAM, TEAM, config_text, registration_text, service_of,
    },
};
use nix::sys::signal::Signal;
use platform_common::{
    Fleet, INTERNAL_PORT, KEY, Process, READINESS_PORT, STORE_PORT, call, config, entry_ip,
    entry_settings, get, ip, registration, wait_for,
};
use tokio::{net::UdpSocket, task::JoinHandle};

fn path(service: &str) -> String {
    format!("/{service}/7")
}

#[tokio::test]
async fn forwarded_lookup_has_the_team_but_not_the_key() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;

    let response =
        call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.signature.as_deref(), Some("i-0"));
    assert_eq!(response.body.as_deref(), Some(b"answer of i-0".as_slice()));
    let seen = &fleet.replicas[0].requests()[0];
    assert_eq!(seen.request_line, format!("GET {} HTTP/1.1", path(IDEMPOTENT)));
    assert_eq!(seen.header("x-tenant"), Some(TEAM));
    assert_eq!(seen.header("x-credential"), None);
    assert_eq!(seen.header("x-expect-instance"), Some("i-0"));
    assert_eq!(seen.header("x-attempt-id"), Some("attempt-1"));
    assert_eq!(seen.body, b"{}");
    let left_ms: u64 = seen.header("x-deadline-ms").expect("time left").parse().expect("a number");
    assert!(left_ms <= 3000 && left_ms > 1500, "{left_ms} ms left");
}

#[tokio::test]
async fn unknown_keys_and_routes_are_rejected() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;

    let unknown_key = call(fleet.address(), Method::GET, &path(IDEMPOTENT), "no-key").await;
    let unknown_route = call(fleet.address(), Method::GET, "/nowhere/7", KEY).await;

    assert_eq!(unknown_key.expect("response").status, StatusCode::UNAUTHORIZED);
    assert_eq!(unknown_route.expect("response").status, StatusCode::NOT_FOUND);
    assert_eq!(fleet.arrivals(), 0);
}

#[tokio::test]
async fn entry_without_configuration_refuses_with_retry_after() {
    let fleet = Fleet::start_unready(IDEMPOTENT, &[Behaviour::Answer]).await;
    fleet.store.set_mode(StoreMode::Silent);
    let own_ip = entry_ip(fleet.network, 1);
    let _entry =
        Process::start("platform-entry", &entry_settings(own_ip, fleet.store.address(), &[]));
    wait_for("its port", async || get((own_ip, READINESS_PORT).into(), "/x").await.is_some()).await;

    let address = (own_ip, platform_common::CALLERS_PORT).into();
    let response = call(address, Method::GET, &path(IDEMPOTENT), KEY).await.expect("response");
    let ready = get((own_ip, READINESS_PORT).into(), "/lynxmount/readyz").await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        response.retry_after_s.is_some_and(|after_s| (0.5..1.0).contains(&after_s)),
        "{response:?}"
    );
    assert_eq!(ready, Some(StatusCode::SERVICE_UNAVAILABLE));
}

#[tokio::test]
async fn new_entry_pulls_fleet_from_peer_while_store_rejects_it() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    fleet.store.set_mode(StoreMode::Busy);
    let own_ip = entry_ip(fleet.network, 1);
    let seeds = [entry_ip(fleet.network, 0)];
    let settings = entry_settings(own_ip, fleet.store.address(), &seeds);

    let _entry = Process::start("platform-entry", &settings);

    fleet.wait_until_ready(own_ip).await;
    let address = (own_ip, platform_common::CALLERS_PORT).into();
    let response = call(address, Method::GET, &path(IDEMPOTENT), KEY).await.expect("response");
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against lookups that are refused as long as another writer's registration names the
/// address of their only endpoint.
#[tokio::test]
async fn registration_of_an_unknown_service_takes_no_endpoint_out_of_service() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let foreign = registration_text(fleet.replicas[0].address, "unknown", "ready");

    fleet.store.put(REGISTRATIONS_TOPIC, "z-foreign", &foreign);
    let reads_before = fleet.store.request_count();
    wait_for("two reads", async || fleet.store.request_count() >= reads_before + 4).await;

    let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;
    assert_eq!(response.expect("response").status, StatusCode::OK);
}

#[tokio::test]
async fn lost_response_of_non_idempotent_request_is_not_retried() {
    let fleet = Fleet::start(NON_IDEMPOTENT, &[Behaviour::Reset, Behaviour::Reset]).await;

    let response =
        call(fleet.address(), Method::POST, &path(NON_IDEMPOTENT), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fleet.arrivals(), 1);
}

#[tokio::test]
async fn lookup_with_lost_response_is_retried_at_another_replica() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Reset, Behaviour::Answer]).await;

    for _ in 0..4 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;

        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn request_that_a_replica_sheds_is_refused_with_retry_after() {
    let fleet = Fleet::start(NON_IDEMPOTENT, &[Behaviour::Shed]).await;

    let response =
        call(fleet.address(), Method::POST, &path(NON_IDEMPOTENT), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after_s.is_some(), "{response:?}");
    assert_eq!(response.signature, None);
}

#[tokio::test]
async fn truncated_response_is_never_delivered_as_success() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Truncate, Behaviour::Truncate]).await;

    let response =
        call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn failure_response_is_delivered_if_its_retry_is_lost() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Fail, Behaviour::Reset]).await;

    // The entry starts with each replica in turn.
    for _ in 0..2 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;

        let response = response.expect("response");
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(response.signature.as_deref(), Some("i-0"));
    }
}

#[tokio::test]
async fn stream_that_breaks_before_its_first_event_is_finished_once() {
    let cut = Behaviour::StreamCut { complete_events: 0, resumed_events: 0 };
    let stream = Behaviour::Stream { events: 3, gap: Duration::from_millis(5) };
    let fleet = Fleet::start(STREAM, &[cut, stream]).await;

    // The entry starts with each replica in turn.
    for _ in 0..2 {
        let response = call(fleet.address(), Method::POST, &path(STREAM), KEY).await;

        assert_eq!(response.expect("response").body.as_deref(), Some(events(1..=3).as_bytes()));
    }
    wait_for("both log records", async || fleet.entry.logged("call finished").len() >= 2).await;
    let outcomes = fleet
        .entry
        .logged("call finished")
        .into_iter()
        .map(|record| record["attributes"]["outcome"].clone());
    assert_eq!(outcomes.collect::<Vec<_>>(), ["complete", "complete"]);
}

#[tokio::test]
async fn surplus_response_is_not_delivered_to_another_request() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::AnswerTwice]).await;

    for _ in 0..6 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;

        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn request_is_retried_if_another_instance_has_the_address() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::OtherInstance, Behaviour::Answer]).await;

    for _ in 0..3 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;

        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn failure_response_of_a_replica_is_forwarded_with_its_signature() {
    let fleet = Fleet::start(NON_IDEMPOTENT, &[Behaviour::Fail]).await;

    let response =
        call(fleet.address(), Method::POST, &path(NON_IDEMPOTENT), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(response.signature.as_deref(), Some("i-0"));
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

#[tokio::test]
async fn stream_events_arrive_complete_and_in_order() {
    let stream = Behaviour::Stream { events: 20, gap: Duration::from_millis(5) };
    let fleet = Fleet::start(STREAM, &[stream]).await;

    let response = call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body.as_deref(), Some(events(1..=20).as_bytes()));
}

#[tokio::test]
async fn broken_stream_is_resumed_at_another_replica_after_its_last_event() {
    let cut = Behaviour::StreamCut { complete_events: 4, resumed_events: 9 };
    let fleet = Fleet::start(STREAM, &[cut.clone(), cut]).await;

    let response = call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("response");

    assert_eq!(response.body.as_deref(), Some(events(1..=9).as_bytes()));
    let resumed = fleet.replicas.iter().flat_map(|replica| replica.requests());
    assert!(resumed.into_iter().any(|seen| seen.header("last-event-id") == Some("4")));
}

/// Guards against a stream that ends as complete without an event which came in one read with bytes
/// that are none, as its resumption begins behind that event.
#[tokio::test]
async fn event_that_comes_with_bytes_that_are_none_is_delivered() {
    for events_before in [1, 4, 9] {
        let spoiled = Behaviour::StreamSpoiled { events: events_before, resumed_events: 9 };
        let fleet = Fleet::start(STREAM, &[spoiled.clone(), spoiled]).await;

        let response =
            call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("response");

        assert_eq!(response.body.as_deref(), Some(events(1..=9).as_bytes()), "{events_before}");
    }
}

/// A stream without length or chunks that ends after an event is complete.
#[tokio::test]
async fn stream_that_ends_with_its_connection_is_complete() {
    let stream = Behaviour::StreamUntilClose { events: 3, is_cut: false, resumed_events: 0 };
    let fleet = Fleet::start(STREAM, &[stream]).await;

    for _ in 0..2 {
        let response = call(fleet.address(), Method::POST, &path(STREAM), KEY).await;

        assert_eq!(response.expect("response").body.as_deref(), Some(events(1..=3).as_bytes()));
    }
}

/// Guards against a stream that passes for complete although its connection ended inside an event.
#[tokio::test]
async fn stream_whose_connection_ends_inside_an_event_is_resumed_elsewhere() {
    let cut = Behaviour::StreamUntilClose { events: 4, is_cut: true, resumed_events: 9 };
    let fleet = Fleet::start(STREAM, &[cut.clone(), cut]).await;

    let response = call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("response");

    assert_eq!(response.body.as_deref(), Some(events(1..=9).as_bytes()));
}

/// The same stream where no other endpoint is left.
#[tokio::test]
async fn stream_whose_connection_ends_inside_an_event_is_truncated_if_it_is_not_resumed() {
    let cut = Behaviour::StreamUntilClose { events: 4, is_cut: true, resumed_events: 0 };
    let fleet = Fleet::start(STREAM, &[cut]).await;

    let response =
        call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("response head");

    assert_eq!(response.body, None);
}

#[tokio::test]
async fn broken_stream_that_cannot_be_resumed_is_truncated() {
    let cut = Behaviour::StreamCut { complete_events: 4, resumed_events: 0 };
    let fleet = Fleet::start(STREAM, &[cut]).await;

    let response =
        call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("response head");

    assert_eq!(response.body, None);
}

#[tokio::test]
async fn replica_request_is_canceled_when_the_caller_disconnects() {
    let fleet = Fleet::start(NON_IDEMPOTENT, &[Behaviour::Hang]).await;
    let address = fleet.address();
    let caller =
        tokio::spawn(async move { call(address, Method::POST, &path(NON_IDEMPOTENT), KEY).await });
    wait_for("the request", async || fleet.arrivals() == 1).await;

    caller.abort();

    wait_for("the cancellation", async || fleet.replicas[0].canceled_count() == 1).await;
}

#[tokio::test]
async fn only_newer_configuration_versions_are_applied() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let status = async |key: &str| {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), key).await;
        response.expect("response").status
    };

    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(9, &["other-key"]));
    wait_for("the new key", async || status("other-key").await == StatusCode::OK).await;
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(3, &[KEY]));
    fleet.store.compact(OPERATOR_TOPIC);
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(12, &["third-key"]));
    wait_for("the third key", async || status("third-key").await == StatusCode::OK).await;

    assert_eq!(status(KEY).await, StatusCode::UNAUTHORIZED);
    assert_eq!(status("other-key").await, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn entry_serves_with_its_last_state_while_store_is_silent() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    fleet.store.set_mode(StoreMode::Silent);

    for _ in 0..5 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;

        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn draining_replica_gets_no_more_requests() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer, Behaviour::Answer]).await;
    let draining = &fleet.replicas[0];
    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &registration(draining, IDEMPOTENT, "draining"));
    let calls_before = fleet.store.request_count();
    wait_for("two reads", async || fleet.store.request_count() >= calls_before + 4).await;
    let seen_before = draining.requests().len();

    for _ in 0..6 {
        call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await.expect("response");
    }

    assert_eq!(draining.requests().len(), seen_before);
}

/// Checks that an entry without access to the store learns from a peer that a replica drains.
///
/// A second store with the same log stands for a store that only this entry can't reach.
async fn assert_draining_is_learned_from_peer(mode: StoreMode) {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer, Behaviour::Answer]).await;
    let address = (ip(fleet.network, 251), STORE_PORT).into();
    let other_store = StoreStandin::start(address).await.expect("store starts");
    other_store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(1, &[KEY]));
    for (index, replica) in fleet.replicas.iter().enumerate() {
        let text = registration(replica, IDEMPOTENT, "ready");
        other_store.put(REGISTRATIONS_TOPIC, &format!("i-{index}"), &text);
    }
    let own_ip = entry_ip(fleet.network, 1);
    let settings = entry_settings(own_ip, other_store.address(), &[entry_ip(fleet.network, 0)]);
    let _isolated = Process::start("platform-entry", &settings);
    fleet.wait_until_ready(own_ip).await;

    other_store.set_mode(mode);
    let draining = &fleet.replicas[0];
    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &registration(draining, IDEMPOTENT, "draining"));

    let address = (own_ip, platform_common::CALLERS_PORT).into();
    wait_for("the draining replica to get no requests", async || {
        let before = draining.requests().len();
        for _ in 0..6 {
            call(address, Method::GET, &path(IDEMPOTENT), KEY).await.expect("response");
        }
        draining.requests().len() == before
    })
    .await;
}

#[tokio::test]
async fn entry_that_the_store_rejects_learns_draining_replicas_from_peers() {
    assert_draining_is_learned_from_peer(StoreMode::Busy).await;
}

#[tokio::test]
async fn entry_without_response_from_the_store_learns_draining_replicas_from_peers() {
    assert_draining_is_learned_from_peer(StoreMode::Silent).await;
}

#[tokio::test]
async fn draining_entry_finishes_its_streams_and_is_not_ready() {
    let stream = Behaviour::Stream { events: 30, gap: Duration::from_millis(50) };
    let mut fleet = Fleet::start(STREAM, &[stream]).await;
    let address = fleet.address();
    let caller = tokio::spawn(async move { call(address, Method::POST, &path(STREAM), KEY).await });
    wait_for("the stream", async || fleet.arrivals() == 1).await;

    fleet.entry.signal(Signal::SIGTERM);

    let readiness = (entry_ip(fleet.network, 0), READINESS_PORT).into();
    wait_for("not ready", async || {
        get(readiness, "/lynxmount/readyz").await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let response = caller.await.expect("task completes").expect("response");
    assert_eq!(response.body.as_deref(), Some(events(1..=30).as_bytes()));
    let exit_status = fleet.entry.child.wait().expect("entry exits");
    assert!(exit_status.success(), "{exit_status}");
}

/// Guards against a process that exits before its log is flushed: the last record counts the
/// connections that were still open.
#[tokio::test]
async fn last_log_record_of_draining_entry_is_written() {
    let mut fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;

    fleet.entry.signal(Signal::SIGTERM);
    let exit_status = fleet.entry.child.wait().expect("entry exits");

    assert!(exit_status.success(), "{exit_status}");
    assert_eq!(fleet.entry.logged("drained").len(), 1);
}

#[tokio::test]
async fn request_times_out_at_its_deadline() {
    let fleet = Fleet::start(NON_IDEMPOTENT, &[Behaviour::Hang]).await;
    let sent_at = Instant::now();

    let response =
        call(fleet.address(), Method::POST, &path(NON_IDEMPOTENT), KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(sent_at.elapsed() >= Duration::from_millis(2900), "{:?}", sent_at.elapsed());
}

#[tokio::test]
async fn settings_errors_name_file_line_and_field() {
    for (settings, expected) in [
        ("NodeName=n\nIp=nowhere\n", "local.conf:2"),
        ("NodeName=n\nIp=127.0.0.1\n", "Zone is missing"),
        ("NodeName\n", "local.conf:1"),
    ] {
        let directory = tempfile::TempDir::new().expect("temporary directory is created");
        let file = directory.path().join("local.conf");
        std::fs::write(&file, settings).expect("settings are written");

        let output = std::process::Command::new(env!("CARGO_BIN_EXE_lynxmount"))
            .args(["platform-entry", "--settings"])
            .arg(&file)
            .output()
            .expect("process runs");

        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains(expected), "{stderr}");
    }
}

/// Sends an entry periodic notices of the group that a fleet's replicas form.
fn notify_periodically(fleet: &Fleet, state: &Arc<Mutex<GroupState>>) -> JoinHandle<()> {
    let (network, state) = (fleet.network, Arc::clone(state));
    let engines = fleet.replicas.iter().map(|replica| replica.address).collect::<Vec<_>>();
    let entry = SocketAddr::new(entry_ip(network, 0), INTERNAL_PORT + GROUP_PORT_OFFSET);
    tokio::spawn(async move {
        let socket = UdpSocket::bind((ip(network, 200), 0)).await.expect("socket is bound");
        loop {
            let members = GroupMembersNotice { group: "g".to_owned(), engines: engines.clone() };
            let state = *state.lock().expect("lock is not poisoned");
            let notice = GroupNotice { group: "g".to_owned(), state, pass_time: None };
            for message in [GroupMessage::Members(members), GroupMessage::Notice(notice)] {
                let datagram = message.encode().expect("notice is encoded");
                socket.send_to(&datagram, entry).await.expect("notice is sent");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

/// A fleet whose replicas are ranks of one group, with the entry notified of the group's state.
async fn start_group(state: &Arc<Mutex<GroupState>>) -> Fleet {
    let stream = Behaviour::Stream { events: 3, gap: Duration::ZERO };
    let behaviours = [stream.clone(), stream];
    let fleet = Fleet::start(STREAM, &behaviours).await;
    let service = service_of(STREAM);
    let group = GroupService { service: &service, experts: 8 };
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(2, &[KEY], Some(group)));
    wait_for("the configuration", async || fleet.entry.logged("configuration applied").len() >= 2)
        .await;
    notify_periodically(&fleet, state);
    wait_for("the group's state", async || !fleet.entry.logged("group state received").is_empty())
        .await;
    fleet
}

fn stream_call(time_left: Duration) -> Call {
    Call {
        id: "attempt-1".to_owned(),
        method: Method::POST,
        path: path(STREAM),
        key: KEY.to_owned(),
        time_left,
        prompt_parts: Vec::new(),
    }
}

#[tokio::test]
async fn call_waits_for_a_group_that_opens_in_time_and_is_sent_once() {
    let state = Arc::new(Mutex::new(GroupState::Down));
    let fleet = start_group(&state).await;
    // The rest of the group's usual outage is then shorter than half of the call's time.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let mut caller = CallerStandin::new(fleet.address());
    let calling =
        tokio::spawn(async move { caller.call(&stream_call(Duration::from_secs(8))).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = fleet.arrivals();

    *state.lock().expect("lock is not poisoned") = GroupState::Serving;

    let CallerOutcome::Response(response) = calling.await.expect("task completes") else {
        panic!("no response")
    };
    assert_eq!((before, response.status), (0, StatusCode::OK));
    assert_eq!(fleet.arrivals(), 1);
}

#[tokio::test]
async fn call_with_too_little_time_for_a_group_to_open_is_refused_at_once() {
    let state = Arc::new(Mutex::new(GroupState::Down));
    let fleet = start_group(&state).await;
    let mut caller = CallerStandin::new(fleet.address());

    let result = caller.call(&stream_call(Duration::from_millis(1500))).await;

    let CallerOutcome::Response(response) = result else { panic!("no response") };
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after_s.is_some_and(|after_s| after_s > 0.0));
    assert_eq!(fleet.arrivals(), 0);
    wait_for("the log record", async || fleet.entry.logged("call refused").len() == 1).await;
}

/// Guards against calls that are sent to a stalled group and run after their callers have
/// disconnected.
#[tokio::test]
async fn call_to_a_blocked_group_is_refused_at_once() {
    let state = Arc::new(Mutex::new(GroupState::Blocked));
    let fleet = start_group(&state).await;
    let mut caller = CallerStandin::new(fleet.address());

    let refused = caller.call(&stream_call(Duration::from_secs(8))).await;
    let arrivals_before = fleet.arrivals();
    *state.lock().expect("lock is not poisoned") = GroupState::Serving;
    wait_for("the group to serve", async || fleet.entry.logged("group state received").len() == 2)
        .await;
    let served = caller.call(&stream_call(Duration::from_secs(8))).await;

    let CallerOutcome::Response(refused) = refused else { panic!("no response") };
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after_s.is_some_and(|after_s| after_s > 0.0));
    assert_eq!(arrivals_before, 0);
    let CallerOutcome::Response(served) = served else { panic!("no response") };
    assert_eq!(served.status, StatusCode::OK);
}

#[tokio::test]
async fn unreadable_registrations_are_ignored() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let text = r#"{"Service":"lookup-service","Address":"127.0.0.1:1","Zone":"z","Slots":"all"}"#;
    fleet.store.put(REGISTRATIONS_TOPIC, "i-other", text);
    fleet.store.put(REGISTRATIONS_TOPIC, "i-unread", "\u{0}\u{1}[");
    wait_for("both log records", async || {
        let lines = fleet.entry.logged("unreadable record");
        lines.iter().filter(|line| line["attributes"]["topic"] == REGISTRATIONS_TOPIC).count() >= 2
    })
    .await;

    for _ in 0..4 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;
        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn replica_restarted_under_the_same_id_gets_calls() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let again = registration(&fleet.replicas[0], IDEMPOTENT, "ready").replacen(
        '{',
        r#"{"born":1780000000000,"#,
        1,
    );

    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &again);

    for _ in 0..4 {
        let response = call(fleet.address(), Method::GET, &path(IDEMPOTENT), KEY).await;
        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
    assert_eq!(fleet.arrivals(), 4);
}

#[tokio::test]
async fn stream_does_not_reuse_a_connection_of_a_silent_endpoint() {
    let fleet = Fleet::start(STREAM, &[Behaviour::Stream { events: 2, gap: Duration::ZERO }]).await;

    for _ in 0..3 {
        let response = call(fleet.address(), Method::POST, &path(STREAM), KEY).await;
        assert_eq!(response.expect("response").status, StatusCode::OK);
        // After this pause, the entry does not know whether the endpoint's machine still runs.
        tokio::time::sleep(Duration::from_millis(400)).await;
    }

    assert_eq!(fleet.replicas[0].connection_count(), 3);
}

#[tokio::test]
async fn non_resumable_stream_is_not_canceled_on_a_stall() {
    let steady = Behaviour::Stream { events: 45, gap: Duration::from_millis(60) };
    let halting = Behaviour::Stream { events: 2, gap: Duration::from_millis(1300) };
    let fleet = Fleet::start(STREAM, &[steady, halting]).await;
    let text = config(2, &[KEY]).replace(r#""Resumable":true"#, r#""Resumable":false"#);
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
    wait_for("the configuration", async || fleet.entry.logged("configuration applied").len() >= 2)
        .await;

    let calls = [(); 2].map(async |()| {
        CallerStandin::new(fleet.address()).call(&stream_call(Duration::from_secs(4))).await
    });
    let responses = futures::future::join_all(calls).await;

    for result in responses {
        let CallerOutcome::Response(response) = result else { panic!("no response") };
        assert_eq!(response.status, StatusCode::OK);
        assert!(response.is_complete, "the stream was truncated");
    }
    assert!(fleet.replicas.iter().all(|replica| replica.requests().len() == 1));
}

/// Guards against calls that wait at a frozen endpoint until their callers disconnect, and run
/// there once it thaws.
#[tokio::test]
async fn stream_is_rerouted_from_an_endpoint_that_stalls_before_its_first_event() {
    let steady = Behaviour::Stream { events: 40, gap: Duration::from_millis(60) };
    let fleet = Fleet::start(STREAM, &[steady, Behaviour::Hang]).await;

    let path = path(STREAM);
    let calls = [(); 2].map(|()| call(fleet.address(), Method::POST, &path, KEY));
    let responses = futures::future::join_all(calls).await;

    for response in responses {
        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
    assert_eq!(fleet.replicas[1].requests().len(), 1);
    assert_eq!(fleet.entry.logged("attempt rerouted").len(), 1);
}

/// Guards against calls that are sent to a frozen endpoint for as long as it is registered.
#[tokio::test]
async fn stalled_endpoint_gets_no_new_streams_while_its_group_makes_progress() {
    let steady = Behaviour::Stream { events: 40, gap: Duration::from_millis(60) };
    let fleet = Fleet::start(STREAM, &[steady.clone(), steady, Behaviour::Hang]).await;
    let path = path(STREAM);
    let stream = || call(fleet.address(), Method::POST, &path, KEY);
    let first = futures::future::join_all([(); 3].map(|()| stream()));
    let later = async {
        // Longer than the silence after which an endpoint is suspect.
        tokio::time::sleep(Duration::from_millis(600)).await;
        futures::future::join_all([(); 4].map(|()| stream())).await
    };

    let (first, later) = futures::join!(first, later);

    for response in first.into_iter().chain(later) {
        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
    assert_eq!(fleet.replicas[2].requests().len(), 1);
}

/// How long callers of [`start_with_idle_timeout`] wait for the next event of a stream: four times
/// the latency objective.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts a fleet whose callers disconnect after [`CALLER_IDLE_TIMEOUT`] without an event.
async fn start_with_idle_timeout(behaviours: &[Behaviour]) -> Fleet {
    let fleet = Fleet::start(STREAM, behaviours).await;
    let goal = format!(r#""GoalMs":{}"#, (CALLER_IDLE_TIMEOUT / 4).as_millis());
    let text = config(2, &[KEY]).replace(r#""GoalMs":500"#, &goal);
    let text = text.replace(r#""TimeoutMs":4000"#, r#""TimeoutMs":8000"#);
    assert!(text.contains(&goal), "{text}");
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
    wait_for("the configuration", async || fleet.entry.logged("configuration applied").len() >= 2)
        .await;
    fleet
}

/// Sends a stream call whose caller disconnects if the call has not ended within
/// [`CALLER_IDLE_TIMEOUT`]; `None` if it did.
async fn call_with_timeout(fleet: &Fleet) -> Option<CallerOutcome> {
    let mut caller = CallerStandin::new(fleet.address());
    let call = stream_call(Duration::from_secs(8));
    tokio::time::timeout(CALLER_IDLE_TIMEOUT, caller.call(&call)).await.ok()
}

/// Sends a call as [`call_with_timeout`] does, while its replica streams to others.
async fn call_beside_streams(fleet: &Fleet) -> Option<CallerOutcome> {
    let address = fleet.address();
    let others = async {
        wait_for("the call", async || fleet.arrivals() == 1).await;
        fleet.replicas[0]
            .set_behaviour(Behaviour::Stream { events: 3, gap: Duration::from_millis(20) });
        loop {
            call(address, Method::POST, &format!("/{STREAM}/2"), KEY).await;
        }
    };
    tokio::select! {
        result = call_with_timeout(fleet) => result,
        () = others => unreachable!("the loop of other calls does not end"),
    }
}

/// Guards against calls that wait in a stalled group until their callers disconnect, and run there
/// afterwards.
#[tokio::test]
async fn call_at_a_silent_group_is_answered_before_its_caller_disconnects() {
    let fleet = start_with_idle_timeout(&[Behaviour::Hang, Behaviour::Hang]).await;

    let result = call_with_timeout(&fleet).await;

    let Some(CallerOutcome::Response(response)) = result else {
        panic!("the caller disconnected: {result:?}")
    };
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(response.retry_after_s.is_some_and(|after_s| after_s > 0.0), "{response:?}");
    assert_eq!(fleet.arrivals(), 1);
}

/// Guards against calls that hang until their callers disconnect, at an endpoint that answers
/// other calls.
#[tokio::test]
async fn call_that_hangs_at_a_live_endpoint_is_answered_before_its_caller_disconnects() {
    let fleet = start_with_idle_timeout(&[Behaviour::Hang]).await;

    let result = call_beside_streams(&fleet).await;

    let Some(CallerOutcome::Response(response)) = result else {
        panic!("the caller disconnected: {result:?}")
    };
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(response.retry_after_s.is_some_and(|after_s| after_s > 0.0), "{response:?}");
}

/// Guards against calls that hang behind a response head until their callers disconnect, at an endpoint
/// that sends events of other streams.
#[tokio::test]
async fn stream_without_an_event_is_answered_before_its_caller_disconnects() {
    let fleet = start_with_idle_timeout(&[Behaviour::StreamHang { events: 0 }]).await;

    let result = call_beside_streams(&fleet).await;

    let Some(CallerOutcome::Response(response)) = result else {
        panic!("the caller disconnected: {result:?}")
    };
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
}

/// Guards against streams that are ended because their endpoint is silent, and against work that
/// goes on after their callers have left.
#[tokio::test]
async fn stalled_stream_goes_on_until_its_caller_disconnects_and_is_canceled_then() {
    let hanging = Behaviour::StreamHang { events: 3 };
    let fleet = start_with_idle_timeout(&[hanging.clone(), hanging]).await;

    let result = CallerStandin::new(fleet.address())
        .call_with_idle_timeout(&stream_call(Duration::from_secs(8)), CALLER_IDLE_TIMEOUT)
        .await;

    let CallerOutcome::Abandoned(received) = result else {
        panic!("the stream ended before its caller left: {result:?}")
    };
    assert_eq!(received, events(1..=3).as_bytes());
    wait_for("the cancellation", async || {
        fleet.replicas.iter().map(|replica| replica.canceled_count()).sum::<u32>() == 1
    })
    .await;
    let outcomes = fleet.entry.logged("call finished");
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0]["attributes"]["outcome"], "canceled by caller");
}
