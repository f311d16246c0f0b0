//! What callers get from an entry whose grace period is shorter than its usual drain.

mod platform_common;

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::future::join_all;
use http::Method;
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin, fixture::IDEMPOTENT,
};
use nix::sys::signal::Signal;
use platform_common::{Fleet, KEY};

/// How long the replicas take. Some calls outlast each grace period.
const SERVICE_TIMES_MS: [u64; 4] = [100, 700, 1500, 3500];

const CALLERS: usize = 12;

/// How long callers call before the signal, and after it.
const BEFORE_SIGNAL: Duration = Duration::from_millis(800);
const AFTER_SIGNAL: Duration = Duration::from_secs(5);

/// Calls on one connection after another until a time; returns the ids of the calls without an
/// answer.
async fn call_until(address: SocketAddr, caller: usize, until: Instant) -> Vec<String> {
    let mut standin = CallerStandin::new(address);
    let mut unanswered = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{caller}-{number}");
        let call = Call {
            id: id.clone(),
            method: Method::GET,
            path: format!("/{IDEMPOTENT}/{id}"),
            key: KEY.to_owned(),
            time_left: Duration::from_secs(4),
            prompt_parts: Vec::new(),
        };
        if let CallerOutcome::NoResponse = standin.call(&call).await {
            unanswered.push(id);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unanswered
}

/// The calls that reached a replica and got no answer, around a SIGTERM.
async fn cut_calls(grace_s: u64) -> Vec<String> {
    let replicas =
        SERVICE_TIMES_MS.map(|delay_ms| Behaviour::Echo { delay: Duration::from_millis(delay_ms) });
    let with_grace = |settings: String| {
        settings.replace("Bounds.GraceS=8\n", &format!("Bounds.GraceS={grace_s}\n"))
    };
    let fleet = Fleet::start_with_arguments(IDEMPOTENT, &replicas, with_grace, &[]).await;
    fleet.wait_until_ready(fleet.address().ip()).await;
    let until = Instant::now() + BEFORE_SIGNAL + AFTER_SIGNAL;
    let callers = (0..CALLERS).map(|caller| call_until(fleet.address(), caller, until));
    let signal = async {
        tokio::time::sleep(BEFORE_SIGNAL).await;
        fleet.entry.signal(Signal::SIGTERM);
    };
    let (unanswered, ()) = tokio::join!(join_all(callers), signal);
    let requests = fleet.replicas.iter().flat_map(|replica| replica.requests());
    let reached: HashSet<String> = requests
        .filter_map(|request| request.header("x-attempt-id").map(ToOwned::to_owned))
        .collect();
    unanswered.into_iter().flatten().filter(|id| reached.contains(id)).collect()
}

/// Guards against calls that are cut because a drain's phases come later than its end.
#[tokio::test]
async fn each_call_is_answered_within_a_short_grace_period() {
    let plays = [1, 2, 3, 4].map(|grace_s| async move { (grace_s, cut_calls(grace_s).await) });

    let cut = join_all(plays).await;

    assert!(cut.iter().all(|(_, cut)| cut.is_empty()), "{cut:?}");
}
