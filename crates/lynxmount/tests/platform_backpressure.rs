//! Backpressure from endpoints on the users' platform: rate limits, rest periods and announced
//! departures, checked against the requests that reach the endpoints.

mod platform_common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    ALLOWED_DURING_RETRY_AFTER, Backpressure, Behaviour, Call, CallerStandin, allowed_in_window,
    fixture::IDEMPOTENT, max_during_retry_after, max_in_window,
};
use platform_common::{
    CALLERS_PORT, Fleet, KEY, Process, call, entry_ip, entry_settings, get, wait_for,
};
use tokio::task::JoinSet;

/// How long callers send requests: the grace period of a limit and several windows.
const TRAFFIC_TIME: Duration = Duration::from_secs(9);

/// The pause between the requests of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Starts a second entry of a fleet.
async fn start_second_entry(fleet: &Fleet) -> Process {
    let (first, own_ip) = (entry_ip(fleet.network, 0), entry_ip(fleet.network, 1));
    let settings = entry_settings(own_ip, fleet.store.address(), &[first, own_ip]);
    let entry = Process::start("platform-entry", &settings);
    fleet.wait_until_ready(own_ip).await;
    entry
}

/// Sends sequential requests to an entry, each on a new connection.
async fn send_sequentially(entry: SocketAddr, caller: usize) {
    let end = Instant::now() + TRAFFIC_TIME;
    for count in 0.. {
        if Instant::now() >= end {
            return;
        }
        let call = Call {
            id: format!("attempt-{caller}-{count}"),
            method: Method::GET,
            path: format!("/{IDEMPOTENT}/{caller}-{count}"),
            key: KEY.to_owned(),
            time_left: Duration::from_millis(3000),
            prompt_parts: Vec::new(),
        };
        CallerStandin::new(entry).call(&call).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

#[tokio::test]
async fn rate_limit_holds_for_all_entries_together() {
    let limit_per_s = 1.0;
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer, Behaviour::Answer]).await;
    let _second = start_second_entry(&fleet).await;
    fleet.replicas[0].set_backpressure(Backpressure::rate_limit(limit_per_s));
    let limited_at = Instant::now();

    let entries = [0, 1].map(|index| (entry_ip(fleet.network, index), CALLERS_PORT).into());
    let callers: JoinSet<()> = (0..4).map(|n| send_sequentially(entries[n % 2], n)).collect();
    callers.join_all().await;

    let seen = fleet.replicas[0].requests();
    let arrivals: Vec<Duration> =
        seen.iter().map(|seen| seen.received_at.saturating_duration_since(limited_at)).collect();
    let most = max_in_window(&arrivals, Duration::ZERO);
    let allowed = allowed_in_window(limit_per_s);
    assert!(most <= allowed, "{most} requests in a window, {allowed} allowed");
    assert!(most > 0, "no request was sent under the limit");
    assert!(fleet.replicas[1].requests().len() > arrivals.len());
}

#[tokio::test]
async fn request_over_all_limits_is_refused_at_once_with_spread_retry_after() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    fleet.replicas[0].set_backpressure(Backpressure::rate_limit(0.1));
    let path = format!("/{IDEMPOTENT}/7");
    let first = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

    let second = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");
    let third = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(third.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.arrivals(), 1);
    let retry_after_s =
        [second, third].map(|response| response.retry_after_s.expect("retry-after"));
    assert!(
        retry_after_s[0] > 10.0 && retry_after_s[1] > retry_after_s[0] + 5.0,
        "{retry_after_s:?}"
    );
}

#[tokio::test]
async fn limit_ends_when_responses_no_longer_contain_it() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let path = format!("/{IDEMPOTENT}/7");
    fleet.replicas[0].set_backpressure(Backpressure::rate_limit(1.0));
    call(fleet.address(), Method::GET, &path, KEY).await.expect("response");
    let limited = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");
    fleet.replicas[0].set_backpressure(Backpressure::default());

    // The next request that the pacing admits brings a response without the limit.
    wait_for("admission", async || get(fleet.address(), &path).await == Some(StatusCode::OK)).await;
    let after = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

    assert_eq!(limited.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(after.status, StatusCode::OK);
}

#[tokio::test]
async fn entry_applies_start_and_end_of_limit_from_gossip() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    // The second entry has the first as a seed.
    let second = start_second_entry(&fleet).await;
    let path = format!("/{IDEMPOTENT}/7");
    let second_address = (entry_ip(fleet.network, 1), CALLERS_PORT).into();
    let changes = || fleet.entry.logged("endpoint limit changed").len();

    fleet.replicas[0].set_backpressure(Backpressure::rate_limit(1.0));
    call(second_address, Method::GET, &path, KEY).await.expect("response");
    wait_for("the limit at the first entry", async || changes() == 1).await;
    let limited = get(fleet.address(), &path).await;
    fleet.replicas[0].set_backpressure(Backpressure::default());
    wait_for("admission", async || get(second_address, &path).await == Some(StatusCode::OK)).await;
    wait_for("the end of the limit at the first entry", async || changes() == 2).await;
    let unlimited = get(fleet.address(), &path).await;

    assert_eq!(limited, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(unlimited, Some(StatusCode::OK));
    assert_eq!(second.logged("endpoint limit changed").len(), 2);
}

#[tokio::test]
async fn resting_endpoint_gets_no_calls_from_the_entry_it_refused() {
    let rest = Duration::from_secs(3);
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Shed, Behaviour::Answer]).await;
    fleet.replicas[0].set_backpressure(Backpressure::retry_after(rest));
    let began_at = Instant::now();

    let callers: JoinSet<()> = (0..2).map(|n| send_sequentially(fleet.address(), n)).collect();
    callers.join_all().await;

    let seen = fleet.replicas[0].requests();
    let arrivals: Vec<Duration> =
        seen.iter().map(|seen| seen.received_at.saturating_duration_since(began_at)).collect();
    let most = max_during_retry_after(&arrivals, rest);
    assert!(most <= ALLOWED_DURING_RETRY_AFTER, "{most} requests in a rest period");
    assert!(!arrivals.is_empty());
}

#[tokio::test]
async fn refusals_of_resting_endpoints_do_not_pause_their_group() {
    let replicas = [Behaviour::Shed, Behaviour::Shed, Behaviour::Answer];
    let fleet = Fleet::start(IDEMPOTENT, &replicas).await;
    let resting = fleet.replicas[..2].iter();
    resting.for_each(|replica| {
        replica.set_backpressure(Backpressure::retry_after(Duration::from_secs(60)))
    });
    let path = format!("/{IDEMPOTENT}/7");
    wait_for("both refusals", async || {
        get(fleet.address(), &path).await;
        fleet.entry.logged("endpoint rest requested").len() == 2
    })
    .await;

    let response = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::OK);
    assert!(fleet.entry.logged("group paused").is_empty());
}

#[tokio::test]
async fn request_is_refused_at_once_with_rest_as_retry_after_if_all_endpoints_rest() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Shed, Behaviour::Shed]).await;
    fleet.replicas.iter().for_each(|replica| {
        replica.set_backpressure(Backpressure::retry_after(Duration::from_secs(60)))
    });
    let path = format!("/{IDEMPOTENT}/7");
    call(fleet.address(), Method::GET, &path, KEY).await.expect("response");
    let arrivals = fleet.arrivals();

    let response = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after_s = response.retry_after_s.expect("retry-after");
    assert!(retry_after_s > 30.0, "{retry_after_s}");
    assert_eq!((arrivals, fleet.arrivals()), (2, 2));
}

#[tokio::test]
async fn endpoint_that_announces_its_departure_gets_no_further_calls() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.replicas[0].set_backpressure(Backpressure::leaving());
    let path = format!("/{IDEMPOTENT}/7");
    wait_for("its response", async || {
        get(fleet.address(), &path).await;
        !fleet.replicas[0].requests().is_empty()
    })
    .await;

    for _ in 0..10 {
        assert_eq!(get(fleet.address(), &path).await, Some(StatusCode::OK));
    }

    assert_eq!(fleet.replicas[0].requests().len(), 1);
}

#[tokio::test]
async fn failure_response_without_a_limit_does_not_end_it() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let path = format!("/{IDEMPOTENT}/7");
    fleet.replicas[0].set_backpressure(Backpressure::rate_limit(20.0));
    call(fleet.address(), Method::GET, &path, KEY).await.expect("response");
    fleet.replicas[0].set_backpressure(Backpressure::default());
    fleet.replicas[0].set_behaviour(Behaviour::Fail);

    wait_for("a failure", async || {
        get(fleet.address(), &path).await == Some(StatusCode::INTERNAL_SERVER_ERROR)
    })
    .await;

    assert_eq!(fleet.entry.logged("endpoint limit changed").len(), 1);
}
