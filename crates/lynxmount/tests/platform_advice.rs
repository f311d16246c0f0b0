//! What endpoints on the users' platform ask of entries, as the endpoints see it.

mod platform_common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    ALLOWED_IN_REST, Advice, Behaviour, Call, CallerStandin, allowed_in_window, fixture::PLAIN,
    most_in_rest, most_in_window,
};
use platform_common::{
    CALLERS_PORT, Fleet, KEY, Process, call, entry_ip, entry_settings, get, wait_for,
};
use tokio::task::JoinSet;

/// How long callers call: the grace of a limit and some windows.
const TRAFFIC: Duration = Duration::from_secs(9);

/// The pause between the calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Starts a second entry of a fleet.
async fn second_entry(fleet: &Fleet) -> Process {
    let (first, own) = (entry_ip(fleet.network, 0), entry_ip(fleet.network, 1));
    let settings = entry_settings(own, fleet.store.address(), &[first, own]);
    let entry = Process::start("platform-entry", &settings);
    fleet.wait_until_ready(own).await;
    entry
}

/// Sends one call after the other to an entry, each on a connection of its own.
async fn call_steadily(entry: SocketAddr, number: usize) {
    let until = Instant::now() + TRAFFIC;
    for count in 0.. {
        if Instant::now() >= until {
            return;
        }
        let call = Call {
            id: format!("attempt-{number}-{count}"),
            method: Method::GET,
            path: format!("/{PLAIN}/{number}-{count}"),
            key: KEY.to_owned(),
            time_left: Duration::from_millis(3000),
        };
        CallerStandin::new(entry).call(&call).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

#[tokio::test]
async fn an_endpoint_that_names_a_limit_gets_no_more_than_it_allows_from_all_entries() {
    let limit_per_s = 1.0;
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer, Behaviour::Answer]).await;
    let _second = second_entry(&fleet).await;
    fleet.replicas[0].advise(Advice::limit(limit_per_s));
    let named_at = Instant::now();

    let entries = [0, 1].map(|index| (entry_ip(fleet.network, index), CALLERS_PORT).into());
    let callers: JoinSet<()> = (0..4).map(|n| call_steadily(entries[n % 2], n)).collect();
    callers.join_all().await;

    let seen = fleet.replicas[0].seen();
    let arrivals: Vec<Duration> =
        seen.iter().map(|seen| seen.at.saturating_duration_since(named_at)).collect();
    let most = most_in_window(&arrivals, Duration::ZERO);
    let allowed = allowed_in_window(limit_per_s);
    assert!(most <= allowed, "{most} requests in a window, {allowed} allowed");
    assert!(most > 0, "the endpoint's limit is not used");
    assert!(fleet.replicas[1].seen().len() > arrivals.len());
}

#[tokio::test]
async fn a_call_is_refused_at_once_with_its_turn_when_all_endpoints_are_at_their_limits() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    fleet.replicas[0].advise(Advice::limit(0.1));
    let path = format!("/{PLAIN}/7");
    let first = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");

    let second = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");
    let third = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(third.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.arrivals(), 1);
    let turns = [second, third].map(|answer| answer.retry_after.expect("a time to come back"));
    assert!(turns[0] > 10.0 && turns[1] > turns[0] + 5.0, "{turns:?}");
}

#[tokio::test]
async fn a_limit_ends_when_the_endpoint_names_it_no_more() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    let path = format!("/{PLAIN}/7");
    fleet.replicas[0].advise(Advice::limit(1.0));
    call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");
    let limited = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");
    fleet.replicas[0].advise(Advice::default());

    // The next one in turn hears that the limit has ended.
    wait_for("a call in turn", async || get(fleet.address(), &path).await == Some(StatusCode::OK))
        .await;
    let after = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");

    assert_eq!(limited.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(after.status, StatusCode::OK);
}

#[tokio::test]
async fn an_entry_that_hears_of_a_limit_from_a_peer_only_holds_to_it_until_its_end() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    // The second entry knows the first from the beginning.
    let second = second_entry(&fleet).await;
    let path = format!("/{PLAIN}/7");
    let second_address = (entry_ip(fleet.network, 1), CALLERS_PORT).into();
    let changes = || fleet.entry.logged("endpoint limit changed").len();

    fleet.replicas[0].advise(Advice::limit(1.0));
    call(second_address, Method::GET, &path, KEY).await.expect("an answer");
    wait_for("the limit at the first entry", async || changes() == 1).await;
    let limited = get(fleet.address(), &path).await;
    fleet.replicas[0].advise(Advice::default());
    wait_for("a turn", async || get(second_address, &path).await == Some(StatusCode::OK)).await;
    wait_for("the end of the limit at the first entry", async || changes() == 2).await;
    let unlimited = get(fleet.address(), &path).await;

    assert_eq!(limited, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(unlimited, Some(StatusCode::OK));
    assert_eq!(second.logged("endpoint limit changed").len(), 2);
}

#[tokio::test]
async fn an_endpoint_that_asks_for_rest_gets_no_calls_from_that_entry_meanwhile() {
    let rest = Duration::from_secs(3);
    let fleet = Fleet::start(PLAIN, &[Behaviour::Shed, Behaviour::Answer]).await;
    fleet.replicas[0].advise(Advice::rest(rest));
    let began_at = Instant::now();

    let callers: JoinSet<()> = (0..2).map(|n| call_steadily(fleet.address(), n)).collect();
    callers.join_all().await;

    let seen = fleet.replicas[0].seen();
    let arrivals: Vec<Duration> =
        seen.iter().map(|seen| seen.at.saturating_duration_since(began_at)).collect();
    let most = most_in_rest(&arrivals, rest);
    assert!(most <= ALLOWED_IN_REST, "{most} requests in a time of rest");
    assert!(!arrivals.is_empty());
}

#[tokio::test]
async fn refusals_of_endpoints_that_rest_do_not_pause_their_group() {
    let replicas = [Behaviour::Shed, Behaviour::Shed, Behaviour::Answer];
    let fleet = Fleet::start(PLAIN, &replicas).await;
    let resting = fleet.replicas[..2].iter();
    resting.for_each(|replica| replica.advise(Advice::rest(Duration::from_secs(60))));
    let path = format!("/{PLAIN}/7");
    wait_for("both refusals", async || {
        get(fleet.address(), &path).await;
        fleet.entry.logged("endpoint asked for rest").len() == 2
    })
    .await;

    let answer = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::OK);
    assert!(fleet.entry.logged("group paused").is_empty());
}

#[tokio::test]
async fn a_call_is_refused_at_once_with_the_end_of_the_rest_when_all_endpoints_rest() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Shed, Behaviour::Shed]).await;
    fleet.replicas.iter().for_each(|replica| replica.advise(Advice::rest(Duration::from_secs(60))));
    let path = format!("/{PLAIN}/7");
    call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");
    let arrivals = fleet.arrivals();

    let answer = call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = answer.retry_after.expect("a time to come back");
    assert!(retry_after > 30.0, "{retry_after}");
    assert_eq!((arrivals, fleet.arrivals()), (2, 2));
}

#[tokio::test]
async fn an_endpoint_that_says_it_leaves_gets_no_further_calls() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.replicas[0].advise(Advice::leaving());
    let path = format!("/{PLAIN}/7");
    wait_for("its answer", async || {
        get(fleet.address(), &path).await;
        !fleet.replicas[0].seen().is_empty()
    })
    .await;

    for _ in 0..10 {
        assert_eq!(get(fleet.address(), &path).await, Some(StatusCode::OK));
    }

    assert_eq!(fleet.replicas[0].seen().len(), 1);
}

#[tokio::test]
async fn a_failure_that_names_no_limit_does_not_end_it() {
    let fleet = Fleet::start(PLAIN, &[Behaviour::Answer]).await;
    let path = format!("/{PLAIN}/7");
    fleet.replicas[0].advise(Advice::limit(20.0));
    call(fleet.address(), Method::GET, &path, KEY).await.expect("an answer");
    fleet.replicas[0].advise(Advice::default());
    fleet.replicas[0].set(Behaviour::Fail);

    wait_for("a failure", async || {
        get(fleet.address(), &path).await == Some(StatusCode::INTERNAL_SERVER_ERROR)
    })
    .await;

    assert_eq!(fleet.entry.logged("endpoint limit changed").len(), 1);
}
