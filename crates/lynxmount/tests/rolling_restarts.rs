//! Orders that are sent while the endpoints are restarted one after the other.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use common::{Fleet, FleetOptions, eventually};
use http::Method;
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

const ENDPOINTS: usize = 3;

/// Sends orders to an entry, each with a key of its own, until `stop` is set. Returns their number
/// and the answers other than a success.
fn send_orders(
    fleet: &Fleet,
    caller_number: usize,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<(usize, Vec<String>)> {
    let (caller, stop) = (fleet.caller(caller_number % 2), Arc::clone(stop));
    tokio::spawn(async move {
        let (mut sent, mut failures) = (0, Vec::new());
        while !stop.load(Ordering::Relaxed) {
            let key = format!("order-{caller_number}-{sent}");
            let headers = [("idempotency-key", key.as_str())];
            let answer = caller.call(Method::POST, "/bookings/orders", &headers, "{}").await;
            let answer = answer.unwrap();
            sent += 1;
            failures.extend((answer.status != 200).then_some(answer.body));
        }
        (sent, failures)
    })
}

async fn restart(fleet: &mut Fleet, number: usize) {
    fleet.endpoints[number].as_ref().unwrap().signal(Signal::SIGTERM);
    assert_eq!(fleet.endpoints[number].as_mut().unwrap().exit_code().await, Some(0));
    fleet.endpoints[number] = Some(fleet.spawn_endpoint(number));
    fleet.wait_until_ready(async || fleet.endpoint_status(number).await).await;
    for entry in ["entry-0", "entry-1"] {
        eventually("the entry is connected again", async || {
            let arguments = ["audit", "--event", "endpoint-up", "--process", entry];
            let audit = fleet.run_command(&arguments);
            let endpoint = fleet.endpoint_id(number);
            String::from_utf8_lossy(&audit.stdout).matches(&endpoint).count() == 2
        })
        .await;
    }
}

/// Guards against orders whose outcome is unknown because their endpoint exits before it reads them.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_the_endpoints_runs_each_order_once() {
    let options = FleetOptions { engines: 0, plain_services: ENDPOINTS, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8).map(|number| send_orders(&fleet, number, &stop)).collect();

    for number in 0..ENDPOINTS {
        restart(&mut fleet, number).await;
    }
    stop.store(true, Ordering::Relaxed);

    let (mut sent, mut failures) = (0, Vec::new());
    for caller in callers {
        let (count, failed) = caller.await.unwrap();
        sent += count;
        failures.extend(failed);
    }
    let runs: usize = fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum();
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(runs, sent);
}
