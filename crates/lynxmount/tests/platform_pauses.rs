//! Calls at replicas that pause: what callers get while nothing can replace a silent replica.

mod platform_common;

use std::time::Duration;

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin, ReceivedResponse,
    fixture::{CONFIG_KEY, IDEMPOTENT, OPERATOR_TOPIC, STREAM},
};
use nix::sys::signal::Signal;
use platform_common::{Fleet, KEY, config, wait_for};

const GAP: Duration = Duration::from_millis(60);

/// The slots of each replica.
const SLOTS: usize = 8;

/// Longer than the silence after which a stream is moved, and shorter than callers wait.
const PAUSE: Duration = Duration::from_millis(1500);

fn steady(events: u64) -> Behaviour {
    Behaviour::Stream { events, gap: GAP }
}

fn pausing(events: u64, events_before: u64, pause: Duration) -> Behaviour {
    Behaviour::StreamPause { events, gap: GAP, events_before, pause }
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

fn call(id: usize, method: Method, service: &str) -> Call {
    Call {
        id: format!("attempt-{id}"),
        method,
        path: format!("/{service}/{id}"),
        key: KEY.to_owned(),
        time_left: Duration::from_secs(8),
        prompt_parts: Vec::new(),
    }
}

/// Raises the routes' timeout to what callers wait.
async fn raise_timeouts(fleet: &Fleet) {
    let text = config(2, &[KEY]).replace(r#""TimeoutMs":4000"#, r#""TimeoutMs":8000"#);
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &text);
    wait_for("the configuration", async || fleet.entry.logged("configuration applied").len() >= 2)
        .await;
}

/// Calls a service a number of times at once; the callers stay until the response ends.
async fn responses(fleet: &Fleet, service: &str, count: usize) -> Vec<ReceivedResponse> {
    let method = if service == IDEMPOTENT { Method::GET } else { Method::POST };
    let calls = (0..count).map(async |id| {
        let call = call(id, method.clone(), service);
        match CallerStandin::new(fleet.address()).call(&call).await {
            CallerOutcome::Response(response) => response,
            other => panic!("no response: {other:?}"),
        }
    });
    futures::future::join_all(calls).await
}

/// Asserts that the responses are complete and have these bodies, in any order.
fn assert_complete(responses: &[ReceivedResponse], bodies: &[String]) {
    for response in responses {
        assert_eq!(response.status, StatusCode::OK);
        assert!(response.is_complete, "the stream was truncated: {response:?}");
    }
    let mut received: Vec<&[u8]> = responses.iter().map(|response| &response.body[..]).collect();
    let mut expected: Vec<&[u8]> = bodies.iter().map(String::as_bytes).collect();
    received.sort_unstable();
    expected.sort_unstable();
    assert_eq!(received, expected);
}

/// Guards against streams that are given up before a retry is granted.
#[tokio::test]
async fn paused_stream_goes_on_at_its_replica_if_no_retry_is_allowed() {
    let behaviours = [steady(45), pausing(30, 5, PAUSE)];
    let fleet = Fleet::start_without_retries(STREAM, &behaviours).await;
    raise_timeouts(&fleet).await;

    let responses = responses(&fleet, STREAM, 2).await;

    assert_complete(&responses, &[events(1..=45), events(1..=30)]);
    assert_eq!(fleet.arrivals(), 2);
    let stalls = fleet.entry.logged("stream stalled");
    assert_eq!(stalls.len(), 1, "{stalls:?}");
    assert_eq!(stalls[0]["attributes"]["has_retry"], "false");
}

/// Guards against pieces that are lost or repeated as a stream moves.
#[tokio::test]
async fn paused_stream_is_moved_to_another_replica_and_stays_whole() {
    let fleet = Fleet::start(STREAM, &[steady(45), pausing(45, 5, PAUSE)]).await;
    raise_timeouts(&fleet).await;

    let responses = responses(&fleet, STREAM, 2).await;

    assert_complete(&responses, &[events(1..=45), events(1..=45)]);
    assert_eq!(fleet.entry.logged("stream moved").len(), 1);
    assert_eq!(fleet.replicas[1].canceled_count(), 1);
}

/// Guards against streams that are ended because their replica is silent.
#[tokio::test]
async fn streams_are_complete_after_a_pause_of_all_replicas_of_a_draining_entry() {
    // Longer than the time after which callers may leave; these stay.
    let behaviour = pausing(30, 5, Duration::from_millis(2500));
    let fleet = Fleet::start(STREAM, &[behaviour.clone(), behaviour]).await;
    raise_timeouts(&fleet).await;
    let signal = async {
        wait_for("the streams", async || fleet.arrivals() == 4).await;
        fleet.entry.signal(Signal::SIGTERM);
    };

    let (responses, ()) = futures::join!(responses(&fleet, STREAM, 4), signal);

    assert_complete(&responses, &[(); 4].map(|()| events(1..=30)));
    assert_eq!(fleet.entry.logged("draining").len(), 1);
}

/// Guards against streams that are given up before a place at another replica is granted.
#[tokio::test]
async fn paused_streams_go_on_at_their_replica_if_the_others_are_full() {
    // Streams fill all slots of both replicas.
    let fleet = Fleet::start(STREAM, &[steady(60), pausing(20, 5, PAUSE)]).await;
    raise_timeouts(&fleet).await;

    let responses = responses(&fleet, STREAM, 2 * SLOTS).await;

    let bodies = [vec![events(1..=60); SLOTS], vec![events(1..=20); SLOTS]].concat();
    assert_complete(&responses, &bodies);
    assert_eq!(fleet.arrivals(), 2 * SLOTS);
    assert_eq!(fleet.entry.logged("stream stalled").len(), SLOTS);
}

/// Guards against streams that are lost because they are given up for a replica that refuses them.
#[tokio::test]
async fn paused_stream_that_another_replica_refuses_goes_on_and_stays_whole() {
    let fleet = Fleet::start(STREAM, &[steady(45), pausing(45, 5, PAUSE)]).await;
    raise_timeouts(&fleet).await;
    let refuse = async {
        wait_for("the streams", async || fleet.arrivals() == 2).await;
        fleet.replicas[0].set_behaviour(Behaviour::Shed);
    };

    let (responses, ()) = futures::join!(responses(&fleet, STREAM, 2), refuse);

    assert_complete(&responses, &[events(1..=45), events(1..=45)]);
    assert_eq!(fleet.entry.logged("replacement failed").len(), 1);
    assert_eq!(fleet.entry.logged("stream moved").len(), 0);
    assert_eq!(fleet.arrivals(), 3);
    assert_eq!(fleet.replicas[1].canceled_count(), 0);
}

/// Guards against streams that are lost because they are given up for a replica that breaks off.
#[tokio::test]
async fn paused_stream_whose_next_replica_breaks_off_goes_on_and_stays_whole() {
    let fleet = Fleet::start(STREAM, &[steady(45), pausing(45, 5, PAUSE)]).await;
    raise_timeouts(&fleet).await;
    let break_off = async {
        wait_for("the streams", async || fleet.arrivals() == 2).await;
        fleet.replicas[0].set_behaviour(Behaviour::Reset);
    };

    let (responses, ()) = futures::join!(responses(&fleet, STREAM, 2), break_off);

    assert_complete(&responses, &[events(1..=45), events(1..=45)]);
    assert_eq!(fleet.entry.logged("replacement failed").len(), 1);
    assert_eq!(fleet.entry.logged("stream moved").len(), 0);
    assert_eq!(fleet.arrivals(), 3);
    assert_eq!(fleet.replicas[1].canceled_count(), 0);
}

/// Guards against streams that are given up with the last retry for a replica that breaks off.
#[tokio::test]
async fn paused_stream_goes_on_at_its_replica_if_its_only_retry_fails() {
    // The slack allows one retry from two seconds after the start on; the pause begins then.
    let behaviours = [steady(75), pausing(50, 35, PAUSE)];
    let fleet = Fleet::start_with_retry_slack(STREAM, &behaviours, 2).await;
    raise_timeouts(&fleet).await;
    let break_off = async {
        wait_for("the streams", async || fleet.arrivals() == 2).await;
        fleet.replicas[0].set_behaviour(Behaviour::Reset);
    };

    let (responses, ()) = futures::join!(responses(&fleet, STREAM, 2), break_off);

    assert_complete(&responses, &[events(1..=75), events(1..=50)]);
    assert_eq!(fleet.arrivals(), 3);
    assert_eq!(fleet.replicas[1].canceled_count(), 0);
}

/// Guards against streams that are given up for a replica that accepts them and is silent, too.
#[tokio::test]
async fn paused_stream_whose_next_replica_is_silent_goes_on_and_stays_whole() {
    let fleet = Fleet::start(STREAM, &[steady(45), pausing(45, 5, PAUSE)]).await;
    raise_timeouts(&fleet).await;
    let pause = async {
        wait_for("the streams", async || fleet.arrivals() == 2).await;
        fleet.replicas[0].set_behaviour(Behaviour::StreamHang { events: 0 });
    };

    let (responses, ()) = futures::join!(responses(&fleet, STREAM, 2), pause);

    assert_complete(&responses, &[events(1..=45), events(1..=45)]);
    assert_eq!(fleet.entry.logged("stream moved").len(), 0);
    assert_eq!(fleet.arrivals(), 3);
    wait_for("the cancellation", async || fleet.replicas[0].canceled_count() == 1).await;
    assert_eq!(fleet.replicas[1].canceled_count(), 0);
}

/// Guards against streams that are given up because their replica preempts them, while all others
/// are full and refuse them, and so does their own as they return.
#[tokio::test]
async fn preempted_streams_are_whole_after_a_termination_while_all_replicas_are_full() {
    let fleet = Fleet::start(STREAM, &[steady(45), pausing(30, 5, PAUSE)]).await;
    raise_timeouts(&fleet).await;
    let fill = async {
        wait_for("the streams", async || fleet.arrivals() == 4).await;
        fleet.replicas.iter().for_each(|replica| replica.set_behaviour(Behaviour::Shed));
        fleet.entry.signal(Signal::SIGTERM);
    };

    let (responses, ()) = futures::join!(responses(&fleet, STREAM, 4), fill);

    let bodies = [vec![events(1..=45); 2], vec![events(1..=30); 2]].concat();
    assert_complete(&responses, &bodies);
}

/// Guards against calls that are given up before a retry is granted, while they wait for their
/// first event.
#[tokio::test]
async fn stream_with_a_late_first_event_is_answered_if_no_retry_is_allowed() {
    let behaviours = [steady(45), pausing(10, 0, PAUSE)];
    let fleet = Fleet::start_without_retries(STREAM, &behaviours).await;
    raise_timeouts(&fleet).await;

    let responses = responses(&fleet, STREAM, 2).await;

    assert_complete(&responses, &[events(1..=45), events(1..=10)]);
    assert_eq!(fleet.arrivals(), 2);
}

/// Guards against lookups that are given up before a retry is granted, at a replica that answers
/// others.
#[tokio::test]
async fn slow_lookup_is_answered_if_no_retry_is_allowed() {
    // More than the part of the caller's time after which a lookup is retried elsewhere.
    let slow = Behaviour::Echo { delay: Duration::from_millis(5000) };
    let fleet = Fleet::start_without_retries(IDEMPOTENT, &[slow]).await;
    raise_timeouts(&fleet).await;
    let others = async {
        wait_for("the lookup", async || fleet.arrivals() == 1).await;
        fleet.replicas[0].set_behaviour(Behaviour::Answer);
        loop {
            responses(&fleet, IDEMPOTENT, 1).await;
            tokio::time::sleep(GAP).await;
        }
    };

    let responses = tokio::select! {
        responses = responses(&fleet, IDEMPOTENT, 1) => responses,
        () = others => unreachable!("the loop of other lookups does not end"),
    };

    assert_eq!(responses[0].status, StatusCode::OK);
}

/// Guards against lookups that wait until their deadline at a replica that is down, so that their
/// callers have no time to repeat them.
#[tokio::test]
async fn lookup_at_a_replica_that_fell_silent_is_refused_before_its_deadline() {
    let fleet = Fleet::start_without_retries(IDEMPOTENT, &[Behaviour::Hang]).await;
    raise_timeouts(&fleet).await;
    let answer_once = async {
        wait_for("the lookup", async || fleet.arrivals() == 1).await;
        fleet.replicas[0].set_behaviour(Behaviour::Answer);
        self::responses(&fleet, IDEMPOTENT, 1).await
    };

    let (silent, answered) = futures::join!(responses(&fleet, IDEMPOTENT, 1), answer_once);

    assert_eq!(answered[0].status, StatusCode::OK);
    // 504 would say that its time was up.
    assert_eq!(silent[0].status, StatusCode::BAD_GATEWAY);
}
