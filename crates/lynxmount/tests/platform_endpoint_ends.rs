//! Calls under which endpoints end, on the users' platform.
//!
//! What callers saw: for most of 80 s hardly a stream of a model service was served. A
//! call came that ended each endpoint that began to run it; the ranks of a group run in
//! step, so that each end stopped the whole service for 4 s. The call's caller, and its
//! entry, sent it again: up to eight endpoints ended under one call.
//!
//! The cause: what was known of a lost attempt ended with that attempt. A repeat has another
//! id and comes to another entry, and nothing connected it with the ends before it.
//!
//! The evidence: the repeats of one call are told by what they ask, and a process that has
//! ended by what its machine answers. Held back by that at all entries, the call below ends
//! three endpoints of nine, where it ended nine.

mod platform_common;

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour, ReplicaStandin, Seen, StoreMode,
    fixture::{ONCE, PLAIN, REGISTRATIONS_TOPIC, STREAM},
};
use lynxmount_standin::CrashKind;
use nix::sys::signal::Signal;
use platform_common::{
    Answer, CALLERS_PORT, Fleet, KEY, Process, call, entry_ip, entry_settings, registration,
    wait_for,
};

/// A part of the path of the call under which endpoints end.
const ENDING: &str = "ending";

/// Endpoints that may end under one call before all entries hold it back.
const MAX_ENDS: usize = 3;

/// How often the call may still reach endpoints after that.
const MAX_LATE_ARRIVALS: usize = 3;

fn ending_path(route: &str) -> String {
    format!("/{route}/{ENDING}/1")
}

fn other_path(route: &str) -> String {
    format!("/{route}/7")
}

/// Endpoints that end under the call and answer all others.
fn behaviours(route: &str, count: usize) -> Vec<Behaviour> {
    let otherwise = Box::new(match route {
        STREAM => Behaviour::Stream { events: 3, pause: Duration::ZERO },
        _ => Behaviour::Answer,
    });
    vec![Behaviour::EndUnder { path: ENDING.to_owned(), otherwise }; count]
}

fn callers_address(entry: IpAddr) -> SocketAddr {
    (entry, CALLERS_PORT).into()
}

/// Starts another entry of a fleet.
async fn start_entry(fleet: &Fleet, index: u8) -> (IpAddr, Process) {
    let own = entry_ip(fleet.network, index);
    let seeds = [entry_ip(fleet.network, 0)];
    let process =
        Process::start("platform-entry", &entry_settings(own, fleet.store.address(), &seeds));
    fleet.wait_until_ready(own).await;
    (own, process)
}

fn ended(fleet: &Fleet) -> usize {
    fleet.replicas.iter().filter(|replica| replica.has_ended()).count()
}

/// How often the call has reached endpoints.
fn arrivals(fleet: &Fleet) -> usize {
    let seen = fleet.replicas.iter().flat_map(|replica| replica.seen());
    seen.filter(|seen| seen.line.contains(ENDING)).count()
}

async fn call_ending(entry: IpAddr, route: &str) -> Option<Answer> {
    call(callers_address(entry), Method::POST, &ending_path(route), KEY).await
}

/// Calls at the entries in turn until endpoints have ended, and then until all entries
/// hold the call back. Returns how often it reached endpoints after that end.
async fn call_until_held_back(fleet: &Fleet, entries: &[IpAddr], route: &str) -> usize {
    for entry in entries.iter().cycle().take(MAX_ENDS) {
        if ended(fleet) < MAX_ENDS {
            call_ending(*entry, route).await;
        }
    }
    let before = arrivals(fleet);
    for entry in entries {
        wait_for("the call to be held back", async || {
            let answer = call_ending(*entry, route).await;
            answer.is_some_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
        })
        .await;
    }
    arrivals(fleet) - before
}

async fn a_call_is_held_back_at_all_entries(route: &str) {
    let fleet = Fleet::start(route, &behaviours(route, 9)).await;
    is_held_back_at_all_entries(&fleet, route).await;
}

async fn is_held_back_at_all_entries(fleet: &Fleet, route: &str) {
    let (other_entry, _process) = start_entry(fleet, 1).await;
    let entries = [entry_ip(fleet.network, 0), other_entry];

    let late_arrivals = call_until_held_back(fleet, &entries, route).await;

    assert!(late_arrivals <= MAX_LATE_ARRIVALS, "{late_arrivals} more, {} ended", ended(fleet));
    assert!(ended(fleet) < fleet.replicas.len(), "all endpoints have ended");
    let address = callers_address(other_entry);
    let other = call(address, Method::POST, &other_path(route), KEY).await.expect("an answer");
    assert_eq!(other.status, StatusCode::OK, "a call that ends nothing is served");
}

#[tokio::test]
async fn a_lookup_that_ends_endpoints_is_held_back_at_all_entries() {
    a_call_is_held_back_at_all_entries(PLAIN).await;
}

#[tokio::test]
async fn a_stream_that_ends_endpoints_is_held_back_at_all_entries() {
    a_call_is_held_back_at_all_entries(STREAM).await;
}

/// Calls at an entry until it holds the call back.
async fn call_until_an_entry_holds_back(entry: IpAddr, route: &str) {
    wait_for("the call to be held back", async || is_held_back(entry, route).await).await;
}

async fn is_held_back(entry: IpAddr, route: &str) -> bool {
    let answer = call_ending(entry, route).await;
    answer.is_some_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
}

#[tokio::test]
async fn a_caller_is_told_that_the_call_has_not_run_and_when_the_verdict_ends() {
    let fleet = Fleet::start(PLAIN, &behaviours(PLAIN, 4)).await;
    let entry = entry_ip(fleet.network, 0);
    call_until_an_entry_holds_back(entry, PLAIN).await;

    let answer = call_ending(entry, PLAIN).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let rest_s = answer.retry_after.expect("a time to come back");
    assert!(rest_s > 200.0 && rest_s <= 240.0, "{rest_s} s");
}

#[tokio::test]
async fn an_entry_that_starts_later_knows_from_the_platform() {
    let fleet = Fleet::start(PLAIN, &behaviours(PLAIN, 4)).await;
    call_until_an_entry_holds_back(entry_ip(fleet.network, 0), PLAIN).await;
    let before = arrivals(&fleet);

    let (fresh, process) = start_entry(&fleet, 1).await;
    wait_for("the verdict", async || !process.logged_beginning("call quarantined").is_empty())
        .await;

    assert!(is_held_back(fresh, PLAIN).await);
    assert_eq!(arrivals(&fleet), before);
}

#[tokio::test]
async fn a_verdict_outlives_all_entries() {
    let mut fleet = Fleet::start(PLAIN, &behaviours(PLAIN, 4)).await;
    let own = entry_ip(fleet.network, 0);
    call_until_an_entry_holds_back(own, PLAIN).await;
    let before = arrivals(&fleet);
    let is_told = || fleet.store.calls_of("/lynxmount/log-append") >= 3;
    wait_for("the ends to be told", async || is_told()).await;

    fleet.entry.child.kill().expect("the entry is there");
    fleet.entry.child.wait().expect("the entry ends");
    let settings = entry_settings(own, fleet.store.address(), &[]);
    let again = Process::start("platform-entry", &settings);
    fleet.wait_until_ready(own).await;
    wait_for("the verdict", async || !again.logged_beginning("call quarantined").is_empty()).await;

    assert!(is_held_back(own, PLAIN).await);
    assert_eq!(arrivals(&fleet), before);
}

/// While the store is out, an entry that saw the ends tells the other, or is asked by it.
async fn entries_know_while_the_store_is_out(mode: StoreMode, seeing: u8, other: u8) {
    let fleet = Fleet::start(PLAIN, &behaviours(PLAIN, 4)).await;
    let (_, second) = start_entry(&fleet, 1).await;
    let other_entry = if other == 1 { &second } else { &fleet.entry };
    fleet.store.set_mode(mode);

    call_until_an_entry_holds_back(entry_ip(fleet.network, seeing), PLAIN).await;
    let before = arrivals(&fleet);
    wait_for("the verdict at the other entry", async || {
        !other_entry.logged_beginning("call quarantined").is_empty()
    })
    .await;

    assert!(is_held_back(entry_ip(fleet.network, other), PLAIN).await);
    assert_eq!(arrivals(&fleet), before);
}

#[tokio::test]
async fn an_entry_asks_a_peer_while_the_store_is_silent() {
    entries_know_while_the_store_is_out(StoreMode::Silent, 0, 1).await;
}

#[tokio::test]
async fn an_entry_tells_a_peer_while_the_store_turns_it_away() {
    // The first entry knows of no peer, so that it can only be told.
    entries_know_while_the_store_is_out(StoreMode::Busy, 1, 0).await;
}

#[tokio::test]
async fn connections_that_break_while_the_endpoint_lives_hold_nothing_back() {
    let fleet = Fleet::start(ONCE, &[Behaviour::Reset, Behaviour::Reset]).await;
    let entry = entry_ip(fleet.network, 0);

    for number in 1..=6 {
        let answer = call_ending(entry, ONCE).await.expect("an answer");

        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(arrivals(&fleet), number);
    }
}

#[tokio::test]
async fn an_endpoint_that_ends_as_it_leaves_speaks_against_no_call() {
    let hangs = Behaviour::Hang;
    let fleet = Fleet::start(ONCE, &[hangs.clone(), hangs.clone(), hangs]).await;
    let entry = entry_ip(fleet.network, 0);
    for (index, leaving) in fleet.replicas.iter().take(2).enumerate() {
        let at_it = tokio::spawn(async move { call_ending(entry, ONCE).await });
        wait_for("the call", async || arrivals(&fleet) == index + 1).await;
        let at = fleet.replicas.iter().position(|r| !r.seen().is_empty() && !r.has_ended());
        let at = at.expect("an endpoint has the call");
        let text = registration(&fleet.replicas[at], ONCE, "draining");
        fleet.store.put(REGISTRATIONS_TOPIC, &fleet.replicas[at].id, &text);
        let reads_before = fleet.store.calls();
        wait_for("two reads", async || fleet.store.calls() >= reads_before + 4).await;
        fleet.replicas[at].kill();
        let answer = at_it.await.expect("the call ends").expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", leaving.id);
    }

    let last = tokio::spawn(async move { call_ending(entry, ONCE).await });

    wait_for("the third call", async || arrivals(&fleet) == 3).await;
    last.abort();
}

#[tokio::test]
async fn a_copy_that_waits_at_an_endpoint_is_taken_back_before_it_begins() {
    let mut behaviours = behaviours(ONCE, 3);
    behaviours[2] = Behaviour::Hang;
    let fleet = Fleet::start(ONCE, &behaviours).await;
    let entry = entry_ip(fleet.network, 0);
    let calls = [(); 3].map(|()| tokio::spawn(async move { call_ending(entry, ONCE).await }));

    wait_for("the copy to be taken back", async || fleet.replicas[2].closed_early() == 1).await;

    for call in calls {
        let answer = call.await.expect("the call ends").expect("an answer");
        assert!(
            matches!(answer.status, StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE),
            "{answer:?}"
        );
    }
    assert!(is_held_back(entry, ONCE).await);
}

/// Ends the endpoint that has a call, after its registration has changed.
async fn end_after_a_change(fleet: &Fleet, change: impl Fn(String) -> String) {
    let has_it = |replica: &&ReplicaStandin| !replica.seen().is_empty() && !replica.has_ended();
    let at = fleet.replicas.iter().find(has_it).expect("an endpoint has the call");
    let text = change(registration(at, ONCE, "ready"));
    fleet.store.put(REGISTRATIONS_TOPIC, &at.id, &text);
    let reads_before = fleet.store.calls();
    wait_for("two reads", async || fleet.store.calls() >= reads_before + 4).await;
    at.kill();
}

#[tokio::test]
async fn an_endpoint_whose_registration_changes_under_a_call_speaks_against_it() {
    let fleet = Fleet::start(ONCE, &vec![Behaviour::Hang; 3]).await;
    let entry = entry_ip(fleet.network, 0);
    for number in 1..=2 {
        let at_it = tokio::spawn(async move { call_ending(entry, ONCE).await });
        wait_for("the call", async || arrivals(&fleet) == number).await;

        end_after_a_change(&fleet, |text| text.replace("\"Slots\":8", "\"Slots\":9")).await;

        let answer = at_it.await.expect("the call ends").expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    }

    assert!(is_held_back(entry, ONCE).await);
}

#[tokio::test]
async fn an_entry_that_was_frozen_knows_once_it_wakes() {
    let fleet = Fleet::start(PLAIN, &behaviours(PLAIN, 4)).await;
    let (frozen, process) = start_entry(&fleet, 1).await;
    process.signal(Signal::SIGSTOP);
    call_until_an_entry_holds_back(entry_ip(fleet.network, 0), PLAIN).await;
    let before = arrivals(&fleet);

    process.signal(Signal::SIGCONT);
    wait_for("the verdict", async || !process.logged_beginning("call quarantined").is_empty())
        .await;

    assert!(is_held_back(frozen, PLAIN).await);
    assert_eq!(arrivals(&fleet), before);
}

#[tokio::test]
async fn streams_beside_a_call_that_ends_their_endpoint_go_on_elsewhere() {
    let otherwise = Box::new(Behaviour::Stream { events: 40, pause: Duration::from_millis(20) });
    let ending = Behaviour::EndUnder { path: ENDING.to_owned(), otherwise };
    let fleet = Fleet::start(STREAM, &vec![ending; 4]).await;
    let entry = entry_ip(fleet.network, 0);
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let path = format!("/{STREAM}/{number}");
            let address = callers_address(entry);
            tokio::spawn(async move { call(address, Method::POST, &path, KEY).await })
        })
        .collect();
    wait_for("the streams", async || fleet.arrivals() == streams.len()).await;

    call_ending(entry, STREAM).await;

    assert!(ended(&fleet) > 0);
    for stream in streams {
        let answer = stream.await.expect("the call ends").expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.is_some(), "a stream was cut");
    }
}

/// Guards against a request whose callers leave just before its endpoint crashes: it was never
/// suspected, and each repeat crashed another endpoint.
#[tokio::test]
async fn a_call_that_is_canceled_just_before_its_endpoint_ends_is_held_back() {
    let otherwise = Box::new(Behaviour::Stream { events: 100, pause: Duration::from_millis(20) });
    let ending = Behaviour::EndAfterCancel { path: ENDING.to_owned(), otherwise };
    let fleet = Fleet::start(STREAM, &vec![ending; 6]).await;
    let entry = entry_ip(fleet.network, 0);
    for round in 1..=MAX_ENDS {
        // Two at each endpoint, so that the entry sees a connection break there.
        let streams: Vec<_> = (0..12)
            .map(|number| {
                let path = format!("/{STREAM}/{round}-{number}");
                let address = callers_address(entry);
                tokio::spawn(async move { call(address, Method::POST, &path, KEY).await })
            })
            .collect();
        let is_other = |seen: &Seen| seen.line.contains(&format!("/{round}-"));
        wait_for("the streams", async || {
            let seen = fleet.replicas.iter().flat_map(|replica| replica.seen());
            seen.filter(is_other).count() >= streams.len()
        })
        .await;
        let ending = tokio::spawn(async move { call_ending(entry, STREAM).await });
        wait_for("the call", async || arrivals(&fleet) == round).await;

        ending.abort();
        wait_for("the end", async || ended(&fleet) == round).await;
        futures::future::join_all(streams).await;
    }

    assert!(is_held_back(entry, STREAM).await);
}

async fn a_crash_is_recorded(kind: CrashKind, route: &str) {
    let fleet = Fleet::start(route, &behaviours(route, 9)).await;
    fleet.replicas.iter().for_each(|replica| replica.crash_as(kind));
    is_held_back_at_all_entries(&fleet, route).await;
}

/// Guards against a crash that is missed as the endpoint's listener closes after its connections:
/// the call went on to the next endpoint, until none was left.
async fn a_crash_with_a_late_listener_is_recorded(listener_after_ms: u64, route: &str) {
    let listener_after = Duration::from_millis(listener_after_ms);
    a_crash_is_recorded(CrashKind::ListenerLast { listener_after }, route).await;
}

#[tokio::test]
async fn a_crash_under_a_lookup_whose_listener_closes_1_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(1, PLAIN).await;
}

#[tokio::test]
async fn a_crash_under_a_lookup_whose_listener_closes_20_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(20, PLAIN).await;
}

#[tokio::test]
async fn a_crash_under_a_lookup_whose_listener_closes_100_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(100, PLAIN).await;
}

#[tokio::test]
async fn a_crash_under_a_lookup_whose_listener_closes_500_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(500, PLAIN).await;
}

#[tokio::test]
async fn a_crash_under_a_stream_whose_listener_closes_20_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(20, STREAM).await;
}

#[tokio::test]
async fn a_crash_under_a_stream_whose_listener_closes_100_ms_late_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(100, STREAM).await;
}

#[tokio::test]
async fn a_crash_whose_listener_closes_first_is_recorded() {
    let connections_after = Duration::from_millis(20);
    a_crash_is_recorded(CrashKind::ListenerFirst { connections_after }, PLAIN).await;
}

#[tokio::test]
async fn a_crash_of_an_endpoint_that_is_back_at_once_is_recorded() {
    a_crash_is_recorded(CrashKind::Restarted, PLAIN).await;
}

/// What stands in front of an endpoint may take connections for as long as it likes.
#[tokio::test]
async fn a_crash_behind_a_forwarder_is_recorded() {
    a_crash_with_a_late_listener_is_recorded(60_000, PLAIN).await;
}

/// Guards against a restart that is taken for a leaving, as the new instance is listed before the
/// endpoint is probed. The list is read at any moment, so that some of the crashes meet that.
#[tokio::test]
async fn a_crash_of_an_endpoint_whose_new_instance_is_registered_at_once_is_recorded() {
    let fleet = Fleet::start(ONCE, &vec![Behaviour::Reset; 8]).await;
    fleet.replicas.iter().for_each(|replica| replica.crash_as(CrashKind::Restarted));
    let address = callers_address(entry_ip(fleet.network, 0));
    for number in 1..=fleet.replicas.len() {
        let path = format!("/{ONCE}/{number}");
        let answer = call(address, Method::POST, &path, KEY).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        let is_at = |replica: &&ReplicaStandin| {
            replica.seen().iter().any(|seen| seen.line.contains(&format!("{path} ")))
        };
        let at = fleet.replicas.iter().find(is_at).expect("an endpoint has had the call");

        at.kill();
        let text = registration(at, ONCE, "ready");
        fleet.store.put(REGISTRATIONS_TOPIC, &at.instance(), &text);

        wait_for("the crash", async || fleet.entry.logged("endpoint crashed").len() == number)
            .await;
    }
}

/// Guards against late evidence that is taken from an endpoint which leaves.
#[tokio::test]
async fn an_endpoint_that_leaves_after_its_connections_broke_speaks_against_no_call() {
    let fleet = Fleet::start(ONCE, &vec![Behaviour::Reset; 3]).await;
    let entry = entry_ip(fleet.network, 0);
    for number in 1..=2 {
        let answer = call_ending(entry, ONCE).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(arrivals(&fleet), number);
        let has_it = |replica: &&ReplicaStandin| !replica.seen().is_empty() && !replica.has_ended();
        let at = fleet.replicas.iter().find(has_it).expect("an endpoint has had the call");
        let text = registration(at, ONCE, "draining");
        fleet.store.put(REGISTRATIONS_TOPIC, &at.id, &text);
        let reads_before = fleet.store.calls();
        wait_for("two reads", async || fleet.store.calls() >= reads_before + 4).await;
        at.kill();
    }

    let answer = call_ending(entry, ONCE).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(arrivals(&fleet), 3);
}
