//! Entries whose shares of the callers are uneven: most new connections of a failure domain go to
//! one of them for some seconds.

mod platform_common;

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{Behaviour, fixture::STREAM};
use platform_common::{CALLERS_PORT, Fleet, KEY, Process, call, entry_ip, entry_settings};

const ENTRIES: u8 = 5;
const ENDPOINTS: usize = 6;

/// Streams a second, of a second each: two thirds of what the endpoints run at once.
const CALL_PAUSE: Duration = Duration::from_millis(31);
const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(50);

const EVEN_TIME: Duration = Duration::from_secs(4);

/// Time after which an entry with most of the callers serves them as before.
const SETTLING_TIME: Duration = Duration::from_secs(3);

const UNEVEN_TIME: Duration = Duration::from_secs(5);

/// Share of the calls that an entry with most of the callers serves, compared with before.
const MIN_SHARE: f64 = 0.75;

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU32,
    served: AtomicU32,
}

impl Counts {
    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::Relaxed);
        f64::from(self.served.load(Ordering::Relaxed)) / f64::from(sent.max(1))
    }
}

async fn start_fleet() -> (Fleet, Vec<Process>) {
    let stream = Behaviour::Stream { events: EVENTS, gap: EVENT_GAP };
    let fleet = Fleet::start(STREAM, &vec![stream; ENDPOINTS]).await;
    let seeds: Vec<IpAddr> = (0..ENTRIES).map(|index| entry_ip(fleet.network, index)).collect();
    let others = (1..ENTRIES).map(|index| {
        let own_ip = entry_ip(fleet.network, index);
        Process::start("platform-entry", &entry_settings(own_ip, fleet.store.address(), &seeds))
    });
    let others: Vec<Process> = others.collect();
    for index in 1..ENTRIES {
        fleet.wait_until_ready(entry_ip(fleet.network, index)).await;
    }
    (fleet, others)
}

/// Sends calls for some time, each on a new connection to the entry that `entry_of` names.
async fn send_calls(
    fleet: &Fleet,
    time: Duration,
    entry_of: impl Fn(u32) -> u8,
    counts: &Arc<Counts>,
) {
    let mut calls = Vec::new();
    let end = Instant::now() + time;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let entry = entry_ip(fleet.network, entry_of(number));
        let counts = Arc::clone(counts);
        calls.push(tokio::spawn(async move {
            let path = format!("/{STREAM}/{number}");
            let response = call((entry, CALLERS_PORT).into(), Method::POST, &path, KEY).await;
            let is_served = response.is_some_and(|response| {
                response.status == StatusCode::OK && response.body.is_some()
            });
            counts.sent.fetch_add(1, Ordering::Relaxed);
            counts.served.fetch_add(u32::from(is_served), Ordering::Relaxed);
        }));
        tokio::time::sleep(CALL_PAUSE).await;
    }
    futures::future::join_all(calls).await;
}

/// Guards against calls that are refused because their entry has used up its own share of the
/// endpoints' slots, while the shares of other entries are unused.
#[tokio::test]
async fn an_entry_with_most_of_the_callers_uses_slots_that_others_leave() {
    let (fleet, _others) = start_fleet().await;
    let [even, settling, uneven] = [(); 3].map(|()| Arc::new(Counts::default()));

    // Over the last entries, as the first one has no seeds and knows its peers later.
    let in_turn = |number| 1 + (number % u32::from(ENTRIES - 1)) as u8;
    send_calls(&fleet, EVEN_TIME, in_turn, &even).await;
    let most = |number| if number % 10 == 0 { 2 } else { 1 };
    send_calls(&fleet, SETTLING_TIME, most, &settling).await;
    send_calls(&fleet, UNEVEN_TIME, most, &uneven).await;

    println!("served: {:.2}, {:.2}, {:.2}", even.share(), settling.share(), uneven.share());
    assert!(even.share() > 0.9, "{even:?}");
    assert!(uneven.share() >= MIN_SHARE * even.share(), "{uneven:?}, before {even:?}");
}
