//! The entry on the users' platform, as callers and replicas see it.

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
    Behaviour, Call, CallerStandin, StoreMode, StoreStandin, Told,
    fixture::{
        CONFIG_KEY, GroupText, ONCE, OPERATOR_TOPIC, PLAIN, REGISTRATIONS_TOPIC, STREAM, TEAM,
        config_text, service_of,
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
async fn a_lookup_reaches_a_replica_with_the_team_and_without_the_key() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;

    let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.signature.as_deref(), Some("i-0"));
    assert_eq!(answer.body.as_deref(), Some(b"answer of i-0".as_slice()));
    let seen = &fleet.replicas[0].seen()[0];
    assert_eq!(seen.line, format!("GET {} HTTP/1.1", path(PLAIN)));
    assert_eq!(seen.header("x-tenant"), Some(TEAM));
    assert_eq!(seen.header("x-credential"), None);
    assert_eq!(seen.header("x-expect-instance"), Some("i-0"));
    assert_eq!(seen.header("x-attempt-id"), Some("attempt-1"));
    assert_eq!(seen.body, b"{}");
    let left_ms: u64 = seen.header("x-deadline-ms").expect("time left").parse().expect("a number");
    assert!(left_ms <= 3000 && left_ms > 1500, "{left_ms} ms are left");
}

#[tokio::test]
async fn unknown_keys_and_routes_are_told_so() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;

    let unknown_key = call(fleet.address(), Method::GET, &path(PLAIN), "no-key").await;
    let unknown_route = call(fleet.address(), Method::GET, "/nowhere/7", KEY).await;

    assert_eq!(unknown_key.expect("an answer").status, StatusCode::UNAUTHORIZED);
    assert_eq!(unknown_route.expect("an answer").status, StatusCode::NOT_FOUND);
    assert_eq!(fleet.arrivals(), 0);
}

#[tokio::test]
async fn a_fresh_entry_without_a_configuration_refuses_and_says_when_to_come_back() {
    let fleet = Fleet::start_unready(PLAIN, &[Behaviour::Answer]).await;
    fleet.store.set_mode(StoreMode::Silent);
    let own = entry_ip(fleet.network, 1);
    let _entry = Process::start("platform-entry", &entry_settings(own, fleet.store.address(), &[]));
    wait_for("the port", async || get((own, READINESS_PORT).into(), "/x").await.is_some()).await;

    let address = (own, platform_common::CALLERS_PORT).into();
    let answer = call(address, Method::GET, &path(PLAIN), KEY).await.expect("an answer");
    let ready = get((own, READINESS_PORT).into(), "/lynxmount/readyz").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.retry_after.is_some_and(|after| (0.5..1.0).contains(&after)), "{answer:?}");
    assert_eq!(ready, Some(StatusCode::SERVICE_UNAVAILABLE));
}

#[tokio::test]
async fn a_fresh_entry_learns_from_a_peer_while_the_store_turns_it_away() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    fleet.store.set_mode(StoreMode::Busy);
    let own = entry_ip(fleet.network, 1);
    let seeds = [entry_ip(fleet.network, 0)];
    let settings = entry_settings(own, fleet.store.address(), &seeds);

    let _entry = Process::start("platform-entry", &settings);

    fleet.wait_until_ready(own).await;
    let address = (own, platform_common::CALLERS_PORT).into();
    let answer = call(address, Method::GET, &path(PLAIN), KEY).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_lost_answer_to_what_may_run_once_is_no_refusal_and_no_second_run() {
    let fleet = Fleet::start(ONCE, &[Behaviour::Reset, Behaviour::Reset]).await;

    let answer = call(fleet.address(), Method::POST, &path(ONCE), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fleet.arrivals(), 1);
}

#[tokio::test]
async fn a_lost_answer_to_a_lookup_is_asked_of_another_replica() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Reset, Behaviour::Answer]).await;

    for _ in 0..4 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;

        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn what_a_replica_did_not_run_is_refused_with_a_time_to_come_back() {
    let fleet = Fleet::start(ONCE, &[Behaviour::Shed]).await;

    let answer = call(fleet.address(), Method::POST, &path(ONCE), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert_eq!(answer.signature, None);
}

#[tokio::test]
async fn a_truncated_answer_is_never_delivered_as_a_success() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Truncate, Behaviour::Truncate]).await;

    let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn a_failure_that_is_there_is_delivered_when_its_repeat_is_lost() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Fail, Behaviour::Reset]).await;

    // The replicas take turns in being asked first.
    for _ in 0..2 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;

        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(answer.signature.as_deref(), Some("i-0"));
    }
}

#[tokio::test]
async fn a_stream_that_fails_before_its_first_event_is_finished_once() {
    let cut = Behaviour::StreamCut { after: 0, resumed: 0 };
    let stream = Behaviour::Stream { events: 3, pause: Duration::from_millis(5) };
    let fleet = Fleet::start(STREAM, &[cut, stream]).await;

    // The replicas take turns in being asked first.
    for _ in 0..2 {
        let answer = call(fleet.address(), Method::POST, &path(STREAM), KEY).await;

        assert_eq!(answer.expect("an answer").body.as_deref(), Some(events(1..=3).as_bytes()));
    }
    wait_for("both lines", async || fleet.entry.logged("finished").len() >= 2).await;
    let outcomes = fleet
        .entry
        .logged("finished")
        .into_iter()
        .map(|line| line["attributes"]["outcome"].clone());
    assert_eq!(outcomes.collect::<Vec<_>>(), ["complete", "complete"]);
}

#[tokio::test]
async fn a_second_answer_belongs_to_no_other_request() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::AnswerTwice]).await;

    for _ in 0..6 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;

        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn another_instance_at_the_address_costs_one_attempt() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::OtherInstance, Behaviour::Answer]).await;

    for _ in 0..3 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;

        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_replicas_failure_is_passed_on_with_its_signature() {
    let fleet = Fleet::start(ONCE, &[Behaviour::Fail]).await;

    let answer = call(fleet.address(), Method::POST, &path(ONCE), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.signature.as_deref(), Some("i-0"));
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

#[tokio::test]
async fn a_streams_events_arrive_whole_and_in_order() {
    let stream = Behaviour::Stream { events: 20, pause: Duration::from_millis(5) };
    let fleet = Fleet::start(STREAM, &[stream]).await;

    let answer = call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.as_deref(), Some(events(1..=20).as_bytes()));
}

#[tokio::test]
async fn a_broken_stream_goes_on_at_another_replica_after_its_last_event() {
    let cut = Behaviour::StreamCut { after: 4, resumed: 9 };
    let fleet = Fleet::start(STREAM, &[cut.clone(), cut]).await;

    let answer = call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("an answer");

    assert_eq!(answer.body.as_deref(), Some(events(1..=9).as_bytes()));
    let resumed = fleet.replicas.iter().flat_map(|replica| replica.seen());
    assert!(resumed.into_iter().any(|seen| seen.header("last-event-id") == Some("4")));
}

#[tokio::test]
async fn a_stream_that_can_not_be_resumed_does_not_look_complete() {
    let cut = Behaviour::StreamCut { after: 4, resumed: 0 };
    let fleet = Fleet::start(STREAM, &[cut]).await;

    let answer = call(fleet.address(), Method::POST, &path(STREAM), KEY).await.expect("a head");

    assert_eq!(answer.body, None);
}

#[tokio::test]
async fn work_ends_at_the_replica_when_the_caller_leaves() {
    let fleet = Fleet::start(ONCE, &[Behaviour::Hang]).await;
    let address = fleet.address();
    let caller = tokio::spawn(async move { call(address, Method::POST, &path(ONCE), KEY).await });
    wait_for("the request", async || fleet.arrivals() == 1).await;

    caller.abort();

    wait_for("the end of the work", async || fleet.replicas[0].closed_early() == 1).await;
}

#[tokio::test]
async fn a_newer_configuration_is_in_force_and_an_older_one_never_again() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    let status = async |key: &str| {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), key).await;
        answer.expect("an answer").status
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
async fn an_entry_goes_on_with_what_it_knows_while_the_store_is_silent() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    fleet.store.set_mode(StoreMode::Silent);

    for _ in 0..5 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;

        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_leaving_replica_gets_no_more_work() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer, Behaviour::Answer]).await;
    let leaving = &fleet.replicas[0];
    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &registration(leaving, PLAIN, "draining"));
    let calls_before = fleet.store.calls();
    wait_for("two reads", async || fleet.store.calls() >= calls_before + 4).await;
    let seen_before = leaving.seen().len();

    for _ in 0..6 {
        call(fleet.address(), Method::GET, &path(PLAIN), KEY).await.expect("an answer");
    }

    assert_eq!(leaving.seen().len(), seen_before);
}

/// A store of its own stands for one that turns some entries away: both have the same
/// log up to the moment at which one of them falls silent.
async fn an_entry_cut_from_the_store(mode: StoreMode) {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer, Behaviour::Answer]).await;
    let address = (ip(fleet.network, 251), STORE_PORT).into();
    let other_store = StoreStandin::start(address).await.expect("a store");
    other_store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(1, &[KEY]));
    for (index, replica) in fleet.replicas.iter().enumerate() {
        let text = registration(replica, PLAIN, "ready");
        other_store.put(REGISTRATIONS_TOPIC, &format!("i-{index}"), &text);
    }
    let own = entry_ip(fleet.network, 1);
    let settings = entry_settings(own, other_store.address(), &[entry_ip(fleet.network, 0)]);
    let _cut = Process::start("platform-entry", &settings);
    fleet.wait_until_ready(own).await;

    other_store.set_mode(mode);
    let leaving = &fleet.replicas[0];
    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &registration(leaving, PLAIN, "draining"));

    let address = (own, platform_common::CALLERS_PORT).into();
    wait_for("calls that pass the leaving replica by", async || {
        let before = leaving.seen().len();
        for _ in 0..6 {
            call(address, Method::GET, &path(PLAIN), KEY).await.expect("an answer");
        }
        leaving.seen().len() == before
    })
    .await;
}

#[tokio::test]
async fn an_entry_that_the_store_turns_away_learns_from_peers_which_replicas_leave() {
    an_entry_cut_from_the_store(StoreMode::Busy).await;
}

#[tokio::test]
async fn an_entry_that_the_store_does_not_answer_learns_from_peers_which_replicas_leave() {
    an_entry_cut_from_the_store(StoreMode::Silent).await;
}

#[tokio::test]
async fn a_process_that_leaves_finishes_its_streams_and_tells_that_it_is_not_ready() {
    let stream = Behaviour::Stream { events: 30, pause: Duration::from_millis(50) };
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
    let answer = caller.await.expect("the caller").expect("an answer");
    assert_eq!(answer.body.as_deref(), Some(events(1..=30).as_bytes()));
    let ended = fleet.entry.child.wait().expect("the process ends");
    assert!(ended.success(), "{ended}");
}

/// Guards against a log that ends before its last line, which tells what was left over.
#[tokio::test]
async fn a_process_that_leaves_logs_that_it_has_drained() {
    let mut fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;

    fleet.entry.signal(Signal::SIGTERM);
    let ended = fleet.entry.child.wait().expect("the process ends");

    assert!(ended.success(), "{ended}");
    assert_eq!(fleet.entry.logged("drained").len(), 1);
}

#[tokio::test]
async fn a_request_is_not_held_past_its_routes_time() {
    let fleet = Fleet::start(ONCE, &[Behaviour::Hang]).await;
    let began = Instant::now();

    let answer = call(fleet.address(), Method::POST, &path(ONCE), KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(began.elapsed() >= Duration::from_millis(2900), "{:?}", began.elapsed());
}

#[tokio::test]
async fn wrong_settings_name_file_line_and_field() {
    for (settings, expected) in [
        ("NodeName=n\nIp=nowhere\n", "local.conf:2"),
        ("NodeName=n\nIp=127.0.0.1\n", "Zone is missing"),
        ("NodeName\n", "local.conf:1"),
    ] {
        let folder = tempfile::TempDir::new().expect("a folder");
        let file = folder.path().join("local.conf");
        std::fs::write(&file, settings).expect("settings are written");

        let output = std::process::Command::new(env!("CARGO_BIN_EXE_lynxmount"))
            .args(["platform-entry", "--settings"])
            .arg(&file)
            .output()
            .expect("the process runs");

        let told = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{told}");
        assert!(told.contains(expected), "{told}");
    }
}

/// Tells an entry the state of the group of a fleet's replicas, again and again.
fn tell_group(fleet: &Fleet, state: &Arc<Mutex<GroupState>>) -> JoinHandle<()> {
    let (network, state) = (fleet.network, Arc::clone(state));
    let engines = fleet.replicas.iter().map(|replica| replica.address).collect::<Vec<_>>();
    let entry = SocketAddr::new(entry_ip(network, 0), INTERNAL_PORT + GROUP_PORT_OFFSET);
    tokio::spawn(async move {
        let socket = UdpSocket::bind((ip(network, 200), 0)).await.expect("a socket");
        loop {
            let members = GroupMembersNotice { group: "g".to_owned(), engines: engines.clone() };
            let state = *state.lock().expect("the state is not poisoned");
            let notice = GroupNotice { group: "g".to_owned(), state, pass_time: None };
            for message in [GroupMessage::Members(members), GroupMessage::Notice(notice)] {
                let datagram = message.encode().expect("a datagram");
                socket.send_to(&datagram, entry).await.expect("a notice is sent");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

/// A fleet whose replicas are ranks of a group that is told not to serve.
async fn start_group(state: &Arc<Mutex<GroupState>>) -> Fleet {
    let replica = Behaviour::Stream { events: 3, pause: Duration::ZERO };
    let replicas = [replica.clone(), replica];
    let fleet = Fleet::start(STREAM, &replicas).await;
    let service = service_of(STREAM);
    let group = GroupText { service: &service, experts: 8 };
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(2, &[KEY], Some(group)));
    wait_for("the configuration", async || fleet.entry.logged("configuration in force").len() >= 2)
        .await;
    tell_group(&fleet, state);
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
    }
}

#[tokio::test]
async fn a_call_waits_for_a_group_that_opens_in_time_and_is_sent_once() {
    let state = Arc::new(Mutex::new(GroupState::Down));
    let fleet = start_group(&state).await;
    // What is left of the usual time until then is less than half of the call's.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let mut caller = CallerStandin::new(fleet.address());
    let calling =
        tokio::spawn(async move { caller.call(&stream_call(Duration::from_secs(8))).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = fleet.arrivals();

    *state.lock().expect("the state is not poisoned") = GroupState::Serving;

    let Told::Answer(answer) = calling.await.expect("the call ends") else { panic!("no answer") };
    assert_eq!((before, answer.status), (0, StatusCode::OK));
    assert_eq!(fleet.arrivals(), 1);
}

#[tokio::test]
async fn a_call_that_can_not_wait_for_a_group_is_refused_at_once() {
    let state = Arc::new(Mutex::new(GroupState::Down));
    let fleet = start_group(&state).await;
    let mut caller = CallerStandin::new(fleet.address());

    let told = caller.call(&stream_call(Duration::from_millis(1500))).await;

    let Told::Answer(answer) = told else { panic!("no answer") };
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.retry_after_s.is_some_and(|after| after > 0.0));
    assert_eq!(fleet.arrivals(), 0);
    wait_for("the line", async || fleet.entry.logged("refused").len() == 1).await;
}

/// Guards against calls that are sent into a group that stands still, and run after their callers
/// have left.
#[tokio::test]
async fn a_call_to_a_blocked_group_is_refused_at_once() {
    let state = Arc::new(Mutex::new(GroupState::Blocked));
    let fleet = start_group(&state).await;
    let mut caller = CallerStandin::new(fleet.address());

    let refused = caller.call(&stream_call(Duration::from_secs(8))).await;
    let arrivals_before = fleet.arrivals();
    *state.lock().expect("the state is not poisoned") = GroupState::Serving;
    wait_for("the group to serve", async || fleet.entry.logged("group state received").len() == 2)
        .await;
    let served = caller.call(&stream_call(Duration::from_secs(8))).await;

    let Told::Answer(refused) = refused else { panic!("no answer") };
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after_s.is_some_and(|after| after > 0.0));
    assert_eq!(arrivals_before, 0);
    let Told::Answer(served) = served else { panic!("no answer") };
    assert_eq!(served.status, StatusCode::OK);
}

#[tokio::test]
async fn an_entry_of_another_writer_names_no_replica_and_the_others_hold() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    let text = r#"{"Service":"lookup-service","Address":"127.0.0.1:1","Zone":"z","Slots":"all"}"#;
    fleet.store.put(REGISTRATIONS_TOPIC, "i-other", text);
    fleet.store.put(REGISTRATIONS_TOPIC, "i-unread", "\u{0}\u{1}[");
    wait_for("both entries", async || {
        fleet.entry.logged_beginning("unreadable registration").len() >= 2
    })
    .await;

    for _ in 0..4 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_replica_that_starts_again_under_its_id_is_called_there() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    let again = registration(&fleet.replicas[0], PLAIN, "ready").replacen(
        '{',
        r#"{"born":1780000000000,"#,
        1,
    );

    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &again);

    for _ in 0..4 {
        let answer = call(fleet.address(), Method::GET, &path(PLAIN), KEY).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(fleet.arrivals(), 4);
}

#[tokio::test]
async fn a_stream_is_not_sent_on_a_connection_of_an_endpoint_that_has_been_silent() {
    let fleet =
        Fleet::start(STREAM, &[Behaviour::Stream { events: 2, pause: Duration::ZERO }]).await;

    for _ in 0..3 {
        let answer = call(fleet.address(), Method::POST, &path(STREAM), KEY).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        // Whether the endpoint's machine still runs is not known after that.
        tokio::time::sleep(Duration::from_millis(400)).await;
    }

    assert_eq!(fleet.replicas[0].connections(), 3);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_not_cut_for_its_silence() {
    let steady = Behaviour::Stream { events: 45, pause: Duration::from_millis(60) };
    let halting = Behaviour::Stream { events: 2, pause: Duration::from_millis(1300) };
    let fleet = Fleet::start(STREAM, &[steady, halting]).await;
    let text = config(2, &[KEY]).replace(r#""Resumable":true"#, r#""Resumable":false"#);
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
    wait_for("the configuration", async || fleet.entry.logged("configuration in force").len() >= 2)
        .await;

    let calls = [(); 2].map(async |()| {
        CallerStandin::new(fleet.address()).call(&stream_call(Duration::from_secs(4))).await
    });
    let answers = futures::future::join_all(calls).await;

    for told in answers {
        let Told::Answer(answer) = told else { panic!("no answer") };
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_whole, "the stream was cut");
    }
    assert!(fleet.replicas.iter().all(|replica| replica.seen().len() == 1));
}

/// Guards against calls that wait at a frozen endpoint until their callers leave, and run there
/// once it wakes.
#[tokio::test]
async fn a_stream_is_rerouted_from_an_endpoint_that_stalls_before_its_first_event() {
    let steady = Behaviour::Stream { events: 40, pause: Duration::from_millis(60) };
    let fleet = Fleet::start(STREAM, &[steady, Behaviour::Hang]).await;

    let path = path(STREAM);
    let calls = [(); 2].map(|()| call(fleet.address(), Method::POST, &path, KEY));
    let answers = futures::future::join_all(calls).await;

    for answer in answers {
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(fleet.replicas[1].seen().len(), 1);
    assert_eq!(fleet.entry.logged("attempt rerouted").len(), 1);
}

/// Guards against calls that are sent to a frozen endpoint for as long as it is registered.
#[tokio::test]
async fn a_stalled_endpoint_gets_no_new_streams_while_its_group_makes_progress() {
    let steady = Behaviour::Stream { events: 40, pause: Duration::from_millis(60) };
    let fleet = Fleet::start(STREAM, &[steady.clone(), steady, Behaviour::Hang]).await;
    let path = path(STREAM);
    let stream = || call(fleet.address(), Method::POST, &path, KEY);
    let first = futures::future::join_all([(); 3].map(|()| stream()));
    let later = async {
        // Longer than the silence after which an endpoint is suspected.
        tokio::time::sleep(Duration::from_millis(600)).await;
        futures::future::join_all([(); 4].map(|()| stream())).await
    };

    let (first, later) = futures::join!(first, later);

    for answer in first.into_iter().chain(later) {
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(fleet.replicas[2].seen().len(), 1);
}

/// How long callers of [`patient_fleet`] wait for the next event of a stream: four times the
/// objective.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// A fleet whose callers leave after [`CALLER_PATIENCE`] without an event.
async fn patient_fleet(behaviours: &[Behaviour]) -> Fleet {
    let fleet = Fleet::start(STREAM, behaviours).await;
    let goal = format!(r#""GoalMs":{}"#, (CALLER_PATIENCE / 4).as_millis());
    let text = config(2, &[KEY]).replace(r#""GoalMs":500"#, &goal);
    let text = text.replace(r#""TimeoutMs":4000"#, r#""TimeoutMs":8000"#);
    assert!(text.contains(&goal), "{text}");
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
    wait_for("the configuration", async || fleet.entry.logged("configuration in force").len() >= 2)
        .await;
    fleet
}

/// Calls as a caller that leaves after its patience; `None` if it has left.
async fn call_patiently(fleet: &Fleet) -> Option<Told> {
    let mut caller = CallerStandin::new(fleet.address());
    let call = stream_call(Duration::from_secs(8));
    tokio::time::timeout(CALLER_PATIENCE, caller.call(&call)).await.ok()
}

/// Guards against calls that wait in a group that stands still until their callers leave, and run
/// there afterwards.
#[tokio::test]
async fn a_call_at_a_silent_group_is_answered_before_its_caller_leaves() {
    let fleet = patient_fleet(&[Behaviour::Hang, Behaviour::Hang]).await;

    let told = call_patiently(&fleet).await;

    let Some(Told::Answer(answer)) = told else { panic!("the caller left: {told:?}") };
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(answer.retry_after_s.is_some_and(|after| after > 0.0), "{answer:?}");
    assert_eq!(fleet.arrivals(), 1);
}

/// Guards against calls that hang at an endpoint which goes on with others, until their callers leave.
#[tokio::test]
async fn a_call_that_hangs_at_a_live_endpoint_is_answered_before_its_caller_leaves() {
    let fleet = patient_fleet(&[Behaviour::Hang]).await;
    let address = fleet.address();
    let hanging = call_patiently(&fleet);
    let live = async {
        wait_for("the call", async || fleet.arrivals() == 1).await;
        fleet.replicas[0].set(Behaviour::Stream { events: 3, pause: Duration::from_millis(20) });
        loop {
            call(address, Method::POST, &format!("/{STREAM}/2"), KEY).await;
        }
    };

    let told = tokio::select! {
        told = hanging => told,
        () = live => unreachable!("calls go on"),
    };

    let Some(Told::Answer(answer)) = told else { panic!("the caller left: {told:?}") };
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(answer.retry_after_s.is_some_and(|after| after > 0.0), "{answer:?}");
}

/// Guards against streams that stop until their callers leave, and go on at the endpoint afterwards.
#[tokio::test]
async fn a_stream_that_stops_is_cut_before_its_caller_leaves() {
    let hanging = Behaviour::StreamHang { events: 3 };
    let fleet = patient_fleet(&[hanging.clone(), hanging]).await;

    let told = call_patiently(&fleet).await;

    let Some(Told::Answer(answer)) = told else { panic!("the caller left: {told:?}") };
    assert_eq!(answer.received, events(1..=3).as_bytes());
    assert!(!answer.is_whole);
}
